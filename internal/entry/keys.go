package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/keybind"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/platform"
	"github.com/apricothub/apricothub/internal/result"
)

const (
	// retentionFactor is the ratio of the time that bindings are kept to the lifetime that callers
	// are told. A request sent within the lifetime may take half a lifetime to arrive and wait here
	// for another half before it is dropped. Anything appended for it therefore still finds the
	// binding.
	retentionFactor = 2
	// maxWaitDivisor divides the lifetime to give the longest time that a request may wait here.
	maxWaitDivisor = 2
	// maxClockSkew is the largest assumed difference between the wall clocks of VMs.
	maxClockSkew = time.Minute
	// appendGrace is how long to wait for a binding after its append failed: the record may have
	// been stored although the answer was lost.
	appendGrace = 300 * time.Millisecond
	// keyRetryInterval is the retry delay that callers are told while the stream does not answer,
	// and how long new keys are refused after a failed append.
	keyRetryInterval = time.Second
)

// keyBinder binds callers' own keys to tickets through a stream of the log. A reading goroutine, an
// appending goroutine and the request handlers share it under one lock, which is never held while
// waiting.
type keyBinder struct {
	stream *platform.Client
	// lifetime is how long callers are told that a key is bound. Bindings are kept for retention.
	lifetime        time.Duration
	retention       time.Duration
	logPollInterval time.Duration
	// keepaliveJitter is this entry's own delay before it appends a record to a quiet stream.
	keepaliveJitter time.Duration
	// entries returns the number of live entries.
	entries func() int
	// appendInterval returns the minimum time between two appends of this entry.
	appendInterval func() time.Duration
	counts         *keyCounters
	logger         log.Logger
	// shares are the customers' shares as last set. Only the control goroutine uses them.
	shares map[string]float64

	mu      sync.Mutex
	fold    *keybind.Fold
	ages    *keybind.AgeTracker
	batcher *keybind.Batcher
	// customerNames are the names of the customers with shares, by digest.
	customerNames map[keybind.Customer]string
	waiting       map[keybind.Key]*keyWait
	// lastRecord is when the newest record was seen.
	lastRecord time.Duration
	// readFailing says that the stream cannot be read. appendFailedAt is when an append last
	// failed, 0 after one has succeeded.
	readFailing    bool
	appendFailedAt time.Duration
	// refusedForSpace says that a key was refused for lack of space since bindings were last
	// released.
	refusedForSpace bool

	// wakeAppender wakes the appending goroutine, wakeReader the reading one.
	wakeAppender, wakeReader chan struct{}
}

// keyWait is shared by the requests that wait for one key.
type keyWait struct {
	// done is closed when the key is bound or the wait is abandoned.
	done    chan struct{}
	waiters int
}

// keyCounters are the metrics of keyBinder.
type keyCounters struct {
	bound, found, appends, failed, overShare metrics.Counter
	held, lent                               metrics.Gauge
}

func newKeyCounters(registry metrics.Registry) *keyCounters {
	return &keyCounters{
		bound:     metrics.GetOrRegisterCounter("entry.keys.bound", registry),
		found:     metrics.GetOrRegisterCounter("entry.keys.found", registry),
		appends:   metrics.GetOrRegisterCounter("entry.keys.appends", registry),
		failed:    metrics.GetOrRegisterCounter("entry.keys.appends.failed", registry),
		overShare: metrics.GetOrRegisterCounter("entry.keys.beyond.share", registry),
		held:      metrics.GetOrRegisterGauge("entry.keys.held", registry),
		lent:      metrics.GetOrRegisterGauge("entry.keys.lent", registry),
	}
}

func newKeyBinder(e *entry) *keyBinder {
	s := e.settings.GetKeys()
	lifetime := time.Duration(s.GetLifetimeMs()) * time.Millisecond
	retention := retentionFactor * lifetime
	return &keyBinder{
		stream:          e.platform.Stream(s.GetStream()),
		lifetime:        lifetime,
		retention:       retention,
		logPollInterval: max(time.Duration(e.settings.GetPlatform().GetPollMs())*time.Millisecond, pollInterval),
		keepaliveJitter: keepaliveJitterOf(e.self.GetVm(), retention),
		entries:         func() int { return liveEntries(e.node.State()) },
		appendInterval: func() time.Duration {
			// All entries together stay below the append limit of the log.
			return time.Second * time.Duration(liveEntries(e.node.State())) / time.Duration(max(s.GetAppendsPerSecond(), 1))
		},
		counts:       newKeyCounters(e.registry),
		logger:       e.logger,
		fold:         keybind.NewFold(),
		ages:         keybind.NewAgeTracker(retention),
		batcher:      keybind.NewBatcher(int(s.GetWaiting()), lifetime/maxWaitDivisor),
		waiting:      make(map[keybind.Key]*keyWait),
		wakeAppender: make(chan struct{}, 1),
		wakeReader:   make(chan struct{}, 1),
	}
}

// notify wakes the goroutine that waits on a channel with a buffer of one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// lookUp returns what a key is bound to, as far as this entry has read the stream. All entries
// agree on a binding once it is read, so no access to the log is needed.
func (k *keyBinder) lookUp(key keybind.Key) (keybind.Binding, bool, *result.Error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b, ok := k.fold.Lookup(key)
	if ok && !k.isUsable(b) {
		return b, false, result.Refuse(api.ResultCode_KEYS_UNPROVEN, keyRetryInterval)
	}
	return b, ok, nil
}

// isUsable says whether it is certain that the key is still bound as this entry knows it.
func (k *keyBinder) isUsable(b keybind.Binding) bool {
	maxAge := k.retention - k.lifetime/maxWaitDivisor
	return !b.Unconfirmed && k.isComplete() && b.IsCurrent(time.Now().UnixMilli(), maxAge, maxClockSkew)
}

func (k *keyBinder) isComplete() bool {
	return k.fold.IsComplete(time.Now().UnixMilli(), k.retention, maxClockSkew)
}

// checkReady returns why no key can be bound now, before anything is appended.
//
// When the log is out for long, requests would otherwise wait for it until their deadlines and fill
// the entry, although the caller could get a ticket at once.
func (k *keyBinder) checkReady(c keybind.Customer) *result.Error {
	k.mu.Lock()
	defer k.mu.Unlock()
	down := k.appendFailedAt != 0 && clock.Now()-k.appendFailedAt < keyRetryInterval
	switch {
	case k.readFailing || down:
		return result.Refuse(api.ResultCode_LOG_UNAVAILABLE, keyRetryInterval, "The log does not answer, and a key of the caller's own needs it. Come back with the same key.")
	case !k.isComplete():
		return result.Refuse(api.ResultCode_KEYS_UNPROVEN, keyRetryInterval)
	}
	return k.checkQuota(c)
}

// bind has a key bound to a ticket and returns its binding. That names another ticket if another
// binding of the key comes first in the log. After an error, own.appended says whether the key may
// still become bound.
func (k *keyBinder) bind(ctx context.Context, own *ownKey, t *api.Ticket) (keybind.Binding, *result.Error) {
	key := own.key
	wait, b, err := k.joinWait(own, t)
	if wait == nil {
		return b, err
	}
	select {
	case <-wait.done:
	case <-ctx.Done():
		k.leaveWait(key, wait)
		return b, result.New(api.ResultCode_DEADLINE_EXCEEDED, "The time was over, or the caller gone, before the key was bound.")
	}
	b, ok, err := k.lookUp(key)
	if err == nil && !ok {
		err = unconfirmedKeyError()
	}
	return b, err
}

// unconfirmedKeyError is the error for a binding that did not turn up in the stream.
func unconfirmedKeyError() *result.Error {
	err := result.New(api.ResultCode_LOG_UNAVAILABLE, "The log did not answer in time. The key may be bound or not; come back with the same key.")
	err.Ran, err.RetryAfter = api.Ran_RAN_UNKNOWN, keyRetryInterval
	return err
}

// joinWait adds a request to those waiting for its key, or returns the binding if there is one by
// now.
func (k *keyBinder) joinWait(own *ownKey, t *api.Ticket) (*keyWait, keybind.Binding, *result.Error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := own.key
	if b, ok := k.fold.Lookup(key); ok {
		if !k.isUsable(b) {
			own.appended = true
			return nil, b, result.Refuse(api.ResultCode_KEYS_UNPROVEN, keyRetryInterval)
		}
		return nil, b, nil
	}
	if !k.isComplete() {
		// Records were lost after the request was accepted.
		return nil, keybind.Binding{}, result.Refuse(api.ResultCode_KEYS_UNPROVEN, keyRetryInterval)
	}
	if err := k.enqueue(own, t); err != nil {
		return nil, keybind.Binding{}, err
	}
	own.appended = true
	wait := k.waiting[key]
	if wait == nil {
		wait = &keyWait{done: make(chan struct{})}
		k.waiting[key] = wait
	}
	wait.waiters++
	notify(k.wakeAppender)
	notify(k.wakeReader)
	return wait, keybind.Binding{}, nil
}

// enqueue queues a key's binding for the next append; the lock is held.
func (k *keyBinder) enqueue(own *ownKey, t *api.Ticket) *result.Error {
	if !k.batcher.IsPending(own.key) {
		// Several requests may have passed checkReady at once when space was left for one key.
		if err := k.checkQuota(own.customer); err != nil {
			return err
		}
	}
	switch err := k.batcher.Add(clock.Now(), own.arrived, own.key, own.request, t); {
	case errors.Is(err, keybind.ErrOverShare):
		k.counts.overShare.Inc(1)
		return result.Refuse(api.ResultCode_OVER_SHARE, keyRetryInterval, "As many keys of the customer's own wait to be bound as it has room for. Come back with the same key, or take a ticket.")
	case errors.Is(err, keybind.ErrFull):
		return result.Refuse(api.ResultCode_KEYS_FULL, keyRetryInterval)
	case err != nil:
		return result.New(api.ResultCode_DEADLINE_EXCEEDED, "The request waited too long for its key to be bound.")
	}
	return nil
}

func (k *keyBinder) leaveWait(key keybind.Key, wait *keyWait) {
	k.mu.Lock()
	defer k.mu.Unlock()
	wait.waiters--
	if wait.waiters == 0 && k.waiting[key] == wait {
		delete(k.waiting, key)
	}
}

// releaseWaiters lets the requests that wait for a key continue; the lock is held.
func (k *keyBinder) releaseWaiters(key keybind.Key) {
	if wait := k.waiting[key]; wait != nil {
		delete(k.waiting, key)
		close(wait.done)
	}
}
