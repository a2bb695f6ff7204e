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
func manyTeams(cfg Config) *Admitter {
	a := New(cfg)
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
	a := manyTeams(Config{})
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

// All entries have restarted, and what callers sent meanwhile arrives at once: one request each of
// nine teams, and four of another. It is little more than the entry's slots, so none of it may be
// refused as too long a wait.
func TestABacklogThatFitsIsNotRefused(t *testing.T) {
	const slots = 11
	a := manyTeams(Config{BacklogStartsTogether: true, MaxWait: 1300 * time.Millisecond})
	a.SetTotalCapacity("model:m", 774, manyEntries)
	a.ExpectSlots("model:m", slots)
	a.SetAvailability("model:m", Pending)
	a.SetCapacity("model:m", 0)
	for id := range uint64(13) {
		team := strconv.FormatUint(id, 10)
		if id >= 9 {
			team = "c"
		}
		if d := a.Admit(0, Request{ID: id, Customer: team, Offer: "model:m", Deadline: 4 * second}); d.Action == Refuse {
			t.Errorf("request %d of 13, of team %s, was refused: %v", id+1, team, d.Code)
		}
	}
}
