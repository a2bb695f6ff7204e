package test

import (
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/standin/engine"
	"github.com/apricothub/apricothub/test/harness"
)

var errCold = errors.New("it is still cold")

const (
	coldLimit = 2
	// turnColdGrace is how long the caches of a warm engine last after it turns cold:
	// within it nobody can know, and the engine still bears what it gets.
	turnColdGrace = 500 * time.Millisecond
)

// coldStartSpec is a cluster whose engines bear little in cold start and much when warm.
// Tokens take 15 ms when warm and 90 ms when cold: a busy test machine adds some
// milliseconds to either, and must not blur the difference.
func coldStartSpec(engines int) harness.Spec {
	return harness.Spec{
		Entries:     3,
		Engines:     engines,
		EngineFlags: []string{"-cold", "2", "-warm-after", "8", "-full", "16", "-token", "15ms"},
		Agent:       harness.Settings{"backend": {"cold-limit": "2", "full-limit": "16"}},
	}
}

// checkColdLimit checks an engine's own record.
func checkColdLimit(t *testing.T, m *harness.Member, when string) {
	t.Helper()
	r := m.Backend.Record()
	if r.HighWaterCold > coldLimit || r.Overloads > 0 {
		t.Errorf("%s: %s had %d at once while cold, want at most %d; it fell over %d times",
			when, m.VM, r.HighWaterCold, coldLimit, r.Overloads)
		logCrash(t, r.Arrivals)
	}
}

// logCrash prints the requests that were running when the engine first fell over.
func logCrash(t *testing.T, arrivals []engine.Arrival) {
	t.Helper()
	crashIndex := slices.IndexFunc(arrivals, func(a engine.Arrival) bool { return a.Outcome == "fallen" })
	if crashIndex < 0 {
		return
	}
	crashMS := arrivals[crashIndex].EndMS
	for _, a := range arrivals {
		if a.EndMS >= crashMS-1 && a.BeginMS <= crashMS {
			t.Logf("begin %d ms, end %d ms, %s %s", a.BeginMS-crashMS, a.EndMS-crashMS, a.Outcome, a.ID)
		}
	}
}

// waitForWarmLoad waits until the engine is warm and gets more than it bears when cold.
func waitForWarmLoad(t *testing.T, m *harness.Member) {
	t.Helper()
	harness.Eventually(t, 20*time.Second, m.VM+" is warm and used", func() error {
		if r := m.Backend.Record(); r.Cold || r.Running <= 2*coldLimit {
			status, err := m.Status()
			return errors.Errorf("cold %v, running %d; its agent says %+v, %v", r.Cold, r.Running, status.Backends, err)
		}
		return nil
	})
}

// A warm engine turns cold without a word while callers press through all entries.
// An engine that gets more than it bears in cold start falls over and every answer
// on it is lost; so its own record must never show more than that. In the first
// moment nobody can know: the engine bears what comes while its caches last.
func TestEngineTurnsColdWithoutNotice(t *testing.T) {
	t.Parallel()
	c := startCluster(t, coldStartSpec(2))
	load := c.StartLoad(harness.LoadSpec{Callers: 32, Tokens: 10, Seed: 4})
	for _, m := range c.EngineAgents() {
		waitForWarmLoad(t, m)
		checkColdLimit(t, m, "while warming up")
	}
	m := c.EngineAgents()[0]
	m.Backend.TurnCold(turnColdGrace)
	time.Sleep(2 * time.Second)
	checkColdLimit(t, m, "after turning cold")
	waitForWarmLoad(t, m)
	checkColdLimit(t, m, "while warming up again")
	checkNoneCut(t, load.Stop())
}

// The agent of a cold engine is killed while the engine still works for it. The new
// agent doesn't know of that work by itself; if it did not ask the engine, it would
// give it twice what it bears.
func TestAgentRestartsBeforeColdEngine(t *testing.T) {
	t.Parallel()
	spec := coldStartSpec(1)
	spec.EngineFlags = []string{"-cold", "2", "-warm-after", "100000"}
	c := startCluster(t, spec)
	load := c.StartLoad(harness.LoadSpec{Callers: 12, Tokens: 30, Seed: 5, Patience: 2 * time.Second})
	m := c.EngineAgents()[0]
	for range 4 {
		time.Sleep(700 * time.Millisecond)
		m.Kill()
		m.Restart()
		c.WaitReady(m)
		checkColdLimit(t, m, "after its agent's restart")
	}
	time.Sleep(time.Second)
	before := m.Backend.Record().Completed
	harness.Eventually(t, 10*time.Second, "the engine is used again", func() error {
		if m.Backend.Record().Completed <= before {
			return errors.New("nothing completed")
		}
		return nil
	})
	load.Stop()
	checkColdLimit(t, m, "at the end")
}

// The agent of a warm engine is replaced while callers press. The new one knows nothing of
// the engine; its entries tell it what is usual there, and four first tokens near that let
// it leave the cold limit. By itself it asks for eight times as many, 14 s here, in which
// most callers are refused.
func TestAgentReplacedBeforeWarmEngine(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	spec := coldStartSpec(1)
	spec.EngineFlags = []string{"-cold", "2", "-warm-after", "4", "-full", "4", "-token", "15ms"}
	spec.Agent = harness.Settings{"backend": {"cold-limit": "2", "full-limit": "4"}}
	c := startCluster(t, spec)
	load := c.StartLoad(harness.LoadSpec{Callers: 8, Tokens: 60, Seed: 6, Patience: 2 * time.Second})
	m := c.EngineAgents()[0]
	checkFull := func() error {
		if r := m.Backend.Record(); r.Running < 4 {
			return errors.Errorf("%d running", r.Running)
		}
		return nil
	}
	harness.Eventually(t, 30*time.Second, "the engine is full", checkFull)
	time.Sleep(2 * time.Second) // The usual is told with the next report.
	m.Kill()
	m.Restart()
	c.WaitReady(m)
	restartedAt := time.Now()
	time.Sleep(2 * time.Second) // What runs for the predecessor ends.
	harness.Eventually(t, 9*time.Second, "the engine is full again", checkFull)
	t.Logf("full again after %s", time.Since(restartedAt).Round(time.Millisecond))
	load.Stop()
	checkColdLimit(t, m, "at the end")
}

// checkNoneCut checks that callers saw neither cuts nor requests without an answer.
func checkNoneCut(t *testing.T, r harness.LoadResult) {
	t.Helper()
	checkNoneWrong(t, r)
	if len(r.Cut) > 0 {
		t.Errorf("%d answers cut, the first: %s", len(r.Cut), r.Cut[0])
	}
	if len(r.Failed) > 0 {
		t.Errorf("%d requests never answered, the first: %s", len(r.Failed), r.Failed[0])
	}
	t.Logf("%d whole, slowest %s, refusals %v", r.Whole, r.Slowest.Round(time.Millisecond), r.Refusals)
}

// checkNoneWrong checks that each text that callers got is what the engine made.
func checkNoneWrong(t *testing.T, r harness.LoadResult) {
	t.Helper()
	for _, wrong := range r.Wrong {
		t.Errorf("wrong answer: %s", wrong)
	}
}
