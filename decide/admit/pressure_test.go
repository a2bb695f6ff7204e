package admit

import (
	"slices"
	"testing"
	"time"
)

// simulateOverload lets one customer submit rate requests per second, at even intervals, with one
// second of work each, to an admitter with 10 slots. It returns the wait of each accepted request
// by its submission time.
func simulateOverload(a *Admitter, rate int, duration time.Duration) map[time.Duration]time.Duration {
	const step = 10 * time.Millisecond
	submittedAt, endsAt := map[uint64]time.Duration{}, map[uint64]time.Duration{}
	waits := map[time.Duration]time.Duration{}
	start := func(now time.Duration, id uint64) {
		waits[submittedAt[id]] = now - submittedAt[id]
		endsAt[id] = now + second
	}
	next, id := time.Duration(0), uint64(0)
	for now := time.Duration(0); now < duration+10*second; now += step {
		for r, end := range endsAt {
			if end <= now {
				a.Done(now, r, second)
				delete(endsAt, r)
			}
		}
		for _, r := range a.Next(now) {
			if r.Action == Start {
				start(now, r.ID)
			}
		}
		for ; next <= now && next < duration; next += second / time.Duration(rate) {
			id++
			submittedAt[id] = next
			if submit(a, next, id, "large").Action == Start {
				start(next, id)
			}
		}
	}
	return waits
}

// A customer's demand stays at twice the capacity. A long queue answers no more requests than a
// short one, so after some seconds accepted requests must no longer wait its whole length.
// Throughout, no slot may be idle.
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
		t.Errorf("longest wait %v in the first seconds: a burst would be refused", longest)
	}
	if len(late) < 140 {
		t.Errorf("%d answered in 15 s by 10 slots", len(late))
	}
	if p95 := late[len(late)*95/100]; p95 > 600*time.Millisecond {
		t.Errorf("wait p95 %v in a sustained overload", p95)
	}
}

// The same customer submits four times the capacity for two seconds only. The queue must take as
// many requests as it can drain within MaxWait.
func TestBurstKeepsTheLongQueue(t *testing.T) {
	if accepted := len(simulateOverload(twoPlans(t, 10), 40, 2*second)); accepted < 38 {
		t.Errorf("%d of a burst were accepted, want 10 slots and a queue of two seconds", accepted)
	}
}
