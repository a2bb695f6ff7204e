package admit

import (
	"time"

	"github.com/apricothub/apricothub/api"
)

// promise refuses a request of a customer with the time at which one like it is
// expected to be taken: no sooner than after, and one turn later than the last
// request that was told to come back.
//
// Load: a burst of which most is refused in the same moment. Harm prevented: all
// are told the same time, come back together and are refused again. At the pace at
// which the customer's requests start, each finds the place that it was told of.
func (a *Admitter) promise(now time.Duration, o *offer, c *customer, code api.ResultCode, after time.Duration) Decision {
	// What a customer holds beyond its share shrinks as others come back for theirs;
	// half of it is taken as lasting.
	pace := max(o.fair(c), float64(c.running)/2, leastShare)
	turn := time.Duration(float64(o.workTime(a.cfg.Work)) / pace)
	at := max(now+after, c.promised+turn)
	c.promised = min(at, now+a.cfg.MostRetry)
	return a.refuse(code, at-now)
}

func (a *Admitter) refuse(code api.ResultCode, after time.Duration) Decision {
	after = min(max(after, a.cfg.LeastRetry), a.cfg.MostRetry)
	return Decision{Action: Refuse, Code: code, RetryAfter: after}
}

// pace is how many of a customer's requests run at once when it wants more.
func (o *offer) pace(c *customer) float64 {
	return max(o.fair(c), float64(c.running), leastShare)
}
