package admit

import "math"

// BackendCapacity is what one backend server can hold, as an entry knows it from reports.
type BackendCapacity struct {
	// Limit is the number of requests that it may hold, Free how many more it can take.
	Limit, Free int
	// Entries is the number of entries that send it work, this one among them.
	Entries int
}

// EntryCapacity is what an entry may do with the room of the backend servers that it is linked
// to.
type EntryCapacity struct {
	// Slots is the number of requests that it may have running, for SetCapacity.
	Slots int
	// Total is what all backend servers for the offer can hold, those that the entry is
	// not linked to included, and Entries the number of entries that share them, for
	// SetTotal. Both are worked out from those that it is linked to.
	Total, Entries int
}

// SubsetCapacity is [EntrySlots] for an entry that is linked to some backend servers only: its part of
// each is by the number of entries of that one, where Part has all entries at all of them.
// With all entries at each backend server the two are the same.
//
// Load: entries linked to 4 of 62 backend servers each, one with half of the callers, and
// backend servers with more entries than others. Harm prevented: by its own links alone,
// as if nobody else had any, an entry sends each backend server several times what it has
// room for, to be refused there and sent again: twice the attempts at 100% load, six times
// in a storm of retries (docs/design/subsetting.md). By the count of all entries, 98, it
// takes what is free one place at a time, and is left with the guarantees.
// The part is only how many requests to try with. The limit of a backend server is kept
// by its agent, exactly.
//
// A customer's guarantee is its share of all backend servers, whole of which says how many
// there are for each that the entry is linked to; 1 with all linked. Of the linked ones
// alone, a customer within its share whose callers keep to one entry would be let through
// with a part of its share, and refused as beyond it.
func SubsetCapacity(running int, backends []BackendCapacity, backendsPerLink float64) EntryCapacity {
	var p EntryCapacity
	capacity, evenSlots, free := 0.0, 0.0, 0.0
	for _, r := range backends {
		entries := float64(max(r.Entries, 1))
		capacity += float64(r.Limit)
		evenSlots += float64(r.Limit) / entries
		free += float64(r.Free) / entries
	}
	if capacity == 0 {
		return p
	}
	backendsPerLink = max(backendsPerLink, 1)
	p.Total = int(math.Round(capacity * backendsPerLink))
	p.Entries = max(int(math.Round(capacity/evenSlots*backendsPerLink)), 1)
	p.Slots = int(math.Ceil(evenSlots - roundingError))
	if free > 0 {
		p.Slots = max(p.Slots, running+max(1, int(2*free+roundingError)))
	} else {
		p.Slots = max(p.Slots, running-running/16)
	}
	return p
}

// roundingError is the error of sums of parts, far below one request.
const roundingError = 1e-6
