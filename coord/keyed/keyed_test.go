package keyed

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func record(offset int64, key, value string) Record {
	return Record{Key: key, Value: []byte(value), Offset: offset}
}

// A process reads the log, and another member then sends it an older listing. A caller whose key
// was revoked in between must not be admitted again.
func TestOldListingDoesNotRevertChanges(t *testing.T) {
	table := New()
	table.Replace([]Record{record(4, "config", "v1")}, 5)
	if c := table.Apply(record(5, "config", "v2")); c == nil || string(c.Value) != "v2" {
		t.Fatalf("v2 was not applied: %v", c)
	}
	if c := table.Replace([]Record{record(4, "config", "v1")}, 5); len(c) != 0 {
		t.Errorf("an older listing changed %v", c)
	}
	if c := table.Apply(record(4, "config", "v1")); c != nil {
		t.Errorf("an older record changed %v", c)
	}
}

// The log was truncated between two reads. The new listing lacks a key that was deleted in between,
// and holds one that was written while its pages were read.
func TestListingAfterTruncatedLog(t *testing.T) {
	table := New()
	table.Replace([]Record{record(0, "a", "1"), record(1, "b", "1")}, 2)
	changes := table.Replace([]Record{record(1, "b", "1"), record(9, "c", "1")}, 8)
	if len(changes) != 2 {
		t.Fatalf("changes %v", changes)
	}
	for _, c := range changes {
		if (c.Key == "a") != c.Deleted() {
			t.Errorf("change of %s: deleted %v", c.Key, c.Deleted())
		}
	}
	if table.NextOffset() != 8 {
		t.Errorf("next offset is %d, want 8", table.NextOffset())
	}
}

// Whatever mix of reads and listings of different ages a table processes, once it has read to the
// end it holds what the log holds, and no key ever goes back to an older record.
func TestTableFollowsTheLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []Record
		table := New()
		seen := map[string]int64{}
		checkOffset := func(key string, offset int64) {
			if offset < seen[key] {
				t.Fatalf("%s went back from %d to %d", key, seen[key], offset)
			}
			seen[key] = offset
		}
		list := func(end int) []Record {
			newest := map[string]Record{}
			for _, r := range log[:end] {
				newest[r.Key] = r
			}
			var records []Record
			for _, r := range newest {
				if len(r.Value) > 0 {
					records = append(records, r)
				}
			}
			return records
		}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))
				value := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "value")
				log = append(log, record(int64(len(log)), key, value))
			case 2:
				if next := int(table.NextOffset()); table.Ready() && next < len(log) {
					if c := table.Apply(log[next]); c != nil {
						checkOffset(c.Key, c.Offset)
					}
				}
			case 3:
				end := rapid.IntRange(0, len(log)).Draw(t, "end")
				for _, c := range table.Replace(list(end), int64(end)) {
					checkOffset(c.Key, c.Offset)
				}
			}
		}
		table.Replace(list(len(log)), int64(len(log)))
		want := list(len(log))
		if got := table.Records(); len(got) != len(want) {
			t.Fatalf("holds %v, the log %v", got, want)
		}
		for _, r := range want {
			if table.newest[r.Key].Offset != r.Offset {
				t.Errorf("%s at %d, the log has %d", r.Key, table.newest[r.Key].Offset, r.Offset)
			}
		}
	})
}
