package keybind

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

// MaxHeld is the room for held bindings, which a Room divides between customers. Folds
// take all that the stream has, or they would differ; so it is exceeded by what is under
// way.
//
// Load: 109 new keys a second for a lifetime of 20 minutes, over all entries. Harm
// prevented: a customer's loop with a new key each time takes all entries' memory. At
// some 300 bytes a binding the bound is 40 MB.
const MaxHeld = 1 << 17

// maxBatch bounds the bindings of one record, so that records stay below some 50 KB.
const maxBatch = 256

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
	room     *Room
	patience time.Duration
	// waiting is in the order in which bindings go.
	waiting []queued
	// asked holds the keys that wait or are under way.
	asked map[Key]bool
	under []*api.KeyBinding
	// turn is that of the newest binding that went; last is that of each customer's
	// newest one that waits or went in this turn.
	turn  float64
	last  map[Customer]float64
	busy  bool
	began time.Duration
	any   bool
}

// queued is a binding that waits for its turn.
type queued struct {
	*api.KeyBinding
	turn float64
}

// ErrFull says that too many bindings wait.
var ErrFull = errors.New("too many keys wait to be bound")

// ErrBeyondShare says that too many bindings of the customer wait.
var ErrBeyondShare = errors.New("too many keys of the customer wait to be bound")

// ErrOverdue says that a request arrived too long ago to be bound.
var ErrOverdue = errors.New("the request waited too long for its key to be bound")

// NewBatcher returns a batcher that lets so many bindings wait. patience must be less
// than the time that bindings are held by the time that callers are told.
func NewBatcher(limit int, patience time.Duration) *Batcher {
	return &Batcher{room: NewRoom(limit), patience: patience, asked: make(map[Key]bool), last: make(map[Customer]float64)}
}

// Room counts the bindings that wait or are under way.
func (b *Batcher) Room() *Room { return b.room }

// Add takes a binding to append for a request that arrived at a time, unless one of the
// same key is on its way. Add it only when the key is unbound in the fold, and Drop it
// when that changes. A request that waited past the patience, such as in a process that
// was paused, is ErrOverdue: it may be a retry sent while its key was bound, and the key
// was let go of meanwhile, so that it would run a second time.
func (b *Batcher) Add(now, arrived time.Duration, key Key, request Request, ticket *api.Ticket) error {
	switch {
	case now-arrived >= b.patience:
		return ErrOverdue
	case b.asked[key]:
		return nil
	}
	customer := CustomerOf(ticket)
	switch verdict, _ := b.room.Ask(customer, 0); verdict {
	case BeyondShare:
		return ErrBeyondShare
	case Full:
		return ErrFull
	case Free:
	}
	b.asked[key] = true
	b.room.count(customer, 1)
	b.queue(customer, &api.KeyBinding{Key: key[:], Request: request[:], Ticket: ticket})
	return nil
}

// queue puts a binding in its place: a customer's next turn is by its weight later than
// its last one, and never before the one that is being served.
func (b *Batcher) queue(c Customer, binding *api.KeyBinding) {
	turn := max(b.turn, b.last[c])
	b.last[c] = turn + 1/b.room.weight(c)
	i := len(b.waiting)
	for i > 0 && b.waiting[i-1].turn > turn {
		i--
	}
	b.waiting = slices.Insert(b.waiting, i, queued{binding, turn})
}

// Asked says whether a binding of the key waits or is under way.
func (b *Batcher) Asked(key Key) bool { return b.asked[key] }

// Waiting is the number of bindings that wait.
func (b *Batcher) Waiting() int { return len(b.waiting) }

// Drop takes a key's binding back that has not gone yet, since the key was bound
// meanwhile. Appended, it would say of its base that the key is unbound there.
func (b *Batcher) Drop(key Key) {
	for i, binding := range b.waiting {
		if Key(binding.GetKey()) == key {
			b.waiting = slices.Delete(b.waiting, i, i+1)
			b.forget(binding.KeyBinding)
			return
		}
	}
}

// Clear drops all bindings that have not gone yet.
func (b *Batcher) Clear() {
	for _, binding := range b.waiting {
		b.forget(binding.KeyBinding)
	}
	b.waiting = nil
}

// forget takes a binding out of what is counted.
func (b *Batcher) forget(binding *api.KeyBinding) {
	delete(b.asked, Key(binding.GetKey()))
	b.room.count(CustomerOf(binding.GetTicket()), -1)
}

// Take begins an append and returns its bindings; with beat also one of none. With
// false it says how long to wait before asking again, 0 for until something changes.
func (b *Batcher) Take(now, interval time.Duration, beat bool) ([]*api.KeyBinding, time.Duration, bool) {
	if b.busy || len(b.waiting) == 0 && !beat {
		return nil, 0, false
	}
	if left := b.began + interval - now; b.any && left > 0 {
		return nil, left, false
	}
	n := min(len(b.waiting), maxBatch)
	batch := make([]*api.KeyBinding, 0, n)
	for _, binding := range b.waiting[:n] {
		batch = append(batch, binding.KeyBinding)
		b.turn = binding.turn
	}
	b.waiting = slices.Delete(b.waiting, 0, n)
	if len(b.waiting) == 0 {
		// All who come now begin anew, and nothing is kept of customers who are gone.
		b.turn = 0
		clear(b.last)
	}
	b.under = batch
	b.busy, b.any, b.began = true, true, now
	return batch, 0, true
}

// Done ends the append and returns its keys. After a failure the record may stand in
// the stream or not; a later press of the key appends another, and the first one holds.
func (b *Batcher) Done() []Key {
	keys := make([]Key, 0, len(b.under))
	for _, binding := range b.under {
		keys = append(keys, Key(binding.GetKey()))
		b.forget(binding)
	}
	b.busy, b.under = false, nil
	return keys
}

// Record makes the record of a batch. base is Next of the fold in which all its keys are
// unbound.
func Record(batch []*api.KeyBinding, base, released, wallMs int64) ([]byte, error) {
	return proto.Marshal(&api.KeyRecord{Bindings: batch, Base: base, Released: released, AtMs: wallMs})
}
