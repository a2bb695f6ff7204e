package cold

import (
	"math"
	"time"
)

// Pace is the pace of one stream. The zero value is a stream that has just begun.
type Pace struct {
	run int
}

// Gap takes the time between two parts of one stream.
//
// Load: streams under way on a backend server that turns cold. Harm prevented:
// filling their places at the old limit until the first new request has shown by its
// first token, long after, that the server is cold. SlowRun slow gaps in a row on one
// stream say cold; a pause of this process or of the network makes one long gap on
// each stream and then none, and says nothing.
func (l *Limiter) Gap(now, gap time.Duration, p *Pace) {
	l.progress = now
	if gap < leastGap {
		return
	}
	l.growByPace(gap)
	if l.gaps < firstGaps {
		l.gaps++
		l.usualGap += (gap - l.usualGap) / time.Duration(l.gaps)
		return
	}
	if gap <= l.slowGap() {
		p.run = 0
		l.hold = hold{}
		l.usualGap = smooth(l.usualGap, gap)
		return
	}
	p.run++
	l.hold.slow(now)
	// A pace that stays slow for good, such as that of larger batches, becomes the
	// usual in some hundreds of gaps.
	l.usualGap += (gap - l.usualGap) / slowGapWeight
	if p.run >= l.cfg.SlowRun && l.limit > l.cfg.Cold {
		l.fall(slowness)
	}
}

// hold is the run of slow gaps over all streams together.
type hold struct {
	run         int
	first, last time.Duration
}

func (h *hold) slow(now time.Duration) {
	if h.run == 0 {
		h.first = now
	}
	h.run++
	h.last = now
}

// holding says that all streams have become slow, and nothing more is started until one
// is not.
//
// Load: a full backend server that turns cold or slow, with work coming in. Harm
// prevented: what is started in the third of a second until first tokens are overdue, or
// three gaps of one stream are slow, which is late or makes the server fall over. After a
// pause, or a long prompt that is worked on alone, the streams go on together within a
// usual gap: their slow gaps spread over less than a slow one. The limit stays as it is,
// so that a wrong guess costs no more than the wait for the next part.
func (l *Limiter) holding() bool {
	return l.hold.run >= l.cfg.SlowRun && l.hold.last-l.hold.first >= l.slowGap()
}

// leastGap is the least gap that is a pace. Parts that were read together, such as the
// last token and the mark of the end, have none between them: when several streams end
// at once a run of such gaps would take the usual one down, and every true gap after
// them would count as slow. No engine makes a thousand tokens a second for one stream.
const leastGap = time.Millisecond

// firstGaps is the number of gaps that make the first usual one. Parts that were read
// together have no gap between them: a usual one taken from the first of all would
// make every true gap a slow one.
const firstGaps = 32

// slowGapWeight is how little a slow gap moves the usual one.
const slowGapWeight = 256

// leastSlowGap is a gap that is never slow: scheduling alone makes it.
const leastSlowGap = 4 * time.Millisecond

func (l *Limiter) slowGap() time.Duration {
	// LateFactor and not SlowFactor: the pace spreads far less than first tokens do,
	// and a busy VM stretches the usual pace towards that of a cold engine.
	usual := float64(l.usualGap)
	if l.limit < l.cfg.Full && l.paces.base.count > 0 {
		// On the way up the pace is slow all the time, and only getting slower is a sign.
		usual = max(usual, math.Exp(l.paces.base.mean))
	}
	return max(leastSlowGap, time.Duration(l.cfg.LateFactor*usual))
}

// paceWindow is the number of gaps in one window of the pace.
const paceWindow = 16

// paceNear is the ratio of two windows' paces within which they count as the same.
const paceNear = 1.15

// paces are the gaps seen at one limit.
type paces struct {
	// now is the window being filled; base is what it is held against.
	now, base sample
	// last is the last full window; worse says that it was worse than base.
	last  sample
	worse bool
}

// growByPace lets the limit grow while the streams of a backend server in cold start
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
func (l *Limiter) growByPace(gap time.Duration) {
	if l.limit >= l.cfg.Full {
		l.learnWarmGap(gap)
		return
	}
	w := &l.paces
	if l.saysCold || l.Running() > l.limit {
		*w = paces{}
		return
	}
	w.now.add(gap)
	if w.now.count < paceWindow {
		return
	}
	now := w.now
	w.now = sample{}
	w.last = now
	if w.base.count == 0 {
		w.base = now
		return
	}
	differs := max(math.Log(paceNear), sure*math.Sqrt(now.err()+w.base.err()))
	change := now.mean - w.base.mean
	switch {
	case change < -differs:
		l.vouched = l.vouched || change < -math.Log(l.cfg.SlowFactor)
		l.stepByPace(now, change, l.limit+max(1, l.limit/4))
	case change > math.Log(l.cfg.Near):
		l.backByPace(now)
	default:
		w.worse = false
	}
}

// backByPace takes a step back, and begins the windows of first tokens anew. What they are
// held against stays as it was: shifted by the change it would become the usual, and a
// backend server that turns cold changes by its whole factor. So does what the pace is held
// against: the better pace that follows a step back is not warmth.
//
// At the cold limit there is no step back, and only the first of several worse windows is
// a change. A pace that was good by chance makes all later ones worse, and would begin the
// windows anew for good: a warm backend server would stay at its cold limit.
func (l *Limiter) backByPace(seen sample) {
	best, again := l.paces.base, l.paces.worse
	if !again || l.limit > l.cfg.Cold {
		l.step(l.window.base, max(l.limit*2/3, l.cfg.Cold))
	}
	l.paces = paces{base: best, last: seen, worse: true}
}

// learnWarmGap takes in the pace at the full limit. A slow gap counts for little: a
// backend server that turns cold shows some tens of them before the limit falls, and a
// warm pace that had followed them would let its cold pace pass for warm.
func (l *Limiter) learnWarmGap(gap time.Duration) {
	if l.warmGap > 0 && gap > l.slowGap() {
		l.warmGap += (gap - l.warmGap) / slowGapWeight
		return
	}
	l.warmGap = smooth(l.warmGap, gap)
}

// stepByPace sets another limit. What first tokens are held against changes as the pace
// did, so that one change of warmth does not count twice.
func (l *Limiter) stepByPace(seen sample, change float64, limit int) {
	base := l.window.base
	base.mean += change
	l.step(base, limit)
	l.paces = paces{base: seen, last: seen}
}

// paceWarm says whether the pace is the usual one of a warm backend server, as far as
// it is known.
func (l *Limiter) paceWarm() bool {
	if l.warmGap == 0 || l.paces.last.count == 0 {
		return true
	}
	return l.paces.last.mean <= math.Log(float64(l.warmGap)*l.cfg.Near)
}

// paceKnown says that streams tell whether the backend server warms up. Four short
// prompts look like it too; where the pace is known they count as level.
func (l *Limiter) paceKnown() bool { return l.paces.last.count > 0 }
