// Package keyed follows the newest record of each key in a log.
//
// A follower reads a listing of all keys once, and the log from the listing's end on. When
// the log no longer keeps the offset that it would read next, it takes a new listing. A
// listing may be late, may come from another member, and its pages may be of different
// moments; what a Table holds never goes back all the same, since each key keeps its offset.
//
// A Table holds no clock, socket or goroutine, and is not safe for use by several
// goroutines at once.
package keyed

// Record is the newest record of a key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Change is one difference that a Table took in.
type Change struct {
	Key string
	// Value is nil when the key was dropped.
	Value  []byte
	Offset int64
}

// Dropped says that the key is gone.
func (c Change) Dropped() bool { return c.Value == nil }

// Table is what a follower knows of the keys.
type Table struct {
	next  int64
	known map[string]Record
	ready bool
}

// New returns a table that knows nothing.
func New() *Table { return &Table{known: make(map[string]Record)} }

// Ready says that a listing has been taken in: only then is a missing key known to be
// missing.
func (t *Table) Ready() bool { return t.ready }

// Next is the offset to read from.
func (t *Table) Next() int64 { return t.next }

// Apply takes in one record of the log. An empty value drops the key. It returns nil when
// the table knows of a newer record already.
//
// Load: reads that were answered late, or records that come both from the log and from
// another member. Harm prevented: an older configuration that replaces a newer one.
func (t *Table) Apply(r Record) *Change {
	if r.Offset < t.next {
		return nil
	}
	t.next = r.Offset + 1
	return t.set(r)
}

func (t *Table) set(r Record) *Change {
	old, held := t.known[r.Key]
	if held && old.Offset >= r.Offset {
		return nil
	}
	if len(r.Value) == 0 {
		if !held {
			return nil
		}
		delete(t.known, r.Key)
		return &Change{Key: r.Key, Offset: r.Offset}
	}
	t.known[r.Key] = r
	return &Change{Key: r.Key, Value: r.Value, Offset: r.Offset}
}

// Replace takes in a listing of all keys; end is the end of the log when the listing began.
// A listing older than what the table has read changes nothing.
//
// A key that the listing lacks was dropped before end, unless the table knows a record of
// it from end on.
func (t *Table) Replace(records []Record, end int64) []Change {
	if t.ready && end < t.next {
		return nil
	}
	t.ready = true
	var changes []Change
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
		if c := t.set(r); c != nil {
			changes = append(changes, *c)
		}
	}
	for key, r := range t.known {
		if !listed[key] && r.Offset < end {
			delete(t.known, key)
			changes = append(changes, Change{Key: key, Offset: end - 1})
		}
	}
	t.next = max(t.next, end)
	return changes
}

// Records returns the newest record of each key, in no order.
func (t *Table) Records() []Record {
	records := make([]Record, 0, len(t.known))
	for _, r := range t.known {
		records = append(records, r)
	}
	return records
}
