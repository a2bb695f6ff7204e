package cold

import (
	"math"
	"time"
)

// leastWindow is the least number of latencies in a window: below 4 one odd
// request decides.
const leastWindow = 4

// The numbers of windows in a row that must agree before the limit grows by half
// by levelling off alone.
const (
	// levelFirst is for the first step above the cold limit while no usual latency
	// is known: a backend server that warms up in one step is level before it too.
	levelFirst = 8
	// levelNext is for the steps after that: whoever bears more than the cold limit
	// has left cold start.
	levelNext = 2
	// levelKnown is for latencies far from the usual one, which is itself a sign of
	// cold; only after so many is it taken for a change of the work, such as longer
	// prompts.
	levelKnown = 20
	// mostPatience bounds what falls add to levelFirst.
	mostPatience = 64
)

// sure is the number of standard errors that make a difference between two
// windows one of the backend server and not of the requests.
const sure = 2

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

// err is the variance of the mean. The spread is taken from the sample and from
// an assumed one together, since four latencies may lie close by chance.
func (s *sample) err() float64 {
	const assumed, weight = 0.4 * 0.4, 4
	spread := (s.squares + weight*assumed) / float64(s.count+weight)
	return spread / float64(s.count)
}

// window gathers the latencies seen at one limit.
type window struct {
	// now is the window being filled; base the first one at this limit.
	now, base sample
	// level counts windows in a row that agreed with base.
	level int
}

// learn takes in one latency.
func (l *Limiter) learn(now, latency time.Duration) {
	l.recent = smooth(l.recent, latency)
	if l.usual > 0 && latency > l.slow() {
		l.bad(slowness)
	} else {
		l.endRun()
		l.proof = now
		l.hold = hold{}
	}
	if l.limit >= l.cfg.Full {
		l.warm(latency)
		return
	}
	l.window.now.add(latency)
	if l.window.now.count >= max(leastWindow, l.limit) {
		l.judge()
	}
}

// slow is the latency past which a request counts as slow.
func (l *Limiter) slow() time.Duration {
	return time.Duration(l.cfg.SlowFactor * l.reference())
}

// reference is the latency that others are held against: the usual one when warm,
// and what was last seen while growing, since a cold backend server is slow all
// the time and only getting slower says that it bears no more.
func (l *Limiter) reference() float64 {
	reference := float64(l.usual)
	if l.limit < l.cfg.Full && l.window.base.count > 0 {
		reference = max(reference, math.Exp(l.window.base.mean))
	}
	return reference
}

// warm learns the usual latency and its spread at the full limit. Slow ones count
// for little, so that turning cold does not become the usual.
func (l *Limiter) warm(latency time.Duration) {
	if l.usual > 0 {
		l.learnSpread(latency)
		latency = min(latency, l.slow())
	}
	l.usual = smooth(l.usual, latency)
}

// judge decides, with a window full, whether the limit grows.
//
// Load: a cold backend server, whose latency falls as it warms up. Harm
// prevented: growing on completions alone, which outruns any backend server that
// warms up later than expected. While latency falls the limit grows by a little,
// since it is warming and not warm; once latency has levelled off, or is back at
// the usual, the limit grows by half; when it got worse, the step is taken back.
func (l *Limiter) judge() {
	if l.saysCold {
		l.window = window{}
		return
	}
	w := &l.window
	now, base := w.now, w.base
	w.now = sample{}
	near := math.Log(l.cfg.Near)
	// Cold latencies are SlowFactor and more times the usual one; what is nearer to
	// the usual than to that counts as warm, since load stretches it a little too.
	if l.usual > 0 && l.paceWarm() && now.mean < math.Log(float64(l.usual))+math.Log(l.cfg.SlowFactor)/2 {
		l.step(now, l.limit+(l.limit+1)/2)
		return
	}
	if base.count == 0 {
		w.base = now
		return
	}
	differs := max(near, sure*math.Sqrt(now.err()+base.err()))
	switch {
	case now.mean > base.mean+max(differs, math.Log(l.cfg.Worse)):
		if l.usual == 0 {
			// It did better before, so that what comes now is not the usual. A base that
			// was low by chance does little harm if a part of the way is added. All of it
			// must not be: a backend server that has turned cold is worse by any factor.
			worse := min(now.mean-base.mean, 2*math.Log(l.cfg.Worse))
			l.usual = time.Duration(math.Exp(base.mean + worse/2))
		}
		l.step(now, max(l.limit*2/3, l.cfg.Cold))
	case now.mean < base.mean-differs && !l.paceKnown():
		l.step(now, l.limit+max(1, l.limit/4))
	default:
		w.level++
		if w.level >= l.levelNeeded() {
			l.step(now, l.limit+(l.limit+1)/2)
		}
	}
}

func (l *Limiter) levelNeeded() int {
	switch {
	case l.usual > 0:
		return levelKnown
	case l.vouched:
		return levelVouched
	case l.limit > l.cfg.Cold:
		return levelNext
	default:
		return max(l.patience, levelFirst)
	}
}

// step sets another limit; the window just seen is what it is held against.
func (l *Limiter) step(seen sample, limit int) {
	l.limit = min(limit, l.cfg.Full)
	l.window = window{base: seen}
	l.paces = paces{base: l.paces.last, last: l.paces.last}
	if l.limit < l.cfg.Full {
		return
	}
	l.proven = true
	l.patience = 0
	if l.usual == 0 {
		l.usual = time.Duration(math.Exp(seen.mean))
	}
}

// sign is what showed that a backend server is cold.
type sign int

const (
	// slowness: latency, pace or silence, or its own word.
	slowness sign = iota
	// failures: it gave errors, with no slowness before.
	failures
)

// bad counts one slow or failed request.
func (l *Limiter) bad(s sign) {
	l.slowRun++
	if l.slowRun >= l.runNeeded(s) {
		l.fall(s)
	}
}

// fall goes back to the cold limit at once, however much is running: whoever
// turns cold under full load bears no gradual way down.
func (l *Limiter) fall(s sign) {
	if l.limit > l.cfg.Cold {
		l.paces = paces{}
		if !l.proven {
			l.learnFromFall(s)
		}
	}
	l.limit = l.cfg.Cold
	l.vouched = false
	l.recent = max(l.recent, l.slow())
	l.slowRun = 0
	l.window = window{}
}

// learnFromFall takes in a fall on the way to the full limit, before any usual
// latency was proven there.
//
// Load: a backend server that warms up in one step after some work, and until then
// answers at a level pace. Harm prevented: growing at the same point of each cold
// start, falling over by it, and so never becoming warm. When errors came without
// slowness before, the latency that looked level was a cold one, and twice the
// proof is asked for the next time. When slowness came first, what it was like
// before is the usual.
func (l *Limiter) learnFromFall(s sign) {
	if s == failures {
		l.usual = 0
		l.patience = min(2*max(l.patience, levelFirst), mostPatience)
		return
	}
	if l.usual == 0 && l.window.base.count > 0 {
		l.usual = time.Duration(math.Exp(l.window.base.mean))
	}
}
