package test

import (
	"strconv"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/harness"
)

// subsetStopSpec is a cluster whose entries are linked to the given number of engines each.
func subsetStopSpec(engines, linked int) harness.Spec {
	links := harness.Settings{"link": {"agents-per-offer": strconv.Itoa(linked)}}
	spec := stopSpec(engines)
	spec.Entry, spec.Agent = spec.Entry.With(links), spec.Agent.With(links)
	return spec
}

// Each entry is linked to one agent of three, the minimum. An agent is stopped gracefully while
// callers stream, and then the entries one after another, which changes the subsets of the others.
// An entry whose only agent stops must link to the next one within a moment and queue requests
// until then; one whose subset changes must use the old link until the new one carries requests. No
// caller may be refused, and no answer cut.
func TestPlannedStopsWithOneLink(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	c := startCluster(t, subsetStopSpec(3, 1))
	load := c.StartLoad(harness.LoadSpec{Callers: 100, Tokens: 20, KeepAlive: true, Seed: 31})
	time.Sleep(time.Second)
	agent := c.EngineAgents()[0]
	checkGracefulStop(t, agent)
	agent.Restart()
	c.WaitReady(agent)
	for _, m := range c.Entries {
		time.Sleep(time.Second)
		checkGracefulStop(t, m)
		m.Restart()
		c.WaitReady(m)
	}
	time.Sleep(500 * time.Millisecond)
	checkServedThroughout(t, load)
}

// Each entry is linked to two agents of four. Two agents are stopped gracefully in quick succession
// while callers stream, so that an entry may lose both before the first is back. No caller may be
// refused, and no answer cut.
func TestTwoPlannedStopsWithTwoLinks(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	c := startCluster(t, subsetStopSpec(4, 2))
	load := c.StartLoad(harness.LoadSpec{Callers: 100, Tokens: 20, KeepAlive: true, Seed: 32})
	time.Sleep(time.Second)
	for _, agent := range c.EngineAgents()[:2] {
		checkGracefulStop(t, agent)
	}
	time.Sleep(500 * time.Millisecond)
	checkServedThroughout(t, load)
}

// A failure domain is marked out that contains the only agent an entry is linked to. The agent
// knows the mark and refuses before its entry has the next link. Requests must wait for that link:
// no caller may be refused, and no answer cut.
func TestDomainOutWithOneLink(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	c := startCluster(t, subsetStopSpec(3, 1))
	load := c.StartLoad(harness.LoadSpec{Callers: 100, Tokens: 20, KeepAlive: true, Seed: 34})
	time.Sleep(time.Second)
	c.MarkOut(c.EngineAgents()[0].Domain)
	time.Sleep(2 * time.Second)
	checkServedThroughout(t, load)
}

// The last agent of a model is stopped gracefully. No other agent can serve: every caller must be
// told so, and to retry after a second, rather than that its deadline cannot be met. The answers in
// flight must finish, and after the agent's restart callers must be served.
func TestTheLastAgentOfAModelStops(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	for _, linked := range []int{0, 1} {
		t.Run(strconv.Itoa(linked)+" linked", func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, subsetStopSpec(1, linked))
			load := c.StartLoad(harness.LoadSpec{Callers: 100, Tokens: 20, KeepAlive: true, Seed: 35})
			time.Sleep(time.Second)
			agent := c.EngineAgents()[0]
			checkGracefulStop(t, agent)
			time.Sleep(time.Second)
			before := load.Whole()
			agent.Restart()
			c.WaitReady(agent)
			time.Sleep(3 * time.Second)
			r := load.Stop()
			checkNoneCut(t, r)
			for name, n := range r.Refusals {
				if name != "NO_BACKEND" {
					t.Errorf("%d refused as %s: %q", n, name, r.RefusalSamples)
				}
			}
			if r.Refusals["NO_BACKEND"] == 0 || r.Whole == before {
				t.Errorf("refusals %v, %d whole after the restart: the test proves nothing", r.Refusals, r.Whole-before)
			}
		})
	}
}

// The only agent that an entry is linked to is killed while callers stream. Answers that had begun
// there break, since only that agent held them. Later requests must wait until the entry has
// detected the loss of the agent, after a second, and has the next link: none may be refused as not
// run.
func TestKilledAgentWithOneLink(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	c := startCluster(t, subsetStopSpec(3, 1))
	load := c.StartLoad(harness.LoadSpec{Callers: 100, Tokens: 20, KeepAlive: true, Seed: 33})
	time.Sleep(1300 * time.Millisecond)
	c.EngineAgents()[0].Kill()
	time.Sleep(3 * time.Second)
	r := load.Stop()
	checkNoneWrong(t, r)
	t.Logf("%d whole, slowest %s, refusals %v", r.Whole, r.Slowest.Round(time.Millisecond), r.Refusals)
	broken := r.Refusals["ANSWER_BROKEN"]
	if len(r.Refusals) > 1 || len(r.Cut) > broken || len(r.Failed) > 0 {
		t.Errorf("refusals %v at %q, %d cut, %d never answered", r.Refusals, r.RefusalSamples, len(r.Cut), len(r.Failed))
	}
	if broken == 0 {
		t.Error("no answer was in flight at the agent: the test proves nothing")
	}
}
