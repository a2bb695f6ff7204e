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
	// Unconfirmed says that the base of the binding lies below the fold's floor: one that
	// came before it may have expired. Nothing may run by it, and nothing be said.
	Unconfirmed bool
}

// IsCurrent says whether the binding is so young that nobody can have let go of it, by the
// wall clock: less than limit, which must be less than the time that bindings are held
// by the patience of batchers, and margin, by which clocks may differ. An entry that lags
// may hold an older one while the key is bound anew and runs; its ticket is void, and
// "not run" would be said to a retry of the request that runs.
func (b Binding) IsCurrent(wallMs int64, maxAge, margin time.Duration) bool {
	age := wallMs - b.AtMs
	return age >= -margin.Milliseconds() && age < (maxAge-margin).Milliseconds()
}

// DecodeTicket returns the binding's ticket.
func (b Binding) DecodeTicket() (*api.Ticket, error) {
	t := &api.Ticket{}
	if err := proto.Unmarshal([]byte(b.Ticket), t); err != nil {
		return nil, errors.Wrap(err, "ticket of a binding")
	}
	return t, nil
}

// Fold is what the stream says up to an offset. Its zero value is not ready; see New.
type Fold struct {
	next int64
	// firstOffset is the oldest offset that this fold can speak of; what stood below had
	// expired when it began.
	firstOffset int64
	// firstAtMs is the wall time of the first record at or above the floor.
	firstAtMs int64
	// complete stays once it is found: the floor does not move, and a wall clock may.
	complete bool
	released int64
	bindings map[Key]Binding
	// bindOrder holds where keys were bound, oldest first.
	bindOrder []boundKey
	// quotas counts the bindings of each customer; ends are where they stand.
	quotas    *Quotas
	recordsOf map[Customer][]recordBindings
}

type boundKey struct {
	offset int64
	key    Key
}

// recordBindings says when some bindings of a customer run out, by their record.
type recordBindings struct {
	offset, atMs int64
	count        int
}

// NewFold returns the fold of an empty stream.
func NewFold() *Fold {
	f := &Fold{quotas: NewQuotas(MaxHeldBindings)}
	f.Restart(0)
	return f
}

// Quotas counts the bindings held. Nothing in a fold depends on it: a fold takes all that
// the stream has, whatever its room says, since folds that began at different offsets
// count differently, and one would hold a binding that another does not.
func (f *Fold) Quotas() *Quotas { return f.quotas }

// Restart empties the fold, to begin at the oldest offset kept when the next one has
// expired. It does not go on across the gap: a binding in it may have come before one
// that stands after it, and the key would run by both tickets.
func (f *Fold) Restart(first int64) {
	f.quotas.reset()
	*f = Fold{next: first, firstOffset: first, released: -1, bindings: make(map[Key]Binding), quotas: f.quotas, recordsOf: make(map[Customer][]recordBindings)}
}

// Next is the offset of the next record to apply, and the base of what is appended now.
func (f *Fold) Next() int64 { return f.next }

// Released is the newest offset whose bindings were let go.
func (f *Fold) Released() int64 { return f.released }

// Held is the number of bindings held.
func (f *Fold) Held() int { return len(f.bindings) }

// Lookup returns what a key is bound to.
func (f *Fold) Lookup(key Key) (Binding, bool) {
	b, ok := f.bindings[key]
	return b, ok
}

// IsComplete says whether the fold knows every binding that lives. It began at an offset
// above 0 when older records had expired; if the oldest record left is not older than a
// key's lifetime by the wall clock, then a binding that still lives may be among those
// gone, and the key would run a second time. margin is how far clocks may differ.
func (f *Fold) IsComplete(wallMs int64, lifetime, margin time.Duration) bool {
	if f.firstOffset == 0 || f.complete {
		return true
	}
	f.complete = f.firstAtMs > 0 && wallMs-f.firstAtMs >= (lifetime+margin).Milliseconds()
	return f.complete
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
	unconfirmed := Binding{Customer: CustomerOfTicket(b.GetTicket()), Offset: offset, AtMs: atMs, Unconfirmed: true}
	current, bound := f.bindings[key]
	if bound && current.Offset >= base {
		if current.Unconfirmed {
			// Either of the two may be the first.
			f.setBinding(key, unconfirmed)
		}
		return
	}
	if base < f.firstOffset {
		f.setBinding(key, unconfirmed)
		return
	}
	// Marshal fails for text that is not UTF-8 only, which Unmarshal has refused.
	ticket, _ := proto.Marshal(b.GetTicket())
	confirmed := unconfirmed
	confirmed.Request, confirmed.Ticket, confirmed.Unconfirmed = Request(b.GetRequest()), string(ticket), false
	f.setBinding(key, confirmed)
}

func (f *Fold) setBinding(key Key, b Binding) {
	if old, bound := f.bindings[key]; bound {
		f.quotas.adjust(old.Customer, -1)
	}
	f.quotas.adjust(b.Customer, 1)
	f.bindings[key] = b
	f.bindOrder = append(f.bindOrder, boundKey{offset: b.Offset, key: key})
	records := f.recordsOf[b.Customer]
	if n := len(records); n > 0 && records[n-1].offset == b.Offset {
		records[n-1].count++
		return
	}
	f.recordsOf[b.Customer] = append(records, recordBindings{offset: b.Offset, atMs: b.AtMs, count: 1})
}

// NthOldestOfCustomerAtMs is the wall time of the record that holds the n-th oldest binding of a
// customer, n from 1; that of the newest when there are fewer, and 0 without any.
func (f *Fold) NthOldestOfCustomerAtMs(c Customer, n int) int64 {
	atMs := int64(0)
	for _, r := range f.recordsOf[c] {
		atMs = r.atMs
		n -= r.count
		if n <= 0 {
			break
		}
	}
	return atMs
}

// NthOldestAtMs is the same for the n-th oldest binding of all customers.
func (f *Fold) NthOldestAtMs(n int) int64 {
	if len(f.bindOrder) == 0 {
		return 0
	}
	return f.bindings[f.bindOrder[min(max(n, 1), len(f.bindOrder))-1].key].AtMs
}

// dropRecordsOf forgets where a customer's bindings up to an offset stood.
func (f *Fold) dropRecordsOf(c Customer, through int64) {
	records := f.recordsOf[c]
	for len(records) > 0 && records[0].offset <= through {
		records = records[1:]
	}
	if len(records) == 0 {
		delete(f.recordsOf, c)
		return
	}
	f.recordsOf[c] = records
}

// release lets go of the bindings up to an offset.
func (f *Fold) release(through int64) {
	if through <= f.released {
		return
	}
	f.released = through
	n := 0
	for n < len(f.bindOrder) && f.bindOrder[n].offset <= through {
		f.releaseKey(f.bindOrder[n].key, through)
		n++
	}
	f.bindOrder = f.bindOrder[n:]
}

// releaseKey lets go of a key if it was bound at an offset or below.
func (f *Fold) releaseKey(key Key, through int64) {
	b, bound := f.bindings[key]
	if !bound {
		return
	}
	f.dropRecordsOf(b.Customer, through)
	if b.Offset <= through {
		f.quotas.adjust(b.Customer, -1)
		delete(f.bindings, key)
	}
}

// NewestKeys returns up to n keys, the newest first.
func (f *Fold) NewestKeys(n int) []Key {
	keys := make([]Key, 0, n)
	for i := len(f.bindOrder) - 1; i >= 0 && len(keys) < n; i-- {
		keys = append(keys, f.bindOrder[i].key)
	}
	return keys
}
