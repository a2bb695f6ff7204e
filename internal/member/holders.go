package member

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/platform"
)

// selectReporters returns the reporters for a list of VMs; nil where entries link to all agents,
// and for a list without VMs, which is a fault of the platform.
func (n *Node) selectReporters(vms []platform.VM) *config.Reporters {
	if n.options.Hooks.SelectReporters == nil {
		return nil
	}
	byAgent := n.options.Hooks.SelectReporters(vms)
	if len(byAgent) == 0 {
		return nil
	}
	return config.NewReporters(byAgent)
}

// requestHolders asks the entries that report for the missing agents. An operator's client polls
// every few milliseconds, but the reports of agents change with their heartbeats, so entries are
// asked at most once per heartbeat interval.
func (n *Node) requestHolders(change *trackedChange, missing []string, now time.Duration) {
	if n.reporters == nil || now-change.lastAsked < n.link.HeartbeatInterval {
		return
	}
	change.lastAsked = now
	requested := map[string]bool{"": true}
	for _, vm := range missing {
		entry := n.reporters.ReporterOf(vm)
		if requested[entry] {
			continue
		}
		requested[entry] = true
		if entry == n.options.Self.GetVm() {
			n.requestAgentLinks()
			continue
		}
		if p := n.byVM[entry]; p != nil {
			request := &api.HoldersRequest{Offset: change.acceptance.Offset()}
			p.published.Session.Post(&api.Control{Body: &api.Control_HoldersRequest{HoldersRequest: request}})
		}
	}
}

// requestAgentLinks requests links to the agents that this entry reports for while another process
// asks about them. Where there are more agents than links, some agents have no entry otherwise.
func (n *Node) requestAgentLinks() {
	for _, agent := range n.reporters.AgentsOf(n.options.Self.GetVm()) {
		n.options.Hooks.RequestLink(agent)
	}
}

// reportHolders answers an entry that tracks a change.
func (n *Node) reportHolders(p *peer, offset int64) {
	if n.reporters == nil || n.options.Self.GetRole() != api.Role_ROLE_ENTRY {
		return
	}
	n.requestAgentLinks()
	limit := millis(n.options.Links.GetFreshnessMs())
	holders := n.reporters.BuildHolders(n.options.Self.GetVm(), offset, limit, clock.Now(), n.appliedReport)
	p.published.Session.Post(&api.Control{Body: &api.Control_Holders{Holders: holders}})
}

// appliedReport returns what the process on a VM last reported over the newest link to it. A new
// process has a new link, on which nothing has been reported yet.
func (n *Node) appliedReport(vm string) (config.AppliedReport, bool) {
	p := n.byVM[vm]
	if p == nil || !p.hasReported {
		return config.AppliedReport{}, false
	}
	return config.AppliedReport{Applied: p.applied, NotBefore: p.notBefore}, true
}

// handleHolders handles the report of another entry. A link keeps the order of messages, so the
// report is newer than the last heartbeat on it. Reports over an older link to that entry are
// ignored, as they may be older and must not replace a newer one.
func (n *Node) handleHolders(p *peer, holders *api.Holders) {
	entry := p.published.Hello.GetVm()
	if !p.hasReported || p.published.Hello.GetRole() != api.Role_ROLE_ENTRY || n.byVM[entry] != p {
		return
	}
	for _, change := range n.trackedChanges {
		change.acceptance.ApplyHolders(n.reporters, entry, holders, p.notBefore, n.hasWorkingLink)
	}
}

// hasWorkingLink reports whether a VM is linked and its link is not suspect.
func (n *Node) hasWorkingLink(vm string) bool {
	p := n.byVM[vm]
	return p != nil && p.hasReported && !p.published.Session.Suspect()
}
