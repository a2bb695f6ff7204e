package test

import (
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/harness"
)

// sparseEntries is the number of entries: three in each of three failure domains.
const sparseEntries = 9

// Callers send to two entries while the log is down, and no process hears a majority of the
// entries: an entry hears the two others of its failure domain, one pair of entries connects each
// domain to the next, and the agent hears one entry at either end. Callers must be served as
// before, for many times the freshness limit. Each entry by itself would refuse as isolated;
// together they know that no majority holds a newer version.
func TestLogOutageWhereNobodyHearsAMajority(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: sparseEntries, Engines: 1, Domains: []string{"a", "b", "c"}})
	warmUp(t, c)
	agent := c.EngineAgents()[0]
	targets := []*harness.Member{c.Entries[3], c.Entries[8]}
	for i, e := range c.Entries {
		for j, other := range c.Entries {
			linked := i+1 == j && (i == 0 || i == 4) || j+1 == i && (j == 0 || j == 4)
			if e.Domain != other.Domain && !linked {
				isolateLink(e, other)
			}
		}
		if e != targets[0] && e != targets[1] {
			isolateLink(e, agent)
			isolateLink(agent, e)
		}
	}
	// Wait until the cut links are detected as dead and what was received on them is dropped.
	time.Sleep(4 * time.Second)
	c.Platform.SetLogMode("down", 0)
	caller := harness.NewCaller(harness.Key)
	begin, served := time.Now(), 0
	for time.Since(begin) < 10*time.Second {
		for _, e := range targets {
			_, reply, err := caller.Complete(t.Context(), e.Public, harness.Prompt{Text: "outage", Tokens: 2})
			if err != nil || reply.Status != 200 {
				t.Fatalf("%v into the outage %s answers %d %s, %v", time.Since(begin), e.VM, reply.Code, reply.Name, err)
			}
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	if served == 0 {
		t.Error("no request was sent")
	}
}

// isolateLink silences the link that one member dials to another.
func isolateLink(from, to *harness.Member) {
	if link := from.View.Link(to.VM); link != nil {
		link.Isolate()
	}
}
