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

// Deleted says that the key is gone.
func (c Change) Deleted() bool { return c.Value == nil }

// Table is what a follower knows of the keys.
type Table struct {
	nextOffset int64
	newest     map[string]Record
	hasListing bool
}

// New returns a table that knows nothing.
func New() *Table { return &Table{newest: make(map[string]Record)} }

// Ready says that a listing has been taken in: only then is a missing key known to be
// missing.
func (t *Table) Ready() bool { return t.hasListing }

// NextOffset is the offset to read from.
func (t *Table) NextOffset() int64 { return t.nextOffset }

// Apply takes in one record of the log. An empty value drops the key. It returns nil when
// the table knows of a newer record already.
//
// Load: reads that were answered late, or records that come both from the log and from
// another member. Harm prevented: an older configuration that replaces a newer one.
func (t *Table) Apply(r Record) *Change {
	if r.Offset < t.nextOffset {
		return nil
	}
	t.nextOffset = r.Offset + 1
	return t.setIfNewer(r)
}

func (t *Table) setIfNewer(r Record) *Change {
	old, exists := t.newest[r.Key]
	if exists && old.Offset >= r.Offset {
		return nil
	}
	if len(r.Value) == 0 {
		if !exists {
			return nil
		}
		delete(t.newest, r.Key)
		return &Change{Key: r.Key, Offset: r.Offset}
	}
	t.newest[r.Key] = r
	return &Change{Key: r.Key, Value: r.Value, Offset: r.Offset}
}

// Replace takes in a listing of all keys; end is the end of the log when the listing began.
// A listing older than what the table has read changes nothing.
//
// A key that the listing lacks was dropped before end, unless the table knows a record of
// it from end on.
func (t *Table) Replace(records []Record, logEnd int64) []Change {
	if t.hasListing && logEnd < t.nextOffset {
		return nil
	}
	t.hasListing = true
	var changes []Change
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
		if c := t.setIfNewer(r); c != nil {
			changes = append(changes, *c)
		}
	}
	for key, r := range t.newest {
		if !listed[key] && r.Offset < logEnd {
			delete(t.newest, key)
			changes = append(changes, Change{Key: key, Offset: logEnd - 1})
		}
	}
	t.nextOffset = max(t.nextOffset, logEnd)
	return changes
}

// Records returns the newest record of each key, in no order.
func (t *Table) Records() []Record {
	records := make([]Record, 0, len(t.newest))
	for _, r := range t.newest {
		records = append(records, r)
	}
	return records
}
