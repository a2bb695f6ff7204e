package keyed

import (
	"slices"
	"strings"
)

// maxDeleted is the number of deletions that a ChangeLog keeps.
const maxDeleted = 4096

// ChangeLog holds when the keys of a Table last changed what its users go by, so that another member can be
// sent those changes only. Many records of a log change nothing, such as the heartbeats of backend servers.
// It is not safe for concurrent use.
type ChangeLog struct {
	// changedAt holds the offset of the last change of each key, deleted keys included.
	changedAt map[string]int64
	deleted   map[string]bool
	// from is the offset from which on all changes are held; hasFrom means that there is one. end is the
	// offset after the last change.
	from, end int64
	hasFrom   bool
}

// NewChangeLog returns an empty ChangeLog.
func NewChangeLog() *ChangeLog {
	return &ChangeLog{changedAt: make(map[string]int64), deleted: make(map[string]bool)}
}

// Begin records that all changes from an offset on will be recorded. Only the first call counts.
func (l *ChangeLog) Begin(offset int64) {
	if !l.hasFrom {
		l.from, l.hasFrom = offset, true
	}
}

// End returns the offset after the last change; zero for none.
func (l *ChangeLog) End() int64 { return l.end }

// Record records a change.
func (l *ChangeLog) Record(c Change) {
	l.end = max(l.end, c.Offset+1)
	l.changedAt[c.Key] = c.Offset
	if !c.Deleted() {
		delete(l.deleted, c.Key)
		return
	}
	l.deleted[c.Key] = true
	if len(l.deleted) > maxDeleted {
		l.dropOldDeletions()
	}
}

// dropOldDeletions drops the older half of the deletions.
func (l *ChangeLog) dropOldDeletions() {
	var offsets []int64
	for key := range l.deleted {
		offsets = append(offsets, l.changedAt[key])
	}
	slices.Sort(offsets)
	l.from = max(l.from, offsets[len(offsets)/2]+1)
	for key := range l.deleted {
		if l.changedAt[key] < l.from {
			delete(l.deleted, key)
			delete(l.changedAt, key)
		}
	}
}

// Since returns the records of a table that have changed at or after an offset, deletions included, sorted by
// key; ok is false if the log does not reach back so far.
func (l *ChangeLog) Since(t *Table, offset int64) (records []Record, ok bool) {
	if !l.hasFrom || offset < l.from {
		return nil, false
	}
	for key, at := range l.changedAt {
		if at < offset {
			continue
		}
		if r, exists := t.Newest(key); exists {
			records = append(records, r)
		} else {
			records = append(records, Record{Key: key, Offset: at})
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return records, true
}
