package admit

import (
	"time"

	"github.com/apricothub/apricothub/api"
)

// refuseUntilFree refuses a request of a customer with the time at which one like it is
// expected to be taken: no sooner than after, and one turn later than the last
// request that was told to come back.
//
// Load: a burst of which most is refused in the same moment. Harm prevented: all
// are told the same time, come back together and are refused again. At the pace at
// which the customer's requests start, each finds the place that it was told of.
func (a *Admitter) refuseUntilFree(now time.Duration, o *offer, c *customer, code api.ResultCode, after time.Duration) Decision {
	// What a customer holds beyond its share shrinks as others come back for theirs;
	// half of it is taken as lasting.
	concurrency := max(o.fairShare(c), float64(c.running)/2, minShare)
	interval := time.Duration(float64(o.workTimeOr(a.cfg.DefaultWorkTime)) / concurrency)
	retryAt := max(now+after, c.lastRetryAt+interval)
	c.lastRetryAt = min(retryAt, now+a.cfg.MaxRetryAfter)
	return a.refuse(code, retryAt-now)
}

func (a *Admitter) refuse(code api.ResultCode, after time.Duration) Decision {
	after = min(max(after, a.cfg.MinRetryAfter), a.cfg.MaxRetryAfter)
	return Decision{Action: Refuse, Code: code, RetryAfter: after}
}

// expectedConcurrency is how many of a customer's requests run at once when it wants more.
func (o *offer) expectedConcurrency(c *customer) float64 {
	return max(o.fairShare(c), float64(c.running), minShare)
}
