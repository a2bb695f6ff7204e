package cold

import (
	"math"
	"time"
)

// minWindowSize is the least number of latencies in a window: with fewer than 4, a single unusual
// request decides.
const minWindowSize = 4

// Numbers of consecutive similar windows after which the limit grows by half because latency is
// stable.
const (
	// minFirstStepWindows applies to the first step above the cold limit while the warm latency is
	// unknown: a backend server that warms up in one step has a stable latency before it too.
	minFirstStepWindows = 8
	// nextStepWindows applies to later steps: a server that serves more than the cold limit has
	// left cold start.
	nextStepWindows = 2
	// changedLatencyWindows applies to latencies far from the warm latency, which are a sign of a
	// cold server; only after this many windows do they count as a change of the work, such as
	// longer prompts.
	changedLatencyWindows = 20
	// maxFirstStepWindows limits the number of windows required after failures.
	maxFirstStepWindows = 64
)

// significantErrors is the number of standard errors above which the difference between two windows
// is attributed to the backend server and not to the requests.
const significantErrors = 2

// sample summarizes the logarithms of some latencies: their mean, and the sum of their squared
// deviations from it. Latencies of prompts of many sizes differ by factors, so that the mean of the
// logarithms is stable.
type sample struct {
	count                   int
	mean, squaredDeviations float64
}

func (s *sample) add(latency time.Duration) {
	x := math.Log(float64(max(latency, 1)))
	s.count++
	delta := x - s.mean
	s.mean += delta / float64(s.count)
	s.squaredDeviations += delta * (x - s.mean)
}

// meanVariance is the variance of the mean. It combines the spread of the sample with an assumed
// one, since four latencies may be close together by chance.
func (s *sample) meanVariance() float64 {
	const assumed, weight = 0.4 * 0.4, 4
	spread := (s.squaredDeviations + weight*assumed) / float64(s.count+weight)
	return spread / float64(s.count)
}

// window collects the latencies seen at one limit.
type window struct {
	// current is the window being filled, and baseline the first one at this limit.
	current, baseline sample
	// similarCount counts consecutive windows similar to the baseline.
	similarCount int
}

// observeLatency updates the state with one latency.
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

// slowThreshold is the latency above which a request counts as slow.
func (l *Limiter) slowThreshold() time.Duration {
	return time.Duration(l.cfg.SlowFactor * l.referenceLatency())
}

// referenceLatency is the latency that others are compared with: the warm one at the full limit,
// and the window baseline while the limit grows. A cold backend server is slow all the time, and
// only an increase shows that it is at its limit.
func (l *Limiter) referenceLatency() float64 {
	reference := float64(l.warmLatency)
	if l.limit < l.cfg.FullLimit && l.window.baseline.count > 0 {
		reference = max(reference, math.Exp(l.window.baseline.mean))
	}
	return reference
}

// updateWarmLatency updates the latency and its spread at the full limit. Slow latencies are
// capped, so that a server that turns cold does not raise the average.
func (l *Limiter) updateWarmLatency(latency time.Duration) {
	if l.warmLatency > 0 {
		l.updateLogVariance(latency)
		latency = min(latency, l.slowThreshold())
	}
	l.warmLatency = movingAverage(l.warmLatency, latency)
}

// evaluateWindow decides on the limit when a window is full.
//
// Growing on completions alone would overload a backend server that warms up later than expected.
// While latency falls, the server is still warming up and the limit grows by a quarter. Once
// latency is stable or back at the warm latency, the limit grows by half; if latency got worse, the
// last step is reverted.
func (l *Limiter) evaluateWindow() {
	if l.reportedCold {
		l.window = window{}
		return
	}
	current, baseline := l.window.current, l.window.baseline
	l.window.current = sample{}
	minChange := l.minChange(current, baseline)
	switch {
	case l.isWarmAgain(current):
		l.setLimit(current, halfMore(l.limit))
	case baseline.count == 0:
		l.window.baseline = current
	case current.mean > baseline.mean+max(minChange, math.Log(l.cfg.WorseFactor)):
		if l.warmLatency == 0 {
			l.estimateWarmLatency(current, baseline)
		}
		l.setLimit(current, max(l.limit*2/3, l.cfg.ColdLimit))
	case current.mean < baseline.mean-minChange && !l.hasGapWindow():
		l.setLimit(current, l.limit+max(1, l.limit/4))
	default:
		l.window.similarCount++
		if l.window.similarCount >= l.requiredWindows() {
			l.setLimit(current, halfMore(l.limit))
		}
	}
}

// halfMore returns a limit that is half as large again.
func halfMore(limit int) int { return limit + (limit+1)/2 }

// minChange returns the least difference between the means of two windows, as logarithms, that is attributed to the
// backend server.
func (l *Limiter) minChange(current, baseline sample) float64 {
	similar := math.Log(l.cfg.SimilarFactor)
	if baseline.count == 0 {
		return similar
	}
	return max(similar, significantErrors*math.Sqrt(current.meanVariance()+baseline.meanVariance()))
}

// isWarmAgain reports whether the latencies of a window are near the warm latency. Cold ones are SlowFactor and more
// times as long. A latency nearer to the warm one on the logarithmic scale counts as warm, since load raises it slightly
// too.
func (l *Limiter) isWarmAgain(current sample) bool {
	return l.warmLatency > 0 && l.areGapsWarm() &&
		current.mean < math.Log(float64(l.warmLatency))+math.Log(l.cfg.SlowFactor)/2
}

// estimateWarmLatency sets the unknown warm latency after the latency has got worse: the server was faster before, so the
// current latency is not the warm one. It takes part of the increase, which does little harm if the baseline was low by
// chance, and not the whole, which may have any size when a backend server has turned cold.
func (l *Limiter) estimateWarmLatency(current, baseline sample) {
	worse := min(current.mean-baseline.mean, 2*math.Log(l.cfg.WorseFactor))
	l.warmLatency = time.Duration(math.Exp(baseline.mean + worse/2))
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

// setLimit changes the limit; later windows are compared with the given baseline.
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

// coldSign is the kind of evidence that a backend server is cold.
type coldSign int

const (
	// signSlow is a high latency, a long gap, silence, or the server's own report.
	signSlow coldSign = iota
	// signFailure is a failed request, without slowness before.
	signFailure
)

// recordColdSign counts one slow or failed request.
func (l *Limiter) recordColdSign(s coldSign) {
	l.consecutiveSlow++
	if l.consecutiveSlow >= l.requiredSlowRun(s) {
		l.resetToCold(s)
	}
}

// resetToCold returns to the cold limit at once, however many requests are running: a server that
// turns cold under full load would not survive a gradual decrease.
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

// learnFromReset handles a reset during growth, before a warm latency was confirmed at the full
// limit.
//
// A backend server that warms up in one step after some work has a stable latency until then.
// Growing at the same point of every cold start would make it fall over each time, so that it never
// becomes warm. If it failed without being slow before, the stable latency was that of a cold
// server, and twice as many windows are required the next time. If it was slow first, the latency
// before is the warm one.
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
