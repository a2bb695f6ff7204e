package test

import (
	"strings"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/harness"
)

// oneLink links each entry to one agent of each offer.
var oneLink = harness.Settings{"link": {"agents-per-offer": "1"}}

// runUntilInForce runs a command that must end with the change in force and returns how long it
// took.
func runUntilInForce(t *testing.T, c *harness.Cluster, args ...string) time.Duration {
	t.Helper()
	begin := time.Now()
	out, status := c.Operate(args...)
	took := time.Since(begin)
	if status != 0 || !strings.Contains(out, "In force everywhere.") {
		t.Errorf("%v: exit status %d after %v: %s", args, status, took, out)
	}
	return took
}

// An operator publishes and marks while each of three entries is linked to one of eight agents, so
// that five agents have no entry. Both commands must end with "in force" within seconds, once all
// processes hold the change. If the command relied only on the agents that its entry hears itself,
// it would end with NOT_CONFIRMED.
//
// Then one agent that no entry is linked to is paused. The commands must end with NOT_CONFIRMED and
// name only that agent; when it resumes, the change must be in force. Finally it is killed: a
// command that waits for it must end once its VM has left the list.
func TestInForceWithSubsets(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 3, Engines: 8, Entry: oneLink, Agent: oneLink})
	unlinked := unlinkedAgent(t, c)
	runUntilInForce(t, c, "publish", "plans", plansFile(t, harness.PlansListWith(2000)), "-x", "in-force", "-w", "8s")
	runUntilInForce(t, c, "mark", "vm", c.Agents[0].VM, "out", "-x", "in-force", "-w", "8s")
	unlinked.Pause()
	for _, args := range [][]string{
		{"publish", "plans", plansFile(t, harness.PlansListWith(3000))},
		{"mark", "vm", c.Agents[0].VM, "in"},
	} {
		out, status := c.Operate(append(args, "-x", "in-force", "-w", "4s")...)
		if status != 5 || !strings.Contains(out, "not applied it: "+unlinked.VM+".") {
			t.Errorf("%v without %s: exit status %d: %s", args, unlinked.VM, status, out)
		}
	}
	unlinked.Continue()
	runUntilInForce(t, c, "publish", "plans", plansFile(t, harness.PlansListWith(4000)), "-x", "in-force", "-w", "8s")
	unlinked.Kill()
	removal := time.AfterFunc(2*time.Second, func() { c.Platform.DeleteVM(unlinked.VM) })
	defer removal.Stop()
	if took := runUntilInForce(t, c, "publish", "plans", plansFile(t, harness.PlansListWith(5000)), "-x", "in-force", "-w", "10s"); took < 2*time.Second {
		t.Errorf("in force after %v, with %s dead and on the list", took, unlinked.VM)
	}
}

// unlinkedAgent returns an agent that no entry is linked to.
func unlinkedAgent(t *testing.T, c *harness.Cluster) *harness.Member {
	t.Helper()
	linked := make(map[string]bool)
	for _, e := range c.Entries {
		for _, vm := range linkedAgents(t, e) {
			linked[vm] = true
		}
	}
	for _, m := range c.EngineAgents() {
		if !linked[m.VM] {
			return m
		}
	}
	t.Fatal("every agent is linked to an entry")
	return nil
}

// Measures the time from an operator's command to "in force" with 3 entries and 8 agents, with
// links to all agents and with one or two agents for each entry. Subsets may cost a dial and a few
// heartbeats, not seconds.
func TestTimeToInForce(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	for _, agentsPerOffer := range []string{"0", "1", "2"} {
		t.Run(agentsPerOffer, func(t *testing.T) {
			links := harness.Settings{"link": {"agents-per-offer": agentsPerOffer}}
			c := startCluster(t, harness.Spec{Entries: 3, Engines: 8, Entry: links, Agent: links})
			var took []time.Duration
			for i := range 5 {
				took = append(took, runUntilInForce(t, c, "publish", "plans", plansFile(t, harness.PlansListWith(2000+i)), "-w", "8s"))
			}
			t.Logf("agents-per-offer %s: in force after %v", agentsPerOffer, took)
		})
	}
}

// plansFile writes a list of plans for the command.
func plansFile(t *testing.T, text string) string {
	t.Helper()
	return harness.WriteFile(t, t.TempDir(), "plans.ini", text)
}
