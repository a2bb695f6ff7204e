package admit

import (
	"strconv"
	"testing"
	"time"
)

// Pattern: capacity below one slot an entry. 99 entries share a service with 30 slots and 15 ms of
// work, and each sees few of its requests.

const manyEntries = 99

// manyTeams returns an Admitter with 40 customers, of which "c" is one.
func manyTeams() *Admitter {
	a := New(Config{})
	customers := []CustomerShare{{Name: "c", Plan: "p", Weight: 1, Burst: 4}}
	for i := range 39 {
		customers = append(customers, CustomerShare{Name: strconv.Itoa(i), Plan: "p", Weight: 1, Burst: 4})
	}
	a.SetPlans([]PlanShare{{"p", 1}}, customers)
	return a
}

// An entry that has not yet seen a request of the service end must not refuse a second one as too
// late for its short deadline, by a work time that is assumed for long generations.
func TestShortDeadlinesBeforeTheWorkTimeIsKnown(t *testing.T) {
	a := manyTeams()
	a.ExpectWorkTime("service:s", 120*time.Millisecond)
	a.SetTotalCapacity("service:s", 30, manyEntries)
	a.SetCapacity("service:s", EntrySlots(0, 30, 30, manyEntries))
	for id := range uint64(2) {
		d := a.Admit(0, Request{ID: id, Customer: "c", Offer: "service:s", Deadline: 600 * time.Millisecond})
		if d.Action == Refuse {
			t.Fatalf("request %d of 2 was refused with 30 slots free: %v", id+1, d.Code)
		}
	}
	a.SetCapacity("service:s", EntrySlots(1, 29, 30, manyEntries))
	for _, r := range a.Next(50 * time.Millisecond) {
		if r.Action == Refuse {
			t.Errorf("a waiting request was refused with 29 slots free: %v", r.Code)
		}
	}
}
