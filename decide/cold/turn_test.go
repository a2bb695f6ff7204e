package cold

import (
	"math/rand/v2"
	"testing"
	"time"
)

// stepEngine is a fake engine that warms up in one step, like the shipped demo engine. In cold
// start its parts take coldFactor times as long, until warmAfter requests have completed. Each part
// is delayed by a random time, as on a busy VM.
type stepEngine struct {
	random      *rand.Rand
	coldFactor  time.Duration
	cold        bool
	completed   int
	startedWarm int // requests that were running when it turned cold
	streams     []*stream
	maxCold     int // most requests at once in cold start, without startedWarm
}

// stream is one running request. Its next part comes at next.
type stream struct {
	parts               int
	startedWarm         bool
	started, last, next time.Duration
	gaps                Stream
}

const (
	partsPerStream = 10
	warmAfter      = 8
	meanJitter     = 3 * ms
)

func (e *stepEngine) nextPart(now, d time.Duration) time.Duration {
	if e.cold {
		d *= e.coldFactor
	}
	return now + d + time.Duration(e.random.ExpFloat64()*float64(meanJitter))
}

// run keeps more requests waiting than the engine can serve, until the given time.
func (e *stepEngine) run(l *Limiter, now *time.Duration, until time.Duration) {
	for *now < until {
		for l.TryStart(*now) {
			e.streams = append(e.streams, &stream{started: *now, next: e.nextPart(*now, 20*ms)})
			if e.cold {
				e.maxCold = max(e.maxCold, len(e.streams)-e.startedWarm)
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

// part delivers one part of the stream with index i.
func (e *stepEngine) part(l *Limiter, now time.Duration, i int) {
	s := e.streams[i]
	if s.parts == 0 {
		l.Observe(now, now-s.started)
	} else {
		l.ObserveGap(now, now-s.last, &s.gaps)
	}
	s.parts++
	s.last = now
	s.next = e.nextPart(now, 15*ms)
	if s.parts == partsPerStream {
		e.end(i)
		l.Done(now, Outcome{Took: now - s.started, Observed: true})
	}
}

func (e *stepEngine) end(i int) {
	if e.streams[i].startedWarm {
		e.startedWarm--
	} else if e.cold {
		e.completed++
		e.cold = e.completed < warmAfter
	}
	e.streams = append(e.streams[:i], e.streams[i+1:]...)
}

func (e *stepEngine) turnCold() {
	e.cold, e.completed, e.startedWarm = true, 0, len(e.streams)
	for _, s := range e.streams {
		s.startedWarm = true
	}
}

// A warm engine turns cold without notice, during growth or at the full limit. Its last requests
// are slow, and the warm latency must not follow them: the cold engine would then look warm, and
// one request too many makes it fall over with all that it holds. The first half second is not
// checked, since nothing has shown the change yet.
func TestTurningColdIsNotTheUsual(t *testing.T) {
	for _, slow := range []time.Duration{4, 6} {
		for seed := range uint64(500) {
			e := &stepEngine{random: rand.New(rand.NewPCG(seed, uint64(slow))), coldFactor: slow}
			l, now := New(Config{ColdLimit: 2, FullLimit: 16}, 0), time.Duration(0)
			e.run(l, &now, time.Duration(300+10*seed)*ms)
			e.turnCold()
			e.run(l, &now, now+500*ms)
			e.maxCold = 0
			e.run(l, &now, now+10*time.Second)
			if e.maxCold > 2 {
				t.Errorf("%d times as slow, seed %d: %d at once while cold; warm latency %v, warm gap %v",
					slow, seed, e.maxCold, l.warmLatency, l.warmGap)
			}
		}
	}
}

// The latency of a backend server becomes many times higher during growth. The warm latency must be
// at most 1.5 times the latency before: a value halfway to the new latency would be a latency of
// cold start.
func TestSevereSlowdownIsNotWarmLatency(t *testing.T) {
	l, now := New(Config{ColdLimit: 2, FullLimit: 16}, 0), time.Duration(0)
	for l.Limit() < 4 {
		runRounds(l, &now, 1, 100*ms)
	}
	runRounds(l, &now, 8, 2*time.Second)
	if l.warmLatency > 150*ms {
		t.Errorf("warm latency %v, was 100 ms until it became 2 s", l.warmLatency)
	}
}
