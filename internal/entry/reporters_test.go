package entry

import (
	"fmt"
	"slices"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/platform"
)

// Each agent must have the same single reporter whatever the order of the list: an entry with the
// agent in its subset, or any entry of the region for agents in no subset.
func TestEachAgentHasOneReporter(t *testing.T) {
	var vms []platform.VM
	for i := range 4 {
		vms = append(vms, platform.VM{ID: fmt.Sprint("e", i), Role: platform.RoleEntry, FailureDomain: "a", Region: fmt.Sprint("r", i%2)})
		vms = append(vms, agentVM(fmt.Sprint("unnamed", i), "", "r1"), agentVM(fmt.Sprint("far", i), "model:far", "r9"))
	}
	for i := range 9 {
		vms = append(vms, agentVM(fmt.Sprint("a", i), "model:m", "r0"))
	}
	want := reportersByAgent(vms, 2)
	slices.Reverse(vms)
	if got := reportersByAgent(vms, 2); len(got) != 17 || fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%v, with the list in another order %v", want, got)
	}
	linkedBy := make(map[string][]string)
	for _, entry := range []string{"e0", "e2"} {
		l := newLinkChooser(&api.Hello{Vm: entry}, 2, metrics.NewRegistry())
		l.setVMs(vms)
		for _, agent := range wantedOf(l) {
			linkedBy[agent] = append(linkedBy[agent], entry)
		}
	}
	for agent, entries := range linkedBy {
		if agent[0] == 'a' && !slices.Contains(entries, want[agent]) {
			t.Errorf("%s reports for %s, which is linked to %v", want[agent], agent, entries)
		}
	}
	if reportersByAgent(vms, 0) != nil {
		t.Error("reporters were chosen although all entries hear all agents")
	}
}
