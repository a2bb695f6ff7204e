package admit

import (
	"time"

	"github.com/apricothub/apricothub/api"
)

// Availability says whether any backend server for an offer may get work.
type Availability int

// What is known of the backend servers for an offer.
const (
	// Available: one may get work, though it may be full.
	Available Availability = iota
	// Pending: none may, and one may at any moment: a link to it is being made, or it was
	// heard a moment ago and is silent or has not reported.
	Pending
	// Unavailable: none may, and none is on its way.
	Unavailable
)

// unavailableRetryAfter is when to come back when there is no backend server at all: about what a VM
// takes to be seen on the platform's list, and not so soon that callers only ask again.
const unavailableRetryAfter = time.Second

// SetAvailability sets what is known of the backend servers for an offer; Here without it.
// Call it before SetCapacity, and Next after both.
//
// Load: an entry linked to one agent of an offer, or to few of which all stop at once;
// hundreds of requests are refused there, and as many come, until the link to the next
// one stands, 0.1 to 1.5 s later. Harm prevented: they are refused for want of room that
// is about to be there. They wait, judged by the room measured last: in that time as many
// gather as would behind agents that are there, and no more, so that the new agent is not
// given a queue of which most is late. With None they are refused at once: nothing that
// they could wait for is known, and their callers may go elsewhere.
func (a *Admitter) SetAvailability(key string, p Availability) {
	a.offer(key).availability = p
}

// MarkPending says that a request which was let in has found no backend server that may get
// work, before the room was measured anew. Until the next SetPresence it counts as Coming.
func (a *Admitter) MarkPending(key string) {
	o := a.offer(key)
	o.availability = Pending
	o.slots = 0
}

// ExpectSlots sets the room that there will be once the backend servers on their way may get work,
// by what they are known to hold. Without it the room measured last stands for it.
//
// Load: an entry that has just started while all backend servers start again. Harm prevented:
// it knows of no room yet, judges all waits by one place, and refuses nearly all of what
// could be served a second later.
func (a *Admitter) ExpectSlots(key string, slots int) {
	o := a.offer(key)
	o.lastSlots = max(o.lastSlots, slots)
}

// expectedSlots is the room by which waits are expectedSlots. While a backend server is on its way it
// is the room measured last: by none at all the wait would have no end, and a deadline of
// a minute would be refused as out of reach. If none was ever known it is one place, as of
// an agent in cold start.
func (o *offer) expectedSlots() int {
	if o.availability == Pending {
		return max(o.slots, o.lastSlots, 1)
	}
	return o.slots
}

// refuseUnavailable refuses all that wait for an offer of which no backend server is left.
func (a *Admitter) refuseUnavailable(o *offer, out []Release) []Release {
	for o.availability == Unavailable && o.waiting > 0 {
		r := o.head()
		o.dequeue(r)
		o.removeIfIdle(r.customer)
		delete(a.requests, r.id)
		out = append(out, Release{ID: r.id, Decision: a.refuse(api.ResultCode_NO_BACKEND, unavailableRetryAfter)})
	}
	return out
}
