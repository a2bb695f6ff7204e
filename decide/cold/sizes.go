package cold

import (
	"math"
	"time"
)

// Prompts come in many sizes, and a long one is slow on a warm backend server too.
// What is seen while warm says how much of that is usual.
const (
	// varianceWeight is the number of latencies over which their spread is averaged.
	varianceWeight = 64
	// overdueSigmas is the number of standard deviations past which a wait for a first
	// token is longer than that of all but one request in a hundred.
	overdueSigmas = 2.3
	// maxOverdueFactor bounds that wait, as a ratio to the usual latency: a backend server
	// in cold start is some 5 times slower.
	maxOverdueFactor = 6
	// maxFalsePositiveRate is how seldom a run of slow requests on a warm backend server may be
	// taken for cold: once in a million requests is less than daily at 8 a second.
	maxFalsePositiveRate = 1e-6
)

// overdueAfter is the wait for a first token past which a request counts as overdue.
//
// Load: a mix of short and long prompts. Harm prevented: a warm backend server at
// its cold limit whenever a few long prompts come together.
func (l *Limiter) overdueAfter() time.Duration {
	factor := math.Exp(overdueSigmas * math.Sqrt(l.logVariance))
	factor = min(max(factor, l.cfg.OverdueFactor), max(maxOverdueFactor, l.cfg.OverdueFactor))
	return time.Duration(factor * l.referenceLatency())
}

// updateLogVariance takes in one latency of a warm backend server.
func (l *Limiter) updateLogVariance(latency time.Duration) {
	ratio := float64(max(latency, 1)) / float64(l.warmLatency)
	deviation := math.Log(min(ratio, maxOverdueFactor))
	l.logVariance += (deviation*deviation - l.logVariance) / varianceWeight
}

// requiredSlowRun is the number of slow requests in a row that show cold: SlowRun, or more
// if so many come by chance among the sizes seen while warm.
func (l *Limiter) requiredSlowRun(s coldSign) int {
	if s == signFailure || l.slowRatio <= 0 {
		return l.cfg.MinSlowRun
	}
	run := math.Log(maxFalsePositiveRate) / math.Log(min(l.slowRatio, 0.5))
	return max(l.cfg.MinSlowRun, int(math.Ceil(run)))
}

// endSlowRun takes in that a request was not slow after so many that were. Only runs
// that have ended count towards the usual part of slow ones: one that ends in a fall
// was cold.
func (l *Limiter) endSlowRun() {
	if l.limit >= l.cfg.FullLimit {
		for range l.consecutiveSlow {
			l.slowRatio += (1 - l.slowRatio) / varianceWeight
		}
		l.slowRatio -= l.slowRatio / varianceWeight
	}
	l.consecutiveSlow = 0
}
