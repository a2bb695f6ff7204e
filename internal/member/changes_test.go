package member

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/internal/platform"
)

// Entries were replaced: three old ones have left the list of VMs and still hold their links.
// Together with one listed entry they hold a change. The two other listed entries are cut off and,
// as the majority of the list, continue without the change. The operator must not be told that the
// change is accepted. An old entry that lacks the change is live, and must be reported as missing.
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
		t.Errorf("state of the change: %v", state)
	}
	for _, vm := range []string{"e2", "e3"} {
		n.byVM[vm] = peerAt(5)
	}
	n.byVM["z3"] = peerAt(4)
	n.updateAcceptance(acceptance, now)
	if state, missing := acceptance.State(now); state != config.Accepted || len(missing) != 1 || missing[0] != "z3" {
		t.Errorf("state of the change: %v, missing %v", state, missing)
	}
	n.byVM["z3"] = peerAt(5)
	n.updateAcceptance(acceptance, now)
	if state, missing := acceptance.State(now); state != config.InForce {
		t.Errorf("state of the change: %v, missing %v", state, missing)
	}
}

// The list of VMs could not be read since the start, so this process knows of no other member that
// lacks the change. It must not take itself for all members.
func TestNothingIsAcceptedWithoutAVMList(t *testing.T) {
	n := New(Options{Self: &api.Hello{Vm: "e1", Role: api.Role_ROLE_ENTRY}, Links: fastLinks, Logger: log.NewNopLogger()})
	n.fold = foldAt(t, 5)
	acceptance := config.NewAcceptance(5, time.Second, 0)
	n.updateAcceptance(acceptance, time.Hour)
	if state, _ := acceptance.State(time.Hour); state != config.Pending {
		t.Errorf("state of the change: %v", state)
	}
}

// foldAt returns a fold that has applied all records up to an offset.
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
