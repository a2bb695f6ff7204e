package admit

import (
	"math"
	"time"

	"github.com/apricothub/apricothub/api"
)

// urgency is the state of an offer whose requests start in the order of their urgency.
type urgency struct {
	// ratios holds the fraction of each priority that may run; nil for no limits. A missing priority has
	// no limit.
	ratios map[int]float64
	// running and waiting count the requests by priority.
	running, waiting map[int]int
}

func newUrgency() urgency {
	return urgency{running: make(map[int]int), waiting: make(map[int]int)}
}

// isLimited reports whether starts are limited by priority.
func (u *urgency) isLimited() bool { return u.ratios != nil }

// SetRatios sets which fraction of an offer's requests of each priority may run, of those that run or
// wait; nil for no limits. A missing priority has no limit.
//
// Slots do not limit starts then, and guarantees do not apply: both go by customers alone. Requests start
// in this order: by priority; those that can still be on time before those that cannot; customers within
// their share before others; by deadline, so that a request that comes back after a refusal goes before
// new ones.
func (a *Admitter) SetRatios(key string, ratios map[int]float64) {
	a.offer(key).urgency.ratios = ratios
}

// Demand returns how many requests for an offer run or wait, by priority.
func (a *Admitter) Demand(key string) map[int]int {
	u := a.offer(key).urgency
	demand := make(map[int]int, len(u.running)+len(u.waiting))
	for _, counts := range []map[int]int{u.running, u.waiting} {
		for p, n := range counts {
			demand[p] += n
		}
	}
	return demand
}

func addCount(counts map[int]int, priority, delta int) {
	if counts[priority] += delta; counts[priority] == 0 {
		delete(counts, priority)
	}
}

// allowance returns how many requests of a priority may run, given how many more than now want to.
func (u *urgency) allowance(priority, more int) int {
	demand := u.running[priority] + u.waiting[priority] + more
	ratio, isLimited := u.ratios[priority]
	if !isLimited {
		return demand
	}
	return int(math.Ceil(ratio * float64(demand)))
}

// places returns how many requests of all priorities may run.
func (u *urgency) places() int {
	sum := 0
	for p := range u.running {
		sum += u.allowance(p, 0)
	}
	for p := range u.waiting {
		if u.running[p] == 0 {
			sum += u.allowance(p, 0)
		}
	}
	return sum
}

// mayStart reports whether one more request of a priority may run.
func (u *urgency) mayStart(priority, more int) bool {
	return u.running[priority] < u.allowance(priority, more)
}

// hasSlotFor reports whether a new request of a priority starts without waiting.
func (o *offer) hasSlotFor(priority int) bool {
	if o.running >= o.slots {
		return false
	}
	if !o.urgency.isLimited() {
		return o.waiting == 0
	}
	return o.urgency.waiting[priority] == 0 && o.urgency.mayStart(priority, 1)
}

// next returns the waiting request that starts next; nil if none may.
func (o *offer) next(now time.Duration) *request {
	if !o.urgency.isLimited() {
		return o.head()
	}
	var best *request
	for _, r := range o.expiry.All() {
		if o.urgency.mayStart(r.priority, 0) && (best == nil || o.goesBefore(now, r, best)) {
			best = r
		}
	}
	return best
}

// goesBefore reports whether request a starts before b while starts are limited.
func (o *offer) goesBefore(now time.Duration, a, b *request) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	if aLate, bLate := a.isLate(now), b.isLate(now); aLate != bLate {
		return bLate
	}
	if aOver, bOver := o.isOverShare(a.customer, a.priority), o.isOverShare(b.customer, b.priority); aOver != bOver {
		return bOver
	}
	return a.deadline < b.deadline
}

// isLate reports whether a request that starts now can no longer be on time.
func (r *request) isLate(now time.Duration) bool { return r.onTimeBy > 0 && now > r.onTimeBy }

// isOverShare reports whether a customer has more than its share of the slots with requests of at least
// the given priority. Its less urgent ones do not count against an urgent one.
func (o *offer) isOverShare(c *customer, priority int) bool {
	running := 0
	for p, n := range c.runningByPriority {
		if p >= priority {
			running += n
		}
	}
	return float64(running) > o.fairShare(c)
}

// limitedRefusal is refusal for an offer whose starts are limited.
func (a *Admitter) limitedRefusal(now time.Duration, o *offer, c *customer, r Request) (Decision, bool) {
	isOver := o.isOverShare(c, r.Priority)
	wait := o.limitedWait(r.Priority, isOver, o.workTimeOr(a.cfg.DefaultWorkTime))
	if lateBy := now + wait + a.requiredTime(o) - r.Deadline; lateBy > 0 {
		return a.refuseUntilFree(now, o, c, api.ResultCode_DEADLINE_UNREACHABLE, lateBy), true
	}
	maxWait := a.cfg.MaxWait
	if r.MaxWait > 0 {
		maxWait = r.MaxWait
	}
	if wait <= maxWait && o.waiting < a.cfg.MaxQueue {
		return Decision{}, false
	}
	code := api.ResultCode_SATURATED
	if isOver {
		code = api.ResultCode_OVER_SHARE
	}
	return a.refuseUntilFree(now, o, c, code, wait), true
}

// limitedWait is the expected time until one more request of a priority starts, of a customer over or
// within its share. The given time is that for which a request holds its slot: as many requests of the
// priority start as end.
func (o *offer) limitedWait(priority int, isOverShare bool, work time.Duration) time.Duration {
	ahead := 1
	for _, r := range o.expiry.All() {
		if r.priority == priority && (isOverShare || !o.isOverShare(r.customer, priority)) {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / float64(max(o.urgency.allowance(priority, 1), 1)) * float64(work))
}
