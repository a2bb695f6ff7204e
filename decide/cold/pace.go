package cold

import (
	"math"
	"time"
)

// Stream is the state of one stream of parts. The zero value is a stream that has just begun.
type Stream struct {
	consecutiveSlow int
}

// ObserveGap records the time between two parts of one stream.
//
// When a backend server turns cold while streams run, the first token of a new request shows it
// only long after, and until then freed slots would be filled at the old limit. MinSlowRun
// consecutive slow gaps of one stream reset the limit. A pause of this process or of the network
// makes a single long gap in each stream, which does not.
func (l *Limiter) ObserveGap(now, gap time.Duration, s *Stream) {
	l.lastProgress = now
	if gap < minGap {
		return
	}
	l.growByGaps(gap)
	if l.initialGapCount < initialGaps {
		l.initialGapCount++
		l.avgGap += (gap - l.avgGap) / time.Duration(l.initialGapCount)
		return
	}
	if gap <= l.slowGapThreshold() {
		s.consecutiveSlow = 0
		l.slowGaps = slowGapRun{}
		l.avgGap = movingAverage(l.avgGap, gap)
		return
	}
	s.consecutiveSlow++
	l.slowGaps.add(now)
	// Gaps that stay long, such as those of larger batches, become the usual ones after some
	// hundreds of gaps.
	l.avgGap += (gap - l.avgGap) / slowGapDivisor
	if s.consecutiveSlow >= l.cfg.MinSlowRun && l.limit > l.cfg.ColdLimit {
		l.resetToCold(signSlow)
	}
}

// slowGapRun is a run of slow gaps over all streams.
type slowGapRun struct {
	count       int
	first, last time.Duration
}

func (r *slowGapRun) add(now time.Duration) {
	if r.count == 0 {
		r.first = now
	}
	r.count++
	r.last = now
}

// allStreamsSlow reports whether all streams have become slow. No more than the cold limit is then
// allowed until a gap is not slow.
//
// When a full backend server turns cold or slow, it takes a third of a second until first tokens
// are overdue or three gaps of one stream are slow. Requests started in that time would be late or
// make the server fall over. After a pause, or while a long prompt is processed alone, the streams
// continue together within a usual gap, so that their slow gaps spread over less than one slow gap.
// The limit itself is kept, so that a wrong guess costs only the wait for the next part.
func (l *Limiter) allStreamsSlow() bool {
	return l.slowGaps.count >= l.cfg.MinSlowRun && l.slowGaps.last-l.slowGaps.first >= l.slowGapThreshold()
}

// minGap is the shortest gap that counts. Parts that were read together, such as the last token and
// the end marker, have no gap between them. When several streams end at once, a run of such gaps
// would lower the average until every real gap counts as slow. No engine makes a thousand tokens
// per second for one stream.
const minGap = time.Millisecond

// initialGaps is the number of gaps in the initial average. Parts that were read together have no
// gap between them; with an average taken from the first few gaps, every real gap would be slow.
const initialGaps = 32

// slowGapDivisor is the inverse weight of a slow gap in the moving averages.
const slowGapDivisor = 256

// minSlowGap is the length up to which a gap is never slow, since scheduling alone can cause it.
const minSlowGap = 4 * time.Millisecond

func (l *Limiter) slowGapThreshold() time.Duration {
	// The factor is OverdueFactor and not SlowFactor: gaps vary far less than times to the first
	// token, and a busy VM lengthens the usual gap towards that of a cold engine.
	reference := float64(l.avgGap)
	if l.limit < l.cfg.FullLimit && l.gapWindow.baseline.count > 0 {
		// In cold start all gaps are long, and only an increase is a sign.
		reference = max(reference, math.Exp(l.gapWindow.baseline.mean))
	}
	return max(minSlowGap, time.Duration(l.cfg.OverdueFactor*reference))
}

// gapWindowSize is the number of gaps in a window.
const gapWindowSize = 16

// similarGapFactor is the ratio of two windows' gaps up to which they count as equal.
const similarGapFactor = 1.15

// gapWindow collects the gaps seen at one limit.
type gapWindow struct {
	// current is the window being filled, and baseline the one that it is compared with.
	current, baseline sample
	// last is the last full window; isWorse is set if it was worse than the baseline.
	last    sample
	isWorse bool
}

// growByGaps raises the limit while the streams of a backend server in cold start get faster.
//
// When a failure domain returns cold while the others are full, first tokens at the cold limit come
// every few seconds. Two windows of them take 20 s, during which a third of the capacity refuses
// work. Each stream gives some tens of gaps before it ends, and gaps do not vary with the prompt
// size, so that 16 of them are enough.
//
// Gaps shorter by similarGapFactor show that the server warms up, since the batch has only grown,
// and raise the limit by a quarter. Gaps longer by SimilarFactor, the cost of doubling the batch
// size, revert the step. Gaps shorter by SlowFactor are the change from cold to warm itself. Stable
// gaps do not count as warm, since a backend server that warms up in one step has them too; there,
// first tokens alone decide. While more requests run than the limit allows, such as after a reset,
// gaps are ignored, since the remaining streams become faster as others end.
func (l *Limiter) growByGaps(gap time.Duration) {
	if l.limit >= l.cfg.FullLimit {
		l.updateWarmGap(gap)
		return
	}
	w := &l.gapWindow
	if l.reportedCold || l.Running() > l.limit {
		*w = gapWindow{}
		return
	}
	w.current.add(gap)
	if w.current.count < gapWindowSize {
		return
	}
	current := w.current
	w.current = sample{}
	w.last = current
	if w.baseline.count == 0 {
		w.baseline = current
		return
	}
	minChange := max(math.Log(similarGapFactor), significantErrors*math.Sqrt(current.meanVariance()+w.baseline.meanVariance()))
	change := current.mean - w.baseline.mean
	switch {
	case change < -minChange:
		l.warmConfirmed = l.warmConfirmed || change < -math.Log(l.cfg.SlowFactor)
		l.stepByGaps(current, change, l.limit+max(1, l.limit/4))
	case change > math.Log(l.cfg.SimilarFactor):
		l.stepBackByGaps(current)
	default:
		w.isWorse = false
	}
}

// stepBackByGaps reverts a step and restarts the windows of first tokens. Their baseline is kept:
// scaled by the change of the gaps it could become the warm latency, and a backend server that
// turns cold changes by its whole slowdown. The baseline of the gaps is kept too, since shorter
// gaps after a reverted step do not show that the server warms up.
//
// At the cold limit there is no step to revert, and only the first of several worse windows counts
// as a change. Otherwise a window that was fast by chance would make all later ones worse and
// restart the windows forever, so that a warm backend server would stay at its cold limit.
func (l *Limiter) stepBackByGaps(current sample) {
	baseline, wasWorse := l.gapWindow.baseline, l.gapWindow.isWorse
	if !wasWorse || l.limit > l.cfg.ColdLimit {
		l.setLimit(l.window.baseline, max(l.limit*2/3, l.cfg.ColdLimit))
	}
	l.gapWindow = gapWindow{baseline: baseline, last: current, isWorse: true}
}

// updateWarmGap updates the average gap at the full limit. Slow gaps have little weight: a backend
// server that turns cold shows some tens of them before the limit is reset, and an average that
// followed them would make cold gaps look warm.
func (l *Limiter) updateWarmGap(gap time.Duration) {
	if l.warmGap > 0 && gap > l.slowGapThreshold() {
		l.warmGap += (gap - l.warmGap) / slowGapDivisor
		return
	}
	l.warmGap = movingAverage(l.warmGap, gap)
}

// stepByGaps changes the limit. The baseline of the first tokens is scaled by the change of the
// gaps, so that the same change does not count twice.
func (l *Limiter) stepByGaps(current sample, change float64, limit int) {
	baseline := l.window.baseline
	baseline.mean += change
	l.setLimit(baseline, limit)
	l.gapWindow = gapWindow{baseline: current, last: current}
}

// areGapsWarm reports whether the gaps are those of a warm backend server, or are unknown.
func (l *Limiter) areGapsWarm() bool {
	if l.warmGap == 0 || l.gapWindow.last.count == 0 {
		return true
	}
	return l.gapWindow.last.mean <= math.Log(float64(l.warmGap)*l.cfg.SimilarFactor)
}

// hasGapWindow reports whether gaps show the progress of warming up. Four short prompts look like
// progress too, so that with known gaps shorter latencies count as stable.
func (l *Limiter) hasGapWindow() bool { return l.gapWindow.last.count > 0 }
