package loadtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/apricothub/apricothub/decide/admit"
	"github.com/apricothub/apricothub/decide/place"
	"github.com/apricothub/apricothub/decide/subset"
)

// serversByEntry returns the backend servers of each entry, by the entry's name.
func (s Setup) serversByEntry() map[string][]string {
	var entries, servers []subset.Node
	for i := range s.Entries {
		entries = append(entries, subset.Node{Name: entryName(i), Domain: Domains[i%len(Domains)]})
	}
	for _, b := range s.Backends {
		servers = append(servers, subset.Node{Name: b.VM, Domain: b.Domain})
	}
	return subset.Assign(entries, servers, s.SubsetSize)
}

func entryName(i int) string { return fmt.Sprintf("entry-%02d", i) }

// linkedBackends returns the backend servers that one entry is linked to.
func (s Setup) linkedBackends(i int) []Backend {
	if s.SubsetSize == 0 {
		return s.Backends
	}
	servers := s.serversByEntry()[entryName(i)]
	var linked []Backend
	for _, b := range s.Backends {
		if slices.Contains(servers, b.VM) {
			linked = append(linked, b)
		}
	}
	return linked
}

// countEntriesPerServer counts the entries of each backend server, as its agent reports them.
func (s Setup) countEntriesPerServer() map[string]int {
	count := make(map[string]int)
	for _, servers := range s.serversByEntry() {
		for _, vm := range servers {
			count[vm]++
		}
	}
	return count
}

// chooseEntry returns the entry that a caller stays with next.
func (r *Run) chooseEntry() *entry {
	if r.setup.FirstEntryFraction > 0 && r.rng.Float64() < r.setup.FirstEntryFraction {
		return r.entries[0]
	}
	return r.entries[r.rng.IntN(len(r.entries))]
}

// capacityShare returns the entry's share of the slots that it sees.
func (e *entry) capacityShare(now time.Duration) admit.EntryCapacity {
	table, ok := e.table.(*place.Table)
	if e.run.setup.SubsetSize == 0 || !ok {
		entries := len(e.run.entries)
		free, capacity := e.table.Slots(offerKey, now)
		return admit.EntryCapacity{Slots: admit.EntrySlots(e.running, free, capacity, entries), Total: capacity, Entries: entries}
	}
	if e.run.entriesPerServer == nil {
		e.run.entriesPerServer = e.run.setup.countEntriesPerServer()
	}
	var servers []admit.BackendCapacity
	for _, r := range table.SlotsByServer(offerKey, now) {
		servers = append(servers, admit.BackendCapacity{Limit: r.Limit, Free: r.Free, Entries: e.run.entriesPerServer[r.VM]})
	}
	return admit.SubsetCapacity(e.running, servers, float64(len(e.run.vms))/float64(e.run.setup.SubsetSize))
}
