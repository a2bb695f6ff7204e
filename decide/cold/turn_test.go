package cold

import (
	"math/rand/v2"
	"testing"
	"time"
)

// stepEngine is an engine that warms up in one step, as the stand-in does: in cold start
// its parts take slow times as long, until warmAfter requests have completed. A busy VM
// adds some time to each part.
type stepEngine struct {
	random    *rand.Rand
	slow      time.Duration
	cold      bool
	completed int
	spared    int // what ran when it turned cold
	streams   []*served
	most      int // at once after a start in cold start, without the spared
}

// served is one running request. Its next part comes at next.
type served struct {
	parts               int
	spared              bool
	started, last, next time.Duration
	pace                Pace
}

const (
	partsEach = 10
	warmAfter = 8
	busyPart  = 3 * ms
)

func (e *stepEngine) after(now, d time.Duration) time.Duration {
	if e.cold {
		d *= e.slow
	}
	return now + d + time.Duration(e.random.ExpFloat64()*float64(busyPart))
}

// run lets callers press on the engine until the time given.
func (e *stepEngine) run(l *Limiter, now *time.Duration, until time.Duration) {
	for *now < until {
		for l.TryStart(*now) {
			e.streams = append(e.streams, &served{started: *now, next: e.after(*now, 20*ms)})
			if e.cold {
				e.most = max(e.most, len(e.streams)-e.spared)
			}
		}
		first := 0
		for i, s := range e.streams {
			if s.next < e.streams[first].next {
				first = i
			}
		}
		*now = max(*now, e.streams[first].next)
		e.part(l, *now, first)
	}
}

// part hands on one part of the stream with index i.
func (e *stepEngine) part(l *Limiter, now time.Duration, i int) {
	s := e.streams[i]
	if s.parts == 0 {
		l.Observe(now, now-s.started)
	} else {
		l.Gap(now, now-s.last, &s.pace)
	}
	s.parts++
	s.last = now
	s.next = e.after(now, 15*ms)
	if s.parts == partsEach {
		e.end(i)
		l.Done(now, Outcome{Took: now - s.started, Observed: true})
	}
}

func (e *stepEngine) end(i int) {
	if e.streams[i].spared {
		e.spared--
	} else if e.cold {
		e.completed++
		e.cold = e.completed < warmAfter
	}
	e.streams = append(e.streams[:i], e.streams[i+1:]...)
}

func (e *stepEngine) turnCold() {
	e.cold, e.completed, e.spared = true, 0, len(e.streams)
	for _, s := range e.streams {
		s.spared = true
	}
}

// A warm engine turns cold without a word, on its way to the full limit or at it. Its
// last requests come slowly, and what the limiter takes for the usual must not follow
// them: it would then take the cold engine for warm, and one request more than it bears
// makes it fall over with all that it holds. For the first half second nobody can know.
func TestTurningColdIsNotTheUsual(t *testing.T) {
	for _, slow := range []time.Duration{4, 6} {
		for seed := range uint64(500) {
			e := &stepEngine{random: rand.New(rand.NewPCG(seed, uint64(slow))), slow: slow}
			l, now := New(Config{Cold: 2, Full: 16}, 0), time.Duration(0)
			e.run(l, &now, time.Duration(300+10*seed)*ms)
			e.turnCold()
			e.run(l, &now, now+500*ms)
			e.most = 0
			e.run(l, &now, now+10*time.Second)
			if e.most > 2 {
				t.Errorf("%d times as slow, seed %d: %d at once while cold; usual %v, warm pace %v",
					slow, seed, e.most, l.usual, l.warmGap)
			}
		}
	}
}

// A backend server is on its way up when its latency becomes many times worse. What it
// did before is the usual, and at most half as much again: halfway to what came after
// would be a latency of cold start.
func TestGettingMuchWorseIsNotTheUsual(t *testing.T) {
	l, now := New(Config{Cold: 2, Full: 16}, 0), time.Duration(0)
	for l.Limit() < 4 {
		feed(l, &now, 1, 100*ms)
	}
	feed(l, &now, 8, 2*time.Second)
	if l.usual > 150*ms {
		t.Errorf("usual %v, was 100 ms until it became 2 s", l.usual)
	}
}
