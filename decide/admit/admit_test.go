package admit

import (
	"strconv"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
)

const second = time.Second

func twoPlans(t *testing.T, slots int) *Admitter {
	t.Helper()
	a := New(Config{})
	a.SetPlans([]PlanShare{{"gold", 3}, {"basic", 1}}, []CustomerShare{
		{Name: "large", Plan: "basic", Weight: 1, Burst: 32},
		{Name: "small", Plan: "gold", Weight: 1, Burst: 32},
	})
	a.SetCapacity("model:m", slots)
	return a
}

func submit(a *Admitter, now time.Duration, id uint64, customer string) Decision {
	return a.Admit(now, Request{ID: id, Customer: customer, Offer: "model:m", Deadline: now + 60*second})
}

func TestFreeSlotsIgnoreShares(t *testing.T) {
	a := twoPlans(t, 8)
	for id := range uint64(8) {
		if d := submit(a, 0, id, "large"); d.Action != Start {
			t.Fatalf("request %d: %+v with free slots", id, d)
		}
	}
}

func TestFreedSlotsFollowShares(t *testing.T) {
	a := twoPlans(t, 8)
	running := map[uint64]string{}
	for id := range uint64(8) {
		submit(a, 0, id, "large")
		running[id] = "large"
	}
	for id := uint64(8); id < 14; id++ {
		if d := submit(a, 0, id, "large"); d.Action != Wait {
			t.Fatalf("request %d of large: %+v", id, d)
		}
	}
	for id := uint64(100); id < 108; id++ {
		if d := submit(a, 0, id, "small"); d.Action != Wait {
			t.Fatalf("request %d of small: %+v", id, d)
		}
	}
	for id := range uint64(8) {
		a.Done(second/2, id, second/2)
		delete(running, id)
		for _, r := range a.Next(second / 2) {
			if r.Action != Start {
				t.Fatalf("released %+v", r)
			}
			name := "large"
			if r.ID >= 100 {
				name = "small"
			}
			running[r.ID] = name
		}
	}
	count := map[string]int{}
	for _, name := range running {
		count[name]++
	}
	if count["small"] != 6 || count["large"] != 2 {
		t.Fatalf("running %v, want 6 of small and 2 of large", count)
	}
}

func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	a := twoPlans(t, 1)
	submit(a, 0, 1, "large")
	d := a.Admit(0, Request{ID: 2, Customer: "large", Offer: "model:m", Deadline: 600 * time.Millisecond})
	if d.Action != Refuse || d.Code != api.ResultCode_DEADLINE_UNREACHABLE || d.RetryAfter == 0 {
		t.Fatalf("got %+v", d)
	}
}

func TestWaitingRequestIsRefusedWhenDeadlineIsUnreachable(t *testing.T) {
	a := twoPlans(t, 1)
	submit(a, 0, 1, "large")
	d := a.Admit(0, Request{ID: 2, Customer: "small", Offer: "model:m", Deadline: 2 * second})
	if d.Action != Wait {
		t.Fatalf("got %+v", d)
	}
	wake, ok := a.NextWake(0)
	if !ok || wake > 1500*time.Millisecond+1 {
		t.Fatalf("wake %v %v", wake, ok)
	}
	out := a.Next(wake)
	if len(out) != 1 || out[0].Action != Refuse || out[0].Code != api.ResultCode_DEADLINE_UNREACHABLE {
		t.Fatalf("got %+v", out)
	}
	if len(a.requests) != 1 {
		t.Fatalf("%d requests kept, want the running one", len(a.requests))
	}
}

func TestCustomersWithoutRequestsAreForgotten(t *testing.T) {
	a := twoPlans(t, 2)
	submit(a, 0, 1, "large")
	submit(a, 0, 2, "small")
	submit(a, 0, 3, "small")
	a.Cancel(0, 3)
	a.Cancel(0, 1)
	a.Done(second, 2, second)
	o := a.offers["model:m"]
	if o.activeShares != 0 || o.running != 0 || o.waiting != 0 || o.activePlans != 0 {
		t.Fatalf("left behind: %+v", o)
	}
	for _, p := range o.plans {
		if len(p.customers) != 0 || p.activeWeights != 0 {
			t.Fatalf("left behind: %+v", p)
		}
	}
}

func TestRateByKey(t *testing.T) {
	a := New(Config{})
	a.SetPlans([]PlanShare{{"p", 1}}, []CustomerShare{{Name: "c", Plan: "p", Weight: 1, Burst: 1, Rate: 2}})
	a.SetCapacity("model:m", 100)
	try := func(now time.Duration, id, key uint64) Decision {
		return a.Admit(now, Request{ID: id, Customer: "c", Key: key, Offer: "model:m", Deadline: now + second})
	}
	try(0, 1, 7)
	try(0, 2, 7)
	d := try(0, 3, 7)
	if d.Code != api.ResultCode_RATE_LIMITED || d.RetryAfter != second/2 {
		t.Fatalf("third request of one key: %+v", d)
	}
	if d := try(0, 4, 8); d.Action != Start {
		t.Fatalf("another key: %+v", d)
	}
	if d := try(second/2, 5, 7); d.Action != Start {
		t.Fatalf("after the retry-after time: %+v", d)
	}
}

// All requests of a customer within its share come through one entry, while another customer uses
// all free slots. The customer gets its whole share, not only this entry's slots.
func TestWholeShareIsGuaranteed(t *testing.T) {
	a := twoPlans(t, 4)
	a.SetTotalCapacity("model:m", 32, 8)
	for id := range uint64(12) {
		submit(a, 0, id, "large")
	}
	for id := uint64(100); id < 124; id++ {
		if d := submit(a, 0, id, "small"); d.Action != Start || !d.Guaranteed {
			t.Fatalf("request %d of 24, three quarters of 32: %+v", id-99, d)
		}
	}
	if d := submit(a, 0, 124, "small"); d.Action != Wait {
		t.Fatalf("request beyond the share: %+v", d)
	}
	a.Done(second, 100, second)
	if out := a.Next(second); len(out) != 1 || out[0].ID != 124 || !out[0].Guaranteed {
		t.Fatalf("after one of them ended: %+v", out)
	}
}

// An agent has no slot for a guaranteed request because the customer uses its share through other
// entries. The guarantee is halved and the request waits.
func TestRequeuedRequestHalvesGuarantee(t *testing.T) {
	a := twoPlans(t, 4)
	a.SetTotalCapacity("model:m", 32, 8)
	for id := range uint64(20) {
		submit(a, 0, id, "small")
	}
	if !a.Requeue(0, 19) {
		t.Fatal("a request with a minute left was not requeued")
	}
	if out := a.Next(0); len(out) != 0 {
		t.Fatalf("requeued request started at once: %+v", out)
	}
	o := a.offers["model:m"]
	c := o.plans["gold"].customers["small"]
	if got := o.guarantee(0, c); got != 12 {
		t.Fatalf("guarantee %d, want half of 24", got)
	}
	for range 10 {
		o.reduceGuarantee(0, c)
	}
	if got := o.guarantee(0, c); got != 3 {
		t.Fatalf("guarantee %d, want an even part of 24 over 8 entries", got)
	}
	if got := o.guarantee(20*second, c); got != 24 {
		t.Fatalf("guarantee %d after 20 s, want all", got)
	}
}

func TestRequeuePastDeadlineIsRefused(t *testing.T) {
	a := twoPlans(t, 4)
	a.Admit(0, Request{ID: 1, Customer: "small", Offer: "model:m", Deadline: second})
	if a.Requeue(800*time.Millisecond, 1) {
		t.Fatal("a request that can't meet its deadline was requeued")
	}
	if len(a.requests) != 0 || a.offers["model:m"].running != 0 {
		t.Fatal("the request is still counted")
	}
}

func TestEntrySlotsFollowFreeCapacity(t *testing.T) {
	tests := []struct{ running, free, capacity, entries, want int }{
		{running: 0, free: 0, capacity: 64, entries: 8, want: 8},
		{running: 20, free: 40, capacity: 64, entries: 8, want: 30},
		{running: 32, free: 0, capacity: 64, entries: 8, want: 30},
		{running: 0, free: 2, capacity: 2, entries: 8, want: 1},
	}
	for _, test := range tests {
		if got := EntrySlots(test.running, test.free, test.capacity, test.entries); got != test.want {
			t.Errorf("%+v: got %d", test, got)
		}
	}
}

// A burst is refused in one moment. The retry-after times must be spaced by the interval at which
// slots become free; with equal times all callers would retry together.
func TestRefusalsPromiseTurns(t *testing.T) {
	a := New(Config{MaxWait: second})
	a.SetPlans([]PlanShare{{"p", 1}}, []CustomerShare{{Name: "c", Plan: "p", Weight: 1, Burst: 32}})
	a.SetCapacity("model:m", 4)
	var last time.Duration
	refused := 0
	for id := range uint64(60) {
		d := submit(a, 0, id, "c")
		if d.Action != Refuse {
			continue
		}
		refused++
		if d.RetryAfter < last+100*time.Millisecond {
			t.Fatalf("refusal %d after %v, the one before %v", refused, d.RetryAfter, last)
		}
		last = d.RetryAfter
	}
	if refused < 40 {
		t.Fatalf("%d refused", refused)
	}
}

func BenchmarkSaturated(b *testing.B) {
	for _, n := range []int{10, 7300} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			a := New(Config{MaxQueue: 1 << 16, MaxWait: time.Hour})
			customers := make([]CustomerShare, n)
			for i := range customers {
				customers[i] = CustomerShare{Name: strconv.Itoa(i), Plan: "p", Weight: 1, Burst: 1 << 20}
			}
			a.SetPlans([]PlanShare{{"p", 1}}, customers)
			a.SetCapacity("model:m", 100)
			var id uint64
			submitNext := func() {
				id++
				a.Admit(0, Request{ID: id, Customer: customers[id%uint64(n)].Name, Offer: "model:m", Deadline: time.Hour})
			}
			for range 100 + n {
				submitNext()
			}
			running := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				submitNext()
				a.Done(0, running, time.Millisecond)
				for _, r := range a.Next(0) {
					running = r.ID
				}
			}
		})
	}
}
