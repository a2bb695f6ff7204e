package cold

import (
	"math"
	"time"
)

// Prompts vary in size, and a long one is slow on a warm backend server too. The variation seen
// while warm tells how much of it is usual.
const (
	// varianceWeight is the number of latencies over which variance and slow ratio are averaged.
	varianceWeight = 64
	// overdueSigmas is the number of standard deviations that all but one in a hundred waits for a
	// first token stay below.
	overdueSigmas = 2.3
	// maxOverdueFactor limits that wait, as a ratio to the warm latency: a backend server in cold
	// start is about 5 times slower.
	maxOverdueFactor = 6
	// maxFalsePositiveRate is the probability with which a run of slow requests on a warm backend
	// server may count as cold. Once in a million requests is less than daily at 8 requests per
	// second.
	maxFalsePositiveRate = 1e-6
)

// overdueAfter is the wait for a first token above which a request is overdue.
//
// With a mix of short and long prompts, a fixed factor would reset a warm backend server to its
// cold limit whenever a few long prompts arrive together.
func (l *Limiter) overdueAfter() time.Duration {
	factor := math.Exp(overdueSigmas * math.Sqrt(l.logVariance))
	factor = min(max(factor, l.cfg.OverdueFactor), max(maxOverdueFactor, l.cfg.OverdueFactor))
	return time.Duration(factor * l.referenceLatency())
}

// updateLogVariance adds one latency of a warm backend server to the variance.
func (l *Limiter) updateLogVariance(latency time.Duration) {
	ratio := float64(max(latency, 1)) / float64(l.warmLatency)
	deviation := math.Log(min(ratio, maxOverdueFactor))
	l.logVariance += (deviation*deviation - l.logVariance) / varianceWeight
}

// requiredSlowRun is the number of consecutive slow requests that show a cold server: MinSlowRun,
// or more if runs of that length occur by chance among the prompt sizes seen while warm.
func (l *Limiter) requiredSlowRun(s coldSign) int {
	if s == signFailure || l.slowRatio <= 0 {
		return l.cfg.MinSlowRun
	}
	run := math.Log(maxFalsePositiveRate) / math.Log(min(l.slowRatio, 0.5))
	return max(l.cfg.MinSlowRun, int(math.Ceil(run)))
}

// endSlowRun ends a run of slow requests. Only ended runs count towards the usual ratio of slow
// requests; a run that ends in a reset was caused by a cold server.
func (l *Limiter) endSlowRun() {
	if l.limit >= l.cfg.FullLimit {
		for range l.consecutiveSlow {
			l.slowRatio += (1 - l.slowRatio) / varianceWeight
		}
		l.slowRatio -= l.slowRatio / varianceWeight
	}
	l.consecutiveSlow = 0
}
