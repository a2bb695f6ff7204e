package member

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/fresh"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/platform"
)

// startThreeEntries starts three entries and waits until they are linked and serve.
func startThreeEntries(t *testing.T, f *fakePlatform) [3]*testNode {
	t.Helper()
	var nodes [3]*testNode
	for i := range nodes {
		nodes[i] = f.start(t, "e"+strconv.Itoa(i+1), platform.RoleEntry, nil)
	}
	eventually(t, "three entries that serve", func() bool {
		for _, n := range nodes {
			if len(n.State().Peers) != 2 || n.State().Mode != fresh.Fresh || !n.State().Linked {
				return false
			}
		}
		return true
	})
	return nodes
}

// allApplied waits until all members have applied an offset.
func allApplied(t *testing.T, offset int64, nodes ...*testNode) {
	t.Helper()
	eventually(t, "offset "+strconv.FormatInt(offset, 10)+" everywhere", func() bool {
		for _, n := range nodes {
			if n.applied() != offset {
				return false
			}
		}
		return true
	})
}

// One entry reads the log; the others cannot. A change must reach them by a push from that entry,
// and a member that joins later by its own fetch.
func TestPeersPassOnLogRecords(t *testing.T) {
	f := newFakePlatform(t)
	noLogClient := f.withoutLog(t)
	reader := f.start(t, "e1", platform.RoleEntry, nil)
	other := f.start(t, "e2", platform.RoleEntry, func(o *Options) { o.Platform = noLogClient })
	eventually(t, "a link", func() bool { return other.peer("e1") != nil && reader.peer("e2") != nil })
	f.mark(t, "first", -1)
	allApplied(t, 0, reader, other)
	joining := f.start(t, "e3", platform.RoleEntry, func(o *Options) { o.Platform = noLogClient })
	allApplied(t, 0, reader, other, joining)
	if other.State().Mode != fresh.Fresh {
		t.Errorf("evidence from a peer that reads the log is not used: mode %v", other.State().Mode)
	}
}

// A VM is started with a mistyped link key. It gets no links, and the status shows only that its
// link is down. The logs of both sides must show the reason, once and not for each attempt.
func TestWrongLinkKeyIsLoggedOnce(t *testing.T) {
	f := newFakePlatform(t)
	var dialling, accepting logBuffer
	mistyped := proto.CloneOf(fastLinks)
	mistyped.Key = "kye"
	f.start(t, "e1", platform.RoleEntry, func(o *Options) { o.Logger = log.NewLogfmtLogger(&dialling) })
	f.start(t, "e2", platform.RoleEntry, func(o *Options) { o.Links, o.Logger = mistyped, log.NewLogfmtLogger(&accepting) })
	const wrongKeyLine = `msg="A VM does not hold the link key." result="505 UNREACHABLE"`
	eventually(t, "both sides say so", func() bool {
		return dialling.count(wrongKeyLine+" vm=e2") == 1 && accepting.count(wrongKeyLine+" address=127.0.0.1:") == 1
	})
	time.Sleep(3 * redialInterval)
	if logged := dialling.count(wrongKeyLine) + accepting.count(wrongKeyLine); logged != 2 {
		t.Errorf("%d lines about the wrong key, want 2", logged)
	}
}

// The log fails: a majority whose members are linked to each other must continue. Then one entry
// also loses its peers. It must refuse as isolated within the freshness limit, and the two others,
// still a majority, must not.
func TestOutageAndIsolation(t *testing.T) {
	f := newFakePlatform(t)
	f.mark(t, "first", -1)
	nodes := startThreeEntries(t, f)
	f.set(func() { f.down = true })
	eventually(t, "an outage", func() bool { return nodes[0].State().Mode == fresh.Outage && nodes[2].State().Mode == fresh.Outage })
	if code := nodes[0].State().RefusalCode(clock.Now()); code != api.ResultCode_OK {
		t.Errorf("requests are refused in an outage of the log: %v", code)
	}
	// Isolates one entry: nobody dials it, and its links are closed.
	island := nodes[2]
	for i := range nodes {
		nodes[i].Do(func() { nodes[i].options.ShouldDial = func(vm platform.VM) bool { return i == 0 && vm.ID == "e2" } })
	}
	nodes[0].closeLink("e3")
	nodes[1].closeLink("e3")
	eventually(t, "isolation", func() bool { return island.State().RefusalCode(clock.Now()) == api.ResultCode_ISOLATED })
	for _, n := range nodes[:2] {
		if code := n.State().RefusalCode(clock.Now()); code != api.ResultCode_OK {
			t.Errorf("the majority refuses requests: %v", code)
		}
	}
}

// A process is paused for longer than all limits. The published state is from before the pause and
// permits requests. RefusalCode must refuse them by the time of use.
func TestNothingIsServedAfterAPause(t *testing.T) {
	f := newFakePlatform(t)
	n := f.start(t, "e1", platform.RoleEntry, nil)
	eventually(t, "service", func() bool { return n.State().RefusalCode(clock.Now()) == api.ResultCode_OK })
	state := n.State()
	limit := time.Duration(fastLinks.GetFreshnessMs()) * time.Millisecond
	if code := state.RefusalCode(clock.Now() + limit + time.Millisecond); code != api.ResultCode_ISOLATED {
		t.Errorf("refusal code after the pause: %v", code)
	}
}

// A VM is replaced under its name. Its peers must replace the old incarnation by the new one and
// hold a single peer of that name. They must also learn of a graceful shutdown and of a VM that
// leaves.
func TestReplacedProcessTakesOverItsName(t *testing.T) {
	f := newFakePlatform(t)
	nodes := startThreeEntries(t, f)
	old := nodes[0].peer("e2").Hello.GetIncarnation()
	nodes[1].stop()
	fresh := f.start(t, "e2", platform.RoleEntry, nil)
	eventually(t, "the new incarnation", func() bool {
		p := nodes[0].peer("e2")
		return p != nil && p.Hello.GetIncarnation() != old && p.Ready
	})
	fresh.SetDraining()
	eventually(t, "draining", func() bool { return !nodes[0].peer("e2").Usable() && !nodes[2].peer("e2").Usable() })
	f.set(func() { f.vms[2].State = platform.StateLeaving })
	eventually(t, "leaving", func() bool { return !nodes[0].peer("e3").Usable() && nodes[2].State().OutOfService })
}

// lateListener accepts connections for a while after it is told to close.
type lateListener struct {
	net.Listener
	delay time.Duration
}

// Close implements net.Listener.
func (l lateListener) Close() error {
	time.Sleep(l.delay)
	return l.Listener.Close()
}

// A peer dials a member again whose control goroutine has ended, while its listener is still open.
// If the member kept that link and its heartbeats, the peer would hold on to the old incarnation and
// never dial the new one.
func TestNoLinkOutlivesTheMember(t *testing.T) {
	f := newFakePlatform(t)
	near := f.start(t, "e1", platform.RoleEntry, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	far := f.startOn(t, lateListener{ln, 10 * redialInterval}, "e2", platform.RoleEntry, nil)
	eventually(t, "a link", func() bool { return near.peer("e2") != nil })
	old := near.peer("e2")
	far.stop()
	fresh := f.start(t, "e2", platform.RoleEntry, nil)
	eventually(t, "a link to the new incarnation", func() bool {
		p := near.peer("e2")
		return p != nil && p.Hello.GetIncarnation() == fresh.options.Self.GetIncarnation() && p.Session != old.Session
	})
}

// A connection is lost in the network while new ones work. The member must dial a new link before
// the old one is dead, and use the new one.
func TestSuspectLinkIsRedialled(t *testing.T) {
	f := newFakePlatform(t)
	far := f.start(t, "e2", platform.RoleEntry, nil)
	between := forward(t, far.options.Self.GetIncarnation())
	f.set(func() { f.vms[0].Link = between.address })
	near := f.start(t, "e1", platform.RoleEntry, nil)
	eventually(t, "a link", func() bool { return near.peer("e2") != nil })
	before := near.peer("e2").Session
	between.dropAll()
	eventually(t, "another link", func() bool {
		p := near.peer("e2")
		return p != nil && p.Session != before && !p.Session.Suspect()
	})
	select {
	case <-before.Closed():
		t.Error("the old link was closed, although it may still carry answers")
	default:
	}
}

// Many changes follow each other faster than heartbeats. Each must be pushed to a peer once: if
// each push repeated the earlier ones, the cost of a burst would be quadratic.
func TestChangeIsPushedOnceToEachPeer(t *testing.T) {
	f := newFakePlatform(t)
	noLogClient := f.withoutLog(t)
	slow := &api.Links{Key: "key", HeartbeatMs: 300, SuspectMs: 3000, DeadMs: 6000, FreshnessMs: 9000}
	registry := metrics.NewRegistry()
	reader := f.start(t, "e1", platform.RoleEntry, func(o *Options) { o.Links, o.Registry = slow, registry })
	other := f.start(t, "e2", platform.RoleEntry, func(o *Options) { o.Links, o.Platform = slow, noLogClient })
	eventually(t, "a first heartbeat", func() bool {
		hasReported := false
		reader.Do(func() { p := reader.byVM["e2"]; hasReported = p != nil && p.hasReported })
		return hasReported
	})
	out := metrics.GetOrRegisterCounter("link.bytes.out", registry)
	before, bytes := out.Count(), 0
	for i := range 20 {
		f.mark(t, "c"+strconv.Itoa(i), int64(i-1))
		f.set(func() { bytes += len(f.records[i]) })
		allApplied(t, int64(i), reader, other)
	}
	// Allows for the overhead of each message, and for heartbeats.
	if sent := out.Count() - before; sent > int64(3*bytes) {
		t.Errorf("%d bytes were sent for changes of %d bytes", sent, bytes)
	}
}

// VMs are added and removed for months. The dial state of removed VMs must not accumulate.
func TestDialStateOfRemovedVMsIsDropped(t *testing.T) {
	f := newFakePlatform(t)
	n := f.start(t, "a1", platform.RoleEntry, nil)
	eventually(t, "the list", func() bool { return len(n.State().VMs) == 1 })
	for i := range 50 {
		name := "z" + strconv.Itoa(i)
		n.Do(func() {
			n.setVMs([]platform.VM{{ID: "a1", Role: platform.RoleEntry}, {ID: name, Role: platform.RoleEntry, Link: "127.0.0.1:1"}})
		})
	}
	eventually(t, "that the dials have failed", func() bool {
		left := 0
		n.Do(func() {
			n.setVMs([]platform.VM{{ID: "a1", Role: platform.RoleEntry}})
			left = len(n.nextDial) + len(n.failedDials)
		})
		return left == 0
	})
}
