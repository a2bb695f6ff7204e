package admit

import "time"

// overloadDetector tells a lasting overload from a burst.
//
// Load: more than the backend servers can do, for a long time. Harm prevented: a queue
// that stands. It answers no request more, since what comes in is what goes out,
// and each of them waits the whole length of it. In a burst the same queue is drained
// when the burst is over, and what waited in it is answered.
//
// It is counted for all customers of an entry together: a customer's callers move between
// entries within seconds, and take what was counted for it alone with them.
type overloadDetector struct {
	windowStart       time.Duration
	requests, refused int
	score             int
}

const (
	// overloadWindow is the time over which refusals are counted: some tens of requests at
	// an entry.
	overloadWindow = 2500 * time.Millisecond
	// overloadRefusalRatio is the part of the requests refused past which a span counts as
	// overload. For a little more load than capacity a queue holds, for the time that a
	// failure domain is out, as many as would be refused otherwise.
	overloadRefusalRatio = 0.1
	// sustainedScore is how many more heavy spans than light ones make an overload lasting.
	// 10 s are longer than a burst, and than most of its callers take to come back when
	// they were told: with half the time 219 of 346 of these were served, now nine in ten.
	// mostSpans is how many are counted, so that a light one by chance does not end it.
	sustainedScore = 4
	maxScore       = 6
)

// rollWindow ends the span if its time is over.
func (p *overloadDetector) rollWindow(now time.Duration) {
	if now-p.windowStart < overloadWindow {
		return
	}
	isOverloaded := float64(p.refused) > overloadRefusalRatio*float64(p.requests)
	switch {
	case now-p.windowStart > 2*overloadWindow:
		p.score = 0
	case isOverloaded:
		p.score = min(p.score+1, maxScore)
	default:
		p.score = max(p.score-1, 0)
	}
	p.windowStart, p.requests, p.refused = now, 0, 0
}

// record takes in what was decided on one request.
func (p *overloadDetector) record(now time.Duration, refused bool) {
	p.rollWindow(now)
	p.requests++
	if refused {
		p.refused++
	}
}

// isSustained says that the overload is no burst.
func (p *overloadDetector) isSustained(now time.Duration) bool {
	p.rollWindow(now)
	return p.score >= sustainedScore
}

// withinShareRatio is the part of its guarantee down to which a customer counts as within its
// share: one refusal by an agent in a while is no sign that it uses its share elsewhere.
const withinShareRatio = 0.6

// exceedsMaxWait says whether a customer's request would wait longer than is worth it. One
// within its share keeps the long queue while another's overload lasts.
//
// In a lasting overload agents often have no place for what was started here, so that it
// waits again. What is expected counts places that others have taken, and each customer
// takes itself for the next; the wait of the customer's next request so far does not.
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
