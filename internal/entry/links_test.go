package entry

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/ticket"
	"github.com/apricothub/apricothub/decide/subset"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/platform"
)

// newTestLinkChooser returns the choice of an entry e1 that links to the given number of agents per
// offer.
func newTestLinkChooser(agentsPerOffer int, vms ...platform.VM) *linkChooser {
	l := newLinkChooser(&api.Hello{Vm: "e1", FailureDomain: "a"}, agentsPerOffer, metrics.NewRegistry())
	l.setVMs(append(vms, platform.VM{ID: "e1", Role: platform.RoleEntry, FailureDomain: "a", Region: "r1"}))
	return l
}

func agentVM(id, offer, region string) platform.VM {
	return platform.VM{ID: id, Role: platform.RoleBackend, FailureDomain: "a", Offer: offer, Region: region}
}

func wantedOf(l *linkChooser) []string { return l.dump().Work }

func allUsable(string) subset.Health { return subset.Usable }

// An entry must link to as many agents of each offer as configured, in its own region if that has
// any, and to all agents for which the list names no offer.
func TestLinksFollowTheListOfVMs(t *testing.T) {
	var vms []platform.VM
	for i := range 5 {
		vms = append(vms, agentVM(fmt.Sprint("near-", i), "model:m", "r1"), agentVM(fmt.Sprint("far-", i), "model:m", "r2"))
		vms = append(vms, agentVM(fmt.Sprint("only-far-", i), "service:s", "r2"), agentVM(fmt.Sprint("unnamed-", i), "", "r2"))
	}
	counts := make(map[string]int)
	for _, vm := range wantedOf(newTestLinkChooser(2, vms...)) {
		counts[vm[:len(vm)-2]]++
	}
	want := map[string]int{"near": 2, "only-far": 2, "unnamed": 5}
	if fmt.Sprint(counts) != fmt.Sprint(want) {
		t.Errorf("linked to %v, want %v", counts, want)
	}
	if all := newTestLinkChooser(0, vms...); !all.isWanted("far-0") || !all.canGetWork("far-0") || all.requestSpare(0, "far-0") {
		t.Error("with no number configured, not all agents are linked for work")
	}
}

// An agent leaves the subset while it sends a stream. It must get no new work from then on, and its
// link must be dropped only some time after the stream has ended.
func TestALinkThatLeavesTheSubsetIsKeptForItsWork(t *testing.T) {
	l := newTestLinkChooser(1, agentVM("b1", "model:m", "r1"))
	linked := map[string]bool{"b1": true}
	l.acquire("b1")
	l.setVMs([]platform.VM{agentVM("b2", "model:m", "r1")})
	drop, changed := l.tick(time.Second, linked, allUsable)
	if !changed || len(drop) > 0 || l.canGetWork("b1") || !l.isWanted("b1") || !l.canGetWork("b2") {
		t.Fatalf("drop %v, changed %v, %+v", drop, changed, l.dump())
	}
	if drop, _ = l.tick(time.Hour, linked, allUsable); len(drop) > 0 || !l.isWanted("b1") {
		t.Fatal("a link with work was dropped")
	}
	l.release(time.Hour, "b1")
	if drop, _ = l.tick(time.Hour+spareIdleTimeout/2, linked, allUsable); len(drop) > 0 {
		t.Fatal("a link was dropped right after its work")
	}
	if drop, _ = l.tick(time.Hour+spareIdleTimeout, linked, allUsable); !slices.Equal(drop, []string{"b1"}) || l.isWanted("b1") {
		t.Fatalf("drop %v after the work, want b1", drop)
	}
}

// Tickets name more agents than an entry may link to outside its subset. The link that has been
// idle longest must be dropped, never one with a request; if all are in use, a request waits.
func TestSpareLinksAreBounded(t *testing.T) {
	vms := make([]platform.VM, 0, 2*maxSpareLinks)
	for i := range 2 * maxSpareLinks {
		vms = append(vms, agentVM(fmt.Sprintf("b%03d", i), "model:m", "r2"))
	}
	l := newTestLinkChooser(1, append(vms, agentVM("near", "model:m", "r1"))...)
	for i := range maxSpareLinks {
		l.acquire(vms[i].ID)
		if !l.requestSpare(time.Duration(i), vms[i].ID) || l.requestSpare(time.Duration(i), vms[i].ID) {
			t.Fatalf("%s: want one request for a link", vms[i].ID)
		}
	}
	if l.requestSpare(time.Second, vms[maxSpareLinks].ID) {
		t.Fatal("a link above the limit while all are in use")
	}
	l.release(2*time.Second, "b007")
	l.release(time.Second, "b005")
	if !l.requestSpare(3*time.Second, vms[maxSpareLinks].ID) || l.isWanted("b005") || !l.isWanted("b007") {
		t.Errorf("want b005 dropped, which was idle longest: %v", l.dump().Spare)
	}
	if l.requestSpare(0, "not-on-the-list") || l.requestSpare(0, "near") {
		t.Error("a spare link for an agent that is not on the list, or is in the subset")
	}
	if n := len(l.dump().Spare); n != maxSpareLinks {
		t.Errorf("%d spare links, want %d", n, maxSpareLinks)
	}
}

// Retries of a store flood an entry with tickets of one agent that is dead. The agent must be
// dialed a few times only, one dial at a time, and every caller must be told "unknown", because
// the outcome of the tickets is not known.
func TestAStormForADeadAgentMakesFewDials(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var dials atomic.Int32
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			dials.Add(1)
			_ = conn.Close()
		}
	}()
	live, dead := serviceAgent(t, "b1", wholeAnswer("x")), serviceAgent(t, "b2", wholeAnswer("x"))
	live.offer, dead.offer, dead.address = "service:s", "service:other", ln.Addr().String()
	oneAgentPerOffer := proto.CloneOf(testLinks)
	oneAgentPerOffer.AgentsPerOffer = 1
	live.offer = ""
	vms := subset.ForClient("e1", []subset.Node{{Name: "e1"}}, []subset.Node{{Name: "b2"}, {Name: "b3"}}, 1)
	if vms[0] == "b2" {
		dead.vm = "b3"
	}
	other := serviceAgent(t, vms[0], wholeAnswer("x"))
	other.offer = "service:other"
	ledger := ticket.NewLedger(dead.vm, "1", []byte("k"), ticket.Limits{})
	minter := ticket.NewMinter()
	minter.Add(clock.Now(), ledger.Grant(clock.Now()))
	_, url := startLinkedEntry(t, oneAgentPerOffer, 2, live, other, dead)
	var callers sync.WaitGroup
	const requests = 200
	start := time.Now()
	for range requests {
		minted, ok := minter.Mint(clock.Now(), dead.vm, "c")
		if !ok {
			t.Fatal("no ticket")
		}
		callers.Go(func() {
			got := sendRequest(t, url, "/services/s/push", "Idempotency-Key", ticket.Encode(minted))
			if got.status == 200 || got.ran != "unknown" {
				t.Errorf("%+v", got)
			}
		})
	}
	callers.Wait()
	// Dials are sequential, 0.3 s apart.
	maxDials := int32(time.Since(start)/(300*time.Millisecond)) + 2
	if n := dials.Load(); n == 0 || n > maxDials {
		t.Errorf("%d dials for %d requests in %v, want 1 to %d", n, requests, time.Since(start), maxDials)
	}
	t.Logf("%d dials for %d requests in %v", dials.Load(), requests, time.Since(start))
}
