package admit

import "math"

// BackendCapacity is the capacity of one backend server, as an entry knows it from reports.
type BackendCapacity struct {
	// Limit is the number of requests that the server may hold, and Free how many more it can take.
	Limit, Free int
	// Entries is the number of entries that send work to the server, including this one.
	Entries int
}

// EntryCapacity is the capacity that an entry may use on the backend servers that it is linked to.
type EntryCapacity struct {
	// Slots is the number of requests that the entry may have running, for SetCapacity.
	Slots int
	// Total is the number of requests that all backend servers for the offer can hold, including
	// those without a link to the entry, and Entries the number of entries that share them, for
	// SetTotalCapacity. Both are extrapolated from the linked servers.
	Total, Entries int
}

// SubsetCapacity is [EntrySlots] for an entry that is linked to a subset of the backend servers.
// The entry's part of each server depends on the number of entries linked to that server, whereas
// EntrySlots assumes that all entries are linked to all servers. In that case both give the same
// result.
//
// Each server counts with its own number of entries for two reasons. When 98 entries are linked to
// 4 of 62 backend servers each, half of the callers use one entry, and servers have unequal numbers
// of entries, an entry that takes all capacity of its linked servers as its own sends each of them
// several times what it can take, and the excess is refused and sent again. That makes twice the
// attempts at 100% load, and six times in a retry storm (docs/design/subsetting.md). An entry that
// divides this capacity by the number of all entries, 98, takes free slots one at a time, and can
// run little beyond its guarantees. The result only limits how many requests are tried; the agent
// enforces the exact limit of its backend server.
//
// A customer's guarantee is its share of all backend servers. backendsPerLink is the number of
// backend servers for each one that the entry is linked to, 1 with links to all. If Total counted
// the linked servers alone, a customer within its share whose callers use one entry would get part
// of its share, and be refused as beyond it.
func SubsetCapacity(running int, backends []BackendCapacity, backendsPerLink float64) EntryCapacity {
	var c EntryCapacity
	capacity, evenSlots, free := 0.0, 0.0, 0.0
	for _, b := range backends {
		entries := float64(max(b.Entries, 1))
		capacity += float64(b.Limit)
		evenSlots += float64(b.Limit) / entries
		free += float64(b.Free) / entries
	}
	if capacity == 0 {
		return c
	}
	backendsPerLink = max(backendsPerLink, 1)
	c.Total = int(math.Round(capacity * backendsPerLink))
	c.Entries = max(int(math.Round(capacity/evenSlots*backendsPerLink)), 1)
	c.Slots = int(math.Ceil(evenSlots - roundingError))
	if free > 0 {
		c.Slots = max(c.Slots, running+max(1, int(2*free+roundingError)))
	} else {
		c.Slots = max(c.Slots, running-running/16)
	}
	return c
}

// roundingError is the floating-point error of summed parts, far below one request.
const roundingError = 1e-6
