package loadtest

import (
	"time"

	"github.com/apricothub/apricothub/decide/cold"
)

// firstVersionLimiter is the first version of package cold, kept as a baseline. It doubles the
// limit after twice as many completions at good latency as the limit, and judges each latency on
// its own.
type firstVersionLimiter struct {
	coldLimit, fullLimit                          int
	limit, running                                int
	averageLatency, averageWorkTime, lastProgress time.Duration
	consecutiveSlow, consecutiveGood              int
}

const (
	firstSlowFactor         = 3
	firstMaxConsecutiveSlow = 3
	firstGoodRounds         = 2
	firstStallTimeout       = 2 * time.Second
)

func newFirstVersionLimiter(c cold.Config) *firstVersionLimiter {
	return &firstVersionLimiter{coldLimit: c.ColdLimit, fullLimit: c.FullLimit, limit: c.ColdLimit}
}

func (f *firstVersionLimiter) TryStart(now time.Duration) bool {
	f.Tick(now)
	if f.running >= f.limit {
		return false
	}
	if f.running == 0 {
		f.lastProgress = now
	}
	f.running++
	return true
}

func (f *firstVersionLimiter) Observe(now, latency time.Duration) {
	f.lastProgress = now
	if f.averageLatency > 0 && latency > firstSlowFactor*f.averageLatency {
		f.recordSlow()
		return
	}
	f.averageLatency = movingAverage(f.averageLatency, latency)
	f.consecutiveSlow = 0
	f.consecutiveGood++
	if f.limit < f.fullLimit && f.consecutiveGood >= firstGoodRounds*f.limit {
		f.consecutiveGood = 0
		f.limit = min(2*f.limit, f.fullLimit)
	}
}

func (f *firstVersionLimiter) Done(now time.Duration, o cold.Outcome) {
	f.running--
	switch {
	case o.Cancelled:
	case o.Failed:
		f.recordSlow()
	default:
		f.lastProgress = now
		f.averageWorkTime = movingAverage(f.averageWorkTime, o.Took)
	}
}

func (f *firstVersionLimiter) Tick(now time.Duration) {
	if f.running > 0 && now-f.lastProgress > max(firstStallTimeout, 4*f.averageWorkTime) {
		f.AssumeCold()
		f.lastProgress = now
	}
}

// recordSlow counts a slow or failed request and returns to the cold limit after too many in a row.
func (f *firstVersionLimiter) recordSlow() {
	f.consecutiveGood = 0
	f.consecutiveSlow++
	if f.consecutiveSlow >= firstMaxConsecutiveSlow {
		f.AssumeCold()
	}
}

func (f *firstVersionLimiter) AssumeCold() {
	f.limit, f.consecutiveSlow, f.consecutiveGood = f.coldLimit, 0, 0
}
func (f *firstVersionLimiter) Limit() int              { return f.limit }
func (f *firstVersionLimiter) Running() int            { return f.running }
func (f *firstVersionLimiter) WorkTime() time.Duration { return f.averageWorkTime }

// movingAverage returns the average updated with a value; a zero average takes the value.
func movingAverage(average, value time.Duration) time.Duration {
	if average == 0 {
		return value
	}
	return average + (value-average)/8
}
