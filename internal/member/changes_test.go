package member

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/internal/platform"
)

// Entries were replaced: three old ones have left the list and still hold their links.
// With one listed entry they hold a change; the two other listed ones are cut off and, as
// the majority of the list, go on by themselves. The operator must not be told that the
// change is accepted: that island does not know it. An old one that lacks the change is
// alive, and must show as missing.
func TestOnlyListedVMsCountForAMajority(t *testing.T) {
	now := time.Hour
	n := New(Options{
		Self: &api.Hello{Vm: "e1", Role: api.Role_ROLE_ENTRY}, Links: quick, Logger: log.NewNopLogger(),
	})
	for _, vm := range []string{"e1", "e2", "e3"} {
		n.vms = append(n.vms, platform.VM{ID: vm, Role: platform.RoleEntry})
	}
	old := func(applied int64) *peer {
		return &peer{shown: &Peer{Hello: &api.Hello{Role: api.Role_ROLE_ENTRY}}, heard: true, applied: applied, said: now}
	}
	for _, vm := range []string{"z1", "z2", "z3"} {
		n.byVM[vm] = old(5)
	}
	acceptance := config.NewAcceptance(5, time.Second, 0)
	n.fold = heldTo(t, 5)
	n.feed(acceptance, now)
	if state, _ := acceptance.State(now); state != config.Pending {
		t.Errorf("the change is %v", state)
	}
	for _, vm := range []string{"e2", "e3"} {
		n.byVM[vm] = old(5)
	}
	n.byVM["z3"] = old(4)
	n.feed(acceptance, now)
	if state, missing := acceptance.State(now); state != config.Accepted || len(missing) != 1 || missing[0] != "z3" {
		t.Errorf("the change is %v, missing %v", state, missing)
	}
	n.byVM["z3"] = old(5)
	n.feed(acceptance, now)
	if state, missing := acceptance.State(now); state != config.InForce {
		t.Errorf("the change is %v, missing %v", state, missing)
	}
}

// The list of VMs could not be read since the start. This process alone holds a change, as
// far as it knows; it must not call that all members.
func TestNothingIsAcceptedWithoutAList(t *testing.T) {
	n := New(Options{Self: &api.Hello{Vm: "e1", Role: api.Role_ROLE_ENTRY}, Links: quick, Logger: log.NewNopLogger()})
	n.fold = heldTo(t, 5)
	acceptance := config.NewAcceptance(5, time.Second, 0)
	n.feed(acceptance, time.Hour)
	if state, _ := acceptance.State(time.Hour); state != config.Pending {
		t.Errorf("the change is %v", state)
	}
}

// heldTo returns a fold that has applied so many records.
func heldTo(t *testing.T, offset int64) *config.Fold {
	t.Helper()
	fold := config.NewFold()
	for at := range offset + 1 {
		if err := fold.Apply(at, nil); err != nil {
			t.Fatal(err)
		}
	}
	return fold
}
