package config

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
)

const limit = 2 * time.Second

// What the operator sees: "accepted" only once no few faults can make the members
// forget the change, "in force" once all have it. Four entries and three agents;
// who holds the change, and when that was last heard, decides.
func TestAcceptance(t *testing.T) {
	for _, test := range []struct {
		name    string
		holders []string
		heard   time.Duration
		now     time.Duration
		gone    []string
		want    AcceptanceState
	}{
		{"nobody", nil, 0, 0, nil, Pending},
		{"all", []string{"e1", "e2", "e3", "e4", "a1", "a2", "a3"}, 0, limit, nil, InForce},
		{"all entries", []string{"e1", "e2", "e3", "e4"}, 0, 0, nil, Accepted},
		{"a silent entry is waited for", []string{"e1", "e2", "e3", "a1"}, 0, limit - 1, nil, Pending},
		{"a silent entry is passed over at the limit", []string{"e1", "e2", "e3", "a1"}, limit, limit, nil, Accepted},
		{"half of the entries is no majority", []string{"e1", "e2", "a1", "a2", "a3"}, limit, limit, nil, Pending},
		{"entries' majority, not the members'", []string{"e1", "e2", "e3"}, limit, limit, nil, Pending},
		{"word older than the limit", []string{"e1", "e2", "e3", "a1", "a2"}, 0, limit + 1, nil, Pending},
		{"a silent entry has gone", []string{"e1", "e2", "e3", "a1"}, 0, 0, []string{"e4"}, Accepted},
		{"all that are left", []string{"e1", "e2", "a1"}, 0, 0, []string{"e3", "e4", "a2", "a3"}, InForce},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := NewAcceptance(7, limit, 0)
			for _, vm := range []string{"e1", "e2", "e3", "e4", "a1", "a2", "a3"} {
				role := api.Role_ROLE_AGENT
				if vm[0] == 'e' {
					role = api.Role_ROLE_ENTRY
				}
				a.Expect(vm, role)
				if slices.Contains(test.holders, vm) {
					a.Member(vm, role, 7, test.heard)
				}
			}
			for _, vm := range test.gone {
				a.Gone(vm)
			}
			got, missing := a.State(test.now)
			if got != test.want {
				t.Errorf("got %v, want %v; missing %v", got, test.want, missing)
			}
		})
	}
}

// What the operator sees: no "accepted" on the word of a process that is no more.
// An entry holds the change and says so; its VM is replaced; the new process says
// that it has nothing; a late copy of the old word arrives after that.
func TestAcceptanceForgetsTheWordOfAReplacedMember(t *testing.T) {
	a := NewAcceptance(7, limit, 0)
	for _, vm := range []string{"e1", "e2", "e3"} {
		a.Expect(vm, api.Role_ROLE_ENTRY)
	}
	a.Member("e1", api.Role_ROLE_ENTRY, 7, limit)
	a.Member("e2", api.Role_ROLE_ENTRY, 7, limit)
	a.Member("e2", api.Role_ROLE_ENTRY, -1, limit+1)
	a.Member("e2", api.Role_ROLE_ENTRY, 7, limit)
	if got, missing := a.State(limit + 2); got != Pending || !slices.Equal(missing, []string{"e2", "e3"}) {
		t.Fatalf("got %v, missing %v", got, missing)
	}
	a.Member("e2", api.Role_ROLE_ENTRY, 8, limit+2)
	if got, _ := a.State(limit + 2); got != Accepted {
		t.Errorf("got %v, want accepted", got)
	}
	if got, _ := a.State(9 * limit); got != Accepted {
		t.Errorf("got %v: what was accepted stays so", got)
	}
}

// What the operators see: the log is not flooded with snapshots, and the last one
// never expires, whichever entries are dead.
func TestSnapshotDutyIsSpreadOverRanks(t *testing.T) {
	for _, test := range []struct {
		applied, last, every int64
		rank                 int
		want                 bool
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
		if got := SnapshotDue(test.applied, test.last, test.every, test.rank); got != test.want {
			t.Errorf("%+v: got %v", test, got)
		}
	}
	for rank, want := range []time.Duration{8 * time.Minute, 9 * time.Minute, 10 * time.Minute} {
		if SnapshotDueByAge(want-1, 8*time.Minute, rank) || !SnapshotDueByAge(want, 8*time.Minute, rank) {
			t.Error(fmt.Sprint("rank ", rank, " is not due at ", want))
		}
	}
}
