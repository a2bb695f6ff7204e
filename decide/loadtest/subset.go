package loadtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/apricothub/apricothub/decide/admit"
	"github.com/apricothub/apricothub/decide/place"
	"github.com/apricothub/apricothub/decide/subset"
)

// subsets returns the backend servers of each entry, by the entry's name.
func (s Setup) subsets() map[string][]string {
	var entries, servers []subset.Node
	for i := range s.Entries {
		entries = append(entries, subset.Node{Name: entryName(i), Domain: Domains[i%len(Domains)]})
	}
	for _, b := range s.Backends {
		servers = append(servers, subset.Node{Name: b.VM, Domain: b.Domain})
	}
	return subset.Assign(entries, servers, s.Subset)
}

func entryName(i int) string { return fmt.Sprintf("entry-%02d", i) }

// linked returns the backend servers that one entry is linked to.
func (s Setup) linked(i int) []Backend {
	if s.Subset == 0 {
		return s.Backends
	}
	own := s.subsets()[entryName(i)]
	var linked []Backend
	for _, b := range s.Backends {
		if slices.Contains(own, b.VM) {
			linked = append(linked, b)
		}
	}
	return linked
}

// entriesOf counts the entries of each backend server, as its agent reports them.
func (s Setup) entriesOf() map[string]int {
	count := make(map[string]int)
	for _, servers := range s.subsets() {
		for _, vm := range servers {
			count[vm]++
		}
	}
	return count
}

// anEntry is the entry that a caller keeps to next.
func (r *Run) anEntry() *entry {
	if r.setup.Favoured > 0 && r.rng.Float64() < r.setup.Favoured {
		return r.entries[0]
	}
	return r.entries[r.rng.IntN(len(r.entries))]
}

// parts is what the entry may do with the room that it sees.
func (e *entry) parts(now time.Duration) admit.Parts {
	table, ok := e.table.(*place.Table)
	if e.run.setup.Subset == 0 || !ok {
		entries := len(e.run.entries)
		free, capacity := e.table.Slots(offerKey, now)
		return admit.Parts{Slots: admit.Part(e.running, free, capacity, entries), Total: capacity, Entries: entries}
	}
	if e.run.entriesOf == nil {
		e.run.entriesOf = e.run.setup.entriesOf()
	}
	var rooms []admit.Room
	for _, r := range table.SlotsByServer(offerKey, now) {
		rooms = append(rooms, admit.Room{Limit: r.Limit, Free: r.Free, Entries: e.run.entriesOf[r.VM]})
	}
	return admit.PartOf(e.running, rooms, float64(len(e.run.vms))/float64(e.run.setup.Subset))
}
