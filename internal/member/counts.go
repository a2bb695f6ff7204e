package member

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/platform"
)

// countsFraction is the part of the freshness limit after which counts are sent again.
// From an agent to an entry that it does not know they pass its entry, one that hears
// most of its failure domain, and one of another domain: with half of the limit gone
// before counts are sent at all, four times this must fit into the other half.
const countsFraction = 10

// sendCounts tells the entries that are linked what this one knows of all members,
// while its evidence grows old. A process that hears only some of the members goes on
// with that in an outage of the log; while the log answers, nothing is sent.
//
// Agents get none: they live on the evidence of their entries.
func (n *Node) sendCounts(now time.Duration) {
	if n.options.Self.GetRole() != api.Role_ROLE_ENTRY || !n.fresh.NeedsCounts(now) {
		return
	}
	interval := millis(n.options.Links.GetFreshnessMs()) / countsFraction
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

// handleCounts takes what another entry counts. A link keeps the order of messages, so
// that the counts were made after the last heartbeat on it was said.
func (n *Node) handleCounts(p *peer, counts *api.Counts) {
	if !p.hasReported {
		return // Nothing says yet how old they may be.
	}
	before := n.fresh.State(clock.Now())
	n.fresh.HandleCounts(p.published.Hello.GetVm(), p.notBefore, counts, n.fold.Applied())
	if n.fresh.State(clock.Now()) != before {
		n.publish()
	}
}

// domainsOf returns the failure domain of each entry of the list.
func domainsOf(vms []platform.VM) map[string]string {
	domains := make(map[string]string)
	for _, vm := range vms {
		if vm.Role == platform.RoleEntry {
			domains[vm.ID] = vm.FailureDomain
		}
	}
	return domains
}
