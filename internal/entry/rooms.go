package entry

import (
	"time"

	"github.com/apricothub/apricothub/decide/admit"
)

// vanishedOfferGrace is how long requests may wait for an offer after its last backend server is
// gone. It covers a link that broke: a dial, 0.3 s after one that failed, and a report.
const vanishedOfferGrace = 2 * time.Second

// capacities returns the capacity for each offer that a backend server has, or had within
// vanishedOfferGrace.
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

// addVanishedOffers adds the offers that no backend server has any more. The lock is held.
//
// When the only agent of an offer is killed or all links to its agents break, the requests that it
// had not begun are queued again. Without the limit they would wait until close to their deadlines
// although no server is left. Refused at once, they would fail whenever a link breaks and comes
// back.
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

// capacity returns the capacity for one offer; the lock is held.
func (d *directory) capacity(now time.Duration, offer string, entries int) offerCapacity {
	if !d.links.linksToAll() {
		return d.subsetCapacity(now, offer, entries)
	}
	free, capacity := d.table.Slots(offer, now)
	return offerCapacity{slots: admit.EntrySlots(d.inFlight[offer], free, capacity, entries), total: capacity}
}

// availability says whether any backend server for an offer can get work; the lock is held.
func (d *directory) availability(offer string, capacity int) admit.Availability {
	switch {
	case capacity > 0:
		return admit.Available
	case d.expectsOfferLocked(offer):
		return admit.Pending
	}
	return admit.Unavailable
}

// subsetCapacity returns the capacity for an offer when this entry has links to a subset of the
// agents. Its share of each agent follows from the number of entries that the agent reports, or
// from all live entries if the agent reports none. The directory's lock is held.
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
