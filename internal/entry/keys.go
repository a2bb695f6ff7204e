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
	// retentionFactor is how often the lifetime that callers are told goes into the time for
	// which bindings are held. A request that was sent within the lifetime may be under
	// way for half a lifetime and wait here for another half; then it is dropped. So
	// whatever is appended for it finds the binding.
	retentionFactor = 2
	// maxWaitDivisor is the part of the lifetime for which a request may wait here.
	maxWaitDivisor = 2
	// maxClockSkew is how far the wall clocks of VMs may differ.
	maxClockSkew = time.Minute
	// appendGrace is how long a binding whose append failed may still turn up: the append
	// can stand although its answer was lost.
	appendGrace = 300 * time.Millisecond
	// keyRetryInterval is what callers are told to wait while the stream does not answer, and
	// the time between tries to append meanwhile.
	keyRetryInterval = time.Second
)

// keyBinder binds callers' own keyBinder to tickets, by a stream of the log. Two goroutines, one
// that reads and one that appends, and those of callers share it under one lock, which
// nobody holds across a wait.
type keyBinder struct {
	stream *platform.Client
	// lifetime is what callers are told; bindings are held for hold.
	lifetime  time.Duration
	retention time.Duration
	poll      time.Duration
	// keepaliveJitter is this entry's own part of the time before a quiet stream gets a record.
	keepaliveJitter time.Duration
	// entries is the number of live entries.
	entries func() int
	// appendInterval is the least time between two appends of this entry.
	appendInterval func() time.Duration
	counts         *keyCounters
	logger         log.Logger
	// shares are the customers' as last taken, for the control goroutine alone.
	shares map[string]float64

	mu      sync.Mutex
	fold    *keybind.Fold
	ages    *keybind.Ages
	batcher *keybind.Batcher
	// customerNames are the customers with shares, by their digests.
	customerNames map[keybind.Customer]string
	waiting       map[keybind.Key]*keyWait
	// lastRecord is when the newest record was seen.
	lastRecord time.Duration
	// readFailing and appendFailed say that the stream does not answer, and when an
	// append last failed; 0 once one has worked again.
	readFailing    bool
	appendFailedAt time.Duration
	// refusedForSpace says that a key was refused for want of room since bindings were last let
	// go.
	refusedForSpace bool

	// wakeAppender wakes the appender, wakeReader the reader.
	wakeAppender, wakeReader chan struct{}
}

// keyWait is what requests of one key wait for.
type keyWait struct {
	// done is closed when the key is bound, or when that cannot be waited for.
	done    chan struct{}
	waiters int
}

// keyCounters are the metrics of keys.
type keyCounters struct {
	bound, found, appends, failed, beyond metrics.Counter
	held, lent                            metrics.Gauge
}

func newKeyCounters(registry metrics.Registry) *keyCounters {
	return &keyCounters{
		bound:   metrics.GetOrRegisterCounter("entry.keys.bound", registry),
		found:   metrics.GetOrRegisterCounter("entry.keys.found", registry),
		appends: metrics.GetOrRegisterCounter("entry.keys.appends", registry),
		failed:  metrics.GetOrRegisterCounter("entry.keys.appends.failed", registry),
		beyond:  metrics.GetOrRegisterCounter("entry.keys.beyond.share", registry),
		held:    metrics.GetOrRegisterGauge("entry.keys.held", registry),
		lent:    metrics.GetOrRegisterGauge("entry.keys.lent", registry),
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
		poll:            max(time.Duration(e.settings.GetPlatform().GetPollMs())*time.Millisecond, pollInterval),
		keepaliveJitter: keepaliveJitterOf(e.self.GetVm(), retention),
		entries:         func() int { return liveEntries(e.node.State()) },
		appendInterval: func() time.Duration {
			// All entries together stay below the bound on the log.
			return time.Second * time.Duration(liveEntries(e.node.State())) / time.Duration(max(s.GetAppendsPerSecond(), 1))
		},
		counts:       newKeyCounters(e.registry),
		logger:       e.logger,
		fold:         keybind.New(),
		ages:         keybind.NewAges(retention),
		batcher:      keybind.NewBatcher(int(s.GetWaiting()), lifetime/maxWaitDivisor),
		waiting:      make(map[keybind.Key]*keyWait),
		wakeAppender: make(chan struct{}, 1),
		wakeReader:   make(chan struct{}, 1),
	}
}

// notify wakes the goroutine that waits on a channel with room for one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// lookUp returns what a key is bound to, as far as this entry has read. A binding that
// it holds is the one that all others hold, so it needs no log.
func (k *keyBinder) lookUp(key keybind.Key) (keybind.Binding, bool, *result.Error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b, ok := k.fold.Get(key)
	if ok && !k.isUsable(b) {
		return b, false, result.Refuse(api.ResultCode_KEYS_UNPROVEN, keyRetryInterval)
	}
	return b, ok, nil
}

// isUsable says whether a key is surely bound as this entry holds it.
func (k *keyBinder) isUsable(b keybind.Binding) bool {
	maxAge := k.retention - k.lifetime/maxWaitDivisor
	return !b.Unsure && k.confirmed() && b.Current(time.Now().UnixMilli(), maxAge, maxClockSkew)
}

func (k *keyBinder) confirmed() bool {
	return k.fold.Proven(time.Now().UnixMilli(), k.retention, maxClockSkew)
}

// checkReady says why no key can be bound now, before anything was appended.
//
// Load: the log is out for a weekend. Harm prevented: requests that wait for it until
// their deadline, and fill the entry, while the caller could take a ticket at once.
func (k *keyBinder) checkReady(c keybind.Customer) *result.Error {
	k.mu.Lock()
	defer k.mu.Unlock()
	down := k.appendFailedAt != 0 && clock.Now()-k.appendFailedAt < keyRetryInterval
	switch {
	case k.readFailing || down:
		return result.Refuse(api.ResultCode_LOG_UNAVAILABLE, keyRetryInterval, "The log does not answer, and a key of the caller's own needs it. Come back with the same key.")
	case !k.confirmed():
		return result.Refuse(api.ResultCode_KEYS_UNPROVEN, keyRetryInterval)
	}
	return k.checkQuota(c)
}

// bind has a key bound to a ticket, and returns what it is bound to: another ticket,
// when another binding of the key stands before it in the log. When it returns an error
// own.appended says whether the key may be bound later.
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

// unconfirmedKeyError is what a caller hears whose binding did not turn up.
func unconfirmedKeyError() *result.Error {
	err := result.New(api.ResultCode_LOG_UNAVAILABLE, "The log did not answer in time. The key may be bound or not; come back with the same key.")
	err.Ran, err.RetryAfter = api.Ran_RAN_UNKNOWN, keyRetryInterval
	return err
}

// joinWait makes a request wait for its key, with the others of that key; or returns what
// the key is bound to by now.
func (k *keyBinder) joinWait(own *ownKey, t *api.Ticket) (*keyWait, keybind.Binding, *result.Error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := own.key
	if b, ok := k.fold.Get(key); ok {
		if !k.isUsable(b) {
			own.appended = true
			return nil, b, result.Refuse(api.ResultCode_KEYS_UNPROVEN, keyRetryInterval)
		}
		return nil, b, nil
	}
	if !k.confirmed() {
		// Records were lost since the request was let in.
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

// enqueue has a key's binding appended; the lock is held.
func (k *keyBinder) enqueue(own *ownKey, t *api.Ticket) *result.Error {
	if !k.batcher.Asked(own.key) {
		// Many requests at once were let in for the last place.
		if err := k.checkQuota(own.customer); err != nil {
			return err
		}
	}
	switch err := k.batcher.Add(clock.Now(), own.arrived, own.key, own.request, t); {
	case errors.Is(err, keybind.ErrBeyondShare):
		k.counts.beyond.Inc(1)
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

// releaseWaiters lets those go on who wait for a key; the lock is held.
func (k *keyBinder) releaseWaiters(key keybind.Key) {
	if wait := k.waiting[key]; wait != nil {
		delete(k.waiting, key)
		close(wait.done)
	}
}
