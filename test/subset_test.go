package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/decide/subset"
	"github.com/apricothub/apricothub/internal/standin/platform"
	"github.com/apricothub/apricothub/internal/standin/service"
	"github.com/apricothub/apricothub/test/harness"
)

// twoLinks links each entry to two agents of each offer.
var twoLinks = harness.Settings{"link": {"agents-per-offer": "2"}}

// linkedAgents returns the agents that an entry is linked to.
func linkedAgents(t *testing.T, m *harness.Member) []string {
	t.Helper()
	status, err := m.Status()
	if err != nil {
		t.Fatal(err)
	}
	var agents []string
	for _, other := range status.Members {
		if other.Role == "agent" && other.Link == "up" {
			agents = append(agents, other.VM)
		}
	}
	return agents
}

// A store takes a ticket at one entry, pushes through entries that are not linked to the ticket's
// agent, and asks there for the ticket's state. The entry must dial the agent on demand: the push
// runs once, and all attempts get its answer. A ticket that nobody used must be void once its state
// was asked for, through any entry.
func TestTicketThroughAnEntryThatIsNotLinked(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 3, Services: 6, Entry: twoLinks, Agent: twoLinks})
	caller := harness.NewCaller(harness.Key)
	first := c.Entries[0]
	linked := linkedAgents(t, first)
	if len(linked) != 2 {
		t.Fatalf("%s is linked to %q, want two agents", first.VM, linked)
	}
	ticket, err := caller.RequestTicket(t.Context(), first.Public, harness.Service)
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range c.Entries {
		reply, err := caller.Push(t.Context(), m.Public, ticket.Ticket, "far")
		if err != nil || reply.Code != 0 || reply.Ran != harness.RanYes {
			t.Errorf("through %s, linked to %q: %d %s, ran %s, %v", m.VM, linkedAgents(t, m), reply.Code, reply.Name, reply.Ran, err)
		}
	}
	if n := runsByCall(c)["far"]; n != 1 {
		t.Errorf("the push ran %d times, want once", n)
	}
	unused, err := caller.RequestTicket(t.Context(), first.Public, harness.Service)
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range c.Entries {
		reply, err := caller.Do(t.Context(), m.Public, harness.Request{Method: "GET", Path: "/v1/tickets/" + unused.Ticket})
		if err != nil || !strings.Contains(string(reply.Body), `"ran":"no"`) {
			t.Errorf("state of an unused ticket through %s: %s, %v", m.VM, reply.Body, err)
		}
	}
}

// metric returns one value of an entry's metrics.
func metric(t *testing.T, m *harness.Member, name string) int {
	t.Helper()
	values, err := m.Metrics()
	if err != nil {
		t.Fatal(err)
	}
	return int(values[name])
}

// pushThroughAll takes a ticket through one entry and pushes with it through all entries at once,
// most of them not linked to its agent. It returns one outcome for each attempt.
func pushThroughAll(ctx context.Context, caller *harness.Caller, addresses []string, call string) []harness.Outcome {
	ticket, err := caller.RequestTicket(ctx, addresses[0], harness.Service)
	if err != nil {
		return nil
	}
	outcomes := make([]harness.Outcome, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			attempt := harness.PushAttempt{Begin: time.Now()}
			reply, err := caller.Push(ctx, address, ticket.Ticket, call)
			attempt.End = time.Now()
			out := harness.Outcome{Call: call, Ticket: ticket.Ticket, Ran: harness.RanUnknown, Code: reply.Code, LastMessage: reply.Name}
			if err == nil {
				attempt.Ran, out.Ran = reply.Ran, reply.Ran
			}
			out.Attempts = []harness.PushAttempt{attempt}
			outcomes[i] = out
		})
	}
	wg.Wait()
	return outcomes
}

// Stores send the same tickets through all entries at once while entries and agents are killed and
// paused, and links are cut and go silent. Each entry is linked to two of six agents and dials the
// others for the tickets. No push may run twice, and what the entries answer for one ticket must
// agree with each other and with the ledger.
func TestAtMostOnceThroughEntriesThatAreNotLinked(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	const seed = 21
	c := startCluster(t, harness.Spec{Entries: 3, Services: 6, Entry: twoLinks, Agent: twoLinks})
	for _, m := range c.ServiceAgents() {
		m.Backend.SetBehaviour(service.Behaviour{DelayMS: 40})
	}
	ctx, stop := context.WithCancel(t.Context())
	var mu sync.Mutex
	var outcomes []harness.Outcome
	var stores sync.WaitGroup
	for store := range 6 {
		stores.Go(func() {
			caller, random := harness.NewCaller(harness.Key), rand.New(rand.NewPCG(seed, uint64(store)))
			for n := 0; ctx.Err() == nil; n++ {
				addresses := publicAddresses(c)
				random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
				// The attempts themselves are not ended by stop, so that each gets an answer.
				got := pushThroughAll(context.WithoutCancel(ctx), caller, addresses, fmt.Sprintf("store-%d-%d", store, n))
				mu.Lock()
				outcomes = append(outcomes, got...)
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	random := rand.New(rand.NewPCG(seed, 0))
	for range 8 {
		time.Sleep(time.Duration(200+random.IntN(500)) * time.Millisecond)
		injectFault(c, random)
	}
	time.Sleep(time.Second)
	spare := 0
	for _, m := range c.Entries {
		spare += metric(t, m, "entry.links.spare")
	}
	stop()
	stores.Wait()
	checkOutcomes(t, c, outcomes)
	checkTickets(t, outcomes)
	counts := countOutcomes(outcomes)
	t.Logf("seed %d: attempts %v, %d agents dialled on demand", seed, counts, spare)
	if spare == 0 || counts[harness.RanYes] < 100 {
		t.Errorf("%d agents were dialled on demand, attempts %v: the test proves nothing", spare, counts)
	}
}

// A failure domain goes out and returns at a load of 70% of what the others can take, and each
// entry is linked to two of six engines, some of them in that domain. The entries must link to
// further engines: nothing may be cut or lost, and no new request may arrive in the domain three
// seconds after the mark.
func TestDomainOutWithSubsets(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	spec := coldStartSpec(6)
	spec.Entry = twoLinks
	spec.Agent = spec.Agent.With(twoLinks)
	c := startCluster(t, spec)
	warmUp(t, c)
	const callers = 4 * 16 * 7 / 10
	load := c.StartLoad(harness.LoadSpec{Callers: callers, Tokens: 20, Seed: 22})
	time.Sleep(time.Second)
	const domain = "b"
	begin, ended := c.MarkOut(domain)
	var out []*harness.Member
	for _, m := range c.EngineAgents() {
		if m.Domain == domain {
			out = append(out, m)
		}
	}
	for _, e := range c.Entries {
		harness.Eventually(t, 3*time.Second, e.VM+" is linked to two agents in service", func() error {
			n := 0
			for _, vm := range linkedAgents(t, e) {
				if c.Member(vm).Domain != domain {
					n++
				}
			}
			if n < 2 {
				return errors.Errorf("%d agents", n)
			}
			return nil
		})
	}
	for _, m := range out {
		checkNoArrivalsAfter(t, m, begin, "out with subsets")
	}
	t.Logf("the command for the mark: exit status %d", <-ended)
	_, _ = c.Operate("mark", "domain", domain, "in", "-w", "1s")
	before := make(map[string]int)
	for _, m := range out {
		before[m.VM] = len(m.Backend.Record().Arrivals)
	}
	for _, m := range out {
		harness.Eventually(t, 15*time.Second, m.VM+" gets requests again", func() error {
			if len(m.Backend.Record().Arrivals) == before[m.VM] {
				return errors.New("no request arrived")
			}
			return nil
		})
		checkColdLimit(t, m, "after the return")
	}
	checkNoneCut(t, load.Stop())
}

// subsetOf returns the engines that the list of VMs assigns to an entry, with one VM excluded.
func subsetOf(c *harness.Cluster, entry, excluded string) []string {
	var entries, engines []subset.Node
	for _, m := range c.Entries {
		entries = append(entries, subset.Node{Name: m.VM, Domain: m.Domain})
	}
	for _, m := range c.EngineAgents() {
		if m.VM != excluded {
			engines = append(engines, subset.Node{Name: m.VM, Domain: m.Domain})
		}
	}
	return subset.ForClient(entry, entries, engines, 2)
}

// findSubsetChange finds an entry, a VM whose addition changes the entry's subset, and the agent
// that the subset drops.
func findSubsetChange(t *testing.T, c *harness.Cluster) (entry, added, dropped *harness.Member) {
	t.Helper()
	for _, e := range c.Entries {
		for _, m := range c.EngineAgents() {
			all := subsetOf(c, e.VM, "")
			for _, vm := range subsetOf(c, e.VM, m.VM) {
				if !slices.Contains(all, vm) {
					return e, m, c.Member(vm)
				}
			}
		}
	}
	t.Fatal("no VM whose addition changes a subset")
	return nil, nil, nil
}

// streamRetryingRefusals streams an answer over one connection. It retries only when it was refused
// before the answer began: an engine that is still cold takes two requests at once.
func streamRetryingRefusals(ctx context.Context, caller *harness.Caller, e *harness.Member, p harness.Prompt) (harness.Streamed, error) {
	for {
		var got harness.Streamed
		err := caller.Stream(ctx, e.Public, p, &got, nil)
		if err != nil || got.Refused == nil || got.Text != "" || got.Refused.RetryAfter == 0 {
			return got, err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// A VM is added, and an entry's subset drops an agent while streams from that agent are in flight.
// They must finish, byte for byte, over the old link; no new requests may go there, and the link
// must be closed once the streams have ended.
func TestALinkThatLeavesTheSubsetCutsNoStream(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 3, Engines: 6, Entry: twoLinks, Agent: twoLinks, EngineFlags: []string{"-token", "40ms"}})
	warmUp(t, c)
	e, added, dropped := findSubsetChange(t, c)
	c.Platform.DeleteVM(added.VM)
	harness.Eventually(t, 10*time.Second, e.VM+" links to "+dropped.VM, func() error {
		if !slices.Contains(linkedAgents(t, e), dropped.VM) {
			return errors.Errorf("it is linked to %q", linkedAgents(t, e))
		}
		return nil
	})
	caller := harness.NewCaller(harness.Key)
	// Each stream takes six seconds or more. The agent may not have reported yet when the first
	// begin.
	var streams sync.WaitGroup
	const maxStreams = 10
	for i := 0; i < maxStreams && dropped.Backend.Record().Running == 0; i++ {
		streams.Go(func() {
			p := harness.Prompt{Text: fmt.Sprint("long-", i), Seed: 1, Tokens: 150}
			got, err := streamRetryingRefusals(t.Context(), caller, e, p)
			if err != nil || !got.Whole || got.Text != p.Want() {
				t.Errorf("stream %d: whole %v, %d of %d bytes, refused %v, %v", i, got.Whole, len(got.Text), len(p.Want()), got.Refused != nil, err)
			}
		})
		time.Sleep(300 * time.Millisecond)
	}
	running, reattached := dropped.Backend.Record().Running, metric(t, e, "entry.answers.reattached")
	c.Platform.PutVM(platform.VM{ID: added.VM, Role: "backend", FailureDomain: added.Domain, Link: added.Link, State: "live", Offer: added.Offer})
	// The list is read each second. The new link is up and has delivered a report a moment later;
	// until then the old one is used.
	time.Sleep(3 * time.Second)
	after := dropped.Backend.Record()
	if after.Running == 0 {
		t.Errorf("no stream from %s was in flight when its link left the subset; %d were before", dropped.VM, running)
	}
	for i := range 20 {
		if _, reply, err := caller.Complete(t.Context(), e.Public, harness.Prompt{Text: fmt.Sprint("short-", i), Tokens: 2}); err != nil || reply.Code != 0 {
			t.Errorf("short %d: %d %s, %v", i, reply.Code, reply.Name, err)
		}
	}
	if n := len(dropped.Backend.Record().Arrivals) - len(after.Arrivals); n > 0 {
		t.Errorf("%d new requests reached %s, which is not in the subset any more", n, dropped.VM)
	}
	streams.Wait()
	if n := metric(t, e, "entry.answers.reattached") - reattached; n > 0 {
		t.Errorf("%d streams were reattached over another link", n)
	}
	harness.Eventually(t, 20*time.Second, "the link is closed", func() error {
		if slices.Contains(linkedAgents(t, e), dropped.VM) {
			return errors.New("the link is up")
		}
		return nil
	})
}

// A caller's connection breaks in the middle of a stream, and it resumes with Last-Event-ID through
// entries that are not linked to the agent that streams. They must dial the agent: the caller gets
// the rest, byte for byte, and the engine runs the request once.
func TestStreamResumesThroughEntriesThatAreNotLinked(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 3, Engines: 6, Entry: twoLinks, Agent: twoLinks, EngineFlags: []string{"-token", "20ms", "-cold", "0"}})
	caller := harness.NewCaller(harness.Key)
	p := harness.Prompt{Text: "goes on", Seed: 4, Tokens: 120}
	var got harness.Streamed
	for i, m := range c.Entries {
		ctx, hangUp := context.WithCancel(t.Context())
		err := caller.Stream(ctx, m.Public, p, &got, func() {
			if got.Events == 30*(i+1) {
				hangUp()
			}
		})
		hangUp()
		if got.Refused != nil {
			t.Fatalf("through %s, linked to %q: %d %s, %v", m.VM, linkedAgents(t, m), got.Refused.Code, got.Refused.Name, err)
		}
	}
	if err := caller.Stream(t.Context(), c.Entries[0].Public, p, &got, nil); err != nil || !got.Whole || got.Text != p.Want() {
		t.Errorf("whole %v, %d of %d bytes, refused %+v, %v", got.Whole, len(got.Text), len(p.Want()), got.Refused, err)
	}
	spare, arrivals := 0, 0
	for _, m := range c.Entries {
		spare += metric(t, m, "entry.links.spare")
	}
	for _, m := range c.EngineAgents() {
		arrivals += len(m.Backend.Record().Arrivals)
	}
	if arrivals != 1 {
		t.Errorf("the engines got %d requests, want one", arrivals)
	}
	if spare == 0 {
		t.Error("no agent was dialled on demand: the test proves nothing")
	}
}
