package silence_test

import (
	"testing"
	"time"

	"github.com/apricothub/apricothub/decide/silence"
)

const (
	ms      = time.Millisecond
	service = "drafts"
)

// withFreeSlots is a service whose engines have free slots for every request that is moved.
var withFreeSlots = silence.Service{Name: service, LockStep: true, FreeSlots: 60, Slots: 96, Entries: 6}

// begun is a stream whose last event arrived at the given time and whose caller accepts pauses of
// 120 ms.
func begun(at time.Duration) silence.Progress {
	return silence.Progress{HasBegun: true, MaxPause: 120 * ms, Since: at}
}

// detectorWithSilentVM returns a detector of two servers: e-0, which has become silent, and e-1,
// which was last heard at the given time.
func detectorWithSilentVM(t *testing.T, lastHeard time.Duration) *silence.Detector {
	t.Helper()
	detector := silence.New(silence.Config{})
	detector.Heard("e-0", service, 1*ms)
	detector.Heard("e-1", service, lastHeard)
	if !detector.StartProbe("e-0", lastHeard) {
		t.Fatal("a VM that was never probed is not probed")
	}
	if became, again := detector.ProbeFailed("e-0"); !became || !again {
		t.Fatalf("the VM became silent: %v, is probed again: %v", became, again)
	}
	return detector
}

func TestProbeDelayFollowsTheRoute(t *testing.T) {
	detector := silence.New(silence.Config{})
	for _, c := range []struct {
		name     string
		progress silence.Progress
		want     time.Duration
	}{
		{"nothing has come", silence.Progress{Objective: 500 * ms, MaxPause: 120 * ms}, 300 * ms},
		{"nothing has come, no objective", silence.Progress{}, 300 * ms},
		{"an event has come", silence.Progress{HasBegun: true, Objective: 500 * ms, MaxPause: 120 * ms}, 120 * ms},
		{"an event has come, no pause", silence.Progress{HasBegun: true, Objective: 500 * ms}, 150 * ms},
	} {
		if got := detector.ProbeDelay(c.progress); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// A VM stalls with a request in it. Unless the request is moved, its caller waits until it gives
// up.
func TestARequestLeavesASilentVM(t *testing.T) {
	detector := detectorWithSilentVM(t, 1000*ms)
	if detector.MoveReason("e-0", withFreeSlots, begun(800*ms), 1000*ms) != silence.SilentVM {
		t.Error("a request at a silent VM is not moved")
	}
	if detector.MoveReason("e-0", withFreeSlots, begun(950*ms), 1000*ms) != silence.NotMoved {
		t.Error("a request whose last event has just arrived is moved")
	}
}

// All engines of a group are slow. A request that is moved loses the work done so far and gains
// nothing.
func TestASlowServerKeepsItsRequests(t *testing.T) {
	detector := silence.New(silence.Config{})
	detector.Heard("e-1", service, 1000*ms)
	detector.StartProbe("e-0", 900*ms)
	detector.ProbeAnswered("e-0", 910*ms)
	if detector.MoveReason("e-0", withFreeSlots, begun(500*ms), 1000*ms) != silence.NotMoved {
		t.Error("a request is moved from a VM that answers")
	}
	if detector.StartProbe("e-0", 1000*ms) {
		t.Error("the VM is probed again before the probe interval is over")
	}
	if !detector.StartProbe("e-0", 1200*ms) {
		t.Error("the VM is not probed again after the probe interval")
	}
}

// A group of engines stalls as a whole, as while it forms. Requests that are moved use up their
// attempts, and are refused when the group is back.
func TestRequestsStayWhileNoServerServes(t *testing.T) {
	detector := detectorWithSilentVM(t, 1000*ms)
	if detector.MoveReason("e-0", withFreeSlots, begun(800*ms), 1300*ms) != silence.NotMoved {
		t.Error("a request is moved though no other server has been heard")
	}
	detector.Heard("e-1", "another", 1300*ms)
	if detector.MoveReason("e-0", withFreeSlots, begun(800*ms), 1300*ms) != silence.NotMoved {
		t.Error("a request is moved because a server of another service was heard")
	}
}

// Six entries each have four requests at VMs that become silent. If all were moved at once, they
// would fill the queues of the other servers and make every caller late.
func TestRequestsMoveWhileSlotsAreFree(t *testing.T) {
	detector := detectorWithSilentVM(t, 1000*ms)
	almostFull := withFreeSlots
	almostFull.FreeSlots = 14
	if detector.MoveReason("e-0", almostFull, begun(800*ms), 1000*ms) != silence.NotMoved {
		t.Error("a moved request takes a slot that is reserved for new requests")
	}
	almostFull.FreeSlots++
	if detector.MoveReason("e-0", almostFull, begun(800*ms), 1000*ms) != silence.SilentVM {
		t.Error("a request is not moved though slots are free")
	}
	detector.RecordMove(1000 * ms)
	if detector.MoveReason("e-0", withFreeSlots, begun(800*ms), 1020*ms) != silence.NotMoved {
		t.Error("a second request is moved before the move interval is over")
	}
	if detector.MoveReason("e-0", withFreeSlots, begun(800*ms), 1060*ms) != silence.SilentVM {
		t.Error("no second request is moved after the move interval")
	}
}

// A server, or the connection to it, hangs while its VM answers. Unless the request is moved, its
// caller waits until it gives up.
func TestARequestLeavesAServerThatHangs(t *testing.T) {
	independent := silence.Service{Name: "app", FreeSlots: 12, Slots: 18, Entries: 6}
	lookUp := silence.Progress{Objective: 300 * ms, Since: 1000 * ms}
	for _, c := range []struct {
		name     string
		service  silence.Service
		progress silence.Progress
		at       time.Duration
		want     silence.Reason
	}{
		{"a look-up", independent, lookUp, 1590 * ms, silence.NotMoved},
		{"a look-up, at twice its objective", independent, lookUp, 1600 * ms, silence.Stuck},
		{"a look-up without an objective", independent, silence.Progress{Since: 1000 * ms}, 2000 * ms, silence.Stuck},
		{"a stream", withFreeSlots, begun(1000 * ms), 1590 * ms, silence.NotMoved},
		{"a stream, at five pauses", withFreeSlots, begun(1000 * ms), 1600 * ms, silence.Stuck},
		{"a stream of a stalled group", withFreeSlots, begun(1000 * ms), 1900 * ms, silence.NotMoved},
	} {
		detector := silence.New(silence.Config{})
		detector.Heard("e-1", service, 1600*ms)
		if got := detector.MoveReason("e-0", c.service, c.progress, c.at); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestAVMThatAnswersIsNoLongerSilent(t *testing.T) {
	detector := detectorWithSilentVM(t, 1000*ms)
	if became, again := detector.ProbeFailed("e-0"); became || !again {
		t.Errorf("second failed probe: became silent %v, probed again %v", became, again)
	}
	if !detector.ProbeAnswered("e-0", 2000*ms) || detector.IsSilent("e-0") {
		t.Error("a VM that answered counts as silent")
	}
	if detector.ProbeAnswered("e-0", 2100*ms) {
		t.Error("the VM stops being silent twice")
	}
}

// The registration of a silent VM expires while a probe is in flight, and the VM registers again
// later. If the failed probe marked it as silent meanwhile, it would never get requests again.
func TestAForgottenVMIsNotSilentForGood(t *testing.T) {
	detector := detectorWithSilentVM(t, 1000*ms)
	detector.Retain(func(id string) bool { return id != "e-0" })
	if became, again := detector.ProbeFailed("e-0"); became || again {
		t.Errorf("the removed VM became silent: %v, is probed again: %v", became, again)
	}
	if detector.IsSilent("e-0") || !detector.StartProbe("e-0", 1100*ms) {
		t.Error("the removed VM counts as silent, or is not probed")
	}
}
