package agent

import (
	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/member"
)

// peersChanged has the next tick report anew, and forgets the links that are gone.
func (a *agent) peersChanged(state *member.State) {
	a.reported = nil
	stand := make(map[*link.Session]bool, len(state.Peers))
	for _, peer := range state.Peers {
		stand[peer.Session] = true
	}
	for s := range a.spare {
		if !stand[s] {
			delete(a.spare, s)
		}
	}
}

// entries counts the entries that send this agent new work. Each takes its part of the
// agent's room by it; counted with those that are linked for a ticket alone, a storm of
// tickets would shrink the parts of those that carry the load. The number is never what
// keeps the limit: that is the limiter's, and exact.
func (a *agent) entries(state *member.State) int32 {
	n := int32(0)
	for _, peer := range state.Peers {
		if peer.Hello.GetRole() == api.Role_ROLE_ENTRY && !peer.Draining && !a.spare[peer.Session] {
			n++
		}
	}
	return n
}
