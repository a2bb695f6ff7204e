package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
)

// A failure domain returns at low load: its backend server is cold and the others are nearly empty.
// The cold server must get some requests, or it is still cold when the load rises; but no more at
// once than it can take.
func TestColdServerGetsWorkAtLowLoad(t *testing.T) {
	table := NewTable(rand.New(rand.NewPCG(1, 1)), Config{})
	table.SetServers([]Server{
		{VM: "warm-1", Domain: "a", Offers: []string{"model:x"}, Weight: 1},
		{VM: "warm-2", Domain: "b", Offers: []string{"model:x"}, Weight: 1},
		{VM: "cold", Domain: "c", Offers: []string{"model:x"}, Weight: 1},
	})
	table.SetDomainWeight("c", 0.05)
	report := func(now time.Duration) {
		for _, vm := range []string{"warm-1", "warm-2"} {
			table.Report(vm, now, Report{Limit: 32, FullLimit: 32, WorkTime: 100 * time.Millisecond})
		}
		table.Report("cold", now, Report{Limit: 2, FullLimit: 32, WorkTime: 300 * time.Millisecond})
	}
	sent, inFlight := 0, 0
	for i := range 400 {
		now := time.Duration(i) * 25 * time.Millisecond
		report(now)
		vm, code := table.Pick(now, Request{Offer: "model:x"})
		if code != api.ResultCode_OK {
			t.Fatal(code)
		}
		if vm != "cold" {
			continue
		}
		sent++
		table.Started(vm, now)
		inFlight++
		if inFlight > 1 {
			t.Fatal("a second request while the first was in flight")
		}
		table.Ended(vm, now, Outcome{Latency: 300 * time.Millisecond})
		inFlight--
	}
	if sent < 5 {
		t.Errorf("%d of 400 requests went to the cold server", sent)
	}
}
