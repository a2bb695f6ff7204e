package member

import (
	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/platform"
)

// errLinkNotNeeded ends a link that this process has no use for any more.
var errLinkNotNeeded = errors.New("the link is not needed any more")

// DialMissing dials what Options.Dials now asks for, without a wait for the next tick. A
// VM that is being dialled, or could not be dialled a moment ago, is left alone, so that
// it may be called for each request that misses a link.
func (n *Node) DialMissing() {
	n.post(n.Redial)
}

// Redial is DialMissing on the control goroutine, as hooks run: posting to itself, that
// one could wait for itself.
func (n *Node) Redial() { n.dialMissing(clock.Now()) }

// DropLinks closes the links to a VM. It runs on the control goroutine, as hooks do. The peer
// is out of the state that traffic reads when it returns, so that nobody begins anything
// on a link that is about to close; what is under way on it is the caller's to wait for.
func (n *Node) DropLinks(vm string) {
	delete(n.byVM, vm)
	for s := range n.peers {
		if s.Peer.GetVm() == vm {
			delete(n.peers, s)
			go s.Close(errLinkNotNeeded)
		}
	}
	n.peersChanged()
}

// isUnlinkedByDesign says that no link to a VM is meant to be: between two agents, and between an
// entry and an agent outside its subset. Calling it down would raise an alarm on every
// process.
func (n *Node) isUnlinkedByDesign(vm platform.VM) bool {
	self, other := n.options.Self.GetRole(), roleOf(vm)
	if self == api.Role_ROLE_AGENT {
		// Which entries have this agent in their subset is not known here.
		return other == api.Role_ROLE_AGENT || n.options.Links.GetAgentsPerOffer() > 0
	}
	return other == api.Role_ROLE_AGENT && !n.options.ShouldDial(vm)
}
