package keyed

import (
	"fmt"
	"slices"
	"testing"
)

// follower is a Table with the log of its changes, as a member keeps them.
type follower struct {
	table *Table
	log   *ChangeLog
}

func newFollower() *follower { return &follower{New(), NewChangeLog()} }

func (f *follower) replace(records []Record, end int64) {
	f.record(f.table.Replace(records, end))
	f.log.Begin(end)
}

func (f *follower) record(changes []Change) {
	for _, c := range changes {
		f.log.Record(c)
	}
}

func (f *follower) apply(r Record) {
	if c := f.table.Apply(r); c != nil {
		f.record([]Change{*c})
	}
}

func (f *follower) values() string {
	records := f.table.Records()
	var all []string
	for _, r := range records {
		all = append(all, r.Key+"="+string(r.Value))
	}
	slices.Sort(all)
	return fmt.Sprint(all)
}

// A member that is told changes only must come to the same records as one that reads the log, deletions
// included.
func TestChangesBringAnotherTableUpToDate(t *testing.T) {
	reader, other := newFollower(), newFollower()
	listing := []Record{{"a", []byte("1"), 3}, {"b", []byte("1"), 5}}
	reader.replace(listing, 6)
	other.replace(listing, 6)
	for _, r := range []Record{{"a", []byte("2"), 6}, {"c", []byte("1"), 7}, {"b", nil, 8}, {"c", []byte("2"), 9}} {
		reader.apply(r)
	}
	records, ok := reader.log.Since(reader.table, other.table.NextOffset())
	if !ok || len(records) != 3 {
		t.Fatalf("%d records, known %v, want the 3 keys that changed", len(records), ok)
	}
	other.record(other.table.Merge(records, reader.table.NextOffset()))
	if other.values() != reader.values() || other.table.NextOffset() != reader.table.NextOffset() {
		t.Errorf("the other has %s up to %d, want %s up to %d", other.values(), other.table.NextOffset(), reader.values(), reader.table.NextOffset())
	}
}

// An answer of another member arrives after this one has read on. It must not bring back what was deleted or
// an older value.
func TestALateAnswerChangesNothing(t *testing.T) {
	table := New()
	table.Replace([]Record{{"a", []byte("1"), 1}}, 2)
	late := []Record{{"a", []byte("2"), 2}, {"b", []byte("1"), 3}}
	for _, r := range append(late, Record{"a", []byte("3"), 4}, Record{"b", nil, 5}) {
		table.Apply(r)
	}
	if changes := table.Merge(late, 4); changes != nil {
		t.Errorf("changes %v", changes)
	}
	if changes := table.Merge(late, 9); len(changes) != 0 || len(table.Records()) != 1 {
		t.Errorf("changes %v, records %v", changes, table.Records())
	}
}

// A log that does not reach back to an offset must say so, or a key that was deleted before would stay with
// the other member for good.
func TestSinceSaysIfChangesAreMissing(t *testing.T) {
	f := newFollower()
	if _, ok := f.log.Since(f.table, 0); ok {
		t.Error("an empty log claims to be complete")
	}
	f.replace([]Record{{"a", []byte("1"), 1}}, 10)
	if _, ok := f.log.Since(f.table, 9); ok {
		t.Error("the log claims to know changes before its listing")
	}
	offset := int64(10)
	for i := range maxDeleted + 2 {
		f.apply(Record{fmt.Sprint("k", i), []byte("1"), offset})
		f.apply(Record{fmt.Sprint("k", i), nil, offset + 1})
		offset += 2
	}
	if _, ok := f.log.Since(f.table, 10); ok {
		t.Error("the log claims to know deletions that it has dropped")
	}
	if records, ok := f.log.Since(f.table, offset-20); !ok || len(records) == 0 {
		t.Errorf("%d records of the latest changes, known %v", len(records), ok)
	}
	if len(f.log.deleted) > maxDeleted {
		t.Errorf("%d deletions are kept", len(f.log.deleted))
	}
}
