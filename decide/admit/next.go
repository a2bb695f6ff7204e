package admit

import (
	"time"

	"github.com/apricothub/apricothub/api"
)

// Next returns the waiting requests that may start now, each of which counts as
// started, and those that are refused now. Call it after Done, Cancel and
// SetCapacity, and at the time that Wake says.
//
// Load: a full queue whose requests grow old. Harm prevented: work begun too
// late to be of use. A request that can't be met any more is refused at that
// moment, not at its deadline, so that its caller can still go elsewhere.
func (a *Admitter) Next(now time.Duration) []Release {
	var out []Release
	for _, key := range a.offerKeys {
		o := a.offers[key]
		out = a.refuseUnavailable(o, out)
		out = a.expire(now, o, out)
		out = a.release(now, o, out)
	}
	return out
}

func (a *Admitter) expire(now time.Duration, o *offer, out []Release) []Release {
	work := o.workTimeOr(a.cfg.DefaultWorkTime)
	for o.expiry.Len() > 0 {
		r := o.expiry.Top()
		if r.deadline-a.requiredTime(o) >= now {
			break
		}
		o.dequeue(r)
		after := o.expectedWait(r.customer, work)
		o.removeIfIdle(r.customer)
		delete(a.requests, r.id)
		out = append(out, Release{ID: r.id, Decision: a.refuse(api.ResultCode_DEADLINE_UNREACHABLE, after)})
	}
	return out
}

func (a *Admitter) release(now time.Duration, o *offer, out []Release) []Release {
	for _, c := range o.freedCustomers {
		for c.waiting.Len() > 0 && o.isGuaranteed(now, c) {
			out = append(out, o.release(now, c.waiting.Top()))
		}
	}
	o.freedCustomers = o.freedCustomers[:0]
	for o.running < o.slots && o.waiting > 0 {
		out = append(out, o.release(now, o.head()))
	}
	return out
}

// release starts one waiting request.
func (o *offer) release(now time.Duration, r *request) Release {
	entitled := o.isGuaranteed(now, r.customer)
	o.dequeue(r)
	return Release{ID: r.id, Decision: o.start(now, r, entitled)}
}

// NextWake is when Next must be called at the latest. It returns false when nothing
// waits.
func (a *Admitter) NextWake(now time.Duration) (time.Duration, bool) {
	var wake time.Duration
	found := false
	for _, key := range a.offerKeys {
		o := a.offers[key]
		if o.waiting == 0 {
			continue
		}
		wakeAt := max(o.expiry.Top().deadline-a.requiredTime(o)+1, now)
		if o.running < o.slots {
			wakeAt = now
		}
		if !found || wakeAt < wake {
			wake, found = wakeAt, true
		}
	}
	return wake, found
}

// Requeue takes back a start for which no backend server was found: the request
// waits again, at its old place, until SetCapacity says that there is room. It
// returns false, and the request is forgotten, when it can't be met any more.
//
// Load: several entries that use the same free place by reports that are late.
// Harm prevented: a refusal of a request that only came a moment too early.
func (a *Admitter) Requeue(now time.Duration, id uint64) bool {
	r, ok := a.requests[id]
	if !ok || !r.running {
		return false
	}
	o := r.offer
	o.addRunning(r.customer, -1)
	r.running = false
	o.slots = min(o.slots, o.running)
	if r.guaranteed && o.availability == Available {
		o.reduceGuarantee(now, r.customer)
	}
	if r.deadline-a.requiredTime(o) < now {
		delete(a.requests, id)
		o.removeIfIdle(r.customer)
		return false
	}
	o.enqueue(r)
	return true
}

// EntrySlots is the number of requests that one entry may have running, for
// SetCapacity: free and capacity are of all backend servers for the offer, as
// this entry sees them, and entries is the number of live entries.
//
// Load: callers keep to one entry for some time, so that a large customer's whole
// demand may come through one of many entries. Harm prevented: with a fixed part
// for each entry, that one refuses while the rest idle. An entry therefore takes
// of what is free, a part at each call, so that all entries together do not take
// the same free places many times over; and when nothing is free it gives back
// what it holds above the even part, so that customers of other entries get theirs.
func EntrySlots(running, free, capacity, entries int) int {
	entries = max(entries, 1)
	evenSlots := (capacity + entries - 1) / entries
	if free > 0 {
		return max(evenSlots, running+max(1, 2*free/entries))
	}
	return max(evenSlots, running-running/16)
}
