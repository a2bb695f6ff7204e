package admit

import (
	"testing"

	"github.com/apricothub/apricothub/api"
)

// stoppedAgent is an admitter whose one agent, with 32 places, has just refused the first of n
// requests because it stops: all that ran are postponed.
func stoppedAgent(t *testing.T, n uint64) *Admitter {
	t.Helper()
	a := twoPlans(t, 32)
	a.SetTotalCapacity("model:m", 32, 1)
	a.SetAvailability("model:m", Available)
	for id := range n {
		submit(a, 0, id, "small")
	}
	a.MarkPending("model:m")
	for id := range n {
		if !a.Requeue(0, id) {
			t.Fatalf("request %d was given up", id)
		}
	}
	return a
}

// The one agent stops and refuses all that was sent to it; nothing runs any more. The link
// to the next one is on its way. Those refused and those that come meanwhile wait, by
// share as ever, and start when the new agent has reported. Before, those that came were
// refused as if their deadline of a minute could not be met.
func TestRequestsWaitForPendingBackend(t *testing.T) {
	a := stoppedAgent(t, 20)
	for id := uint64(20); id < 30; id++ {
		if d := submit(a, 0, id, "small"); d.Action != Wait {
			t.Fatalf("request %d that came meanwhile: %+v", id, d)
		}
	}
	a.SetAvailability("model:m", Pending)
	a.SetTotalCapacity("model:m", 0, 1)
	a.SetCapacity("model:m", 0)
	if out := a.Next(0); len(out) != 0 {
		t.Fatalf("released without room: %+v", out)
	}
	if d := submit(a, 0, 30, "small"); d.Action != Wait {
		t.Fatalf("a request once no room was measured: %+v", d)
	}
	a.SetAvailability("model:m", Available)
	a.SetTotalCapacity("model:m", 32, 1)
	a.SetCapacity("model:m", 32)
	if out := a.Next(second / 5); len(out) != 31 || out[0].Action != Start {
		t.Fatalf("%d released with the new agent, want 31", len(out))
	}
	o := a.offers["model:m"]
	if got := o.guarantee(second/5, o.plans["gold"].customers["small"]); got != 24 {
		t.Fatalf("the guarantee was cut to %d of 24, though the customer has used none of it elsewhere", got)
	}
}

// A burst arrives while the link to the next agent is being made. It waits no longer than
// behind an agent that is there: what the last room could not do in two seconds is
// refused at once, with a time to come back that is worked out from that room.
func TestBacklogForPendingBackendIsLimited(t *testing.T) {
	a := stoppedAgent(t, 1)
	for id := uint64(1); id < 500; id++ {
		d := submit(a, 0, id, "small")
		if d.Action == Wait {
			continue
		}
		if waited := id; d.Code != api.ResultCode_SATURATED || waited < 64 || d.RetryAfter > 5*second {
			t.Fatalf("after %d that wait: %+v", waited, d)
		}
		return
	}
	t.Fatal("500 requests wait for 32 places")
}

// The last agent of a model stops and nothing is on its way. Who waits and who comes is
// told so at once, not near a deadline a minute away.
func TestRequestsAreRefusedWithoutBackends(t *testing.T) {
	a := stoppedAgent(t, 8)
	a.SetAvailability("model:m", Unavailable)
	out := a.Next(0)
	if len(out) != 8 {
		t.Fatalf("%d of 8 were told", len(out))
	}
	for _, r := range out {
		if r.Action != Refuse || r.Code != api.ResultCode_NO_BACKEND || r.RetryAfter != second {
			t.Fatalf("%+v", r)
		}
	}
	if d := submit(a, 0, 9, "small"); d.Action != Refuse || d.Code != api.ResultCode_NO_BACKEND {
		t.Fatalf("%+v", d)
	}
	if len(a.requests) != 0 {
		t.Fatalf("%d are still counted", len(a.requests))
	}
}
