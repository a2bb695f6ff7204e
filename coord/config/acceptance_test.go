package config

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
)

const freshnessLimit = 2 * time.Second

// A change must be accepted only once a few faults cannot make the members forget it, and in force
// only once all members hold it. The state of four entries and three agents depends on which of
// them hold the change and when they last reported it.
func TestAcceptance(t *testing.T) {
	for _, test := range []struct {
		name       string
		holders    []string
		reportedAt time.Duration
		now        time.Duration
		removed    []string
		want       AcceptanceState
	}{
		{"nobody", nil, 0, 0, nil, Pending},
		{"all", []string{"e1", "e2", "e3", "e4", "a1", "a2", "a3"}, 0, freshnessLimit, nil, InForce},
		{"all entries", []string{"e1", "e2", "e3", "e4"}, 0, 0, nil, Accepted},
		{"a silent entry is waited for", []string{"e1", "e2", "e3", "a1"}, 0, freshnessLimit - 1, nil, Pending},
		{"a silent entry is passed over at the limit", []string{"e1", "e2", "e3", "a1"}, freshnessLimit, freshnessLimit, nil, Accepted},
		{"half of the entries is no majority", []string{"e1", "e2", "a1", "a2", "a3"}, freshnessLimit, freshnessLimit, nil, Pending},
		{"entries' majority, not the members'", []string{"e1", "e2", "e3"}, freshnessLimit, freshnessLimit, nil, Pending},
		{"report older than the limit", []string{"e1", "e2", "e3", "a1", "a2"}, 0, freshnessLimit + 1, nil, Pending},
		{"a silent entry has gone", []string{"e1", "e2", "e3", "a1"}, 0, 0, []string{"e4"}, Accepted},
		{"all that are left", []string{"e1", "e2", "a1"}, 0, 0, []string{"e3", "e4", "a2", "a3"}, InForce},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := NewAcceptance(7, freshnessLimit, 0)
			for _, vm := range []string{"e1", "e2", "e3", "e4", "a1", "a2", "a3"} {
				role := api.Role_ROLE_AGENT
				if vm[0] == 'e' {
					role = api.Role_ROLE_ENTRY
				}
				a.ExpectMember(vm, role)
				if slices.Contains(test.holders, vm) {
					a.UpdateMember(vm, role, 7, test.reportedAt)
				}
			}
			for _, vm := range test.removed {
				a.RemoveMember(vm)
			}
			got, missing := a.State(test.now)
			if got != test.want {
				t.Errorf("got %v, want %v; missing %v", got, test.want, missing)
			}
		})
	}
}

// A change must not be accepted on the report of a process that no longer runs. An entry reports
// that it holds the change, its VM is replaced, the new process reports that it holds nothing, and
// then a delayed copy of the old report arrives.
func TestAcceptanceForgetsReportOfReplacedMember(t *testing.T) {
	a := NewAcceptance(7, freshnessLimit, 0)
	for _, vm := range []string{"e1", "e2", "e3"} {
		a.ExpectMember(vm, api.Role_ROLE_ENTRY)
	}
	a.UpdateMember("e1", api.Role_ROLE_ENTRY, 7, freshnessLimit)
	a.UpdateMember("e2", api.Role_ROLE_ENTRY, 7, freshnessLimit)
	a.UpdateMember("e2", api.Role_ROLE_ENTRY, -1, freshnessLimit+1)
	a.UpdateMember("e2", api.Role_ROLE_ENTRY, 7, freshnessLimit)
	if got, missing := a.State(freshnessLimit + 2); got != Pending || !slices.Equal(missing, []string{"e2", "e3"}) {
		t.Fatalf("got %v, missing %v", got, missing)
	}
	a.UpdateMember("e2", api.Role_ROLE_ENTRY, 8, freshnessLimit+2)
	if got, _ := a.State(freshnessLimit + 2); got != Accepted {
		t.Errorf("got %v, want accepted", got)
	}
	if got, _ := a.State(9 * freshnessLimit); got != Accepted {
		t.Errorf("got %v: an accepted change must stay accepted", got)
	}
}

// Entries must not flood the log with snapshots, and the last snapshot must never expire, whichever
// entries are dead.
func TestSnapshotsAreSpreadOverEntries(t *testing.T) {
	for _, test := range []struct {
		applied, lastSnapshot, interval int64
		position                        int
		want                            bool
	}{
		{198, -1, 200, 0, false},
		{199, -1, 200, 0, true},
		{199, -1, 200, 1, false},
		{224, -1, 200, 1, true},
		{398, 199, 200, 0, false},
		{399, 199, 200, 0, true},
		{399, -1, 200, 400, true},
		{2, 0, 1, 1, true},
	} {
		if got := SnapshotDue(test.applied, test.lastSnapshot, test.interval, test.position); got != test.want {
			t.Errorf("%+v: got %v", test, got)
		}
	}
	for position, want := range []time.Duration{8 * time.Minute, 9 * time.Minute, 10 * time.Minute} {
		if SnapshotDueByAge(want-1, 8*time.Minute, position) || !SnapshotDueByAge(want, 8*time.Minute, position) {
			t.Error(fmt.Sprint("position ", position, " does not become due at ", want))
		}
	}
}
