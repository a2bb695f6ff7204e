package cold

import (
	"math"
	"time"
)

// Prompts come in many sizes, and a long one is slow on a warm backend server too.
// What is seen while warm says how much of that is usual.
const (
	// spreadWeight is the number of latencies over which their spread is averaged.
	spreadWeight = 64
	// lateSigmas is the number of standard deviations past which a wait for a first
	// token is longer than that of all but one request in a hundred.
	lateSigmas = 2.3
	// mostLate bounds that wait, as a ratio to the usual latency: a backend server
	// in cold start is some 5 times slower.
	mostLate = 6
	// byChance is how seldom a run of slow requests on a warm backend server may be
	// taken for cold: once in a million requests is less than daily at 8 a second.
	byChance = 1e-6
)

// late is the wait for a first token past which a request counts as overdue.
//
// Load: a mix of short and long prompts. Harm prevented: a warm backend server at
// its cold limit whenever a few long prompts come together.
func (l *Limiter) late() time.Duration {
	factor := math.Exp(lateSigmas * math.Sqrt(l.spread))
	factor = min(max(factor, l.cfg.LateFactor), max(mostLate, l.cfg.LateFactor))
	return time.Duration(factor * l.reference())
}

// learnSpread takes in one latency of a warm backend server.
func (l *Limiter) learnSpread(latency time.Duration) {
	ratio := float64(max(latency, 1)) / float64(l.usual)
	off := math.Log(min(ratio, mostLate))
	l.spread += (off*off - l.spread) / spreadWeight
}

// runNeeded is the number of slow requests in a row that show cold: SlowRun, or more
// if so many come by chance among the sizes seen while warm.
func (l *Limiter) runNeeded(s sign) int {
	if s == failures || l.slowPart <= 0 {
		return l.cfg.SlowRun
	}
	chance := math.Log(byChance) / math.Log(min(l.slowPart, 0.5))
	return max(l.cfg.SlowRun, int(math.Ceil(chance)))
}

// endRun takes in that a request was not slow after so many that were. Only runs
// that have ended count towards the usual part of slow ones: one that ends in a fall
// was cold.
func (l *Limiter) endRun() {
	if l.limit >= l.cfg.Full {
		for range l.slowRun {
			l.slowPart += (1 - l.slowPart) / spreadWeight
		}
		l.slowPart -= l.slowPart / spreadWeight
	}
	l.slowRun = 0
}
