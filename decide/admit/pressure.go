package admit

import "time"

// pressure tells a lasting overload from a burst.
//
// Load: more than the backend servers can do, for a long time. Harm prevented: a queue
// that stands. It answers no request more, since what comes in is what goes out,
// and each of them waits the whole length of it. In a burst the same queue is drained
// when the burst is over, and what waited in it is answered.
//
// It is counted for all customers of an entry together: a customer's callers move between
// entries within seconds, and take what was counted for it alone with them.
type pressure struct {
	since          time.Duration
	asked, refused int
	spans          int
}

const (
	// pressureSpan is the time over which refusals are counted: some tens of requests at
	// an entry.
	pressureSpan = 2500 * time.Millisecond
	// heavyPart is the part of the requests refused past which a span counts as
	// overload. For a little more load than capacity a queue holds, for the time that a
	// failure domain is out, as many as would be refused otherwise.
	heavyPart = 0.1
	// lastingSpans is how many more heavy spans than light ones make an overload lasting.
	// 10 s are longer than a burst, and than most of its callers take to come back when
	// they were told: with half the time 219 of 346 of these were served, now nine in ten.
	// mostSpans is how many are counted, so that a light one by chance does not end it.
	lastingSpans = 4
	mostSpans    = 6
)

// roll ends the span if its time is over.
func (p *pressure) roll(now time.Duration) {
	if now-p.since < pressureSpan {
		return
	}
	heavy := float64(p.refused) > heavyPart*float64(p.asked)
	switch {
	case now-p.since > 2*pressureSpan:
		p.spans = 0
	case heavy:
		p.spans = min(p.spans+1, mostSpans)
	default:
		p.spans = max(p.spans-1, 0)
	}
	p.since, p.asked, p.refused = now, 0, 0
}

// count takes in what was decided on one request.
func (p *pressure) count(now time.Duration, refused bool) {
	p.roll(now)
	p.asked++
	if refused {
		p.refused++
	}
}

// lasting says that the overload is no burst.
func (p *pressure) lasting(now time.Duration) bool {
	p.roll(now)
	return p.spans >= lastingSpans
}

// withinAllow is the part of its guarantee down to which a customer counts as within its
// share: one refusal by an agent in a while is no sign that it uses its share elsewhere.
const withinAllow = 0.6

// tooLong says whether a customer's request would wait longer than is worth it. One
// within its share keeps the long queue while another's overload lasts.
//
// In a lasting overload agents often have no place for what was started here, so that it
// waits again. What is expected counts places that others have taken, and each customer
// takes itself for the next; the wait of the customer's next request so far does not.
func (a *Admitter) tooLong(now time.Duration, o *offer, c *customer, wait time.Duration) bool {
	within := c.allow >= withinAllow && o.entitled(now, c)
	never := a.cfg.LastingWait == a.cfg.MaxWait
	if never || within || !o.pressure.lasting(now) {
		return wait > a.cfg.MaxWait
	}
	if c.waiting.Len() > 0 {
		wait = max(wait, now-c.waiting.Top().arrived)
	}
	return wait > a.cfg.LastingWait
}
