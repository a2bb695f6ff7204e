package keybind

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

// MaxHeldBindings is the room for held bindings, which a Room divides between customers. Folds
// take all that the stream has, or they would differ; so it is exceeded by what is under
// way.
//
// Load: 109 new keys a second for a lifetime of 20 minutes, over all entries. Harm
// prevented: a customer's loop with a new key each time takes all entries' memory. At
// some 300 bytes a binding the bound is 40 MB.
const MaxHeldBindings = 1 << 17

// maxBatchBindings bounds the bindings of one record, so that records stay below some 50 KB.
const maxBatchBindings = 256

// Batcher gathers bindings into few records. One append is under way at a time, and two
// begin at least an interval apart; a binding after a quiet time goes at once.
//
// Load: a till app's morning run, hundreds of keys a second over all entries. Harm
// prevented: the log takes several hundred appends a second and carries operators'
// configuration too; an append for each key would hold up a mark that takes a failure
// domain out. The bound on what waits keeps a slow log from gathering requests whose
// callers have long gone. A Room divides it, and customers take turns by their weight:
// one team's burst of a thousand keys would fill it, and go before another's one push.
type Batcher struct {
	quotas  *Quotas
	maxWait time.Duration
	// queue is in the order in which bindings go.
	queue []queuedBinding
	// pending holds the keys that wait or are under way.
	pending  map[Key]bool
	inFlight []*api.KeyBinding
	// virtualTime is that of the newest binding that went; last is that of each customer's
	// newest one that waits or went in this virtualTime.
	virtualTime float64
	nextStart   map[Customer]float64
	appending   bool
	lastAppend  time.Duration
	hasAppended bool
}

// queuedBinding is a binding that waits for its turn.
type queuedBinding struct {
	*api.KeyBinding
	start float64
}

// ErrFull says that too many bindings wait.
var ErrFull = errors.New("too many keys wait to be bound")

// ErrOverShare says that too many bindings of the customer wait.
var ErrOverShare = errors.New("too many keys of the customer wait to be bound")

// ErrLate says that a request arrived too long ago to be bound.
var ErrLate = errors.New("the request waited too long for its key to be bound")

// NewBatcher returns a batcher that lets so many bindings wait. patience must be less
// than the time that bindings are held by the time that callers are told.
func NewBatcher(limit int, maxWait time.Duration) *Batcher {
	return &Batcher{quotas: NewQuotas(limit), maxWait: maxWait, pending: make(map[Key]bool), nextStart: make(map[Customer]float64)}
}

// Quotas counts the bindings that wait or are under way.
func (b *Batcher) Quotas() *Quotas { return b.quotas }

// Add takes a binding to append for a request that arrived at a time, unless one of the
// same key is on its way. Add it only when the key is unbound in the fold, and Drop it
// when that changes. A request that waited past the patience, such as in a process that
// was paused, is ErrOverdue: it may be a retry sent while its key was bound, and the key
// was let go of meanwhile, so that it would run a second time.
func (b *Batcher) Add(now, arrived time.Duration, key Key, request Request, ticket *api.Ticket) error {
	switch {
	case now-arrived >= b.maxWait:
		return ErrLate
	case b.pending[key]:
		return nil
	}
	customer := CustomerOfTicket(ticket)
	switch verdict, _ := b.quotas.Check(customer, 0); verdict {
	case OverShare:
		return ErrOverShare
	case Full:
		return ErrFull
	case Allowed:
	}
	b.pending[key] = true
	b.quotas.adjust(customer, 1)
	b.enqueue(customer, &api.KeyBinding{Key: key[:], Request: request[:], Ticket: ticket})
	return nil
}

// enqueue puts a binding in its place: a customer's next turn is by its weight later than
// its last one, and never before the one that is being served.
func (b *Batcher) enqueue(c Customer, binding *api.KeyBinding) {
	start := max(b.virtualTime, b.nextStart[c])
	b.nextStart[c] = start + 1/b.quotas.weight(c)
	i := len(b.queue)
	for i > 0 && b.queue[i-1].start > start {
		i--
	}
	b.queue = slices.Insert(b.queue, i, queuedBinding{binding, start})
}

// IsPending says whether a binding of the key waits or is under way.
func (b *Batcher) IsPending(key Key) bool { return b.pending[key] }

// Queued is the number of bindings that wait.
func (b *Batcher) Queued() int { return len(b.queue) }

// Drop takes a key's binding back that has not gone yet, since the key was bound
// meanwhile. Appended, it would say of its base that the key is unbound there.
func (b *Batcher) Drop(key Key) {
	for i, binding := range b.queue {
		if Key(binding.GetKey()) == key {
			b.queue = slices.Delete(b.queue, i, i+1)
			b.untrack(binding.KeyBinding)
			return
		}
	}
}

// Clear drops all bindings that have not gone yet.
func (b *Batcher) Clear() {
	for _, binding := range b.queue {
		b.untrack(binding.KeyBinding)
	}
	b.queue = nil
}

// untrack takes a binding out of what is counted.
func (b *Batcher) untrack(binding *api.KeyBinding) {
	delete(b.pending, Key(binding.GetKey()))
	b.quotas.adjust(CustomerOfTicket(binding.GetTicket()), -1)
}

// BeginAppend begins an append and returns its bindings; with beat also one of none. With
// false it says how long to wait before asking again, 0 for until something changes.
func (b *Batcher) BeginAppend(now, interval time.Duration, allowEmpty bool) ([]*api.KeyBinding, time.Duration, bool) {
	if b.appending || len(b.queue) == 0 && !allowEmpty {
		return nil, 0, false
	}
	if wait := b.lastAppend + interval - now; b.hasAppended && wait > 0 {
		return nil, wait, false
	}
	n := min(len(b.queue), maxBatchBindings)
	batch := make([]*api.KeyBinding, 0, n)
	for _, binding := range b.queue[:n] {
		batch = append(batch, binding.KeyBinding)
		b.virtualTime = binding.start
	}
	b.queue = slices.Delete(b.queue, 0, n)
	if len(b.queue) == 0 {
		// All who come now begin anew, and nothing is kept of customers who are gone.
		b.virtualTime = 0
		clear(b.nextStart)
	}
	b.inFlight = batch
	b.appending, b.hasAppended, b.lastAppend = true, true, now
	return batch, 0, true
}

// EndAppend ends the append and returns its keys. After a failure the record may stand in
// the stream or not; a later press of the key appends another, and the first one holds.
func (b *Batcher) EndAppend() []Key {
	keys := make([]Key, 0, len(b.inFlight))
	for _, binding := range b.inFlight {
		keys = append(keys, Key(binding.GetKey()))
		b.untrack(binding)
	}
	b.appending, b.inFlight = false, nil
	return keys
}

// EncodeRecord makes the record of a batch. base is Next of the fold in which all its keys are
// unbound.
func EncodeRecord(batch []*api.KeyBinding, base, released, wallMs int64) ([]byte, error) {
	return proto.Marshal(&api.KeyRecord{Bindings: batch, Base: base, Released: released, AtMs: wallMs})
}
