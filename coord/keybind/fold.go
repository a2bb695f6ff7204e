package keybind

import (
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

// ErrGap is returned for a record whose offset is not the next one.
var ErrGap = errors.New("the offset of the record is not the next one of the stream")

// Binding is the request and the ticket that a key is bound to.
type Binding struct {
	Request Request
	// Customer is the owner of the key.
	Customer Customer
	// Ticket is the encoded api.Ticket from the log.
	Ticket string
	// Offset is the offset of the binding's record, AtMs the wall time of its appender.
	Offset int64
	AtMs   int64
	// Unconfirmed is set if the base of the binding is below the first offset of the fold:
	// an earlier binding of the key may have expired from the stream. The ticket must not be
	// used, and the outcome of the request is unknown.
	Unconfirmed bool
}

// IsCurrent reports whether the binding is so young by the wall clock that no entry can have
// released it. maxAge must be less, by the maxWait of batchers, than the time that bindings
// are held; margin is how far clocks may differ. An entry that lags may hold an older binding
// while the key is bound anew and its request runs: the older ticket is void, and a retry of
// the running request would be told "not run".
func (b Binding) IsCurrent(wallMs int64, maxAge, margin time.Duration) bool {
	age := wallMs - b.AtMs
	return age >= -margin.Milliseconds() && age < (maxAge-margin).Milliseconds()
}

// DecodeTicket decodes the binding's ticket.
func (b Binding) DecodeTicket() (*api.Ticket, error) {
	t := &api.Ticket{}
	if err := proto.Unmarshal([]byte(b.Ticket), t); err != nil {
		return nil, errors.Wrap(err, "ticket of a binding")
	}
	return t, nil
}

// Fold holds the bindings of the stream up to an offset. Use NewFold to make one.
type Fold struct {
	next int64
	// firstOffset is the oldest offset that this fold has read; older records had expired when
	// it began.
	firstOffset int64
	// firstAtMs is the wall time of the first record at or after firstOffset.
	firstAtMs int64
	// complete stays set once it is true, because firstOffset is fixed but the wall clock may
	// be set back.
	complete bool
	released int64
	bindings map[Key]Binding
	// bindOrder lists the keys in the order in which they were bound, oldest first.
	bindOrder []boundKey
	// quotas counts the bindings of each customer; recordsOf lists the records that hold them.
	quotas    *Quotas
	recordsOf map[Customer][]recordBindings
}

type boundKey struct {
	offset int64
	key    Key
}

// recordBindings is the number of a customer's bindings in one record. They expire together.
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

// Quotas returns the quotas of the bindings held. A fold applies all records of the stream
// whatever the quotas allow: folds that began at different offsets count differently, and if
// they enforced quotas, one would hold a binding that another does not.
func (f *Fold) Quotas() *Quotas { return f.quotas }

// Restart empties the fold and begins at the oldest offset that the stream still has, for use
// when the next record has expired. A fold must not skip the gap and keep its bindings: the
// gap may hold an earlier binding of a key that is bound again after it, and the key would run
// under both tickets.
func (f *Fold) Restart(first int64) {
	f.quotas.reset()
	*f = Fold{next: first, firstOffset: first, released: -1, bindings: make(map[Key]Binding), quotas: f.quotas, recordsOf: make(map[Customer][]recordBindings)}
}

// Next returns the offset of the next record to apply, which is the base of records that are
// appended now.
func (f *Fold) Next() int64 { return f.next }

// Released returns the newest offset whose bindings were released.
func (f *Fold) Released() int64 { return f.released }

// Held returns the number of bindings held.
func (f *Fold) Held() int { return len(f.bindings) }

// Lookup returns the binding of a key.
func (f *Fold) Lookup(key Key) (Binding, bool) {
	b, ok := f.bindings[key]
	return b, ok
}

// IsComplete reports whether the fold holds every binding that has not been released. A fold
// begins at an offset above 0 if older records have expired. If the oldest record left is
// younger than a key's lifetime by the wall clock, the expired records may include a binding
// that is still valid, and its key would run a second time. margin is how far clocks may
// differ.
func (f *Fold) IsComplete(wallMs int64, lifetime, margin time.Duration) bool {
	if f.firstOffset == 0 || f.complete {
		return true
	}
	f.complete = f.firstAtMs > 0 && wallMs-f.firstAtMs >= (lifetime+margin).Milliseconds()
	return f.complete
}

// Apply applies the next record and returns the keys that it names. A record that cannot be
// decoded changes nothing, in this fold as in every other.
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

// bind adds a binding unless another binding of its key is at or after the base. Without
// this rule, two entries that bind one key at the same time would each send the request under
// its own ticket, and a push would be applied twice. A binding below the base is older than a
// lifetime: the appender had read it, and found its key released.
func (f *Fold) bind(offset, base int64, key Key, b *api.KeyBinding, atMs int64) {
	// If records at or after the base have been released since, the append was delayed for so
	// long that an earlier binding of its key may have come and gone. Its own ticket may still
	// be valid, and the key would run a second time.
	if base <= f.released {
		return
	}
	unconfirmed := Binding{Customer: CustomerOfTicket(b.GetTicket()), Offset: offset, AtMs: atMs, Unconfirmed: true}
	current, bound := f.bindings[key]
	if bound && current.Offset >= base {
		if current.Unconfirmed {
			// Either of the two may be the first binding of the key.
			f.setBinding(key, unconfirmed)
		}
		return
	}
	if base < f.firstOffset {
		f.setBinding(key, unconfirmed)
		return
	}
	// Marshal fails only for strings that are not UTF-8, which Unmarshal has refused.
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

// NthOldestOfCustomerAtMs returns the wall time of the record that holds the n-th oldest
// binding of a customer, counted from 1. With fewer bindings it returns that of the newest,
// and without any 0.
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

// NthOldestAtMs returns the wall time of the record that holds the n-th oldest binding of all
// customers, counted from 1. With fewer bindings it returns that of the newest, and without
// any 0.
func (f *Fold) NthOldestAtMs(n int) int64 {
	if len(f.bindOrder) == 0 {
		return 0
	}
	return f.bindings[f.bindOrder[min(max(n, 1), len(f.bindOrder))-1].key].AtMs
}

// dropRecordsOf drops the records up to an offset from a customer's list.
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

// release releases the bindings up to an offset.
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

// releaseKey releases a key if it was bound at an offset up to through.
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

// NewestKeys returns up to n keys, most recently bound first.
func (f *Fold) NewestKeys(n int) []Key {
	keys := make([]Key, 0, n)
	for i := len(f.bindOrder) - 1; i >= 0 && len(keys) < n; i-- {
		keys = append(keys, f.bindOrder[i].key)
	}
	return keys
}
