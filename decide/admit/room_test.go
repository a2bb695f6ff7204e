package admit

import (
	"math/rand/v2"
	"testing"
)

// With all entries linked to all backend servers, SubsetCapacity must agree with EntrySlots, which
// knows no subsets.
func TestSubsetCapacityMatchesEntrySlots(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 10000 {
		entries, running := 1+rng.IntN(20), rng.IntN(200)
		var backends []BackendCapacity
		free, capacity := 0, 0
		for range 1 + rng.IntN(15) {
			backend := BackendCapacity{Limit: 1 + rng.IntN(64), Entries: entries}
			backend.Free = rng.IntN(backend.Limit + 1)
			free, capacity = free+backend.Free, capacity+backend.Limit
			backends = append(backends, backend)
		}
		want := EntryCapacity{Slots: EntrySlots(running, free, capacity, entries), Total: capacity, Entries: entries}
		if got := SubsetCapacity(running, backends, 1); got != want {
			t.Fatalf("%d running, %d entries, %+v: %+v, want %+v", running, entries, backends, got, want)
		}
	}
}

// The even parts of all entries of a backend server add up to its limit, and no entry gets zero
// slots while the server has capacity. An entry whose backend servers are all out gets none.
func TestEntryCapacitiesAddUp(t *testing.T) {
	for entries := 1; entries <= 8; entries++ {
		full := SubsetCapacity(0, []BackendCapacity{{Limit: 32, Entries: entries}}, 1)
		if sum := full.Slots * entries; sum < 32 || sum >= 32+entries {
			t.Errorf("%d entries have %d slots together, want 32 plus rounding", entries, sum)
		}
		some := SubsetCapacity(full.Slots, []BackendCapacity{{Limit: 32, Free: 1, Entries: entries}}, 1)
		if some.Slots != full.Slots+max(1, 2/entries) {
			t.Errorf("%d entries, one slot free: %d, had %d", entries, some.Slots, full.Slots)
		}
	}
	if got := SubsetCapacity(3, []BackendCapacity{{Entries: 2}}, 3); got != (EntryCapacity{}) {
		t.Errorf("no backend server up: %+v", got)
	}
	// Linked to a third of 12 backend servers, with 8 entries in all.
	third := []BackendCapacity{{Limit: 32, Entries: 3}, {Limit: 32, Entries: 2}, {Limit: 32, Entries: 3}, {Limit: 32, Entries: 3}}
	if got := SubsetCapacity(0, third, 3); got.Total != 12*32 || got.Entries != 8 {
		t.Errorf("a third linked: %+v, want a total of %d for 8 entries", got, 12*32)
	}
	// Two entries at one backend server, six at the other.
	if got, want := SubsetCapacity(0, []BackendCapacity{{Limit: 32, Entries: 2}, {Limit: 32, Entries: 6}}, 1).Slots, 22; got != want {
		t.Errorf("uneven: %d, want %d", got, want)
	}
}
