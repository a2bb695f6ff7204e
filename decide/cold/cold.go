// Package cold limits how many requests a backend server in cold start gets at once.
//
// The agent of a backend server keeps one Limiter. A backend server can serve only little work at
// first, serves more as it warms up, and may turn cold again at any moment without notice. A cold
// backend server that gets its full load falls over: it completes nothing, and every request on it
// is lost.
//
// Latency is the only sign of warmth that every backend server gives, and the Limiter depends on it
// alone. It raises the limit once latency has become stable, and returns to the cold limit at once
// when latency, silence or failures show a cold backend server.
//
// The caller passes the time since process start into every method. A Limiter is not safe for
// concurrent use.
package cold

import "time"

// Config holds the limits of one backend server. A zero field takes its default.
type Config struct {
	// ColdLimit is the number of concurrent requests in cold start. Default 2.
	ColdLimit int
	// FullLimit is the number of concurrent requests when warm. Default 32.
	FullLimit int
	// SlowFactor is the ratio of a latency to the usual one above which it counts as slow. Default
	// 3: batching at full load multiplies the time to the first token by less than 2, cold start by
	// 5 and more.
	SlowFactor float64
	// MinSlowRun is the number of consecutive slow or failed requests, or of requests overdue at
	// once, that show a cold backend server. Default 3, since one or two may be long prompts.
	MinSlowRun int
	// OverdueFactor is the ratio of a wait to the usual latency above which a request without a
	// first token is overdue. Default 2, less than SlowFactor, since MinSlowRun requests overdue at
	// one moment are a stronger sign than MinSlowRun consecutive slow ones.
	OverdueFactor float64
	// SimilarFactor is the ratio of two windows' latencies up to which they count as equal. Default
	// 1.25, above the cost of doubling the batch size.
	SimilarFactor float64
	// WorseFactor is the ratio of a window's latency to the one before the last step above which
	// the step is reverted. Default 1.5, above the cost of a batch half as large again.
	WorseFactor float64
	// StallFactor is the ratio of a silence to the usual work time above which a backend server
	// with work is considered stalled. Default 4.
	StallFactor float64
	// MinStall is the shortest silence that counts as a stall. Default 2 s, longer than the pauses
	// of garbage collection and of expert map switches.
	MinStall time.Duration
	// WarmthTTL is how long a good latency confirms that the backend server is warm. Default 5 s.
	// After that, the cold limit applies until another latency is known.
	WarmthTTL time.Duration
}

func (c Config) withDefaults() Config {
	if c.ColdLimit <= 0 {
		c.ColdLimit = 2
	}
	if c.FullLimit <= 0 {
		c.FullLimit = 32
	}
	if c.ColdLimit > c.FullLimit {
		c.ColdLimit = c.FullLimit
	}
	if c.SlowFactor <= 1 {
		c.SlowFactor = 3
	}
	if c.MinSlowRun <= 0 {
		c.MinSlowRun = 3
	}
	if c.OverdueFactor <= 1 {
		c.OverdueFactor = 2
	}
	if c.SimilarFactor <= 1 {
		c.SimilarFactor = 1.25
	}
	if c.WorseFactor <= 1 {
		c.WorseFactor = 1.5
	}
	if c.StallFactor <= 0 {
		c.StallFactor = 4
	}
	if c.MinStall <= 0 {
		c.MinStall = 2 * time.Second
	}
	if c.WarmthTTL <= 0 {
		c.WarmthTTL = 5 * time.Second
	}
	return c
}

// Outcome is the result of one request at the backend server.
type Outcome struct {
	// Latency is the time to the first token, or the time of the whole call to a plain service. It
	// is zero if Observe was called with it.
	Latency time.Duration
	// Took is the whole time for which the backend server held the request. Zero means the same as
	// Latency.
	Took time.Duration
	// Failed is set if the backend server gave no answer, or an error of its own.
	Failed bool
	// Cancelled is set if the request ended early for a reason outside the backend server. Such a
	// request does not affect the limit.
	Cancelled bool
	// Observed is set if Observe was called for the request. It is needed only with Failed or
	// Cancelled.
	Observed bool
}

// Limiter is the concurrency limit of one backend server.
type Limiter struct {
	cfg            Config
	limit          int
	running        int
	adoptedRunning int
	// pending holds the start times of requests whose latency is not known yet, oldest first.
	pending []time.Duration
	// warmLatency is a moving average of the latency while warm; zero until the server was warm.
	warmLatency time.Duration
	// reachedFull is set once warmLatency comes from the full limit. firstStepWindows is the number
	// of stable windows required before the first step, once it has been raised by failures.
	reachedFull      bool
	firstStepWindows int
	// recentLatency is a moving average of the latency, warm or cold.
	recentLatency time.Duration
	// avgWorkTime is a moving average of the time for which a request is held while warm.
	avgWorkTime time.Duration
	// consecutiveSlow counts slow or failed requests since the last good one. slowRatio is the
	// fraction of warm latencies that are slow, and logVariance the variance of their logarithms.
	consecutiveSlow        int
	slowRatio, logVariance float64
	window                 window
	gapWindow              gapWindow
	// lastProgress is the time of the last answer or part of an answer, or the time when work began
	// after idleness.
	lastProgress time.Duration
	// consecutiveFailures counts failures in a row, backoff is the length of the last backoff, and
	// backoffUntil is its end.
	consecutiveFailures   int
	backoff, backoffUntil time.Duration
	// reportedCold is the last report of the backend server about itself.
	reportedCold bool
	// warmConfirmed is set after the backend server's report changed from cold to warm, or its gaps
	// became shorter by SlowFactor, until the next sign of a cold server.
	warmConfirmed bool
	// avgGap is a moving average of the time between two parts of a stream; initialGapCount is the
	// number of gaps in its initial mean.
	avgGap time.Duration
	// slowGaps is the current run of slow gaps over all streams.
	slowGaps slowGapRun
	// warmGap is a moving average of the gaps at the full limit.
	warmGap         time.Duration
	initialGapCount int
	// lastGoodLatency is the time of the last latency that confirmed the current limit.
	lastGoodLatency time.Duration
}

// New returns a Limiter for a backend server of unknown state, with the cold limit. The process is
// new and has no data that would tell a cold server from a warm one.
func New(cfg Config, now time.Duration) *Limiter {
	cfg = cfg.withDefaults()
	return &Limiter{cfg: cfg, limit: cfg.ColdLimit, lastProgress: now, lastGoodLatency: now}
}

// TryStart takes one slot under the limit and returns false if there is none. After a reset to the
// cold limit, nothing starts until the number of running requests is below that limit.
func (l *Limiter) TryStart(now time.Duration) bool {
	l.Tick(now)
	if l.Running() >= l.effectiveLimit(now) {
		return false
	}
	if l.Running() == 0 {
		l.lastProgress = now
	}
	l.running++
	l.pending = append(l.pending, now)
	return true
}

// effectiveLimit is the limit, or the cold limit without recent confirmation that the backend
// server is warm.
//
// A backend server that was idle may have turned cold, and no latency shows it. A burst must not
// start as a whole on a cold server; waiting for confirmation costs the time of one first token.
func (l *Limiter) effectiveLimit(now time.Duration) int {
	if l.consecutiveFailures >= l.cfg.MinSlowRun {
		if now < l.backoffUntil {
			return 0
		}
		return 1
	}
	if now-l.lastGoodLatency > l.cfg.WarmthTTL || l.allStreamsSlow() {
		return l.cfg.ColdLimit
	}
	return l.limit
}

// Observe records the latency of a running request before it ends, such as at its first token, so
// that a cold backend server is detected early.
func (l *Limiter) Observe(now, latency time.Duration) {
	l.lastProgress = now
	l.dropOldestPending()
	l.observeLatency(now, latency)
}

// Done releases the slot of a request.
func (l *Limiter) Done(now time.Duration, o Outcome) {
	if l.running > 0 {
		l.running--
	}
	if o.Latency > 0 || !o.Observed && (o.Failed || o.Cancelled) {
		l.dropOldestPending()
	}
	for len(l.pending) > l.running {
		l.dropOldestPending()
	}
	switch {
	case o.Cancelled:
	case o.Failed:
		l.recordColdSign(signFailure)
		l.recordFailure(now)
	default:
		l.recordSuccess()
		l.lastProgress = now
		l.updateWorkTime(max(o.Took, o.Latency))
		if o.Latency > 0 {
			l.observeLatency(now, o.Latency)
		}
	}
}

// Adopt counts n requests that the backend server still runs for the predecessor of this process,
// so that a restart of the agent does not double the load.
func (l *Limiter) Adopt(n int) {
	l.adoptedRunning += max(n, 0)
}

// AdoptedDone records that n adopted requests have ended.
func (l *Limiter) AdoptedDone(n int) {
	l.adoptedRunning = max(l.adoptedRunning-max(n, 0), 0)
}

// AssumeCold returns to the cold limit for a reason that latency can't show: the backend server was
// restarted, or its VM returns to service.
func (l *Limiter) AssumeCold() { l.resetToCold(signSlow) }

// Tick checks for signs of a cold backend server that no completed request shows. TryStart calls
// it; an agent without new work calls it at intervals, so that its reports are correct.
//
// A loaded backend server that turns cold completes nothing that would show it, and must not be
// given more work. Requests overdue by OverdueFactor show it within a few usual latencies; without
// a known usual latency, silence shows it.
func (l *Limiter) Tick(now time.Duration) {
	if l.running == 0 {
		return
	}
	if l.hasOverdue(now) || now-l.lastProgress > l.stallAfter() {
		l.resetToCold(signSlow)
		l.lastProgress = now
	}
}

// hasOverdue reports whether MinSlowRun requests have waited too long for a first token, with no
// good latency for some time either. If other first tokens come in time, the waiting requests are
// just long.
func (l *Limiter) hasOverdue(now time.Duration) bool {
	if l.warmLatency == 0 || l.limit == l.cfg.ColdLimit || len(l.pending) < l.cfg.MinSlowRun {
		return false
	}
	minQuiet := time.Duration(l.cfg.OverdueFactor * l.referenceLatency())
	return now-l.lastGoodLatency > minQuiet && now-l.pending[l.cfg.MinSlowRun-1] > l.overdueAfter()
}

// Limit is the number of requests that the backend server may hold now.
func (l *Limiter) Limit() int { return l.limit }

// Running is the number of requests that the backend server holds, including adopted ones.
func (l *Limiter) Running() int { return l.running + l.adoptedRunning }

// IsFarOverLimit reports whether more than twice the limit is running, so that nothing starts for a
// long time. Queued requests that may run at another backend server are then better sent back.
//
// On a full backend server that turned cold or slow, running requests take many times their usual
// time, and those queued behind them would miss their deadlines while other servers have free
// slots. A reverted step leaves less than twice the limit running and does not count.
func (l *Limiter) IsFarOverLimit() bool { return l.Running() > 2*l.limit }

// IsCold reports whether the limit is below the full limit.
func (l *Limiter) IsCold() bool { return l.limit < l.cfg.FullLimit }

// WorkTime is the expected time for which a request is held; zero if unknown. In cold start it
// grows in proportion to the latency.
func (l *Limiter) WorkTime() time.Duration {
	if l.warmLatency == 0 || l.limit >= l.cfg.FullLimit || l.recentLatency <= l.warmLatency {
		return l.avgWorkTime
	}
	return time.Duration(float64(l.avgWorkTime) * float64(l.recentLatency) / float64(l.warmLatency))
}

// updateWorkTime adds the time for which a request was held to the average. Once the warm latency
// is known only requests at the full limit count, since WorkTime adds the cost of cold start.
func (l *Limiter) updateWorkTime(took time.Duration) {
	if l.warmLatency == 0 || l.limit >= l.cfg.FullLimit {
		l.avgWorkTime = movingAverage(l.avgWorkTime, took)
	}
}

// RetryAfter is the expected time until a slot is free, computed from the rate at which running
// requests end. It is zero if a slot is free now.
func (l *Limiter) RetryAfter(now time.Duration) time.Duration {
	l.Tick(now)
	if now < l.backoffUntil {
		return l.backoffUntil - now
	}
	excess := l.Running() - l.effectiveLimit(now) + 1
	if excess <= 0 {
		return 0
	}
	work := l.WorkTime()
	if work == 0 {
		work = l.cfg.MinStall
	}
	return work * time.Duration(excess) / time.Duration(l.Running())
}

func (l *Limiter) stallAfter() time.Duration {
	return max(l.cfg.MinStall, time.Duration(l.cfg.StallFactor*float64(l.WorkTime())))
}

// dropOldestPending removes the oldest pending start time. First tokens come in about the order of
// the starts, and an error of one position is harmless.
func (l *Limiter) dropOldestPending() {
	if len(l.pending) > 0 {
		l.pending = l.pending[:copy(l.pending, l.pending[1:])]
	}
}

// movingAverage returns the exponential moving average with a weight of 1/8 for the new value.
func movingAverage(average, value time.Duration) time.Duration {
	if average == 0 {
		return value
	}
	return average + (value-average)/8
}
