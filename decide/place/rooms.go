package place

import "time"

// ServerSlots counts the slots of one backend server, as this entry sees them.
type ServerSlots struct {
	VM string
	// Limit is the number of requests that it may have, Free how many more it can take; both are 0
	// for a server that gets no requests now.
	Limit, Free int
}

// SlotsByServer returns the slots of each backend server for an offer; their sums are those that
// Slots returns.
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
