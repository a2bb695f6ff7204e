package admit

import "time"

// overloadDetector tells a sustained overload from a burst.
//
// In a sustained overload a long queue raises no throughput: as many requests come in as go out,
// and each waits the whole length of the queue. After a burst the same queue drains, and the
// requests in it are answered.
//
// All customers of an entry are counted together: a customer's callers move between entries within
// seconds, and a count per customer would not follow them.
type overloadDetector struct {
	windowStart       time.Duration
	requests, refused int
	overloadScore     int
}

const (
	// overloadWindow is the length of a counting window, which sees some tens of requests at an
	// entry.
	overloadWindow = 2500 * time.Millisecond
	// overloadRefusalRatio is the fraction of refused requests above which a window counts as
	// overloaded. At a load slightly above capacity, such as while a failure domain is out, the
	// queue absorbs as many requests as would be refused otherwise.
	overloadRefusalRatio = 0.1
	// sustainedOverloadScore is the excess of overloaded windows over others that makes an overload
	// sustained. Four windows, 10 s, are longer than a burst, and longer than most callers of a
	// burst take to retry after the time that they were given: with 5 s, 219 of 346 such retries
	// were served, with 10 s nine in ten. maxOverloadScore limits the excess; it is higher, so that
	// a single window below the ratio by chance does not end a sustained overload.
	sustainedOverloadScore = 4
	maxOverloadScore       = 6
)

// rollWindow ends the current window if its time is over.
func (d *overloadDetector) rollWindow(now time.Duration) {
	if now-d.windowStart < overloadWindow {
		return
	}
	isOverloaded := float64(d.refused) > overloadRefusalRatio*float64(d.requests)
	switch {
	case now-d.windowStart > 2*overloadWindow:
		d.overloadScore = 0
	case isOverloaded:
		d.overloadScore = min(d.overloadScore+1, maxOverloadScore)
	default:
		d.overloadScore = max(d.overloadScore-1, 0)
	}
	d.windowStart, d.requests, d.refused = now, 0, 0
}

// record counts the decision on one request.
func (d *overloadDetector) record(now time.Duration, refused bool) {
	d.rollWindow(now)
	d.requests++
	if refused {
		d.refused++
	}
}

// isSustained reports whether the overload has lasted longer than a burst.
func (d *overloadDetector) isSustained(now time.Duration) bool {
	d.rollWindow(now)
	return d.overloadScore >= sustainedOverloadScore
}

// withinShareRatio is the fraction of its full guarantee down to which a customer counts as within
// its share: a single refusal by an agent does not show that it uses its share through other
// entries.
const withinShareRatio = 0.6

// exceedsMaxWait reports whether a customer's request would wait too long to be queued. A customer
// within its share keeps the limit MaxWait during a sustained overload of others.
//
// In a sustained overload, agents often have no slot for a request started here, and it is queued
// again. The expected wait is then too short, since it counts slots that other entries use and
// treats each customer as the next to be served. The time for which the customer's first queued
// request has waited has no such error.
func (a *Admitter) exceedsMaxWait(now time.Duration, o *offer, c *customer, wait time.Duration) bool {
	isWithinShare := c.guaranteeRatio >= withinShareRatio && o.isGuaranteed(now, c)
	hasNoOverloadLimit := a.cfg.OverloadMaxWait == a.cfg.MaxWait
	if hasNoOverloadLimit || isWithinShare || !o.overload.isSustained(now) {
		return wait > a.cfg.MaxWait
	}
	if c.waiting.Len() > 0 {
		wait = max(wait, now-c.waiting.Top().arrived)
	}
	return wait > a.cfg.OverloadMaxWait
}
