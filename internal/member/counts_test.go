package member

import (
	"slices"
	"testing"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/fresh"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/platform"
)

// relaxedLinks allows for a busy machine. With a freshness limit of 600 ms and other tests running,
// counts were sometimes too old after four links. Heartbeats are half as frequent in relation to
// the limit.
var relaxedLinks = &api.Links{Key: "key", HeartbeatMs: 50, SuspectMs: 300, DeadMs: 800, FreshnessMs: 1500}

// startSparselyLinked starts nine entries and two agents in three failure domains. Each entry is
// linked to those of its own domain. One pair of entries links the first domain to the second,
// another the second to the third, and each agent has one entry. So no process is linked to a
// majority of the entries, or of all members.
func startSparselyLinked(t *testing.T, f *fakePlatform) []*testNode {
	t.Helper()
	start := func(vm, role, domain string, dials ...string) *testNode {
		n := f.start(t, vm, role, func(o *Options) {
			o.Links = relaxedLinks
			o.ShouldDial = func(other platform.VM) bool { return slices.Contains(dials, other.ID) }
		})
		f.set(func() { f.vms[len(f.vms)-1].FailureDomain = domain })
		return n
	}
	return []*testNode{
		start("e1", platform.RoleEntry, "a", "e2", "e3", "e4"),
		start("e2", platform.RoleEntry, "a", "e3", "a1"),
		start("e3", platform.RoleEntry, "a"),
		start("a1", platform.RoleBackend, "a"),
		start("e4", platform.RoleEntry, "b", "e5", "e6"),
		start("e5", platform.RoleEntry, "b", "e6", "e7"),
		start("e6", platform.RoleEntry, "b"),
		start("e7", platform.RoleEntry, "c", "e8", "e9"),
		start("e8", platform.RoleEntry, "c", "e9", "a2"),
		start("e9", platform.RoleEntry, "c"),
		start("a2", platform.RoleBackend, "c"),
	}
}

func allInMode(nodes []*testNode, mode fresh.State) func() bool {
	return func() bool {
		return !slices.ContainsFunc(nodes, func(n *testNode) bool { return n.State().Mode != mode })
	}
}

// The log fails, and no process is linked to a majority of the entries. All must continue with what
// others have counted; without counts each would consider itself isolated and refuse every request.
// Then the first domain is cut off. It must refuse within the freshness limit, although the counts
// from before the cut show a majority. The others, who are still a majority, must not refuse.
func TestCountsKeepServiceInALogOutage(t *testing.T) {
	f := newFakePlatform(t)
	f.mark(t, "first", -1)
	all := startSparselyLinked(t, f)
	island, others := all[:4], all[4:]
	eventually(t, "service", allInMode(all, fresh.Fresh))
	f.set(func() { f.down = true })
	expectNoRefusal(t, "in an outage of the log", all)
	eventually(t, "an outage", allInMode(all, fresh.Outage))
	all[0].Do(func() { all[0].options.ShouldDial = func(platform.VM) bool { return false } })
	// A dial that was under way may still bring up one more link.
	const maxLinks = 2
	closed := make(map[*link.Session]bool)
	eventually(t, "isolation", func() bool {
		if p := all[0].peer("e4"); p != nil && p.Session != nil {
			closed[p.Session] = true
			all[0].closeLink("e4")
		}
		return allInMode(island, fresh.Isolated)()
	})
	if len(closed) > maxLinks {
		t.Errorf("%d links to the second domain came up after the cut", len(closed)-1)
	}
	expectNoRefusal(t, "beside an island", others)
}

// expectNoRefusal fails the test if a member refuses within four freshness limits.
func expectNoRefusal(t *testing.T, when string, nodes []*testNode) {
	t.Helper()
	refused := make(map[string]int)
	for deadline := clock.Now() + 4*millis(relaxedLinks.GetFreshnessMs()); clock.Now() < deadline; {
		for _, n := range nodes {
			if n.State().RefusalCode(clock.Now()) != api.ResultCode_OK {
				refused[n.options.Self.GetVm()]++
			}
		}
		sleep(t.Context(), millis(5))
	}
	if len(refused) > 0 {
		t.Errorf("refused %s: %v", when, refused)
	}
}
