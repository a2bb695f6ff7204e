package drain

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

const (
	sec  = time.Second
	msec = time.Millisecond
)

func TestMayStart(t *testing.T) {
	tracker := New()
	for range 20 {
		tracker.Record("quick", 200*msec)
		tracker.Record("slow", 3*sec)
	}
	if !tracker.MayStart("slow", 0, 100*sec) {
		t.Error("a request was refused before a stop")
	}
	tracker.Begin(100 * sec)
	for _, c := range []struct {
		name, kind string
		limit, now time.Duration
		want       bool
	}{
		{"ends by its own limit", "slow", 100 * sec, 99 * sec, true},
		{"has time enough", "slow", 120 * sec, 96 * sec, true},
		{"needs longer than is left", "slow", 120 * sec, 98 * sec, false},
		{"has no limit", "quick", 0, 99 * sec, true},
		{"has no limit and needs longer", "quick", 0, 99900 * msec, false},
		{"nothing is known of its kind", "new", 120 * sec, 90 * sec, true},
		{"nothing is known, and the end has passed", "new", 120 * sec, 100 * sec, false},
		{"the end has passed", "quick", 120 * sec, 101 * sec, false},
	} {
		if got := tracker.MayStart(c.kind, c.limit, c.now); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Guards against a memory of kinds that grows with each name that a request can have.
func TestKindsAreBounded(t *testing.T) {
	tracker := New()
	for n := range 3 * maxKinds {
		tracker.Record(strconv.Itoa(n), sec)
	}
	if len(tracker.kinds) > maxKinds {
		t.Errorf("%d kinds are held", len(tracker.kinds))
	}
}

// load is a series of requests, one every 8 ms, before a planned stop and through it.
type load struct {
	name string
	// time returns the time of the n-th request.
	time func(n int, rng *rand.Rand) time.Duration
	// maxCut limits the share of late requests that are cut, in percent.
	maxCut int
}

// Guards against requests that are begun late in a stop and cut, and against a stop that refuses what it could serve:
// under even times, a mix of short and long requests, a queue that grows and saturation that ends.
func TestLateRequestsUnderLoad(t *testing.T) {
	const (
		calls    = 1000
		interval = 8 * msec
		grace    = calls * interval
		// maxRefused limits the share of requests that are refused although they could have ended, in percent.
		maxRefused = 40
	)
	for _, l := range []load{
		{"even", func(int, *rand.Rand) time.Duration { return sec }, 0},
		{"spread", func(_ int, rng *rand.Rand) time.Duration { return sec/2 + randomBelow(rng, sec) }, 1},
		// Nothing tells the long ones from the others: one in ten of those that begin in the last 3 s may be cut.
		{"skewed", func(_ int, rng *rand.Rand) time.Duration {
			if rng.IntN(10) == 0 {
				return 3 * sec
			}
			return 300 * msec
		}, 4},
		{"slower and slower", func(n int, _ *rand.Rand) time.Duration { return sec + time.Duration(n)*msec/4 }, 2},
		{"saturation that ends", func(n int, _ *rand.Rand) time.Duration { return max(200*msec, 4*sec-time.Duration(n)*4*msec) }, 0},
	} {
		t.Run(l.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			tracker := New()
			// ends holds the requests that have begun, by when they end.
			ends := make(map[time.Duration][]time.Duration)
			cut, refused := 0, 0
			for n := range 2 * calls {
				now := time.Duration(n-calls) * interval
				for _, took := range ends[now] {
					tracker.Record("kind", took)
				}
				if n == calls {
					tracker.Begin(grace)
				}
				took := l.time(n, rng).Round(interval)
				endsInTime, mayStart := now+took <= grace, tracker.MayStart("kind", 20*sec, now)
				if mayStart {
					ends[now+took] = append(ends[now+took], took)
				}
				if mayStart && !endsInTime {
					cut++
				}
				if !mayStart && endsInTime {
					refused++
				}
			}
			if cut*100 > l.maxCut*calls || refused*100 > maxRefused*calls {
				t.Errorf("%d of %d were cut, and %d refused for nothing", cut, calls, refused)
			}
		})
	}
}

// randomBelow returns a random time below a limit.
func randomBelow(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}
