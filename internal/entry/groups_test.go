package entry

import (
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/platform"
)

// The agent of rank 0 dies, so that nobody reports on its group, which takes no steps any more.
// Status must still show the group, with its last step, how long ago that was, and one missing
// agent. It must also show a group whose engine stalls while all agents answer.
func TestAGroupThatStandsStillIsShown(t *testing.T) {
	d := newDirectory(false)
	vms := []platform.VM{
		{ID: "e1", Role: platform.RoleEntry},
		{ID: "p1", Role: platform.RoleBackend, Group: "g"},
		{ID: "p2", Role: platform.RoleBackend, Group: "g"},
	}
	report := func(now time.Duration, step uint64) {
		d.status["p1"] = &api.BackendStatus{Group: "g", GroupStatus: &api.GroupStatus{Step: step, Agents: 2, AgentsAll: 2}}
		d.status["p2"] = &api.BackendStatus{Group: "g"}
		d.recordStep(now, d.status["p1"])
	}
	shown := func(now time.Duration) adminapi.Group {
		all := d.groups(now, vms)
		if len(all) != 1 {
			t.Fatalf("%d groups: %+v", len(all), all)
		}
		return all[0]
	}
	report(1*time.Second, 100)
	report(2*time.Second, 120)
	report(9*time.Second, 120)
	if g := shown(9 * time.Second); g.Coordinator != "p1" || g.StepAgeMs != 7000 || g.Agents != 2 {
		t.Errorf("a stalled engine: %+v", g)
	}
	delete(d.status, "p1")
	if g := shown(12 * time.Second); g.Coordinator != "" || g.Step != 120 || g.StepAgeMs != 10000 || g.Agents != 1 || g.AgentsAll != 2 {
		t.Errorf("no coordinator: %+v", g)
	}
	report(13*time.Second, 121)
	if g := shown(13 * time.Second); g.Coordinator != "p1" || g.StepAgeMs != 0 {
		t.Errorf("after a new step: %+v", g)
	}
}
