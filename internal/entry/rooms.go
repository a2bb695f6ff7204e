package entry

import (
	"time"

	"github.com/apricothub/apricothub/decide/admit"
)

// vanishedKeep is how long an offer is waited for whose last backend server is gone: a
// link that broke stands again after a dial, 0.3 s after one that failed, and a report.
const vanishedKeep = 2 * time.Second

// rooms returns the room for each offer that any backend server makes, or has made a
// moment ago.
func (d *directory) rooms(now time.Duration, entries int) map[string]room {
	d.mu.Lock()
	defer d.mu.Unlock()
	rooms := make(map[string]room)
	for _, status := range d.status {
		for _, offer := range offers(status) {
			if _, done := rooms[offer]; done {
				continue
			}
			r := d.room(now, offer, entries)
			r.presence = d.presence(offer, r.capacity)
			rooms[offer] = r
		}
	}
	d.addVanished(now, rooms)
	return rooms
}

// addVanished adds the offers that none makes any more. The lock is held.
//
// Load: the only agent of an offer is killed, or all links to its agents break, and the
// requests that it had not begun go back to the gate. Harm prevented: they are held there
// until near their deadlines, though nobody is left who could run them; refused at once,
// none would live through a link that breaks and stands again.
func (d *directory) addVanished(now time.Duration, rooms map[string]room) {
	for offer := range rooms {
		d.made[offer] = now
	}
	for offer, last := range d.made {
		if _, made := rooms[offer]; made {
			continue
		}
		rooms[offer] = room{presence: admit.Pending}
		if now-last >= vanishedKeep && !d.expected(offer) {
			rooms[offer] = room{presence: admit.Unavailable}
			delete(d.made, offer)
		}
	}
}

// room is the room for one offer; the lock is held.
func (d *directory) room(now time.Duration, offer string, entries int) room {
	if !d.links.all() {
		return d.subsetRoom(now, offer, entries)
	}
	free, capacity := d.table.Slots(offer, now)
	return room{slots: admit.EntrySlots(d.flying[offer], free, capacity, entries), capacity: capacity}
}

// presence says whether any backend server for an offer may get work; the lock is held.
func (d *directory) presence(offer string, capacity int) admit.Availability {
	switch {
	case capacity > 0:
		return admit.Available
	case d.expected(offer):
		return admit.Pending
	}
	return admit.Unavailable
}

// subsetRoom is the room for an offer when this entry is linked to some agents only: its
// part of each by what the agent says of its entries. An agent that does not say counts
// with all live entries. The directory's lock is held.
func (d *directory) subsetRoom(now time.Duration, offer string, entries int) room {
	var rooms []admit.BackendCapacity
	whole := 1.0
	for _, r := range d.table.SlotsByServer(offer, now) {
		of := int(d.status[r.VM].GetEntries())
		if of == 0 {
			of = entries
		}
		whole = d.links.whole(r.VM)
		rooms = append(rooms, admit.BackendCapacity{Limit: r.Limit, Free: r.Free, Entries: of})
	}
	parts := admit.SubsetCapacity(d.flying[offer], rooms, whole)
	return room{slots: parts.Slots, capacity: parts.Total, entries: parts.Entries}
}
