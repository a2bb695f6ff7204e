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
	// Cold is the number of requests that the backend server bears at once in
	// cold start. Default 2.
	Cold int
	// Full is the number of requests it bears at once when warm. Default 32.
	Full int
	// SlowFactor is the ratio of a latency to the usual one past which the
	// latency counts as slow. Default 3: batching at full load stretches a first
	// token by less than 2, and cold start by 5 and more.
	SlowFactor float64
	// SlowRun is the number of slow or failed requests in a row, or of requests
	// overdue at once, that show a cold backend server. Default 3: one or two may
	// be long prompts.
	SlowRun int
	// LateFactor is the ratio of a wait to the usual latency past which a request
	// without a first token counts as overdue. Default 2, less than SlowFactor,
	// since SlowRun requests overdue at one moment are more than SlowRun slow ones
	// in a row.
	LateFactor float64
	// Near is the ratio of two windows' latencies within which they count as the
	// same. Default 1.25, above what a batch of twice the size costs.
	Near float64
	// Worse is the ratio of a window's latency to the one before the last step,
	// past which the step is taken back. Default 1.5, above what a batch of half
	// the size more costs.
	Worse float64
	// StallFactor is the ratio of a silence to the usual work time past which a
	// backend server that has work counts as stalled. Default 4.
	StallFactor float64
	// StallMin is the least silence that counts as a stall. Default 2 s, above
	// the pauses of garbage collection and of expert map switches.
	StallMin time.Duration
	// ProofFor is how long a good latency proves that the backend server is warm.
	// Default 5 s. After that, one request is tried before the limit is used.
	ProofFor time.Duration
}

func (c Config) withDefaults() Config {
	if c.Cold <= 0 {
		c.Cold = 2
	}
	if c.Full <= 0 {
		c.Full = 32
	}
	if c.Cold > c.Full {
		c.Cold = c.Full
	}
	if c.SlowFactor <= 1 {
		c.SlowFactor = 3
	}
	if c.SlowRun <= 0 {
		c.SlowRun = 3
	}
	if c.LateFactor <= 1 {
		c.LateFactor = 2
	}
	if c.Near <= 1 {
		c.Near = 1.25
	}
	if c.Worse <= 1 {
		c.Worse = 1.5
	}
	if c.StallFactor <= 0 {
		c.StallFactor = 4
	}
	if c.StallMin <= 0 {
		c.StallMin = 2 * time.Second
	}
	if c.ProofFor <= 0 {
		c.ProofFor = 5 * time.Second
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
	cfg     Config
	limit   int
	running int
	adopted int
	// pending are the start times of requests whose latency is not known yet,
	// oldest first.
	pending []time.Duration
	// usual is the smoothed latency while warm; zero when never seen warm.
	usual time.Duration
	// proven says that usual was seen at the full limit. patience is the number of
	// level windows asked for before the first step, once falls have raised it.
	proven   bool
	patience int
	// recent is the smoothed latency of late, warm or cold.
	recent time.Duration
	// work is the smoothed time that one request is held while warm.
	work time.Duration
	// slowRun counts slow or failed requests since the last good one. slowPart is
	// the part of warm latencies that are slow, spread the variance of their
	// logarithms.
	slowRun          int
	slowPart, spread float64
	window           window
	paces            paces
	// progress is the last sign of life, or when work began after idleness.
	progress time.Duration
	// failures counts failures in a row; rest is how long the last rest was and
	// restUntil when it ends.
	failures        int
	rest, restUntil time.Duration
	// saysCold is what the backend server last said of itself.
	saysCold bool
	// vouched says that it changed its word from cold to warm, and has shown no sign of
	// cold since.
	vouched bool
	// usualGap is the smoothed time between two parts of a stream, gaps the number
	// of gaps that went into it at first.
	usualGap time.Duration
	// hold is the run of slow gaps over all streams.
	hold hold
	// warmGap is the same at the full limit.
	warmGap time.Duration
	gaps    int
	// proof is when a latency last proved the limit right.
	proof time.Duration
}

// New returns a limiter for a backend server of unknown state: it begins cold.
// The process is new, and nothing it could ask tells cold from warm.
func New(cfg Config, now time.Duration) *Limiter {
	cfg = cfg.withDefaults()
	return &Limiter{cfg: cfg, limit: cfg.Cold, progress: now, proof: now}
}

// TryStart takes one place under the limit, if there is one.
//
// Load: any, also a limit that has just fallen below what is running. Harm
// prevented: one more request on a backend server that bears no more. After a
// fall nothing starts until running work is below the cold limit.
func (l *Limiter) TryStart(now time.Duration) bool {
	l.Tick(now)
	if l.Running() >= l.allowed(now) {
		return false
	}
	if l.Running() == 0 {
		l.progress = now
	}
	l.running++
	l.pending = append(l.pending, now)
	return true
}

// allowed is the limit, or the cold one while there is no fresh proof of warmth.
//
// Load: a burst on a backend server that idled, and may have turned cold since.
// Harm prevented: the whole burst on a cold one, as no latency had told. The
// proof costs the burst the time of one first token.
func (l *Limiter) allowed(now time.Duration) int {
	if l.failures >= l.cfg.SlowRun {
		if now < l.restUntil {
			return 0
		}
		return 1
	}
	if now-l.proof > l.cfg.ProofFor || l.holding() {
		return l.cfg.Cold
	}
	return l.limit
}

// Observe tells the latency of one running request before the request ends, such
// as at its first token, so that a cold backend server shows early.
func (l *Limiter) Observe(now, latency time.Duration) {
	l.progress = now
	l.known()
	l.learn(now, latency)
}

// Done gives back the place of one request.
func (l *Limiter) Done(now time.Duration, o Outcome) {
	if l.running > 0 {
		l.running--
	}
	if o.Latency > 0 || !o.Observed && (o.Failed || o.Cancelled) {
		l.known()
	}
	for len(l.pending) > l.running {
		l.known()
	}
	switch {
	case o.Cancelled:
	case o.Failed:
		l.bad(failures)
		l.failed(now)
	default:
		l.succeeded()
		l.progress = now
		l.learnWork(max(o.Took, o.Latency))
		if o.Latency > 0 {
			l.learn(now, o.Latency)
		}
	}
}

// Adopt counts n requests that the backend server still runs for a predecessor
// of this process, so that a restart of the agent does not double its load.
func (l *Limiter) Adopt(n int) {
	l.adopted += max(n, 0)
}

// AdoptedDone says that n of the adopted requests have ended.
func (l *Limiter) AdoptedDone(n int) {
	l.adopted = max(l.adopted-max(n, 0), 0)
}

// AssumeCold goes back to the cold limit for a reason that latency can't show:
// the backend server was restarted, or its VM comes back into service.
func (l *Limiter) AssumeCold() { l.fall(slowness) }

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
	if l.overdue(now) || now-l.progress > l.stallAfter() {
		l.fall(slowness)
		l.progress = now
	}
}

// overdue says whether SlowRun requests have waited too long for a first token, and
// no good latency has come for a while either: where some come in time, those that
// wait are long ones.
func (l *Limiter) overdue(now time.Duration) bool {
	if l.usual == 0 || l.limit == l.cfg.Cold || len(l.pending) < l.cfg.SlowRun {
		return false
	}
	quiet := time.Duration(l.cfg.LateFactor * l.reference())
	return now-l.proof > quiet && now-l.pending[l.cfg.SlowRun-1] > l.late()
}

// Limit is the number of requests that the backend server may hold now.
func (l *Limiter) Limit() int { return l.limit }

// Running is the number of requests it holds, with adopted ones.
func (l *Limiter) Running() int { return l.running + l.adopted }

// Fallen says that far more runs than the limit allows, so that nothing starts for long.
// What waits for a place here, and may go elsewhere, is then better handed back.
//
// Load: a full backend server that turned cold or slow, beside others with room. Harm
// prevented: requests that wait here until their deadline can't be met, since what runs
// before them takes many times its usual time. A step that was taken back is less than
// the half.
func (l *Limiter) Fallen() bool { return l.Running() > 2*l.limit }

// Cold says whether the limit is still below the full one.
func (l *Limiter) Cold() bool { return l.limit < l.cfg.Full }

// WorkTime is the expected time that one request is held; zero when unknown. In
// cold start it is longer, in proportion to the latency.
func (l *Limiter) WorkTime() time.Duration {
	if l.usual == 0 || l.limit >= l.cfg.Full || l.recent <= l.usual {
		return l.work
	}
	return time.Duration(float64(l.work) * float64(l.recent) / float64(l.usual))
}

// learnWork takes in how long a request was held. Once the usual latency is known
// only warm ones count, since WorkTime adds what cold start costs.
func (l *Limiter) learnWork(took time.Duration) {
	if l.usual == 0 || l.limit >= l.cfg.Full {
		l.work = smooth(l.work, took)
	}
}

// RetryAfter is the expected time until a place is free, by the rate at which
// running work ends. Zero when one is free now.
func (l *Limiter) RetryAfter(now time.Duration) time.Duration {
	l.Tick(now)
	if now < l.restUntil {
		return l.restUntil - now
	}
	over := l.Running() - l.allowed(now) + 1
	if over <= 0 {
		return 0
	}
	work := l.WorkTime()
	if work == 0 {
		work = l.cfg.StallMin
	}
	return work * time.Duration(over) / time.Duration(l.Running())
}

func (l *Limiter) stallAfter() time.Duration {
	return max(l.cfg.StallMin, time.Duration(l.cfg.StallFactor*float64(l.WorkTime())))
}

// known takes the oldest start time off the pending ones. First tokens come in
// about the order of the starts, and an error of one place changes nothing.
func (l *Limiter) known() {
	if len(l.pending) > 0 {
		l.pending = l.pending[:copy(l.pending, l.pending[1:])]
	}
}

// smooth moves an average an eighth of the way to a new value.
func smooth(average, value time.Duration) time.Duration {
	if average == 0 {
		return value
	}
	return average + (value-average)/8
}
