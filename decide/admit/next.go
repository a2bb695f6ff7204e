package admit

import (
	"time"

	"github.com/apricothub/apricothub/api"
)

// Next returns the waiting requests that start now, which count as running from then on, and those
// that are refused now. Call it after Done, Cancel and SetCapacity, and at the time that NextWake
// returns.
//
// A request that can't meet its deadline any more is refused when this becomes certain, not at its
// deadline: its work would be wasted, and its caller may still go elsewhere.
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
		r := o.next(now)
		if r == nil {
			break
		}
		out = append(out, o.release(now, r))
	}
	return out
}

// release starts one waiting request.
func (o *offer) release(now time.Duration, r *request) Release {
	guaranteed := o.isGuaranteed(now, r.customer)
	o.dequeue(r)
	return Release{ID: r.id, Decision: o.start(now, r, guaranteed)}
}

// NextWake returns the latest time for the next call of Next. It returns false when nothing waits.
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

// Requeue takes back the start of a request for which no backend server was found. The request
// returns to its place in the queue and waits until SetCapacity sets free slots. Requeue returns
// false, and forgets the request, if it can't meet its deadline any more.
//
// Several entries may use the same free slot while their reports are stale; the request that
// arrives second is queued again rather than refused.
func (a *Admitter) Requeue(now time.Duration, id uint64) bool {
	r, ok := a.requests[id]
	if !ok || !r.running {
		return false
	}
	o := r.offer
	o.addRunning(r, -1)
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

// EntrySlots returns the number of requests that one entry may have running, for SetCapacity. The
// arguments free and capacity are sums over all backend servers for the offer, as this entry sees
// them, and entries is the number of live entries.
//
// Callers stay at one entry for some time, so that a large customer's whole demand may come through
// one of many entries. With a fixed part per entry, this entry would refuse requests while the
// others idle. An entry therefore takes part of the free slots at each call, so that all entries
// together do not take the same free slots many times over. When none are free it gives back slots
// above its even part, for customers of other entries.
func EntrySlots(running, free, capacity, entries int) int {
	entries = max(entries, 1)
	evenSlots := (capacity + entries - 1) / entries
	if free > 0 {
		return max(evenSlots, running+max(1, 2*free/entries))
	}
	return max(evenSlots, running-running/16)
}
