package admit

import (
	"testing"

	"github.com/apricothub/apricothub/api"
)

// stoppedAgent returns an admitter whose only agent, with 32 slots, has just refused the first of n
// requests because it stops: all running requests are requeued.
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
			t.Fatalf("request %d was not requeued", id)
		}
	}
	return a
}

// The only agent stops and refuses all requests sent to it, while the link to the next one is being
// made. Refused and new requests must wait, ordered by share, and start when the new agent has
// reported. With waits computed from zero slots, a deadline a minute away would be refused as
// unreachable.
func TestRequestsWaitForPendingBackend(t *testing.T) {
	a := stoppedAgent(t, 20)
	for id := uint64(20); id < 30; id++ {
		if d := submit(a, 0, id, "small"); d.Action != Wait {
			t.Fatalf("request %d, while the next agent is pending: %+v", id, d)
		}
	}
	a.SetAvailability("model:m", Pending)
	a.SetTotalCapacity("model:m", 0, 1)
	a.SetCapacity("model:m", 0)
	if out := a.Next(0); len(out) != 0 {
		t.Fatalf("released without slots: %+v", out)
	}
	if d := submit(a, 0, 30, "small"); d.Action != Wait {
		t.Fatalf("a request after SetCapacity with zero slots: %+v", d)
	}
	a.SetAvailability("model:m", Available)
	a.SetTotalCapacity("model:m", 32, 1)
	a.SetCapacity("model:m", 32)
	if out := a.Next(second / 5); len(out) != 31 || out[0].Action != Start {
		t.Fatalf("%d released with the new agent, want 31", len(out))
	}
	o := a.offers["model:m"]
	if got := o.guarantee(second/5, o.plans["gold"].customers["small"]); got != 24 {
		t.Fatalf("the guarantee was cut to %d of 24, though the customer uses no other entry", got)
	}
}

// A burst arrives while the link to the next agent is being made. The queue must be no longer than
// with an agent present: requests beyond what the last known slots serve in two seconds are refused
// at once, with a retry-after time computed from those slots.
func TestBacklogForPendingBackendIsLimited(t *testing.T) {
	a := stoppedAgent(t, 1)
	for id := uint64(1); id < 500; id++ {
		d := submit(a, 0, id, "small")
		if d.Action == Wait {
			continue
		}
		if waited := id; d.Code != api.ResultCode_SATURATED || waited < 64 || d.RetryAfter > 5*second {
			t.Fatalf("refused after %d waiting requests: %+v", waited, d)
		}
		return
	}
	t.Fatal("500 requests wait for 32 slots")
}

// The last agent of a model stops and none is expected. Waiting and new requests must be refused at
// once, not near a deadline a minute away.
func TestRequestsAreRefusedWithoutBackends(t *testing.T) {
	a := stoppedAgent(t, 8)
	a.SetAvailability("model:m", Unavailable)
	out := a.Next(0)
	if len(out) != 8 {
		t.Fatalf("%d of 8 waiting requests were refused", len(out))
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
