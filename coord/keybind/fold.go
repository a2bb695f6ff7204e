package keybind

import (
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

// ErrGap says that a record is not the next one.
var ErrGap = errors.New("the record is not the next one of the stream")

// Binding is what a key is bound to.
type Binding struct {
	Request Request
	// Customer is whose key it is.
	Customer Customer
	// Ticket is an api.Ticket as it stands in the log.
	Ticket string
	// Offset is that of the binding's record, AtMs its appender's wall time.
	Offset int64
	AtMs   int64
	// Unsure says that the base of the binding lies below the fold's floor: one that
	// came before it may have expired. Nothing may run by it, and nothing be said.
	Unsure bool
}

// Current says whether the binding is so young that nobody can have let go of it, by the
// wall clock: less than limit, which must be less than the time that bindings are held
// by the patience of batchers, and margin, by which clocks may differ. An entry that lags
// may hold an older one while the key is bound anew and runs; its ticket is void, and
// "not run" would be said to a retry of the request that runs.
func (b Binding) Current(wallMs int64, limit, margin time.Duration) bool {
	age := wallMs - b.AtMs
	return age >= -margin.Milliseconds() && age < (limit-margin).Milliseconds()
}

// OpenTicket returns the binding's ticket.
func (b Binding) OpenTicket() (*api.Ticket, error) {
	t := &api.Ticket{}
	if err := proto.Unmarshal([]byte(b.Ticket), t); err != nil {
		return nil, errors.Wrap(err, "ticket of a binding")
	}
	return t, nil
}

// Fold is what the stream says up to an offset. Its zero value is not ready; see New.
type Fold struct {
	next int64
	// floor is the oldest offset that this fold can speak of; what stood below had
	// expired when it began.
	floor int64
	// firstAtMs is the wall time of the first record at or above the floor.
	firstAtMs int64
	// proven stays once it is found: the floor does not move, and a wall clock may.
	proven   bool
	released int64
	bindings map[Key]Binding
	// order holds where keys were bound, oldest first.
	order []place
	// room counts the bindings of each customer; ends are where they stand.
	room *Room
	ends map[Customer][]end
}

type place struct {
	offset int64
	key    Key
}

// end says when some bindings of a customer run out, by their record.
type end struct {
	offset, atMs int64
	n            int
}

// New returns the fold of an empty stream.
func New() *Fold {
	f := &Fold{room: NewRoom(MaxHeld)}
	f.Restart(0)
	return f
}

// Room counts the bindings held. Nothing in a fold depends on it: a fold takes all that
// the stream has, whatever its room says, since folds that began at different offsets
// count differently, and one would hold a binding that another does not.
func (f *Fold) Room() *Room { return f.room }

// Restart empties the fold, to begin at the oldest offset kept when the next one has
// expired. It does not go on across the gap: a binding in it may have come before one
// that stands after it, and the key would run by both tickets.
func (f *Fold) Restart(first int64) {
	f.room.empty()
	*f = Fold{next: first, floor: first, released: -1, bindings: make(map[Key]Binding), room: f.room, ends: make(map[Customer][]end)}
}

// Next is the offset of the next record to apply, and the base of what is appended now.
func (f *Fold) Next() int64 { return f.next }

// Released is the newest offset whose bindings were let go.
func (f *Fold) Released() int64 { return f.released }

// Held is the number of bindings held.
func (f *Fold) Held() int { return len(f.bindings) }

// Get returns what a key is bound to.
func (f *Fold) Get(key Key) (Binding, bool) {
	b, ok := f.bindings[key]
	return b, ok
}

// Proven says whether the fold knows every binding that lives. It began at an offset
// above 0 when older records had expired; if the oldest record left is not older than a
// key's lifetime by the wall clock, then a binding that still lives may be among those
// gone, and the key would run a second time. margin is how far clocks may differ.
func (f *Fold) Proven(wallMs int64, lifetime, margin time.Duration) bool {
	if f.floor == 0 || f.proven {
		return true
	}
	f.proven = f.firstAtMs > 0 && wallMs-f.firstAtMs >= (lifetime+margin).Milliseconds()
	return f.proven
}

// Apply takes the next record and returns the keys that it names. A record that cannot
// be read changes nothing, here as in every other fold.
func (f *Fold) Apply(offset int64, data []byte) ([]Key, error) {
	if offset != f.next {
		return nil, ErrGap
	}
	f.next++
	record := &api.KeyRecord{}
	if proto.Unmarshal(data, record) != nil {
		return nil, nil
	}
	if f.firstAtMs == 0 {
		f.firstAtMs = record.GetAtMs()
	}
	f.release(min(record.GetReleased(), offset-1))
	base := min(record.GetBase(), offset)
	keys := make([]Key, 0, len(record.GetBindings()))
	for _, b := range record.GetBindings() {
		if len(b.GetKey()) != digestSize || len(b.GetRequest()) != digestSize || b.GetTicket() == nil {
			continue
		}
		key := Key(b.GetKey())
		f.bind(offset, base, key, b, record.GetAtMs())
		keys = append(keys, key)
	}
	return keys, nil
}

// bind takes a binding unless another one of its key stands from the base on. Without
// that, two entries that bind one key at once would each send the request under a ticket
// of its own, and the push would stack. One below the base is older than a lifetime: the
// appender had read it, and found its key let go of.
func (f *Fold) bind(offset, base int64, key Key, b *api.KeyBinding, atMs int64) {
	// An append that was under way for so long that what it had not read is let go of may
	// come after a binding of its key that nobody holds any more, and its own ticket may
	// still run. The model found this.
	if base <= f.released {
		return
	}
	unsure := Binding{Customer: CustomerOf(b.GetTicket()), Offset: offset, AtMs: atMs, Unsure: true}
	held, taken := f.bindings[key]
	if taken && held.Offset >= base {
		if held.Unsure {
			// Either of the two may be the first.
			f.hold(key, unsure)
		}
		return
	}
	if base < f.floor {
		f.hold(key, unsure)
		return
	}
	// Marshal fails for text that is not UTF-8 only, which Unmarshal has refused.
	ticket, _ := proto.Marshal(b.GetTicket())
	sure := unsure
	sure.Request, sure.Ticket, sure.Unsure = Request(b.GetRequest()), string(ticket), false
	f.hold(key, sure)
}

func (f *Fold) hold(key Key, b Binding) {
	if old, taken := f.bindings[key]; taken {
		f.room.count(old.Customer, -1)
	}
	f.room.count(b.Customer, 1)
	f.bindings[key] = b
	f.order = append(f.order, place{offset: b.Offset, key: key})
	ends := f.ends[b.Customer]
	if n := len(ends); n > 0 && ends[n-1].offset == b.Offset {
		ends[n-1].n++
		return
	}
	f.ends[b.Customer] = append(ends, end{offset: b.Offset, atMs: b.AtMs, n: 1})
}

// OldestAtMs is the wall time of the record that holds the n-th oldest binding of a
// customer, n from 1; that of the newest when there are fewer, and 0 without any.
func (f *Fold) OldestAtMs(c Customer, n int) int64 {
	atMs := int64(0)
	for _, e := range f.ends[c] {
		atMs = e.atMs
		n -= e.n
		if n <= 0 {
			break
		}
	}
	return atMs
}

// FirstAtMs is the same for the n-th oldest binding of all customers.
func (f *Fold) FirstAtMs(n int) int64 {
	if len(f.order) == 0 {
		return 0
	}
	return f.bindings[f.order[min(max(n, 1), len(f.order))-1].key].AtMs
}

// dropEnds forgets where a customer's bindings up to an offset stood.
func (f *Fold) dropEnds(c Customer, through int64) {
	ends := f.ends[c]
	for len(ends) > 0 && ends[0].offset <= through {
		ends = ends[1:]
	}
	if len(ends) == 0 {
		delete(f.ends, c)
		return
	}
	f.ends[c] = ends
}

// release lets go of the bindings up to an offset.
func (f *Fold) release(through int64) {
	if through <= f.released {
		return
	}
	f.released = through
	n := 0
	for n < len(f.order) && f.order[n].offset <= through {
		f.letGo(f.order[n].key, through)
		n++
	}
	f.order = f.order[n:]
}

// letGo lets go of a key if it was bound at an offset or below.
func (f *Fold) letGo(key Key, through int64) {
	b, taken := f.bindings[key]
	if !taken {
		return
	}
	f.dropEnds(b.Customer, through)
	if b.Offset <= through {
		f.room.count(b.Customer, -1)
		delete(f.bindings, key)
	}
}

// Newest returns up to n keys, the newest first.
func (f *Fold) Newest(n int) []Key {
	keys := make([]Key, 0, n)
	for i := len(f.order) - 1; i >= 0 && len(keys) < n; i-- {
		keys = append(keys, f.order[i].key)
	}
	return keys
}
