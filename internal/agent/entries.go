package agent

import (
	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/member"
)

// peersChanged has the next tick report anew, and forgets the links that are gone.
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

// countEntries counts the countEntries that send this agent new work. Each takes its part of the
// agent's room by it; counted with those that are linked for a ticket alone, a storm of
// tickets would shrink the parts of those that carry the load. The number is never what
// keeps the limit: that is the limiter's, and exact.
func (a *agent) countEntries(state *member.State) int32 {
	n := int32(0)
	for _, peer := range state.Peers {
		if peer.Hello.GetRole() == api.Role_ROLE_ENTRY && !peer.Draining && !a.spareLinks[peer.Session] {
			n++
		}
	}
	return n
}
