// Package keyed tracks the newest record of each key in a log.
//
// A follower reads a listing of all keys once, and the log from the listing's end on. When the log
// no longer has the offset that it would read next, it takes a new listing. A listing may arrive
// late, may come from another member, and its pages may be of different moments. A Table still
// never goes back to an older record, since it keeps the offset of each key.
//
// A Table has no clock, socket or goroutine, and is not safe for concurrent use.
package keyed

// Record is one record of a key in the log.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Change is one change to a Table.
type Change struct {
	Key string
	// Value is nil when the key was deleted.
	Value  []byte
	Offset int64
}

// Deleted reports whether the key was deleted.
func (c Change) Deleted() bool { return c.Value == nil }

// Table holds the newest known record of each key.
type Table struct {
	nextOffset int64
	newest     map[string]Record
	hasListing bool
}

// New returns an empty table.
func New() *Table { return &Table{newest: make(map[string]Record)} }

// Ready reports whether a listing was processed. Only then does a missing key mean that the log has
// none.
func (t *Table) Ready() bool { return t.hasListing }

// NextOffset returns the log offset to read next.
func (t *Table) NextOffset() int64 { return t.nextOffset }

// Apply processes one record of the log. An empty value deletes the key. It returns nil when the
// table already has a newer record; otherwise a late answer to a read, or a record received both
// from the log and from another member, could replace a newer configuration by an older one.
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

// Replace processes a listing of all keys; logEnd is the end of the log when the listing began. A
// listing older than what the table has read changes nothing.
//
// A key that the listing lacks was deleted before logEnd, unless the table has a record of it at or
// after logEnd.
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

// Merge processes all records that have changed since an offset, as another member holds them: those from
// the table's next offset on, up to end. A record without a value deletes its key.
func (t *Table) Merge(records []Record, end int64) []Change {
	if !t.hasListing || end < t.nextOffset {
		return nil
	}
	var changes []Change
	for _, r := range records {
		if r.Offset < t.nextOffset {
			continue
		}
		if c := t.setIfNewer(r); c != nil {
			changes = append(changes, *c)
		}
	}
	t.nextOffset = end
	return changes
}

// Newest returns the newest record of a key.
func (t *Table) Newest(key string) (Record, bool) {
	r, ok := t.newest[key]
	return r, ok
}

// Records returns the newest record of each key, in no particular order.
func (t *Table) Records() []Record {
	records := make([]Record, 0, len(t.newest))
	for _, r := range t.newest {
		records = append(records, r)
	}
	return records
}
