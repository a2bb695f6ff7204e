package peering

import (
	"fmt"
	"testing"
	"time"
)

// VMs are replaced all day under new names. Members that are gone are removed after a while, a few
// at a time. A member that is live now and then stays, and the silence of a member that changes its
// IP counts from the change.
func TestSilentMembersAreRemovedInBatches(t *testing.T) {
	r := &MemberPruner{}
	self, heard, moved := Member{"front-1", "10.0.0.1"}, Member{"front-2", "10.0.0.2"}, Member{"front-3", "10.0.0.3"}
	members := []Member{self, heard, moved}
	for i := range 2 * maxRemovals {
		members = append(members, Member{fmt.Sprint("old-", i), fmt.Sprint("10.0.1.", i)})
	}
	const readInterval = 20 * time.Second
	var removed []Member
	for now := time.Duration(0); now < removeAfter; now += readInterval {
		if now == removeAfter/2 {
			moved.IP = "10.0.0.33"
			members[2] = moved
		}
		live := map[string]bool{self.IP: true, heard.IP: now%(5*time.Minute) == 0}
		removed = r.SelectRemovals(members, live, now)
		if len(removed) != 0 {
			t.Fatalf("after %v, removed %v", now, removed)
		}
	}
	removed = r.SelectRemovals(members, map[string]bool{self.IP: true}, removeAfter)
	if len(removed) != maxRemovals {
		t.Fatalf("%d members removed, want %d at a time", len(removed), maxRemovals)
	}
	for _, member := range removed {
		if member == self || member == heard || member == moved {
			t.Errorf("%v was removed", member)
		}
	}
	rest := members[:3+maxRemovals]
	if removed = r.SelectRemovals(rest, map[string]bool{self.IP: true}, removeAfter+readInterval); len(removed) != maxRemovals {
		t.Errorf("%d of the remaining members removed", len(removed))
	}
}
