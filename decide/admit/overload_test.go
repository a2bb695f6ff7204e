package admit

import (
	"slices"
	"testing"
	"time"
)

// simulateOverload lets one customer ask for work of a second, some requests a second at even
// times, of 10 places. It returns how long each request that was taken waited, by the
// time at which it asked.
func simulateOverload(a *Admitter, rate int, duration time.Duration) map[time.Duration]time.Duration {
	const step = 10 * time.Millisecond
	asked, ends := map[uint64]time.Duration{}, map[uint64]time.Duration{}
	waits := map[time.Duration]time.Duration{}
	start := func(now time.Duration, id uint64) {
		waits[asked[id]] = now - asked[id]
		ends[id] = now + second
	}
	next, id := time.Duration(0), uint64(0)
	for now := time.Duration(0); now < duration+10*second; now += step {
		for r, end := range ends {
			if end <= now {
				a.Done(now, r, second)
				delete(ends, r)
			}
		}
		for _, r := range a.Next(now) {
			if r.Action == Start {
				start(now, r.ID)
			}
		}
		for ; next <= now && next < duration; next += second / time.Duration(rate) {
			id++
			asked[id] = next
			if submit(a, next, id, "large").Action == Start {
				start(next, id)
			}
		}
	}
	return waits
}

// A customer asks for twice what there is, and goes on. As many of its requests are
// answered whether the queue is long or short; after some seconds those that are taken
// no longer wait the whole length of it. All along no place is empty.
func TestSustainedOverloadShortensQueue(t *testing.T) {
	a := twoPlans(t, 10)
	waits := simulateOverload(a, 20, 30*second)
	var early, late []time.Duration
	for at, wait := range waits {
		if at < 4*second {
			early = append(early, wait)
		}
		if at >= 15*second {
			late = append(late, wait)
		}
	}
	slices.Sort(early)
	slices.Sort(late)
	if longest := early[len(early)-1]; longest < 1500*time.Millisecond {
		t.Errorf("longest wait %v in the first seconds: a burst would lose", longest)
	}
	if len(late) < 140 {
		t.Errorf("%d answered in 15 s of 10 places", len(late))
	}
	if p95 := late[len(late)*95/100]; p95 > 600*time.Millisecond {
		t.Errorf("wait p95 %v while the overload lasts", p95)
	}
}

// The same customer asks for four times what there is, for two seconds. The queue takes
// what it can drain in its longest wait.
func TestBurstKeepsTheLongQueue(t *testing.T) {
	if taken := len(simulateOverload(twoPlans(t, 10), 40, 2*second)); taken < 38 {
		t.Errorf("%d of a burst were taken, want those of 10 places and of a queue of two seconds", taken)
	}
}
