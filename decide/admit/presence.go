package admit

import (
	"time"

	"github.com/apricothub/apricothub/api"
)

// Presence says whether any backend server for an offer may get work.
type Presence int

// What is known of the backend servers for an offer.
const (
	// Here: one may get work, though it may be full.
	Here Presence = iota
	// Coming: none may, and one may at any moment: a link to it is being made, or it was
	// heard a moment ago and is silent or has not reported.
	Coming
	// None: none may, and none is on its way.
	None
)

// noneRetry is when to come back when there is no backend server at all: about what a VM
// takes to be seen on the platform's list, and not so soon that callers only ask again.
const noneRetry = time.Second

// SetPresence sets what is known of the backend servers for an offer; Here without it.
// Call it before SetCapacity, and Next after both.
//
// Load: an entry linked to one agent of an offer, or to few of which all stop at once;
// hundreds of requests are refused there, and as many come, until the link to the next
// one stands, 0.1 to 1.5 s later. Harm prevented: they are refused for want of room that
// is about to be there. They wait, judged by the room measured last: in that time as many
// gather as would behind agents that are there, and no more, so that the new agent is not
// given a queue of which most is late. With None they are refused at once: nothing that
// they could wait for is known, and their callers may go elsewhere.
func (a *Admitter) SetPresence(key string, p Presence) {
	a.offer(key).presence = p
}

// Absent says that a request which was let in has found no backend server that may get
// work, before the room was measured anew. Until the next SetPresence it counts as Coming.
func (a *Admitter) Absent(key string) {
	o := a.offer(key)
	o.presence = Coming
	o.slots = 0
}

// Expect sets the room that there will be once the backend servers on their way may get work,
// by what they are known to hold. Without it the room measured last stands for it.
//
// Load: an entry that has just started while all backend servers start again. Harm prevented:
// it knows of no room yet, judges all waits by one place, and refuses nearly all of what
// could be served a second later.
func (a *Admitter) Expect(key string, slots int) {
	o := a.offer(key)
	o.measured = max(o.measured, slots)
}

// judged is the room by which waits are judged. While a backend server is on its way it
// is the room measured last: by none at all the wait would have no end, and a deadline of
// a minute would be refused as out of reach. If none was ever known it is one place, as of
// an agent in cold start.
func (o *offer) judged() int {
	if o.presence == Coming {
		return max(o.slots, o.measured, 1)
	}
	return o.slots
}

// dismiss refuses all that wait for an offer of which no backend server is left.
func (a *Admitter) dismiss(o *offer, out []Release) []Release {
	for o.presence == None && o.waiting > 0 {
		r := o.next()
		o.take(r)
		o.leave(r.customer)
		delete(a.here, r.id)
		out = append(out, Release{ID: r.id, Decision: a.refuse(api.ResultCode_NO_BACKEND, noneRetry)})
	}
	return out
}
