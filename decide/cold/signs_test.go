package cold

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// warmedUp returns a limiter that has reached its full limit through good latencies.
func warmedUp(t *testing.T) (*Limiter, time.Duration) {
	t.Helper()
	l := New(Config{ColdLimit: 2, FullLimit: 16}, 0)
	now := time.Duration(0)
	for range 4000 {
		if !l.TryStart(now) {
			t.Fatal("no slot at an idle backend server")
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

// An engine in cold start answers with a stable latency and reports that it is cold. The limiter
// must not count the stable latency as warm: one more request makes the engine fall over.
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
		t.Errorf("limit %d while the engine reports that it is cold", l.Limit())
	}
	l.SetReportedCold(false)
	if l.Limit() != 2 {
		t.Errorf("a stale report of being warm raised the limit to %d", l.Limit())
	}
}

// A warm engine turns cold without notice while streams run, and their parts come four times more
// slowly. The limit must be reset before any new request has shown it.
func TestSlowGapsResetLimit(t *testing.T) {
	l, now := warmedUp(t)
	var stream Stream
	for range 40 {
		now += 5 * ms
		l.ObserveGap(now, 5*ms, &stream)
	}
	if l.Limit() != 16 {
		t.Fatalf("limit %d with usual gaps", l.Limit())
	}
	for range 3 {
		now += 20 * ms
		l.ObserveGap(now, 20*ms, &stream)
	}
	if l.Limit() != 2 {
		t.Errorf("limit %d after three slow parts of one stream", l.Limit())
	}
}

// A pause of the process or the network gives every stream a single long gap. The engine is as warm
// as before, and the limit must stay.
func TestSinglePauseKeepsLimit(t *testing.T) {
	l, now := warmedUp(t)
	streams := make([]Stream, 8)
	for round := range 20 {
		gap := 5 * ms
		if round == 15 {
			gap = 300 * ms
		}
		now += gap
		for i := range streams {
			l.ObserveGap(now, gap, &streams[i])
		}
	}
	if l.Limit() != 16 {
		t.Errorf("limit %d after one pause", l.Limit())
	}
}

// The first parts of a stream are read together, without a gap. The real gaps that follow must not
// count as slow, or the engine would stay at its cold limit.
func TestPartsReadTogetherAreIgnored(t *testing.T) {
	l, now := warmedUp(t)
	var stream Stream
	l.ObserveGap(now, 10*time.Microsecond, &stream)
	for range 400 {
		now += 5 * ms
		l.ObserveGap(now, 5*ms, &stream)
	}
	if l.Limit() != 16 {
		t.Errorf("limit %d with equal gaps", l.Limit())
	}
}

// Eight streams end together, and the last parts of each are read at once. The average gap must not
// fall to zero: the next real gaps would count as slow, and a warm engine would stay at its cold
// limit.
func TestStreamsEndingTogetherAreIgnored(t *testing.T) {
	l, now := warmedUp(t)
	var stream, ending Stream
	for range 40 {
		now += 15 * ms
		l.ObserveGap(now, 15*ms, &stream)
	}
	for range 20 {
		l.ObserveGap(now, 20*time.Microsecond, &ending)
	}
	for range 10 {
		now += 15 * ms
		l.ObserveGap(now, 15*ms, &stream)
	}
	if l.Limit() != 16 {
		t.Errorf("limit %d with equal gaps", l.Limit())
	}
}

// An engine with long answers, which give few latencies per second, reports that it has warmed up.
// The limit must then grow with fewer windows than without a report, and must still be reset when
// the engine turns cold without notice.
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
				var stream Stream
				for range 40 {
					l.ObserveGap(now, 5*ms, &stream)
				}
				for range 3 {
					l.ObserveGap(now, 30*ms, &stream)
				}
				if l.Limit() != 2 {
					t.Errorf("limit %d after slow gaps, reported %v", l.Limit(), isReported)
				}
				return n
			}
		}
	}
	if with, without := latenciesToFull(true), latenciesToFull(false); 3*with > 2*without {
		t.Errorf("%d latencies to the full limit with a report, %d without", with, without)
	}
}
