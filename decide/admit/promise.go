package admit

import (
	"time"

	"github.com/apricothub/apricothub/api"
)

// refuseUntilFree refuses a request with the retry-after time at which a similar one is expected to
// be accepted. That is no sooner than after, and one start interval later than the time given to
// the customer's previous refused request.
//
// Most of a burst is refused in the same moment. With equal retry-after times all callers would
// retry together and be refused again. Spaced by the interval at which the customer's requests
// start, each finds a free slot.
func (a *Admitter) refuseUntilFree(now time.Duration, o *offer, c *customer, code api.ResultCode, after time.Duration) Decision {
	// Slots beyond the customer's share are lost as other customers return; half of them are
	// assumed to remain.
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

// expectedConcurrency is the number of a customer's requests that run at once while it has more
// waiting.
func (o *offer) expectedConcurrency(c *customer) float64 {
	return max(o.fairShare(c), float64(c.running), minShare)
}
