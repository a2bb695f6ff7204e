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
		Self: &api.Hello{Vm: "e1", Role: api.Role_ROLE_ENTRY}, Links: fastLinks, Logger: log.NewNopLogger(),
	})
	for _, vm := range []string{"e1", "e2", "e3"} {
		n.vms = append(n.vms, platform.VM{ID: vm, Role: platform.RoleEntry})
	}
	peerAt := func(applied int64) *peer {
		return &peer{published: &Peer{Hello: &api.Hello{Role: api.Role_ROLE_ENTRY}}, hasReported: true, applied: applied, notBefore: now}
	}
	for _, vm := range []string{"z1", "z2", "z3"} {
		n.byVM[vm] = peerAt(5)
	}
	acceptance := config.NewAcceptance(5, time.Second, 0)
	n.fold = foldAt(t, 5)
	n.updateAcceptance(acceptance, now)
	if state, _ := acceptance.State(now); state != config.Pending {
		t.Errorf("the change is %v", state)
	}
	for _, vm := range []string{"e2", "e3"} {
		n.byVM[vm] = peerAt(5)
	}
	n.byVM["z3"] = peerAt(4)
	n.updateAcceptance(acceptance, now)
	if state, missing := acceptance.State(now); state != config.Accepted || len(missing) != 1 || missing[0] != "z3" {
		t.Errorf("the change is %v, missing %v", state, missing)
	}
	n.byVM["z3"] = peerAt(5)
	n.updateAcceptance(acceptance, now)
	if state, missing := acceptance.State(now); state != config.InForce {
		t.Errorf("the change is %v, missing %v", state, missing)
	}
}

// The list of VMs could not be read since the start. This process alone holds a change, as
// far as it knows; it must not call that all members.
func TestNothingIsAcceptedWithoutAVMList(t *testing.T) {
	n := New(Options{Self: &api.Hello{Vm: "e1", Role: api.Role_ROLE_ENTRY}, Links: fastLinks, Logger: log.NewNopLogger()})
	n.fold = foldAt(t, 5)
	acceptance := config.NewAcceptance(5, time.Second, 0)
	n.updateAcceptance(acceptance, time.Hour)
	if state, _ := acceptance.State(time.Hour); state != config.Pending {
		t.Errorf("the change is %v", state)
	}
}

// foldAt returns a fold that has applied so many records.
func foldAt(t *testing.T, offset int64) *config.Fold {
	t.Helper()
	fold := config.NewFold()
	for next := range offset + 1 {
		if err := fold.Apply(next, nil); err != nil {
			t.Fatal(err)
		}
	}
	return fold
}
