// Package cold decides how much work a backend server in cold start is given.
//
// The agent in front of a backend server keeps one Limiter. It is made for a
// backend server that bears only a little work at first, comes to bear more as
// it warms up, and may turn cold again at any moment without telling anybody.
// The harm prevented is falling over: a cold backend server that is given its
// full load completes nothing, and every request on it is lost.
//
// Latency is the only sign of warmth that every backend server gives, and the
// Limiter goes by it alone: it grows once latency has levelled off, and falls
// back at once when latency, silence or failures say cold.
//
// The caller passes the time, since process start, into every method. A Limiter
// is not safe for use by several goroutines at once.
package cold

import "time"

// Config holds the limits of one backend server. A zero field takes its default.
type Config struct {
	// ColdLimit is the number of requests that the backend server bears at once in
	// cold start. Default 2.
	ColdLimit int
	// FullLimit is the number of requests it bears at once when warm. Default 32.
	FullLimit int
	// SlowFactor is the ratio of a latency to the usual one past which the
	// latency counts as slow. Default 3: batching at full load stretches a first
	// token by less than 2, and cold start by 5 and more.
	SlowFactor float64
	// MinSlowRun is the number of slow or failed requests in a row, or of requests
	// overdue at once, that show a cold backend server. Default 3: one or two may
	// be long prompts.
	MinSlowRun int
	// OverdueFactor is the ratio of a wait to the usual latency past which a request
	// without a first token counts as overdue. Default 2, less than SlowFactor,
	// since SlowRun requests overdue at one moment are more than SlowRun slow ones
	// in a row.
	OverdueFactor float64
	// SimilarFactor is the ratio of two windows' latencies within which they count as the
	// same. Default 1.25, above what a batch of twice the size costs.
	SimilarFactor float64
	// WorseFactor is the ratio of a window's latency to the one before the last step,
	// past which the step is taken back. Default 1.5, above what a batch of half
	// the size more costs.
	WorseFactor float64
	// StallFactor is the ratio of a silence to the usual work time past which a
	// backend server that has work counts as stalled. Default 4.
	StallFactor float64
	// MinStall is the least silence that counts as a stall. Default 2 s, above
	// the pauses of garbage collection and of expert map switches.
	MinStall time.Duration
	// WarmthTTL is how long a good latency proves that the backend server is warm.
	// Default 5 s. After that, one request is tried before the limit is used.
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

// Outcome is what became of one request at the backend server.
type Outcome struct {
	// Latency is the time to the first token, or of the whole call for a plain
	// service. Zero means that Observe was told before.
	Latency time.Duration
	// Took is the whole time that the backend server held the request. Zero
	// means the same as Latency.
	Took time.Duration
	// Failed says that the backend server gave no answer, or an error of its own.
	Failed bool
	// Cancelled says that the request ended early for a reason outside the
	// backend server, so that nothing is learned from it.
	Cancelled bool
	// Observed says that Observe was called for this request. It is needed only
	// with Failed or Cancelled.
	Observed bool
}

// Limiter is the concurrency limit of one backend server.
type Limiter struct {
	cfg            Config
	limit          int
	running        int
	adoptedRunning int
	// pending are the start times of requests whose latency is not known yet,
	// oldest first.
	pending []time.Duration
	// warmLatency is the smoothed latency while warm; zero when never seen warm.
	warmLatency time.Duration
	// reachedFull says that usual was seen at the full limit. patience is the number of
	// level windows asked for before the first step, once falls have raised it.
	reachedFull      bool
	firstStepWindows int
	// recentLatency is the smoothed latency of late, warm or cold.
	recentLatency time.Duration
	// avgWorkTime is the smoothed time that one request is held while warm.
	avgWorkTime time.Duration
	// consecutiveSlow counts slow or failed requests since the last good one. slowPart is
	// the part of warm latencies that are slow, spread the variance of their
	// logarithms.
	consecutiveSlow        int
	slowRatio, logVariance float64
	window                 window
	gapWindow              gapWindow
	// lastProgress is the last sign of life, or when work began after idleness.
	lastProgress time.Duration
	// consecutiveFailures counts consecutiveFailures in a row; rest is how long the last rest was and
	// restUntil when it ends.
	consecutiveFailures   int
	backoff, backoffUntil time.Duration
	// reportedCold is what the backend server last said of itself.
	reportedCold bool
	// warmConfirmed says that it changed its word from cold to warm, and has shown no sign of
	// cold since.
	warmConfirmed bool
	// avgGap is the smoothed time between two parts of a stream, gaps the number
	// of gaps that went into it at first.
	avgGap time.Duration
	// slowGaps is the run of slow gaps over all streams.
	slowGaps slowGapRun
	// warmGap is the same at the full limit.
	warmGap         time.Duration
	initialGapCount int
	// lastGoodLatency is when a latency last proved the limit right.
	lastGoodLatency time.Duration
}

// New returns a limiter for a backend server of unknown state: it begins cold.
// The process is new, and nothing it could ask tells cold from warm.
func New(cfg Config, now time.Duration) *Limiter {
	cfg = cfg.withDefaults()
	return &Limiter{cfg: cfg, limit: cfg.ColdLimit, lastProgress: now, lastGoodLatency: now}
}

// TryStart takes one place under the limit, if there is one.
//
// Load: any, also a limit that has just fallen below what is running. Harm
// prevented: one more request on a backend server that bears no more. After a
// fall nothing starts until running work is below the cold limit.
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

// effectiveLimit is the limit, or the cold one while there is no fresh proof of warmth.
//
// Load: a burst on a backend server that idled, and may have turned cold since.
// Harm prevented: the whole burst on a cold one, as no latency had told. The
// proof costs the burst the time of one first token.
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

// Observe tells the latency of one running request before the request ends, such
// as at its first token, so that a cold backend server shows early.
func (l *Limiter) Observe(now, latency time.Duration) {
	l.lastProgress = now
	l.dropOldestPending()
	l.observeLatency(now, latency)
}

// Done gives back the place of one request.
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

// Adopt counts n requests that the backend server still runs for a predecessor
// of this process, so that a restart of the agent does not double its load.
func (l *Limiter) Adopt(n int) {
	l.adoptedRunning += max(n, 0)
}

// AdoptedDone says that n of the adopted requests have ended.
func (l *Limiter) AdoptedDone(n int) {
	l.adoptedRunning = max(l.adoptedRunning-max(n, 0), 0)
}

// AssumeCold goes back to the cold limit for a reason that latency can't show:
// the backend server was restarted, or its VM comes back into service.
func (l *Limiter) AssumeCold() { l.resetToCold(signSlow) }

// Tick looks for signs of cold that no completion gives. TryStart calls it too;
// an agent without new work calls it now and then, so that its reports are right.
//
// Load: a backend server full of work that turns cold. Harm prevented: filling it
// further while it answers nothing. Requests overdue by LateFactor show it within
// a few usual latencies; a silence shows it when nothing usual is known.
func (l *Limiter) Tick(now time.Duration) {
	if l.running == 0 {
		return
	}
	if l.hasOverdue(now) || now-l.lastProgress > l.stallAfter() {
		l.resetToCold(signSlow)
		l.lastProgress = now
	}
}

// hasOverdue says whether SlowRun requests have waited too long for a first token, and
// no good latency has come for a while either: where some come in time, those that
// wait are long ones.
func (l *Limiter) hasOverdue(now time.Duration) bool {
	if l.warmLatency == 0 || l.limit == l.cfg.ColdLimit || len(l.pending) < l.cfg.MinSlowRun {
		return false
	}
	minQuiet := time.Duration(l.cfg.OverdueFactor * l.referenceLatency())
	return now-l.lastGoodLatency > minQuiet && now-l.pending[l.cfg.MinSlowRun-1] > l.overdueAfter()
}

// Limit is the number of requests that the backend server may hold now.
func (l *Limiter) Limit() int { return l.limit }

// Running is the number of requests it holds, with adopted ones.
func (l *Limiter) Running() int { return l.running + l.adoptedRunning }

// IsFarOverLimit says that far more runs than the limit allows, so that nothing starts for long.
// What waits for a place here, and may go elsewhere, is then better handed back.
//
// Load: a full backend server that turned cold or slow, beside others with room. Harm
// prevented: requests that wait here until their deadline can't be met, since what runs
// before them takes many times its usual time. A step that was taken back is less than
// the half.
func (l *Limiter) IsFarOverLimit() bool { return l.Running() > 2*l.limit }

// IsCold says whether the limit is still below the full one.
func (l *Limiter) IsCold() bool { return l.limit < l.cfg.FullLimit }

// WorkTime is the expected time that one request is held; zero when unknown. In
// cold start it is longer, in proportion to the latency.
func (l *Limiter) WorkTime() time.Duration {
	if l.warmLatency == 0 || l.limit >= l.cfg.FullLimit || l.recentLatency <= l.warmLatency {
		return l.avgWorkTime
	}
	return time.Duration(float64(l.avgWorkTime) * float64(l.recentLatency) / float64(l.warmLatency))
}

// updateWorkTime takes in how long a request was held. Once the usual latency is known
// only warm ones count, since WorkTime adds what cold start costs.
func (l *Limiter) updateWorkTime(took time.Duration) {
	if l.warmLatency == 0 || l.limit >= l.cfg.FullLimit {
		l.avgWorkTime = movingAverage(l.avgWorkTime, took)
	}
}

// RetryAfter is the expected time until a place is free, by the rate at which
// running work ends. Zero when one is free now.
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

// dropOldestPending takes the oldest start time off the pending ones. First tokens come in
// about the order of the starts, and an error of one place changes nothing.
func (l *Limiter) dropOldestPending() {
	if len(l.pending) > 0 {
		l.pending = l.pending[:copy(l.pending, l.pending[1:])]
	}
}

// movingAverage moves an average an eighth of the way to a new value.
func movingAverage(average, value time.Duration) time.Duration {
	if average == 0 {
		return value
	}
	return average + (value-average)/8
}
