package test

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/apricothub/apricothub/internal/standin/service"
	"github.com/apricothub/apricothub/test/harness"
)

// runsByCall counts the runs of each call over all plain services.
func runsByCall(c *harness.Cluster) map[string]int {
	all := map[string]int{}
	for _, m := range c.ServiceAgents() {
		for call, n := range harness.CountRuns(m.Backend.Ledger()) {
			all[call] += n
		}
	}
	return all
}

// checkOutcomes checks what callers were told against the ledgers.
func checkOutcomes(t *testing.T, c *harness.Cluster, outcomes []harness.Outcome) {
	t.Helper()
	ledger := runsByCall(c)
	for _, out := range outcomes {
		n := ledger[out.Call]
		switch {
		case n > 1:
			t.Errorf("%s ran %d times: %+v", out.Call, n, out)
		case out.Ran == harness.RanYes && n != 1:
			t.Errorf("%s was reported as run, the ledger has %d: %+v", out.Call, n, out)
		case out.Ran == harness.RanNo && n != 0:
			t.Errorf("%s was reported as not run, the ledger has %d: %+v", out.Call, n, out)
		}
	}
	for call, n := range ledger {
		if n > 1 {
			t.Errorf("%s ran %d times", call, n)
		}
	}
}

// ticketState is a possible state of a ticket.
type ticketState int

const (
	ticketUnused ticketState = iota
	ticketRan
	ticketVoid
)

// ticketModel models a ticket as a register that is set once, to "ran" or to "void". An attempt
// without an answer, or with "unknown", may have set it or not.
var ticketModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byTicket := map[string][]porcupine.Operation{}
		for _, op := range history {
			ticket := op.Input.(string)
			byTicket[ticket] = append(byTicket[ticket], op)
		}
		return slices.Collect(maps.Values(byTicket))
	},
	Init: func() []any { return []any{ticketUnused} },
	Step: func(state, _, output any) []any {
		before := state.(ticketState)
		switch output.(string) {
		case harness.RanYes:
			return transition(before, ticketRan)
		case harness.RanNo:
			return transition(before, ticketVoid)
		}
		if before == ticketUnused {
			return []any{ticketUnused, ticketRan, ticketVoid}
		}
		return []any{before}
	},
}

// transition returns the states after a ticket was observed in state to: none if it was set to
// another state before.
func transition(from, to ticketState) []any {
	if from == ticketUnused || from == to {
		return []any{to}
	}
	return nil
}

// checkTickets checks the history of all attempts. One without an answer may take effect at any
// later time.
func checkTickets(t *testing.T, outcomes []harness.Outcome) {
	t.Helper()
	var history []porcupine.Operation
	for client, out := range outcomes {
		for _, attempt := range out.Attempts {
			op := porcupine.Operation{ClientId: client, Input: out.Ticket, Output: attempt.Ran}
			op.Call, op.Return = attempt.Begin.UnixNano(), attempt.End.UnixNano()
			if attempt.Ran == "" || attempt.Ran == harness.RanUnknown {
				op.Return = math.MaxInt64
			}
			history = append(history, op)
		}
	}
	if !porcupine.CheckOperations(ticketModel.ToModel(), history) {
		t.Errorf("the history of %d attempts is not that of tickets that run at most once", len(history))
	}
}

// countOutcomes counts outcomes for the log.
func countOutcomes(outcomes []harness.Outcome) map[string]int {
	counts := map[string]int{}
	for _, out := range outcomes {
		counts[out.Ran]++
	}
	return counts
}

// A store pushes a price and retries when no answer comes, through whichever entry answers.
// Meanwhile entries and agents are killed, paused past every timeout and cut off, and links go
// silent. No push may run twice, and every "ran" and "not run" must be true, because the store acts
// on them: half of the callers take the first "not run" as final and would push again under a new
// ticket.
func TestAtMostOnceUnderFaults(t *testing.T) {
	t.Parallel()
	const seed = 11
	c := startCluster(t, harness.Spec{Entries: 3, Services: 3})
	for _, m := range c.ServiceAgents() {
		m.Backend.SetBehaviour(service.Behaviour{DelayMS: 40})
	}
	load := c.StartLoad(harness.LoadSpec{Callers: 12, Pushes: true, Pause: 5 * time.Millisecond, Seed: seed})
	random := rand.New(rand.NewPCG(seed, 0))
	time.Sleep(500 * time.Millisecond)
	for range 10 {
		injectFault(c, random)
		time.Sleep(time.Duration(200+random.IntN(500)) * time.Millisecond)
	}
	for _, m := range c.Members() {
		c.WaitReady(m)
	}
	before := load.Whole()
	harness.Eventually(t, 10*time.Second, "pushes work after the faults", func() error {
		if load.Whole() < before+50 {
			return fmt.Errorf("%d pushes since", load.Whole()-before)
		}
		return nil
	})
	result := load.Stop()
	checkOutcomes(t, c, result.Outcomes)
	checkTickets(t, result.Outcomes)
	t.Logf("seed %d: outcomes %v", seed, countOutcomes(result.Outcomes))
}

// pauseTime exceeds every timeout of a link: suspect, dead and freshness.
const pauseTime = 2500 * time.Millisecond

// injectFault disturbs an entry, an agent or a link and then repairs it.
func injectFault(c *harness.Cluster, random *rand.Rand) {
	entry := c.Entries[random.IntN(len(c.Entries))]
	agent := c.ServiceAgents()[random.IntN(len(c.ServiceAgents()))]
	switch random.IntN(7) {
	case 0:
		entry.Kill()
		entry.Restart()
	case 1:
		agent.Kill()
		agent.Restart()
	case 2:
		entry.Pause()
		time.Sleep(pauseTime)
		entry.Continue()
	case 3:
		agent.Pause()
		time.Sleep(pauseTime)
		agent.Continue()
	case 4:
		for _, link := range entry.View.Links() {
			link.Silence()
		}
	case 5:
		agent.BackendLink.Cut()
	case 6:
		for _, e := range c.Entries {
			if link := e.View.Link(agent.VM); link != nil {
				link.Cut()
			}
		}
	}
}

// The same ticket is sent many times at once through all entries while the first attempt is still
// running. All attempts must get the same answer and the push must run once.
func TestConcurrentPushesWithOneTicketRunOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 3, Services: 2})
	for _, m := range c.ServiceAgents() {
		m.Backend.SetBehaviour(service.Behaviour{DelayMS: 300})
	}
	caller := harness.NewCaller(harness.Key)
	ticket, err := caller.RequestTicket(t.Context(), c.Entries[0].Public, harness.Service)
	if err != nil {
		t.Fatal(err)
	}
	const presses = 30
	bodies := make([]string, presses)
	var wg sync.WaitGroup
	for i := range presses {
		wg.Go(func() {
			reply, err := caller.Push(context.Background(), publicAddresses(c)[i%3], ticket.Ticket, "pressed")
			bodies[i] = fmt.Sprintf("%d %d %s %v", reply.Status, reply.Code, reply.Body, err)
		})
	}
	wg.Wait()
	for i, body := range bodies {
		if body != bodies[0] {
			t.Errorf("attempt %d got %q, the first got %q", i, body, bodies[0])
		}
	}
	if got := runsByCall(c)["pressed"]; got != 1 {
		t.Errorf("%d runs, want 1; first answer %q", got, bodies[0])
	}
	reply, err := caller.Do(t.Context(), c.Entries[1].Public, harness.PushRequest(ticket.Ticket, "another"))
	if err != nil || reply.Code != 110 {
		t.Errorf("another request under the ticket: %d %s, %v; want 110 TICKET_REUSED", reply.Code, reply.Name, err)
	}
	if got := runsByCall(c)["another"]; got != 0 {
		t.Errorf("another request under the ticket ran %d times", got)
	}
}

// The service reads a call, runs it, and closes the connection instead of answering, on a
// connection that was used before. Go's HTTP client resends such a call by itself if its method is
// idempotent or its body can be read again, and it follows redirects. The call must run once, and
// its caller must not be told "not run".
func TestBackendClosesAfterReading(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 1, Services: 1})
	caller := harness.NewCaller(harness.Key)
	backend := c.ServiceAgents()[0].Backend
	address := c.Entries[0].Public
	requests := []harness.Request{
		{Method: http.MethodPost, Path: "/push", Body: `{"label":"x","price":"1"}`},
		{Method: http.MethodPost, Path: "/void"},
		{Method: http.MethodPut, Path: "/labels/x", Body: "1"},
		{Method: http.MethodDelete, Path: "/labels/x"},
		{Method: http.MethodGet, Path: "/count"},
	}
	for i, r := range requests {
		for _, mode := range []service.Behaviour{{CloseAfterRead: true}, {Redirect: true}} {
			for _, ticketed := range []bool{false, true} {
				call := fmt.Sprintf("%d-%s-%v-%v", i, r.Method, mode.Redirect, ticketed)
				backend.SetBehaviour(service.Behaviour{})
				if reply, err := caller.LookUp(t.Context(), address, "x", "before-"+call); err != nil || reply.Status != http.StatusOK {
					t.Fatalf("look-up: %d %s, %v", reply.Code, reply.Name, err)
				}
				backend.SetBehaviour(mode)
				sent := harness.Request{Method: r.Method, Path: "/services/" + harness.Service + r.Path, Body: r.Body}
				sent.Header = map[string]string{"X-Call": call}
				if ticketed {
					ticket, err := caller.RequestTicket(t.Context(), address, harness.Service)
					if err != nil {
						t.Fatal(err)
					}
					sent.Header["Idempotency-Key"] = ticket.Ticket
				}
				reply, err := caller.Do(t.Context(), address, sent)
				if err != nil {
					t.Errorf("%s: %v", call, err)
				}
				if reply.Ran == harness.RanNo {
					t.Errorf("%s: reported as not run: %d %s", call, reply.Code, reply.Name)
				}
			}
		}
	}
	for call, n := range runsByCall(c) {
		if n != 1 {
			t.Errorf("%s ran %d times, want 1", call, n)
		}
	}
	for _, run := range backend.Ledger() {
		if run.Key == "" {
			t.Errorf("a run that no caller sent: %+v", run)
		}
	}
}

// The check of histories must itself reject a ticket that ran after "not run" was reported, or that
// is reported as "not run" after it ran.
func TestTicketModelRejectsFalseHistories(t *testing.T) {
	histories := map[string]struct {
		answers []string
		valid   bool
	}{
		"ran, asked again":         {[]string{harness.RanYes, harness.RanYes}, true},
		"lost, then ran":           {[]string{"", harness.RanYes}, true},
		"void, asked again":        {[]string{harness.RanNo, harness.RanNo}, true},
		"ran after not run":        {[]string{harness.RanNo, harness.RanYes}, false},
		"not run after it ran":     {[]string{harness.RanYes, harness.RanNo}, false},
		"ran, lost, then not run":  {[]string{harness.RanYes, "", harness.RanNo}, false},
		"unknown, void, then void": {[]string{harness.RanUnknown, harness.RanNo, harness.RanNo}, true},
	}
	for name, h := range histories {
		var history []porcupine.Operation
		for i, answer := range h.answers {
			history = append(history, porcupine.Operation{Input: "ticket", Output: answer, Call: int64(2 * i), Return: int64(2*i + 1)})
		}
		if got := porcupine.CheckOperations(ticketModel.ToModel(), history); got != h.valid {
			t.Errorf("%s: %v, want %v", name, got, h.valid)
		}
	}
}
