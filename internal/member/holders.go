package member

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/platform"
)

// reportersOf chooses the reporters; nil where entries link to all agents, and for a list
// without VMs, which is a fault of the platform.
func (n *Node) reportersOf(vms []platform.VM) *config.Reporters {
	if n.options.Hooks.Reporters == nil {
		return nil
	}
	of := n.options.Hooks.Reporters(vms)
	if len(of) == 0 {
		return nil
	}
	return config.NewReporters(of)
}

// askHolders asks the entries that report for the missing agents. An operator who waits
// looks every few milliseconds; what agents say changes with their heartbeats, so that
// entries are asked no more often.
func (n *Node) askHolders(change *followed, missing []string, now time.Duration) {
	if n.reporters == nil || now-change.asked < n.link.HeartbeatInterval {
		return
	}
	change.asked = now
	asked := map[string]bool{"": true}
	for _, vm := range missing {
		entry := n.reporters.ReporterOf(vm)
		if asked[entry] {
			continue
		}
		asked[entry] = true
		if entry == n.options.Self.GetVm() {
			n.reachAgents()
			continue
		}
		if p := n.byVM[entry]; p != nil {
			request := &api.HoldersRequest{Offset: change.acceptance.Offset()}
			p.shown.Session.Post(&api.Control{Body: &api.Control_HoldersRequest{HoldersRequest: request}})
		}
	}
}

// reachAgents sees to it that the agents that this entry reports for are linked while
// somebody asks: where there are more agents than links, some have no entry at all.
func (n *Node) reachAgents() {
	for _, agent := range n.reporters.AgentsOf(n.options.Self.GetVm()) {
		n.options.Hooks.Reach(agent)
	}
}

// reportHolders answers another entry that follows a change.
func (n *Node) reportHolders(p *peer, offset int64) {
	if n.reporters == nil || n.options.Self.GetRole() != api.Role_ROLE_ENTRY {
		return
	}
	n.reachAgents()
	limit := millis(n.options.Links.GetFreshnessMs())
	holders := n.reporters.BuildHolders(n.options.Self.GetVm(), offset, limit, clock.Now(), n.word)
	p.shown.Session.Post(&api.Control{Body: &api.Control_Holders{Holders: holders}})
}

// word is what the process on a VM last said of itself over the newest link to it. A new
// process has a new link, on which nothing was said yet.
func (n *Node) word(vm string) (config.AppliedReport, bool) {
	p := n.byVM[vm]
	if p == nil || !p.heard {
		return config.AppliedReport{}, false
	}
	return config.AppliedReport{Applied: p.applied, NotBefore: p.said}, true
}

// takeHolders takes what another entry reports. A link keeps the order of messages, so
// that the report was made after the last heartbeat on it was said. On an older link there
// may be an older report, which must not take the place of a later one.
func (n *Node) takeHolders(p *peer, holders *api.Holders) {
	entry := p.shown.Hello.GetVm()
	if !p.heard || p.shown.Hello.GetRole() != api.Role_ROLE_ENTRY || n.byVM[entry] != p {
		return
	}
	for _, change := range n.followed {
		change.acceptance.ApplyHolders(n.reporters, entry, holders, p.said, n.hears)
	}
}

// hears says that a VM is linked and not silent.
func (n *Node) hears(vm string) bool {
	p := n.byVM[vm]
	return p != nil && p.heard && !p.shown.Session.Suspect()
}
