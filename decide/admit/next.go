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
	for _, key := range a.names {
		o := a.offers[key]
		out = a.dismiss(o, out)
		out = a.expire(now, o, out)
		out = a.release(now, o, out)
	}
	return out
}

func (a *Admitter) expire(now time.Duration, o *offer, out []Release) []Release {
	work := o.workTime(a.cfg.Work)
	for o.expiry.Len() > 0 {
		r := o.expiry.Top()
		if r.deadline-a.need(o) >= now {
			break
		}
		o.take(r)
		after := o.expectedWait(r.customer, work)
		o.leave(r.customer)
		delete(a.here, r.id)
		out = append(out, Release{ID: r.id, Decision: a.refuse(api.ResultCode_DEADLINE_UNREACHABLE, after)})
	}
	return out
}

func (a *Admitter) release(now time.Duration, o *offer, out []Release) []Release {
	for _, c := range o.freed {
		for c.waiting.Len() > 0 && o.entitled(now, c) {
			out = append(out, o.release(now, c.waiting.Top()))
		}
	}
	o.freed = o.freed[:0]
	for o.running < o.slots && o.waiting > 0 {
		out = append(out, o.release(now, o.next()))
	}
	return out
}

// release starts one waiting request.
func (o *offer) release(now time.Duration, r *request) Release {
	entitled := o.entitled(now, r.customer)
	o.take(r)
	return Release{ID: r.id, Decision: o.start(now, r, entitled)}
}

// Wake is when Next must be called at the latest. It returns false when nothing
// waits.
func (a *Admitter) Wake(now time.Duration) (time.Duration, bool) {
	var wake time.Duration
	found := false
	for _, key := range a.names {
		o := a.offers[key]
		if o.waiting == 0 {
			continue
		}
		at := max(o.expiry.Top().deadline-a.need(o)+1, now)
		if o.running < o.slots {
			at = now
		}
		if !found || at < wake {
			wake, found = at, true
		}
	}
	return wake, found
}

// Postpone takes back a start for which no backend server was found: the request
// waits again, at its old place, until SetCapacity says that there is room. It
// returns false, and the request is forgotten, when it can't be met any more.
//
// Load: several entries that use the same free place by reports that are late.
// Harm prevented: a refusal of a request that only came a moment too early.
func (a *Admitter) Postpone(now time.Duration, id uint64) bool {
	r, ok := a.here[id]
	if !ok || !r.running {
		return false
	}
	o := r.offer
	o.count(r.customer, -1)
	r.running = false
	o.slots = min(o.slots, o.running)
	if r.guaranteed && o.presence == Here {
		o.cut(now, r.customer)
	}
	if r.deadline-a.need(o) < now {
		delete(a.here, id)
		o.leave(r.customer)
		return false
	}
	o.push(r)
	return true
}

// Part is the number of requests that one entry may have running, for
// SetCapacity: free and capacity are of all backend servers for the offer, as
// this entry sees them, and entries is the number of live entries.
//
// Load: callers keep to one entry for some time, so that a large customer's whole
// demand may come through one of many entries. Harm prevented: with a fixed part
// for each entry, that one refuses while the rest idle. An entry therefore takes
// of what is free, a part at each call, so that all entries together do not take
// the same free places many times over; and when nothing is free it gives back
// what it holds above the even part, so that customers of other entries get theirs.
func Part(running, free, capacity, entries int) int {
	entries = max(entries, 1)
	even := (capacity + entries - 1) / entries
	if free > 0 {
		return max(even, running+max(1, 2*free/entries))
	}
	return max(even, running-running/16)
}
