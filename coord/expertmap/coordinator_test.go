package expertmap

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
)

func sealAck(vm, incarnation string, ballot, version uint64) *api.GroupMessage {
	return &api.GroupMessage{
		Group: simGroup, FromVm: vm, FromIncarnation: incarnation,
		Body: &api.GroupMessage_SealAck{SealAck: &api.SealAck{
			Ballot: ballot, Incarnation: incarnation, Given: []*api.StepRange{{Start: 0, End: 4, MapVersion: version}},
		}},
	}
}

// An agent answers a seal with a range that it is about to give its engine, and dies before it
// does. A coordinator with a lower ballot then gives the same steps another map, which the other
// agent reports. The two reports conflict, although no two engines do. If the coordinator gave up,
// the group would stop for good.
func TestConflictingSealReportsLeadToNewBallot(t *testing.T) {
	c := NewCoordinator(CoordinatorConfig{
		Group: simGroup, VM: "vm-0", Incarnation: "i1", Members: []string{"vm-0", "vm-1"},
		Random: rand.New(rand.NewPCG(1, 1)),
	})
	c.Start(0, 4)
	c.Ready()
	c.HandleMessage(0, sealAck("vm-0", "i1", 5, 1))
	c.HandleMessage(0, sealAck("vm-1", "i1", 5, 2))
	if sent := c.Ready().Messages; len(sent) != 0 {
		t.Fatalf("sent %v on conflicting reports", sent)
	}
	c.Tick(10 * time.Second)
	c.HandleMessage(10*time.Second, sealAck("vm-0", "i2", 6, 2))
	c.HandleMessage(10*time.Second, sealAck("vm-1", "i1", 6, 2))
	if s := c.Status(); s.Phase != Active || s.Ballot != 6 || s.Plan[0].Map != 2 {
		t.Fatalf("status = %+v, want the steps carried over under ballot 6", s)
	}
}
