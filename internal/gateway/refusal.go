package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/platform"
)

// refuse answers with a result of this system.
func (g *Gateway) refuse(t *task, err *result.Error) {
	g.metrics.countResult(err.Code)
	if t.route != nil {
		g.metrics.countEnded(t.route.Kind.String(), t.team, t.rank, false)
	}
	g.logEnd(t, "A request was refused.", err.Code)
	h := t.out.w.Header()
	err.SetHeader(h)
	platform.SetRequestID(h, t.ID)
	if h.Get("Retry-After") != "" {
		// Callers accept fractions here, and have too little time left for whole seconds.
		h.Set("Retry-After", strconv.FormatFloat(g.retryAfter(t, err).Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Type", "application/json")
	t.out.w.WriteHeader(result.Lookup(err.Code).HTTP)
	_ = json.NewEncoder(t.out.w).Encode(result.Body{Error: err.Detail()})
}

const (
	// minRetryAfter and maxRetryAfter limit the time after which a caller is told to retry: slots
	// become free as requests end, within a second or two.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
	// maxRetryAfterRatio limits it to this fraction of the time left, since the caller must still
	// get its answer after that.
	maxRetryAfterRatio = 0.25
)

// retryAfter returns when a refused caller should retry.
//
// Many callers may be refused at the same moment, as when a group of engines breaks. If all were
// told the same time, they would return at the same moment and be refused again. So each is told a
// random time within the span in which slots become free.
func (g *Gateway) retryAfter(t *task, err *result.Error) time.Duration {
	least, longest := minRetryAfter, maxRetryAfter
	if err.RetryAfter > 0 {
		longest = err.RetryAfter
	}
	if err.Code == api.ResultCode_PROMPT_QUARANTINED && err.NotBefore > 0 {
		// A repeat before that would be refused as well, also where the caller's deadline is earlier.
		return err.NotBefore + rand.N(maxRetryAfter)
	}
	if err.NotBefore > 0 {
		least, longest = err.NotBefore, err.NotBefore+maxRetryAfter
	}
	if t.callerDeadline > 0 {
		longest = min(longest, time.Duration(maxRetryAfterRatio*float64(timeLeft(t.callerDeadline, clock.Now()))))
	}
	if longest <= least {
		return longest
	}
	return least + rand.N(longest-least)
}
