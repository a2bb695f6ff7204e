package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/harness"
)

// A push ran, but its answer was lost on the way to the store, which retries with the same ticket.
// Whatever state the entry it reaches is in, the answer must not be "not run": the store would take
// a new ticket and push twice.
func TestNotRunIsNeverReportedForAPushThatRan(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 3, Services: 1})
	caller := harness.NewCaller(harness.Key)
	agent := c.ServiceAgents()[0]
	ticket, err := caller.RequestTicket(t.Context(), c.Entries[0].Public, harness.Service)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	push := func(entry *harness.Member, when string) {
		t.Helper()
		reply, err := caller.Push(t.Context(), entry.Public, ticket.Ticket, "ran")
		if err != nil {
			return // No answer arrived.
		}
		answer := fmt.Sprintf("%s: %d %s, ran %s", when, reply.Code, reply.Name, reply.Ran)
		if seen[answer] {
			return
		}
		seen[answer] = true
		t.Log(answer)
		if reply.Ran == harness.RanNo {
			t.Errorf("%s: reported as not run", answer)
		}
	}
	push(c.Entries[0], "first")
	if n := runsByCall(c)["ran"]; n != 1 {
		t.Fatalf("%d runs, want 1", n)
	}

	c.MustOperate("mark", "domain", agent.Domain, "out")
	push(c.Entries[1], "failure domain out")
	c.MustOperate("mark", "domain", agent.Domain, "in")

	restarted := c.Entries[2]
	restarted.Kill()
	restarted.Restart()
	for restarted.Ready() != nil {
		push(restarted, "entry starting")
	}
	push(restarted, "entry just started")

	isolated := c.Entries[1]
	isolated.View.Cut(true)
	for _, m := range c.Members() {
		for _, link := range isolated.View.Links() {
			link.Isolate()
		}
		if link := m.View.Link(isolated.VM); link != nil {
			link.Isolate()
		}
	}
	for range 8 {
		push(isolated, "entry cut off")
		time.Sleep(500 * time.Millisecond)
	}

	agent.Kill()
	push(c.Entries[0], "agent gone")
	agent.Restart()
	c.WaitReady(agent)
	push(c.Entries[0], "agent started again")
	if n := runsByCall(c)["ran"]; n != 1 {
		t.Errorf("%d runs in the end, want 1", n)
	}
}
