package cold

import (
	"testing"
	"time"
)

// runRounds starts as many requests as the limit allows, each of which has a latency
// and ends, for some rounds.
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
		t.Fatal("no time to come back")
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
		t.Fatalf("limit %d while latency still falls by a quarter each two rounds", l.Limit())
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

// A warm backend server that holds a full load turns cold, unannounced: first
// tokens stop coming. The limiter must fall to the cold limit while all of them
// are still running, and start nothing until they are fewer than that.
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

// A backend server with nothing usual known takes two requests and goes silent.
// No completion will ever say that it is slow; the silence must.
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

// A warm backend server idles for a minute, turns cold meanwhile, and gets a burst.
// Only the cold limit may start until one latency proves that it is still warm.
func TestIdleServerIsProbedAtColdLimit(t *testing.T) {
	l, now := warmLimiter(t)
	now += time.Minute
	started := 0
	for l.TryStart(now) {
		started++
	}
	if started != 2 {
		t.Fatalf("%d started without proof", started)
	}
	now += 100 * ms
	l.Observe(now, 100*ms)
	for l.TryStart(now) {
		started++
	}
	if started != 16 {
		t.Fatalf("%d running after the proof, want 16", started)
	}
}

func TestAdoptedWorkTakesPlaces(t *testing.T) {
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

// A backend server that warms up in one step is level before it. The first step up
// makes it fall over, with errors and no slowness before. The next step must come
// much later, or it never gets the time to warm up.
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
