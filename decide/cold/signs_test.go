package cold

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// warmedUp returns a limiter that has come to its full limit by good latencies.
func warmedUp(t *testing.T) (*Limiter, time.Duration) {
	t.Helper()
	l := New(Config{ColdLimit: 2, FullLimit: 16}, 0)
	now := time.Duration(0)
	for range 4000 {
		if !l.TryStart(now) {
			t.Fatal("no place at an idle backend server")
		}
		now += 10 * ms
		l.Done(now, Outcome{Latency: 10 * ms, Took: 10 * ms})
		if !l.IsCold() {
			return l, now
		}
	}
	t.Fatal("the limiter has not grown to its full limit")
	return nil, 0
}

// An engine in cold start answers at a level pace and says that it is cold. The
// limiter must not take level for warm: one request more and the engine falls over.
func TestReportedColdBlocksGrowth(t *testing.T) {
	l := New(Config{ColdLimit: 2, FullLimit: 16}, 0)
	l.SetReportedCold(true)
	now := time.Duration(0)
	for range 200 {
		l.TryStart(now)
		now += 10 * ms
		l.Done(now, Outcome{Latency: 10 * ms, Took: 10 * ms})
	}
	if l.Limit() != 2 {
		t.Errorf("limit %d while the engine says that it is cold", l.Limit())
	}
	l.SetReportedCold(false)
	if l.Limit() != 2 {
		t.Errorf("a late report of warmth lifted the limit to %d", l.Limit())
	}
}

// A warm engine turns cold without a word while streams run. Their parts come four
// times more slowly; the limit falls before any new request has shown it.
func TestSlowGapsResetLimit(t *testing.T) {
	l, now := warmedUp(t)
	var pace Stream
	for range 40 {
		now += 5 * ms
		l.ObserveGap(now, 5*ms, &pace)
	}
	if l.Limit() != 16 {
		t.Fatalf("limit %d at the usual pace", l.Limit())
	}
	for range 3 {
		now += 20 * ms
		l.ObserveGap(now, 20*ms, &pace)
	}
	if l.Limit() != 2 {
		t.Errorf("limit %d after three slow parts of one stream", l.Limit())
	}
}

// The process, or the network, pauses: every stream has one long gap and then goes on.
// The engine is as warm as before, and the limit stays.
func TestSinglePauseKeepsLimit(t *testing.T) {
	l, now := warmedUp(t)
	paces := make([]Stream, 8)
	for round := range 20 {
		gap := 5 * ms
		if round == 15 {
			gap = 300 * ms
		}
		now += gap
		for i := range paces {
			l.ObserveGap(now, gap, &paces[i])
		}
	}
	if l.Limit() != 16 {
		t.Errorf("limit %d after one pause", l.Limit())
	}
}

// The first parts of a stream are read together, with no time between them. The true
// pace that follows must not count as slow: the engine would be held at its cold limit
// for good.
func TestPartsReadTogetherAreIgnored(t *testing.T) {
	l, now := warmedUp(t)
	var pace Stream
	l.ObserveGap(now, 10*time.Microsecond, &pace)
	for range 400 {
		now += 5 * ms
		l.ObserveGap(now, 5*ms, &pace)
	}
	if l.Limit() != 16 {
		t.Errorf("limit %d at an even pace", l.Limit())
	}
}

// Eight streams end together, and the last parts of each are read at once. The usual
// pace must not fall to nothing by that: the next true parts would count as slow, and a
// warm engine would be held at its cold limit for good.
func TestStreamsEndingTogetherAreIgnored(t *testing.T) {
	l, now := warmedUp(t)
	var pace, ending Stream
	for range 40 {
		now += 15 * ms
		l.ObserveGap(now, 15*ms, &pace)
	}
	for range 20 {
		l.ObserveGap(now, 20*time.Microsecond, &ending)
	}
	for range 10 {
		now += 15 * ms
		l.ObserveGap(now, 15*ms, &pace)
	}
	if l.Limit() != 16 {
		t.Errorf("limit %d at an even pace", l.Limit())
	}
}

// An engine with long answers says that it has warmed up; its answers give few latencies
// a second. The limit must grow on them without the doubt that silence calls for, and
// fall as ever when the engine turns cold again without a word.
func TestReportedWarmSpeedsUpGrowth(t *testing.T) {
	latenciesToFull := func(isReported bool) int {
		l := New(Config{ColdLimit: 2, FullLimit: 16}, 0)
		l.SetReportedCold(isReported)
		l.SetReportedCold(false)
		now := time.Duration(0)
		for n := 1; ; n++ {
			l.TryStart(now)
			now += 10 * ms
			l.Done(now, Outcome{Latency: 10 * ms, Took: 10 * ms})
			if l.Limit() == 16 {
				var pace Stream
				for range 40 {
					l.ObserveGap(now, 5*ms, &pace)
				}
				for range 3 {
					l.ObserveGap(now, 30*ms, &pace)
				}
				if l.Limit() != 2 {
					t.Errorf("limit %d after slow parts, vouched %v", l.Limit(), isReported)
				}
				return n
			}
		}
	}
	if with, without := latenciesToFull(true), latenciesToFull(false); 3*with > 2*without {
		t.Errorf("%d latencies to the full limit with its word, %d without", with, without)
	}
}
