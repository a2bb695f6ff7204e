package cold

import (
	"math"
	"time"
)

// minWindowSize is the least number of latencies in a window: below 4 one odd
// request decides.
const minWindowSize = 4

// The numbers of windows in a row that must agree before the limit grows by half
// by levelling off alone.
const (
	// minFirstStepWindows is for the first step above the cold limit while no usual latency
	// is known: a backend server that warms up in one step is level before it too.
	minFirstStepWindows = 8
	// nextStepWindows is for the steps after that: whoever bears more than the cold limit
	// has left cold start.
	nextStepWindows = 2
	// changedLatencyWindows is for latencies far from the usual one, which is itself a sign of
	// cold; only after so many is it taken for a change of the work, such as longer
	// prompts.
	changedLatencyWindows = 20
	// maxFirstStepWindows bounds what falls add to levelFirst.
	maxFirstStepWindows = 64
)

// significantErrors is the number of standard errors that make a difference between two
// windows one of the backend server and not of the requests.
const significantErrors = 2

// sample sums up the logarithms of some latencies. Latencies of prompts of many
// sizes spread by factors, so that their logarithms are what averages well.
type sample struct {
	count         int
	mean, squares float64
}

func (s *sample) add(latency time.Duration) {
	x := math.Log(float64(max(latency, 1)))
	s.count++
	delta := x - s.mean
	s.mean += delta / float64(s.count)
	s.squares += delta * (x - s.mean)
}

// meanVariance is the variance of the mean. The spread is taken from the sample and from
// an assumed one together, since four latencies may lie close by chance.
func (s *sample) meanVariance() float64 {
	const assumed, weight = 0.4 * 0.4, 4
	spread := (s.squares + weight*assumed) / float64(s.count+weight)
	return spread / float64(s.count)
}

// window gathers the latencies seen at one limit.
type window struct {
	// current is the window being filled; baseline the first one at this limit.
	current, baseline sample
	// similarCount counts windows in a row that agreed with base.
	similarCount int
}

// observeLatency takes in one latency.
func (l *Limiter) observeLatency(now, latency time.Duration) {
	l.recentLatency = movingAverage(l.recentLatency, latency)
	if l.warmLatency > 0 && latency > l.slowThreshold() {
		l.recordColdSign(signSlow)
	} else {
		l.endSlowRun()
		l.lastGoodLatency = now
		l.slowGaps = slowGapRun{}
	}
	if l.limit >= l.cfg.FullLimit {
		l.updateWarmLatency(latency)
		return
	}
	l.window.current.add(latency)
	if l.window.current.count >= max(minWindowSize, l.limit) {
		l.evaluateWindow()
	}
}

// slowThreshold is the latency past which a request counts as slowThreshold.
func (l *Limiter) slowThreshold() time.Duration {
	return time.Duration(l.cfg.SlowFactor * l.referenceLatency())
}

// referenceLatency is the latency that others are held against: the usual one when warm,
// and what was last seen while growing, since a cold backend server is slow all
// the time and only getting slower says that it bears no more.
func (l *Limiter) referenceLatency() float64 {
	reference := float64(l.warmLatency)
	if l.limit < l.cfg.FullLimit && l.window.baseline.count > 0 {
		reference = max(reference, math.Exp(l.window.baseline.mean))
	}
	return reference
}

// updateWarmLatency learns the usual latency and its spread at the full limit. Slow ones count
// for little, so that turning cold does not become the usual.
func (l *Limiter) updateWarmLatency(latency time.Duration) {
	if l.warmLatency > 0 {
		l.updateLogVariance(latency)
		latency = min(latency, l.slowThreshold())
	}
	l.warmLatency = movingAverage(l.warmLatency, latency)
}

// evaluateWindow decides, with a window full, whether the limit grows.
//
// Load: a cold backend server, whose latency falls as it warms up. Harm
// prevented: growing on completions alone, which outruns any backend server that
// warms up later than expected. While latency falls the limit grows by a little,
// since it is warming and not warm; once latency has levelled off, or is back at
// the usual, the limit grows by half; when it got worse, the step is taken back.
func (l *Limiter) evaluateWindow() {
	if l.reportedCold {
		l.window = window{}
		return
	}
	w := &l.window
	current, baseline := w.current, w.baseline
	w.current = sample{}
	similar := math.Log(l.cfg.SimilarFactor)
	// Cold latencies are SlowFactor and more times the usual one; what is nearer to
	// the usual than to that counts as warm, since load stretches it a little too.
	if l.warmLatency > 0 && l.areGapsWarm() && current.mean < math.Log(float64(l.warmLatency))+math.Log(l.cfg.SlowFactor)/2 {
		l.setLimit(current, l.limit+(l.limit+1)/2)
		return
	}
	if baseline.count == 0 {
		w.baseline = current
		return
	}
	minChange := max(similar, significantErrors*math.Sqrt(current.meanVariance()+baseline.meanVariance()))
	switch {
	case current.mean > baseline.mean+max(minChange, math.Log(l.cfg.WorseFactor)):
		if l.warmLatency == 0 {
			// It did better before, so that what comes now is not the usual. A base that
			// was low by chance does little harm if a part of the way is added. All of it
			// must not be: a backend server that has turned cold is worse by any factor.
			worse := min(current.mean-baseline.mean, 2*math.Log(l.cfg.WorseFactor))
			l.warmLatency = time.Duration(math.Exp(baseline.mean + worse/2))
		}
		l.setLimit(current, max(l.limit*2/3, l.cfg.ColdLimit))
	case current.mean < baseline.mean-minChange && !l.hasGapWindow():
		l.setLimit(current, l.limit+max(1, l.limit/4))
	default:
		w.similarCount++
		if w.similarCount >= l.requiredWindows() {
			l.setLimit(current, l.limit+(l.limit+1)/2)
		}
	}
}

func (l *Limiter) requiredWindows() int {
	switch {
	case l.warmLatency > 0:
		return changedLatencyWindows
	case l.warmConfirmed:
		return confirmedWarmWindows
	case l.limit > l.cfg.ColdLimit:
		return nextStepWindows
	default:
		return max(l.firstStepWindows, minFirstStepWindows)
	}
}

// setLimit sets another limit; the window just seen is what it is held against.
func (l *Limiter) setLimit(baseline sample, limit int) {
	l.limit = min(limit, l.cfg.FullLimit)
	l.window = window{baseline: baseline}
	l.gapWindow = gapWindow{baseline: l.gapWindow.last, last: l.gapWindow.last}
	if l.limit < l.cfg.FullLimit {
		return
	}
	l.reachedFull = true
	l.firstStepWindows = 0
	if l.warmLatency == 0 {
		l.warmLatency = time.Duration(math.Exp(baseline.mean))
	}
}

// coldSign is what showed that a backend server is cold.
type coldSign int

const (
	// signSlow: latency, pace or silence, or its own word.
	signSlow coldSign = iota
	// signFailure: it gave errors, with no slowness before.
	signFailure
)

// recordColdSign counts one slow or failed request.
func (l *Limiter) recordColdSign(s coldSign) {
	l.consecutiveSlow++
	if l.consecutiveSlow >= l.requiredSlowRun(s) {
		l.resetToCold(s)
	}
}

// resetToCold goes back to the cold limit at once, however much is running: whoever
// turns cold under full load bears no gradual way down.
func (l *Limiter) resetToCold(s coldSign) {
	if l.limit > l.cfg.ColdLimit {
		l.gapWindow = gapWindow{}
		if !l.reachedFull {
			l.learnFromReset(s)
		}
	}
	l.limit = l.cfg.ColdLimit
	l.warmConfirmed = false
	l.recentLatency = max(l.recentLatency, l.slowThreshold())
	l.consecutiveSlow = 0
	l.window = window{}
}

// learnFromReset takes in a fall on the way to the full limit, before any usual
// latency was proven there.
//
// Load: a backend server that warms up in one step after some work, and until then
// answers at a level pace. Harm prevented: growing at the same point of each cold
// start, falling over by it, and so never becoming warm. When errors came without
// slowness before, the latency that looked level was a cold one, and twice the
// proof is asked for the next time. When slowness came first, what it was like
// before is the usual.
func (l *Limiter) learnFromReset(s coldSign) {
	if s == signFailure {
		l.warmLatency = 0
		l.firstStepWindows = min(2*max(l.firstStepWindows, minFirstStepWindows), maxFirstStepWindows)
		return
	}
	if l.warmLatency == 0 && l.window.baseline.count > 0 {
		l.warmLatency = time.Duration(math.Exp(l.window.baseline.mean))
	}
}
