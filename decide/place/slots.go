package place

import "time"

// ServerSlots is what one backend server can hold, as this entry sees it.
type ServerSlots struct {
	VM string
	// Limit is the number of requests that it may hold, Free how many more it can take;
	// both are 0 of one that gets no work now.
	Limit, Free int
}

// SlotsByServer returns the room of each backend server for an offer; their sums are those of
// Spare.
func (t *Table) SlotsByServer(key string, now time.Duration) []ServerSlots {
	t.endBackoffs(now)
	o, ok := t.offers[key]
	if !ok {
		return nil
	}
	var slots []ServerSlots
	for _, s := range t.servers {
		for _, m := range s.memberships {
			if m.offer == o {
				slots = append(slots, ServerSlots{VM: s.VM, Limit: s.contribution.limit, Free: s.contribution.free})
			}
		}
	}
	return slots
}
