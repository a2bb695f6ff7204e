package cold

import (
	"testing"
	"time"
)

// runRounds starts as many requests as the limit allows, observes the latency for each and ends
// them, for a number of rounds.
func runRounds(l *Limiter, now *time.Duration, rounds int, latency time.Duration) {
	for range rounds {
		started := 0
		for l.TryStart(*now) {
			started++
		}
		*now += latency
		for range started {
			l.Observe(*now, latency)
			l.Done(*now, Outcome{Took: 2 * latency})
		}
	}
}

func warmLimiter(t *testing.T) (*Limiter, time.Duration) {
	t.Helper()
	l, now := New(Config{ColdLimit: 2, FullLimit: 16}, 0), time.Duration(0)
	runRounds(l, &now, 40, 100*ms)
	if l.IsCold() || l.Limit() != 16 {
		t.Fatalf("limit %d after 40 rounds at one latency, want 16", l.Limit())
	}
	return l, now
}

func TestBeginsAtColdLimit(t *testing.T) {
	l := New(Config{ColdLimit: 2, FullLimit: 16}, 0)
	started := 0
	for l.TryStart(0) {
		started++
	}
	if started != 2 {
		t.Fatalf("%d started, want 2", started)
	}
	if l.RetryAfter(0) == 0 {
		t.Fatal("no retry-after time")
	}
}

func TestGrowsSlowlyWhileLatencyFalls(t *testing.T) {
	l, now := New(Config{ColdLimit: 2, FullLimit: 64}, 0), time.Duration(0)
	latency := 2 * time.Second
	for range 12 {
		runRounds(l, &now, 2, latency)
		latency = latency * 3 / 4
	}
	if l.Limit() > 32 {
		t.Fatalf("limit %d while latency still falls by a quarter every two rounds", l.Limit())
	}
}

func TestStepBackWhenGrowthMadeLatencyWorse(t *testing.T) {
	l, now := New(Config{ColdLimit: 2, FullLimit: 16}, 0), time.Duration(0)
	for l.Limit() < 4 {
		runRounds(l, &now, 1, 100*ms)
	}
	grown := l.Limit()
	runRounds(l, &now, 8, 250*ms)
	if l.Limit() >= grown {
		t.Fatalf("limit %d, was %d before latency rose to 2.5 times", l.Limit(), grown)
	}
}

// A fully loaded warm backend server turns cold without notice, and first tokens stop coming. The
// limiter must return to the cold limit while all requests still run, and start none until fewer
// than that limit are running.
func TestTurnsColdUnderFullLoad(t *testing.T) {
	l, now := warmLimiter(t)
	for range 10 {
		if !l.TryStart(now) {
			t.Fatal("no start on a warm backend server")
		}
	}
	now += 250 * ms
	if l.TryStart(now) {
		t.Fatal("started with ten requests overdue by 2.5 times")
	}
	if !l.IsCold() || l.Limit() != 2 {
		t.Fatalf("limit %d", l.Limit())
	}
	for range 8 {
		now += time.Second
		l.Done(now, Outcome{Latency: now})
		if l.TryStart(now) {
			t.Fatalf("started with %d running", l.Running()-1)
		}
	}
	l.Done(now, Outcome{Latency: now})
	if !l.TryStart(now) {
		t.Fatal("no start below the cold limit")
	}
}

func TestFailuresInARowCountAsCold(t *testing.T) {
	l, now := warmLimiter(t)
	for range 3 {
		l.TryStart(now)
		l.Done(now, Outcome{Failed: true})
	}
	if l.Limit() != 2 {
		t.Fatalf("limit %d", l.Limit())
	}
}

func TestCancelledRequestsAreIgnored(t *testing.T) {
	l, now := warmLimiter(t)
	for range 20 {
		l.TryStart(now)
		l.Done(now, Outcome{Cancelled: true})
	}
	if l.Limit() != 16 || l.Running() != 0 {
		t.Fatalf("limit %d, running %d", l.Limit(), l.Running())
	}
}

// A backend server without a known warm latency gets requests and goes silent. No completed request
// shows that it is slow; the silence must reset the limit.
func TestSilenceCountsAsCold(t *testing.T) {
	l := New(Config{ColdLimit: 2, FullLimit: 16}, 0)
	l.limit = 8
	for range 5 {
		l.TryStart(0)
	}
	l.Tick(3 * time.Second)
	if l.Limit() != 2 {
		t.Fatalf("limit %d after 3 s of silence", l.Limit())
	}
}

// A warm backend server is idle for a minute, may have turned cold, and gets a burst. Only the cold
// limit may start until one latency confirms that it is still warm.
func TestIdleServerIsProbedAtColdLimit(t *testing.T) {
	l, now := warmLimiter(t)
	now += time.Minute
	started := 0
	for l.TryStart(now) {
		started++
	}
	if started != 2 {
		t.Fatalf("%d started without confirmation", started)
	}
	now += 100 * ms
	l.Observe(now, 100*ms)
	for l.TryStart(now) {
		started++
	}
	if started != 16 {
		t.Fatalf("%d running after confirmation, want 16", started)
	}
}

func TestAdoptedWorkTakesSlots(t *testing.T) {
	l := New(Config{ColdLimit: 2, FullLimit: 16}, 0)
	l.Adopt(3)
	if l.TryStart(0) {
		t.Fatal("started beside three requests of the predecessor")
	}
	l.AdoptedDone(2)
	if !l.TryStart(0) || l.Running() != 2 {
		t.Fatalf("running %d", l.Running())
	}
}

// A backend server that warms up in one step has a stable latency before it. The first step up
// makes it fall over, with errors and no slowness before. The next step must come much later, or
// the server never has time to warm up.
func TestFailureDuringGrowthDelaysNextStep(t *testing.T) {
	l, now := New(Config{ColdLimit: 2, FullLimit: 16}, 0), time.Duration(0)
	rounds := func() int {
		for round := range 1000 {
			if l.Limit() > 2 {
				return round
			}
			runRounds(l, &now, 1, 100*ms)
		}
		t.Fatal("never grew")
		return 0
	}
	first := rounds()
	for range 3 {
		l.TryStart(now)
		l.Done(now, Outcome{Failed: true})
	}
	now += time.Minute
	l.TryStart(now)
	l.Done(now, Outcome{Latency: 100 * ms})
	if second := rounds(); second < 2*first-2 {
		t.Errorf("the second step after %d rounds, the first after %d", second, first)
	}
}
