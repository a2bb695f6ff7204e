package agent

import (
	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/member"
)

// peersChanged makes the next tick send a new report, and drops the links that have closed.
func (a *agent) peersChanged(state *member.State) {
	a.lastReport = nil
	current := make(map[*link.Session]bool, len(state.Peers))
	for _, peer := range state.Peers {
		current[peer.Session] = true
	}
	for s := range a.spareLinks {
		if !current[s] {
			delete(a.spareLinks, s)
		}
	}
}

// countEntries counts the entries that send new work to this agent. Each entry uses it to compute
// its share of the agent's slots. If it included the entries that are linked only to present a
// ticket, a burst of tickets would shrink the shares of the entries that carry the load. The count
// does not enforce the limit: the limiter does, exactly.
func (a *agent) countEntries(state *member.State) int32 {
	n := int32(0)
	for _, peer := range state.Peers {
		if peer.Hello.GetRole() == api.Role_ROLE_ENTRY && !peer.Draining && !a.spareLinks[peer.Session] {
			n++
		}
	}
	return n
}
