package admit

import (
	"time"

	"github.com/apricothub/apricothub/api"
)

// Availability says whether any backend server for an offer can get work.
type Availability int

// The states of the backend servers for an offer.
const (
	// Available means that at least one backend server can get work, though it may be full.
	Available Availability = iota
	// Pending means that none can, but one is expected at any moment: a link to it is being made,
	// or something was received from it a moment ago, but it is now silent or has not reported yet.
	Pending
	// Unavailable means that none can and none is expected.
	Unavailable
)

// unavailableRetryAfter is the retry-after time when no backend server is expected: about the time
// until a new VM appears on the platform's list, and long enough that callers do not only repeat
// their requests.
const unavailableRetryAfter = time.Second

// SetAvailability sets the state of the backend servers for an offer, which is Available by
// default. Call it before SetCapacity, and call Next after both.
//
// An entry may be linked to a single agent of an offer, or to a few that all stop at once. Hundreds
// of requests are refused there, and as many arrive, until a link to the next agent is established
// 0.1 to 1.5 s later. In the state Pending these requests wait instead of being refused for lack of
// slots. Their expected wait is computed from the last known slots, so that the queue grows no
// longer than it would with agents present and the new agent does not get a queue that is mostly
// late. In the state Unavailable all requests are refused at once, since their callers may go
// elsewhere.
func (a *Admitter) SetAvailability(key string, availability Availability) {
	a.offer(key).availability = availability
}

// MarkPending sets an offer to Pending and its slots to zero. It is called when an admitted request
// has found no backend server that can get work, and holds until the next SetAvailability.
func (a *Admitter) MarkPending(key string) {
	o := a.offer(key)
	o.availability = Pending
	o.slots = 0
}

// ExpectSlots raises the last known slots of an offer to the number that its pending backend
// servers are known to hold.
//
// An entry that has just started while all backend servers restart knows no slots yet. Without this
// number it computes all waits from one slot, and refuses nearly all requests that could be served
// a second later.
func (a *Admitter) ExpectSlots(key string, slots int) {
	o := a.offer(key)
	o.lastSlots = max(o.lastSlots, slots)
}

// expectedSlots is the number of slots from which waits are computed. While backend servers are
// pending it is the last known number: with zero slots the wait would be infinite, and even a
// deadline a minute away would be refused as unreachable. If no number is known it is one, as for
// an agent in cold start.
func (o *offer) expectedSlots() int {
	switch {
	case o.availability == Pending:
		return max(o.slots, o.lastSlots, 1)
	case o.urgency.isLimited():
		return o.urgency.places()
	}
	return o.slots
}

// refuseUnavailable refuses all waiting requests of an offer that has no backend server left.
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
