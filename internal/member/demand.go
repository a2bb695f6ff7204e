package member

import (
	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/platform"
)

// errLinkNotNeeded closes a link that this process no longer needs.
var errLinkNotNeeded = errors.New("the link is no longer needed")

// DialMissing dials the VMs that Options.ShouldDial selects and that are not linked, without
// waiting for the next tick. It skips a VM that is being dialed or could not be dialed a moment
// ago, so it may be called for each request that lacks a link.
func (n *Node) DialMissing() {
	n.post(n.Redial)
}

// Redial is DialMissing for callers on the control goroutine, such as hooks. DialMissing would
// block there when the queue of that goroutine is full.
func (n *Node) Redial() { n.dialMissing(clock.Now()) }

// DropLinks closes the links to a VM. It must be called on the control goroutine, as hooks are.
// When it returns, the peer is no longer in the published State, so that no new request starts on a
// link that is about to close. The caller must wait for the requests in flight on it beforehand.
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

// isUnlinkedByDesign reports whether there should be no link to a VM: between two agents, and
// between an entry and an agent outside its subset. Reporting such a link as down would raise an
// alarm on every process.
func (n *Node) isUnlinkedByDesign(vm platform.VM) bool {
	self, other := n.options.Self.GetRole(), roleOf(vm)
	if self == api.Role_ROLE_AGENT {
		// An agent does not know which entries have it in their subsets.
		return other == api.Role_ROLE_AGENT || n.options.Links.GetAgentsPerOffer() > 0
	}
	return other == api.Role_ROLE_AGENT && !n.options.ShouldDial(vm)
}
