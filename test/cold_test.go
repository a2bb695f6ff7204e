package test

import (
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/standin/engine"
	"github.com/apricothub/apricothub/test/harness"
)

var errCold = errors.New("the engine is still cold")

const (
	coldLimit = 2
	// turnColdGrace is how long the caches of a warm engine last after it turns cold. Within this
	// time nobody can detect it, and the engine can still take its load.
	turnColdGrace = 500 * time.Millisecond
)

// coldStartSpec is a cluster whose engines take few requests in cold start and many when warm.
// Tokens take 15 ms when warm and 90 ms when cold: a busy test machine adds some milliseconds to
// either, which must not hide the difference.
func coldStartSpec(engines int) harness.Spec {
	return harness.Spec{
		Entries:     3,
		Engines:     engines,
		EngineFlags: []string{"-cold", "2", "-warm-after", "8", "-full", "16", "-token", "15ms"},
		Agent:       harness.Settings{"backend": {"cold-limit": "2", "full-limit": "16"}},
	}
}

// checkColdLimit checks by an engine's own record that it never had too many requests while cold.
func checkColdLimit(t *testing.T, m *harness.Member, when string) {
	t.Helper()
	r := m.Backend.Record()
	if r.MaxRunningCold > coldLimit || r.Overloads > 0 {
		t.Errorf("%s: %s had %d at once while cold, want at most %d; it crashed %d times",
			when, m.VM, r.MaxRunningCold, coldLimit, r.Overloads)
		logCrash(t, r.Arrivals)
	}
}

// logCrash prints the requests that were running when the engine first crashed.
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

// waitForWarmLoad waits until the engine is warm and has more requests than its cold limit allows.
func waitForWarmLoad(t *testing.T, m *harness.Member) {
	t.Helper()
	harness.Eventually(t, 20*time.Second, m.VM+" is warm and loaded", func() error {
		if r := m.Backend.Record(); r.Cold || r.Running <= 2*coldLimit {
			status, err := m.Status()
			return errors.Errorf("cold %v, running %d; its agent reports %+v, %v", r.Cold, r.Running, status.Backends, err)
		}
		return nil
	})
}

// A warm engine turns cold without notice while callers send through all entries. An engine that
// gets more than its cold limit crashes and loses every answer on it, so its own record must never
// show more. Right after the change nobody can detect it: until its caches are gone the engine
// takes what arrives.
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

// The agent of a cold engine is killed while the engine still runs its requests. The new agent does
// not know of these requests; unless it asks the engine, it sends twice the cold limit.
func TestAgentRestartsBeforeColdEngine(t *testing.T) {
	t.Parallel()
	spec := coldStartSpec(1)
	spec.EngineFlags = []string{"-cold", "2", "-warm-after", "100000"}
	c := startCluster(t, spec)
	load := c.StartLoad(harness.LoadSpec{Callers: 12, Tokens: 30, Seed: 5, RequestTimeout: 2 * time.Second})
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
	harness.Eventually(t, 10*time.Second, "the engine serves after the restarts", func() error {
		if m.Backend.Record().Completed <= before {
			return errors.New("no request completed")
		}
		return nil
	})
	load.Stop()
	checkColdLimit(t, m, "at the end")
}

// The agent of a warm engine is replaced under load. The new agent has no baseline of the engine's
// times: its entries send it one, and four first tokens near that baseline let it leave the cold
// limit. Without the baseline it needs eight times as many first tokens, 14 s here, in which most
// callers are refused.
func TestAgentReplacedBeforeWarmEngine(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	spec := coldStartSpec(1)
	spec.EngineFlags = []string{"-cold", "2", "-warm-after", "4", "-full", "4", "-token", "15ms"}
	spec.Agent = harness.Settings{"backend": {"cold-limit": "2", "full-limit": "4"}}
	c := startCluster(t, spec)
	load := c.StartLoad(harness.LoadSpec{Callers: 8, Tokens: 60, Seed: 6, RequestTimeout: 2 * time.Second})
	m := c.EngineAgents()[0]
	checkFull := func() error {
		if r := m.Backend.Record(); r.Running < 4 {
			return errors.Errorf("%d running", r.Running)
		}
		return nil
	}
	harness.Eventually(t, 30*time.Second, "the engine is full", checkFull)
	time.Sleep(2 * time.Second) // The baseline is sent with the next report.
	m.Kill()
	m.Restart()
	c.WaitReady(m)
	restartedAt := time.Now()
	time.Sleep(2 * time.Second) // Requests of the former agent end.
	harness.Eventually(t, 9*time.Second, "the engine is full again", checkFull)
	t.Logf("full again after %s", time.Since(restartedAt).Round(time.Millisecond))
	load.Stop()
	checkColdLimit(t, m, "at the end")
}

// checkNoneCut checks that no answer was cut and no request stayed without an answer.
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

// checkNoneWrong checks that each text that callers got is what the engine produced.
func checkNoneWrong(t *testing.T, r harness.LoadResult) {
	t.Helper()
	for _, wrong := range r.Wrong {
		t.Errorf("wrong answer: %s", wrong)
	}
}
