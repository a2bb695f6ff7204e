package place

import "time"

// Room is what one backend server can hold, as this entry sees it.
type Room struct {
	VM string
	// Limit is the number of requests that it may hold, Free how many more it can take;
	// both are 0 of one that gets no work now.
	Limit, Free int
}

// Rooms returns the room of each backend server for an offer; their sums are those of
// Spare.
func (t *Table) Rooms(key string, now time.Duration) []Room {
	t.reopen(now)
	o, ok := t.offers[key]
	if !ok {
		return nil
	}
	var rooms []Room
	for _, s := range t.servers {
		for _, place := range s.places {
			if place.offer == o {
				rooms = append(rooms, Room{VM: s.VM, Limit: s.counted.limit, Free: s.counted.free})
			}
		}
	}
	return rooms
}
