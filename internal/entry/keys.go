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
	// holdFactor is how often the lifetime that callers are told goes into the time for
	// which bindings are held. A request that was sent within the lifetime may be under
	// way for half a lifetime and wait here for another half; then it is dropped. So
	// whatever is appended for it finds the binding.
	holdFactor = 2
	// patienceShare is the part of the lifetime for which a request may wait here.
	patienceShare = 2
	// clockMargin is how far the wall clocks of VMs may differ.
	clockMargin = time.Minute
	// keyGrace is how long a binding whose append failed may still turn up: the append
	// can stand although its answer was lost.
	keyGrace = 300 * time.Millisecond
	// keyRetry is what callers are told to wait while the stream does not answer, and
	// the time between tries to append meanwhile.
	keyRetry = time.Second
)

// keys binds callers' own keys to tickets, by a stream of the log. Two goroutines, one
// that reads and one that appends, and those of callers share it under one lock, which
// nobody holds across a wait.
type keys struct {
	log *platform.Client
	// lifetime is what callers are told; bindings are held for hold.
	lifetime time.Duration
	hold     time.Duration
	poll     time.Duration
	// spread is this entry's own part of the time before a quiet stream gets a record.
	spread time.Duration
	// entries is the number of live entries.
	entries func() int
	// interval is the least time between two appends of this entry.
	interval func() time.Duration
	counts   *keyCounters
	logger   log.Logger
	// shares are the customers' as last taken, for the control goroutine alone.
	shares map[string]float64

	mu      sync.Mutex
	fold    *keybind.Fold
	ages    *keybind.AgeTracker
	batcher *keybind.Batcher
	// names are the customers with shares, by their digests.
	names   map[keybind.Customer]string
	waiting map[keybind.Key]*keyWait
	// quiet is when the newest record was seen.
	quiet time.Duration
	// readFailing and appendFailed say that the stream does not answer, and when an
	// append last failed; 0 once one has worked again.
	readFailing  bool
	appendFailed time.Duration
	// cramped says that a key was refused for want of room since bindings were last let
	// go.
	cramped bool

	// asked wakes the appender, wanted the reader.
	asked, wanted chan struct{}
}

// keyWait is what requests of one key wait for.
type keyWait struct {
	// done is closed when the key is bound, or when that cannot be waited for.
	done chan struct{}
	n    int
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

func newKeys(e *entry) *keys {
	s := e.settings.GetKeys()
	lifetime := time.Duration(s.GetLifetimeMs()) * time.Millisecond
	hold := holdFactor * lifetime
	return &keys{
		log:      e.platform.Stream(s.GetStream()),
		lifetime: lifetime,
		hold:     hold,
		poll:     max(time.Duration(e.settings.GetPlatform().GetPollMs())*time.Millisecond, waitStep),
		spread:   spreadOf(e.self.GetVm(), hold),
		entries:  func() int { return liveEntries(e.node.State()) },
		interval: func() time.Duration {
			// All entries together stay below the bound on the log.
			return time.Second * time.Duration(liveEntries(e.node.State())) / time.Duration(max(s.GetAppendsPerSecond(), 1))
		},
		counts:  newKeyCounters(e.registry),
		logger:  e.logger,
		fold:    keybind.NewFold(),
		ages:    keybind.NewAgeTracker(hold),
		batcher: keybind.NewBatcher(int(s.GetWaiting()), lifetime/patienceShare),
		waiting: make(map[keybind.Key]*keyWait),
		asked:   make(chan struct{}, 1),
		wanted:  make(chan struct{}, 1),
	}
}

// kick wakes the goroutine that waits on a channel with room for one.
func kick(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// lookUp returns what a key is bound to, as far as this entry has read. A binding that
// it holds is the one that all others hold, so it needs no log.
func (k *keys) lookUp(key keybind.Key) (keybind.Binding, bool, *result.Error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b, ok := k.fold.Lookup(key)
	if ok && !k.usable(b) {
		return b, false, result.Refuse(api.ResultCode_KEYS_UNPROVEN, keyRetry)
	}
	return b, ok, nil
}

// usable says whether a key is surely bound as this entry holds it.
func (k *keys) usable(b keybind.Binding) bool {
	limit := k.hold - k.lifetime/patienceShare
	return !b.Unconfirmed && k.proven() && b.IsCurrent(time.Now().UnixMilli(), limit, clockMargin)
}

func (k *keys) proven() bool {
	return k.fold.IsComplete(time.Now().UnixMilli(), k.hold, clockMargin)
}

// ready says why no key can be bound now, before anything was appended.
//
// Load: the log is out for a weekend. Harm prevented: requests that wait for it until
// their deadline, and fill the entry, while the caller could take a ticket at once.
func (k *keys) ready(c keybind.Customer) *result.Error {
	k.mu.Lock()
	defer k.mu.Unlock()
	down := k.appendFailed != 0 && clock.Now()-k.appendFailed < keyRetry
	switch {
	case k.readFailing || down:
		return result.Refuse(api.ResultCode_LOG_UNAVAILABLE, keyRetry, "The log does not answer, and a key of the caller's own needs it. Come back with the same key.")
	case !k.proven():
		return result.Refuse(api.ResultCode_KEYS_UNPROVEN, keyRetry)
	}
	return k.roomFor(c)
}

// bind has a key bound to a ticket, and returns what it is bound to: another ticket,
// when another binding of the key stands before it in the log. When it returns an error
// own.appended says whether the key may be bound later.
func (k *keys) bind(ctx context.Context, own *ownKey, t *api.Ticket) (keybind.Binding, *result.Error) {
	key := own.key
	wait, b, err := k.join(own, t)
	if wait == nil {
		return b, err
	}
	select {
	case <-wait.done:
	case <-ctx.Done():
		k.leave(key, wait)
		return b, result.New(api.ResultCode_DEADLINE_EXCEEDED, "The time was over, or the caller gone, before the key was bound.")
	}
	b, ok, err := k.lookUp(key)
	if err == nil && !ok {
		err = lostKey()
	}
	return b, err
}

// lostKey is what a caller hears whose binding did not turn up.
func lostKey() *result.Error {
	err := result.New(api.ResultCode_LOG_UNAVAILABLE, "The log did not answer in time. The key may be bound or not; come back with the same key.")
	err.Ran, err.RetryAfter = api.Ran_RAN_UNKNOWN, keyRetry
	return err
}

// join makes a request wait for its key, with the others of that key; or returns what
// the key is bound to by now.
func (k *keys) join(own *ownKey, t *api.Ticket) (*keyWait, keybind.Binding, *result.Error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := own.key
	if b, ok := k.fold.Lookup(key); ok {
		if !k.usable(b) {
			own.appended = true
			return nil, b, result.Refuse(api.ResultCode_KEYS_UNPROVEN, keyRetry)
		}
		return nil, b, nil
	}
	if !k.proven() {
		// Records were lost since the request was let in.
		return nil, keybind.Binding{}, result.Refuse(api.ResultCode_KEYS_UNPROVEN, keyRetry)
	}
	if err := k.add(own, t); err != nil {
		return nil, keybind.Binding{}, err
	}
	own.appended = true
	wait := k.waiting[key]
	if wait == nil {
		wait = &keyWait{done: make(chan struct{})}
		k.waiting[key] = wait
	}
	wait.n++
	kick(k.asked)
	kick(k.wanted)
	return wait, keybind.Binding{}, nil
}

// add has a key's binding appended; the lock is held.
func (k *keys) add(own *ownKey, t *api.Ticket) *result.Error {
	if !k.batcher.IsPending(own.key) {
		// Many requests at once were let in for the last place.
		if err := k.roomFor(own.customer); err != nil {
			return err
		}
	}
	switch err := k.batcher.Add(clock.Now(), own.arrived, own.key, own.request, t); {
	case errors.Is(err, keybind.ErrOverShare):
		k.counts.beyond.Inc(1)
		return result.Refuse(api.ResultCode_OVER_SHARE, keyRetry, "As many keys of the customer's own wait to be bound as it has room for. Come back with the same key, or take a ticket.")
	case errors.Is(err, keybind.ErrFull):
		return result.Refuse(api.ResultCode_KEYS_FULL, keyRetry)
	case err != nil:
		return result.New(api.ResultCode_DEADLINE_EXCEEDED, "The request waited too long for its key to be bound.")
	}
	return nil
}

func (k *keys) leave(key keybind.Key, wait *keyWait) {
	k.mu.Lock()
	defer k.mu.Unlock()
	wait.n--
	if wait.n == 0 && k.waiting[key] == wait {
		delete(k.waiting, key)
	}
}

// settle lets those go on who wait for a key; the lock is held.
func (k *keys) settle(key keybind.Key) {
	if wait := k.waiting[key]; wait != nil {
		delete(k.waiting, key)
		close(wait.done)
	}
}
