package entry

import (
	"time"

	"github.com/apricothub/apricothub/decide/admit"
)

// vanishedOfferGrace is how long an offer is waited for whose last backend server is gone: a
// link that broke stands again after a dial, 0.3 s after one that failed, and a report.
const vanishedOfferGrace = 2 * time.Second

// capacities returns the room for each offer that any backend server makes, or has made a
// moment ago.
func (d *directory) capacities(now time.Duration, entries int) map[string]offerCapacity {
	d.mu.Lock()
	defer d.mu.Unlock()
	capacities := make(map[string]offerCapacity)
	for _, status := range d.status {
		for _, offer := range offers(status) {
			if _, done := capacities[offer]; done {
				continue
			}
			c := d.capacity(now, offer, entries)
			c.availability = d.availability(offer, c.total)
			capacities[offer] = c
		}
	}
	d.addVanishedOffers(now, capacities)
	return capacities
}

// addVanishedOffers adds the offers that none makes any more. The lock is held.
//
// Load: the only agent of an offer is killed, or all links to its agents break, and the
// requests that it had not begun go back to the gate. Harm prevented: they are held there
// until near their deadlines, though nobody is left who could run them; refused at once,
// none would live through a link that breaks and stands again.
func (d *directory) addVanishedOffers(now time.Duration, capacities map[string]offerCapacity) {
	for offer := range capacities {
		d.lastOffered[offer] = now
	}
	for offer, lastOffered := range d.lastOffered {
		if _, offered := capacities[offer]; offered {
			continue
		}
		capacities[offer] = offerCapacity{availability: admit.Pending}
		if now-lastOffered >= vanishedOfferGrace && !d.expectsOfferLocked(offer) {
			capacities[offer] = offerCapacity{availability: admit.Unavailable}
			delete(d.lastOffered, offer)
		}
	}
}

// capacity is the capacity for one offer; the lock is held.
func (d *directory) capacity(now time.Duration, offer string, entries int) offerCapacity {
	if !d.links.linksToAll() {
		return d.subsetCapacity(now, offer, entries)
	}
	free, capacity := d.table.Slots(offer, now)
	return offerCapacity{slots: admit.EntrySlots(d.inFlight[offer], free, capacity, entries), total: capacity}
}

// availability says whether any backend server for an offer may get work; the lock is held.
func (d *directory) availability(offer string, capacity int) admit.Availability {
	switch {
	case capacity > 0:
		return admit.Available
	case d.expectsOfferLocked(offer):
		return admit.Pending
	}
	return admit.Unavailable
}

// subsetCapacity is the room for an offer when this entry is linked to some agents only: its
// part of each by what the agent says of its entries. An agent that does not say counts
// with all live entries. The directory's lock is held.
func (d *directory) subsetCapacity(now time.Duration, offer string, entries int) offerCapacity {
	var backends []admit.BackendCapacity
	backendsPerLink := 1.0
	for _, server := range d.table.SlotsByServer(offer, now) {
		sharedBy := int(d.status[server.VM].GetEntries())
		if sharedBy == 0 {
			sharedBy = entries
		}
		backendsPerLink = d.links.agentsPerLink(server.VM)
		backends = append(backends, admit.BackendCapacity{Limit: server.Limit, Free: server.Free, Entries: sharedBy})
	}
	capacity := admit.SubsetCapacity(d.inFlight[offer], backends, backendsPerLink)
	return offerCapacity{slots: capacity.Slots, total: capacity.Total, entries: capacity.Entries}
}
