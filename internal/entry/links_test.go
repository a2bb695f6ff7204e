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

// newTestLinks is the choice of an entry e1 that links to so many agents of each offer.
func newTestLinks(per int, vms ...platform.VM) *links {
	l := newLinks(&api.Hello{Vm: "e1", FailureDomain: "a"}, per, metrics.NewRegistry())
	l.list(append(vms, platform.VM{ID: "e1", Role: platform.RoleEntry, FailureDomain: "a", Region: "r1"}))
	return l
}

func agentVM(id, offer, region string) platform.VM {
	return platform.VM{ID: id, Role: platform.RoleBackend, FailureDomain: "a", Offer: offer, Region: region}
}

func wantedOf(l *links) []string { return l.dump().Work }

func allUsable(string) subset.Health { return subset.Usable }

// An entry links to agents of its own region, to as many of each offer as set, to all of
// an offer that only other regions have in the same number, and to all agents of which
// the list does not say what they offer.
func TestWhatTheListSaysChoosesTheLinks(t *testing.T) {
	var vms []platform.VM
	for i := range 5 {
		vms = append(vms, agentVM(fmt.Sprint("near-", i), "model:m", "r1"), agentVM(fmt.Sprint("far-", i), "model:m", "r2"))
		vms = append(vms, agentVM(fmt.Sprint("only-far-", i), "service:s", "r2"), agentVM(fmt.Sprint("unnamed-", i), "", "r2"))
	}
	counts := make(map[string]int)
	for _, vm := range wantedOf(newTestLinks(2, vms...)) {
		counts[vm[:len(vm)-2]]++
	}
	want := map[string]int{"near": 2, "only-far": 2, "unnamed": 5}
	if fmt.Sprint(counts) != fmt.Sprint(want) {
		t.Errorf("linked to %v, want %v", counts, want)
	}
	if all := newTestLinks(0, vms...); !all.wants("far-0") || !all.forWork("far-0") || all.ask(0, "far-0") {
		t.Error("without a number not all agents are linked for work")
	}
}

// An agent leaves the subset while a stream comes from it. It gets no new work from that
// moment; the link is dropped only when the stream has ended and some time has passed.
func TestALinkThatLeavesTheSubsetIsKeptForItsWork(t *testing.T) {
	l := newTestLinks(1, agentVM("b1", "model:m", "r1"))
	linked := map[string]bool{"b1": true}
	l.use("b1")
	l.list([]platform.VM{agentVM("b2", "model:m", "r1")})
	drop, changed := l.tick(time.Second, linked, allUsable)
	if !changed || len(drop) > 0 || l.forWork("b1") || !l.wants("b1") || !l.forWork("b2") {
		t.Fatalf("drop %v, changed %v, %+v", drop, changed, l.dump())
	}
	if drop, _ = l.tick(time.Hour, linked, allUsable); len(drop) > 0 || !l.wants("b1") {
		t.Fatal("a link with work was dropped")
	}
	l.done(time.Hour, "b1")
	if drop, _ = l.tick(time.Hour+spareKeep/2, linked, allUsable); len(drop) > 0 {
		t.Fatal("a link was dropped at once after its work")
	}
	if drop, _ = l.tick(time.Hour+spareKeep, linked, allUsable); !slices.Equal(drop, []string{"b1"}) || l.wants("b1") {
		t.Fatalf("drop %v after the work, want b1", drop)
	}
}

// Tickets name more agents than an entry may be linked to beside its subset. The link
// idle for longest gives way, never one with a request; with all in use a request waits.
func TestSpareLinksAreBounded(t *testing.T) {
	vms := make([]platform.VM, 0, 2*maxSpare)
	for i := range 2 * maxSpare {
		vms = append(vms, agentVM(fmt.Sprintf("b%03d", i), "model:m", "r2"))
	}
	l := newTestLinks(1, append(vms, agentVM("near", "model:m", "r1"))...)
	for i := range maxSpare {
		l.use(vms[i].ID)
		if !l.ask(time.Duration(i), vms[i].ID) || l.ask(time.Duration(i), vms[i].ID) {
			t.Fatalf("%s: want it asked for once", vms[i].ID)
		}
	}
	if l.ask(time.Second, vms[maxSpare].ID) {
		t.Fatal("a link beyond the bound while all are in use")
	}
	l.done(2*time.Second, "b007")
	l.done(time.Second, "b005")
	if !l.ask(3*time.Second, vms[maxSpare].ID) || l.wants("b005") || !l.wants("b007") {
		t.Errorf("want b005 given way, idle for longest: %v", l.dump().Spare)
	}
	if l.ask(0, "not-on-the-list") || l.ask(0, "near") {
		t.Error("asked for an agent that is not on the list, or is in the subset")
	}
	if n := len(l.dump().Spare); n != maxSpare {
		t.Errorf("%d spare links, want %d", n, maxSpare)
	}
}

// A store's retries storm an entry with tickets of one agent that is dead. It is dialled
// by one at a time, a few times in all, and every caller hears "unknown": nobody can say
// what became of the tickets.
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
	live, dead := serviceAgent(t, "b1", whole("x")), serviceAgent(t, "b2", whole("x"))
	live.offer, dead.offer, dead.address = "service:s", "service:other", ln.Addr().String()
	perOne := proto.CloneOf(testLinks)
	perOne.AgentsPerOffer = 1
	live.offer = ""
	vms := subset.ForClient("e1", []subset.Node{{Name: "e1"}}, []subset.Node{{Name: "b2"}, {Name: "b3"}}, 1)
	if vms[0] == "b2" {
		dead.vm = "b3"
	}
	other := serviceAgent(t, vms[0], whole("x"))
	other.offer = "service:other"
	ledger := ticket.NewLedger(dead.vm, "1", []byte("k"), ticket.Limits{})
	minter := ticket.NewMinter()
	minter.Add(clock.Now(), ledger.Grant(clock.Now()))
	_, url := startLinkedEntry(t, perOne, 2, live, other, dead)
	var callers sync.WaitGroup
	const presses = 200
	begin := time.Now()
	for range presses {
		given, ok := minter.Mint(clock.Now(), dead.vm, "c")
		if !ok {
			t.Fatal("no ticket")
		}
		callers.Go(func() {
			got := ask(t, url, "/services/s/push", "Idempotency-Key", ticket.Encode(given))
			if got.status == 200 || got.ran != "unknown" {
				t.Errorf("%+v", got)
			}
		})
	}
	callers.Wait()
	// One at a time, 0.3 s apart.
	most := int32(time.Since(begin)/(300*time.Millisecond)) + 2
	if n := dials.Load(); n == 0 || n > most {
		t.Errorf("%d dials for %d presses in %v, want 1 to %d", n, presses, time.Since(begin), most)
	}
	t.Logf("%d dials for %d presses in %v", dials.Load(), presses, time.Since(begin))
}
