package cold

import (
	"math"
	"time"
)

// Stream is the pace of one stream. The zero value is a stream that has just begun.
type Stream struct {
	consecutiveSlow int
}

// ObserveGap takes the time between two parts of one stream.
//
// Load: streams under way on a backend server that turns cold. Harm prevented:
// filling their places at the old limit until the first new request has shown by its
// first token, long after, that the server is cold. SlowRun slow gaps in a row on one
// stream say cold; a pause of this process or of the network makes one long gap on
// each stream and then none, and says nothing.
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
	// A pace that stays slow for good, such as that of larger batches, becomes the
	// usual in some hundreds of gaps.
	l.avgGap += (gap - l.avgGap) / slowGapDivisor
	if s.consecutiveSlow >= l.cfg.MinSlowRun && l.limit > l.cfg.ColdLimit {
		l.resetToCold(signSlow)
	}
}

// slowGapRun is the run of slow gaps over all streams together.
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

// allStreamsSlow says that all streams have become slow, and nothing more is started until one
// is not.
//
// Load: a full backend server that turns cold or slow, with work coming in. Harm
// prevented: what is started in the third of a second until first tokens are overdue, or
// three gaps of one stream are slow, which is late or makes the server fall over. After a
// pause, or a long prompt that is worked on alone, the streams go on together within a
// usual gap: their slow gaps spread over less than a slow one. The limit stays as it is,
// so that a wrong guess costs no more than the wait for the next part.
func (l *Limiter) allStreamsSlow() bool {
	return l.slowGaps.count >= l.cfg.MinSlowRun && l.slowGaps.last-l.slowGaps.first >= l.slowGapThreshold()
}

// minGap is the least gap that is a pace. Parts that were read together, such as the
// last token and the mark of the end, have none between them: when several streams end
// at once a run of such gaps would take the usual one down, and every true gap after
// them would count as slow. No engine makes a thousand tokens a second for one stream.
const minGap = time.Millisecond

// initialGaps is the number of gaps that make the first usual one. Parts that were read
// together have no gap between them: a usual one taken from the first of all would
// make every true gap a slow one.
const initialGaps = 32

// slowGapDivisor is how little a slow gap moves the usual one.
const slowGapDivisor = 256

// minSlowGap is a gap that is never slow: scheduling alone makes it.
const minSlowGap = 4 * time.Millisecond

func (l *Limiter) slowGapThreshold() time.Duration {
	// LateFactor and not SlowFactor: the pace spreads far less than first tokens do,
	// and a busy VM stretches the reference pace towards that of a cold engine.
	reference := float64(l.avgGap)
	if l.limit < l.cfg.FullLimit && l.gapWindow.baseline.count > 0 {
		// On the way up the pace is slow all the time, and only getting slower is a sign.
		reference = max(reference, math.Exp(l.gapWindow.baseline.mean))
	}
	return max(minSlowGap, time.Duration(l.cfg.OverdueFactor*reference))
}

// gapWindowSize is the number of gaps in one window of the pace.
const gapWindowSize = 16

// similarGapFactor is the ratio of two windows' paces within which they count as the same.
const similarGapFactor = 1.15

// gapWindow are the gaps seen at one limit.
type gapWindow struct {
	// current is the window being filled; baseline is what it is held against.
	current, baseline sample
	// last is the last full window; worse says that it was worse than base.
	last    sample
	isWorse bool
}

// growByGaps lets the limit grow while the streams of a backend server in cold start
// get faster.
//
// Load: a failure domain that returned cold while the others are full. Harm prevented:
// at the cold limit a first token comes every few seconds, and two windows of them take
// 20 s, in which a third of the capacity refuses work. Each stream tells the pace some
// tens of times before it ends, and prompts' sizes do not spread it, so that 16 gaps
// are enough. A pace better by paceNear is warmth, since the batch has only grown since,
// and lets the limit grow by a quarter. One worse by Near, what a batch of twice the size
// costs, takes the step back. A fall by SlowFactor is the change from cold to warm itself.
// Pace that is level is never taken for warm here, since that is what a backend server
// shows that warms up in one step: first tokens alone decide it. While more runs than the
// limit allows, as after a fall, nothing is learned: what is left runs faster for that.
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

// stepBackByGaps takes a step back, and begins the windows of first tokens anew. What they are
// held against stays as it was: shifted by the change it would become the usual, and a
// backend server that turns cold changes by its whole factor. So does what the pace is held
// against: the better pace that follows a step back is not warmth.
//
// At the cold limit there is no step back, and only the first of several worse windows is
// a change. A pace that was good by chance makes all later ones worse, and would begin the
// windows anew for good: a warm backend server would stay at its cold limit.
func (l *Limiter) stepBackByGaps(current sample) {
	baseline, wasWorse := l.gapWindow.baseline, l.gapWindow.isWorse
	if !wasWorse || l.limit > l.cfg.ColdLimit {
		l.setLimit(l.window.baseline, max(l.limit*2/3, l.cfg.ColdLimit))
	}
	l.gapWindow = gapWindow{baseline: baseline, last: current, isWorse: true}
}

// updateWarmGap takes in the pace at the full limit. A slow gap counts for little: a
// backend server that turns cold shows some tens of them before the limit falls, and a
// warm pace that had followed them would let its cold pace pass for warm.
func (l *Limiter) updateWarmGap(gap time.Duration) {
	if l.warmGap > 0 && gap > l.slowGapThreshold() {
		l.warmGap += (gap - l.warmGap) / slowGapDivisor
		return
	}
	l.warmGap = movingAverage(l.warmGap, gap)
}

// stepByGaps sets another limit. What first tokens are held against changes as the pace
// did, so that one change of warmth does not count twice.
func (l *Limiter) stepByGaps(current sample, change float64, limit int) {
	baseline := l.window.baseline
	baseline.mean += change
	l.setLimit(baseline, limit)
	l.gapWindow = gapWindow{baseline: current, last: current}
}

// areGapsWarm says whether the pace is the usual one of a warm backend server, as far as
// it is known.
func (l *Limiter) areGapsWarm() bool {
	if l.warmGap == 0 || l.gapWindow.last.count == 0 {
		return true
	}
	return l.gapWindow.last.mean <= math.Log(float64(l.warmGap)*l.cfg.SimilarFactor)
}

// hasGapWindow says that streams tell whether the backend server warms up. Four short
// prompts look like it too; where the pace is known they count as level.
func (l *Limiter) hasGapWindow() bool { return l.gapWindow.last.count > 0 }
