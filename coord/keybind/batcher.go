package keybind

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

// MaxHeldBindings limits the bindings held by a fold, which Quotas divides between customers.
// Folds apply all records of the stream, because they would differ otherwise, so bindings that
// are being appended can exceed the limit.
//
// The limit allows 109 new keys a second over all entries at a lifetime of 20 minutes, and
// takes 40 MB at about 300 bytes per binding. Without it, a customer that sends a new key with
// every request could use up the memory of all entries.
const MaxHeldBindings = 1 << 17

// maxBatchBindings limits the bindings in one record, which keeps records below about 50 KB.
const maxBatchBindings = 256

// Batcher collects bindings into few records. One append is in flight at a time, and appends
// begin at least an interval apart; a binding that follows a quiet period is appended at once.
//
// The log takes several hundred appends a second and carries the operators' configuration too.
// With one append per key, a burst of hundreds of keys a second over all entries would delay a
// mark that takes a failure domain out of service. The limit of the queue prevents a slow log
// from accumulating requests whose callers have given up. Quotas divides the queue between
// customers, and they are served by weighted fair queueing: otherwise one team's burst of a
// thousand keys would fill the queue and be appended before another team's single key.
type Batcher struct {
	quotas  *Quotas
	maxWait time.Duration
	// queue holds the bindings to append, in the order of their start tags.
	queue []queuedBinding
	// pending holds the keys that are queued or being appended.
	pending  map[Key]bool
	inFlight []*api.KeyBinding
	// virtualTime is the start tag of the last binding that was appended, and nextStart the
	// earliest start tag of each customer's next binding.
	virtualTime float64
	nextStart   map[Customer]float64
	appending   bool
	lastAppend  time.Duration
	hasAppended bool
}

// queuedBinding is a queued binding with its start tag.
type queuedBinding struct {
	*api.KeyBinding
	start float64
}

// ErrFull is returned when the queue is full.
var ErrFull = errors.New("the queue of key bindings is full")

// ErrOverShare is returned when the customer's share of the queue is used up.
var ErrOverShare = errors.New("the customer's share of the queue of key bindings is used up")

// ErrLate is returned when a request arrived too long ago for its key to be bound.
var ErrLate = errors.New("the request waited too long for its key to be bound")

// NewBatcher returns a batcher whose queue holds up to limit bindings. maxWait must be less
// than the difference between the time that bindings are held and the lifetime that is
// promised to callers.
func NewBatcher(limit int, maxWait time.Duration) *Batcher {
	return &Batcher{quotas: NewQuotas(limit), maxWait: maxWait, pending: make(map[Key]bool), nextStart: make(map[Customer]float64)}
}

// Quotas returns the quotas of the bindings that are queued or being appended.
func (b *Batcher) Quotas() *Quotas { return b.quotas }

// Add queues a binding for a request that arrived at the given time, unless one of the same
// key is pending. Call it only if the key is unbound in the fold, and Drop the binding when
// that changes. For a request that waited for maxWait or longer, such as in a paused process,
// it returns ErrLate: the request may be a retry that was sent while its key was bound, and if
// the key was released in the meantime, it would run a second time.
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

// enqueue inserts a binding into the queue. Its start tag follows the customer's previous one
// by the inverse of the customer's weight, and is never before the current virtual time.
func (b *Batcher) enqueue(c Customer, binding *api.KeyBinding) {
	start := max(b.virtualTime, b.nextStart[c])
	b.nextStart[c] = start + 1/b.quotas.weight(c)
	i := len(b.queue)
	for i > 0 && b.queue[i-1].start > start {
		i--
	}
	b.queue = slices.Insert(b.queue, i, queuedBinding{binding, start})
}

// IsPending reports whether a binding of the key is queued or being appended.
func (b *Batcher) IsPending(key Key) bool { return b.pending[key] }

// Queued returns the number of queued bindings.
func (b *Batcher) Queued() int { return len(b.queue) }

// Drop removes a key's binding from the queue after the key was bound by another record. If it
// were appended, its record would claim that the key is unbound below the base.
func (b *Batcher) Drop(key Key) {
	for i, binding := range b.queue {
		if Key(binding.GetKey()) == key {
			b.queue = slices.Delete(b.queue, i, i+1)
			b.untrack(binding.KeyBinding)
			return
		}
	}
}

// Clear drops all queued bindings.
func (b *Batcher) Clear() {
	for _, binding := range b.queue {
		b.untrack(binding.KeyBinding)
	}
	b.queue = nil
}

// untrack removes a binding from the pending keys and from the quotas.
func (b *Batcher) untrack(binding *api.KeyBinding) {
	delete(b.pending, Key(binding.GetKey()))
	b.quotas.adjust(CustomerOfTicket(binding.GetTicket()), -1)
}

// BeginAppend begins an append and returns its bindings, of which there may be none if
// allowEmpty is set. If no append can begin, it returns false and how long to wait before the
// next call; 0 means until the state of the batcher changes.
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
		// With an empty queue all customers start equal again, and the tags of customers
		// that left are dropped.
		b.virtualTime = 0
		clear(b.nextStart)
	}
	b.inFlight = batch
	b.appending, b.hasAppended, b.lastAppend = true, true, now
	return batch, 0, true
}

// EndAppend ends the append and returns its keys. After a failure the record may be in the
// stream or not; a retry of the request appends another one, and the first of them is valid.
func (b *Batcher) EndAppend() []Key {
	keys := make([]Key, 0, len(b.inFlight))
	for _, binding := range b.inFlight {
		keys = append(keys, Key(binding.GetKey()))
		b.untrack(binding)
	}
	b.appending, b.inFlight = false, nil
	return keys
}

// EncodeRecord encodes the record of a batch. base is Next of the fold in which all keys of
// the batch are unbound.
func EncodeRecord(batch []*api.KeyBinding, base, released, wallMs int64) ([]byte, error) {
	return proto.Marshal(&api.KeyRecord{Bindings: batch, Base: base, Released: released, AtMs: wallMs})
}
