package member

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/platform"
)

// countsIntervalDivisor divides the freshness limit to get the time after which counts are sent
// again. On the way from an agent to an entry that it has no link to, counts pass through its
// entry, one that is linked to most of its failure domain, and one in another domain. Half of the
// limit has passed before counts are sent at all, so four intervals must fit into the other half.
const countsIntervalDivisor = 10

// sendCounts tells the linked entries what this one knows about all members, when its evidence
// becomes old. This lets processes with links to only some of the members continue in an outage of
// the log. While the log answers, nothing is sent.
//
// Agents get no counts: they rely on the evidence of their entries.
func (n *Node) sendCounts(now time.Duration) {
	if n.options.Self.GetRole() != api.Role_ROLE_ENTRY || !n.fresh.NeedsCounts(now) {
		return
	}
	interval := millis(n.options.Links.GetFreshnessMs()) / countsIntervalDivisor
	if now-n.lastCountsSent < interval {
		return
	}
	n.lastCountsSent = now
	n.fresh.SetApplied(n.fold.Applied())
	counts := n.fresh.Counts(now)
	if counts == nil {
		return
	}
	for _, p := range n.byVM {
		if p.published.Hello.GetRole() == api.Role_ROLE_ENTRY {
			p.published.Session.Post(&api.Control{Body: &api.Control_Counts{Counts: counts}})
		}
	}
}

// handleCounts handles the counts of another entry. A link keeps the order of messages, so the
// counts are newer than the last heartbeat on it.
func (n *Node) handleCounts(p *peer, counts *api.Counts) {
	if !p.hasReported {
		return // The age of the counts is unknown.
	}
	before := n.fresh.State(clock.Now())
	n.fresh.HandleCounts(p.published.Hello.GetVm(), p.notBefore, counts, n.fold.Applied())
	if n.fresh.State(clock.Now()) != before {
		n.publish()
	}
}

// domainsOf returns the failure domain of each entry on the list.
func domainsOf(vms []platform.VM) map[string]string {
	domains := make(map[string]string)
	for _, vm := range vms {
		if vm.Role == platform.RoleEntry {
			domains[vm.ID] = vm.FailureDomain
		}
	}
	return domains
}
