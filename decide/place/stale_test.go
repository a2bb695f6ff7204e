package place

import (
	"fmt"
	"testing"
	"time"
)

// Reports are 2 s old, and the work that they show took 1 s, so a server that was full then may be
// empty now. All entries get the same reports. If they sent everything to the server that was
// emptier, requests would be queued behind one another there. The reports still have some value, so
// the emptier server must get the most.
func TestStaleReportsCauseNoHerd(t *testing.T) {
	table := newTable(2)
	sent := map[string]int{}
	const second = time.Second
	for at := time.Duration(0); at < 20*second; at += second / 5 {
		for i, running := range []int{10, 20} {
			table.Report(fmt.Sprint("vm-", i), at, Report{Limit: 32, FullLimit: 32, Running: running, WorkTime: second, Age: 2 * second})
		}
	}
	for range 10 {
		vm, _ := table.Pick(20*second, Request{Offer: model})
		table.Started(vm, 20*second)
		sent[vm]++
	}
	if sent["vm-1"] < 2 || sent["vm-0"] <= sent["vm-1"] {
		t.Errorf("sent %v by reports of 10 and 20 two seconds ago", sent)
	}
}

// The same reports, but of work that takes half a minute: it is still running, and the emptier
// server is the better choice.
func TestStaleReportsOfLongWorkAreUsed(t *testing.T) {
	table := newTable(2)
	for i, running := range []int{10, 20} {
		table.Report(fmt.Sprint("vm-", i), 20*time.Second, Report{Limit: 32, FullLimit: 32, Running: running, WorkTime: 30 * time.Second, Age: 2 * time.Second})
	}
	wrong := 0
	for range 100 {
		if vm, _ := table.Pick(20*time.Second, Request{Offer: model}); vm == "vm-1" {
			wrong++
		}
	}
	// Both choices fall on the same server half of the time.
	if wrong > 40 {
		t.Errorf("%d of 100 sent to the fuller server", wrong)
	}
}
