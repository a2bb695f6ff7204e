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

// roomy is a service with room for all that is moved.
var roomy = silence.Room{Free: 60, Capacity: 96, Entries: 6}

// begun is a stream whose last event came at a moment, and whose caller accepts pauses of 120 ms.
func begun(at time.Duration) silence.Wait {
	return silence.Wait{Begun: true, Pause: 120 * ms, Since: at}
}

// silentVM returns a watch on two servers, of which e-0 has gone silent and e-1 was heard at a
// moment.
func silentVM(t *testing.T, heard time.Duration) *silence.Watch {
	t.Helper()
	w := silence.New(silence.Config{})
	w.Heard("e-0", service, 1*ms)
	w.Heard("e-1", service, heard)
	if !w.Ask("e-0", heard) {
		t.Fatal("a VM that was never asked is not asked")
	}
	if became, again := w.Unanswered("e-0"); !became || !again {
		t.Fatalf("the VM became silent: %v, is asked again: %v", became, again)
	}
	return w
}

func TestPatienceFollowsTheRoute(t *testing.T) {
	w := silence.New(silence.Config{})
	for _, c := range []struct {
		name string
		wait silence.Wait
		want time.Duration
	}{
		{"nothing has come", silence.Wait{Aim: 500 * ms, Pause: 120 * ms}, 300 * ms},
		{"nothing has come, no aim", silence.Wait{}, 300 * ms},
		{"an event has come", silence.Wait{Begun: true, Aim: 500 * ms, Pause: 120 * ms}, 120 * ms},
		{"an event has come, no pause", silence.Wait{Begun: true, Aim: 500 * ms}, 150 * ms},
	} {
		if got := w.Patience(c.wait); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// A VM stands still with a request in it: its caller waits until it leaves.
func TestARequestLeavesASilentVM(t *testing.T) {
	w := silentVM(t, 1000*ms)
	if !w.Moves("e-0", service, begun(800*ms), roomy, 1000*ms) {
		t.Error("it stays")
	}
	if w.Moves("e-0", service, begun(950*ms), roomy, 1000*ms) {
		t.Error("one whose last event came just now is moved")
	}
}

// All engines of a group are slow. Requests that are moved cost the work done so far, and gain
// nothing.
func TestASlowServerKeepsItsRequests(t *testing.T) {
	w := silence.New(silence.Config{})
	w.Heard("e-1", service, 1000*ms)
	w.Ask("e-0", 900*ms)
	w.Answered("e-0", 910*ms)
	if w.Moves("e-0", service, begun(100*ms), roomy, 1000*ms) {
		t.Error("it is moved from a VM that answers")
	}
	if w.Ask("e-0", 1000*ms) {
		t.Error("the VM is asked again at once")
	}
	if !w.Ask("e-0", 1200*ms) {
		t.Error("the VM is not asked again")
	}
}

// A group of engines stands still as a whole, as while it forms. Requests that are moved spend
// their attempts, and are refused when it is back.
func TestRequestsStayWhileNoServerServes(t *testing.T) {
	w := silentVM(t, 1000*ms)
	if w.Moves("e-0", service, begun(800*ms), roomy, 1300*ms) {
		t.Error("it is moved to a service of which nothing is heard")
	}
	w.Heard("e-1", "another", 1300*ms)
	if w.Moves("e-0", service, begun(800*ms), roomy, 1300*ms) {
		t.Error("it is moved since another service serves")
	}
}

// Six entries each have four requests at VMs that go silent. All at once they fill the other
// servers' queues, and every caller is late.
func TestRequestsMoveWhileThereIsRoom(t *testing.T) {
	w := silentVM(t, 1000*ms)
	if w.Moves("e-0", service, begun(800*ms), silence.Room{Free: 14, Capacity: 96, Entries: 6}, 1000*ms) {
		t.Error("it takes the room that is left to new requests")
	}
	if !w.Moves("e-0", service, begun(800*ms), silence.Room{Free: 15, Capacity: 96, Entries: 6}, 1000*ms) {
		t.Error("it stays though there is room")
	}
	w.Moved(1000 * ms)
	if w.Moves("e-0", service, begun(800*ms), roomy, 1020*ms) {
		t.Error("another one follows before others can hear of the first")
	}
	if !w.Moves("e-0", service, begun(800*ms), roomy, 1060*ms) {
		t.Error("no other one follows")
	}
}

func TestAVMThatAnswersIsNoLongerSilent(t *testing.T) {
	w := silentVM(t, 1000*ms)
	if became, again := w.Unanswered("e-0"); became || !again {
		t.Errorf("silent for the second time: new %v, asked again %v", became, again)
	}
	if !w.Answered("e-0", 2000*ms) || w.Silent("e-0") {
		t.Error("it counts as silent")
	}
	if w.Answered("e-0", 2100*ms) {
		t.Error("it is back twice")
	}
}

// The registration of a silent VM lapses, and it registers again later. Left as silent by the
// question under way meanwhile, it would get no work for good.
func TestAForgottenVMIsNotSilentForGood(t *testing.T) {
	w := silentVM(t, 1000*ms)
	w.Keep(func(id string) bool { return id != "e-0" })
	if became, again := w.Unanswered("e-0"); became || again {
		t.Errorf("the forgotten VM became silent: %v, is asked again: %v", became, again)
	}
	if w.Silent("e-0") || !w.Ask("e-0", 1100*ms) {
		t.Error("it counts as silent, or is not asked")
	}
}
