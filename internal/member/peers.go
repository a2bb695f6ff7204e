package member

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/platform"
)

// redialInterval is how long a VM that could not be dialled is left alone. It is well
// under the time in which a link counts as dead, so that a restarted process is
// found again within about a second.
const redialInterval = 300 * time.Millisecond

// peer is the control goroutine's view of one link.
type peer struct {
	published   *Peer
	applied     int64
	notBefore   time.Duration // a time before which it cannot have said so
	hasReported bool
	// exchangedOffset is the offset up to which the peer has been sent the log, or has sent it.
	// It has applied that once it has read it: links lose nothing before they break.
	exchangedOffset int64
	ready           bool
	draining        bool
}

// handler receives what links bring and hands it to the control goroutine.
type handler struct{ node *Node }

// Up implements link.Handler.
func (h handler) Up(s *link.Session) {
	h.node.post(func() { h.node.peerUp(s) })
}

// Down implements link.Handler.
func (h handler) Down(s *link.Session, cause error) {
	h.node.post(func() { h.node.peerDown(s, cause) })
}

// Control implements link.Handler.
func (h handler) Control(s *link.Session, m *api.Control, notBefore time.Duration) {
	h.node.post(func() { h.node.handleMessage(s, m, notBefore) })
}

// Stream implements link.Handler.
func (h handler) Stream(s *link.Session, open *api.Open, stream *link.Stream) {
	if h.node.options.Hooks.HandleStream != nil {
		h.node.options.Hooks.HandleStream(s, open, stream)
	}
}

// Heartbeat implements link.Handler. It asks the control goroutine: knowledge that
// was written down earlier would be taken by the receiver for newer than it is.
func (h handler) Heartbeat() *api.Heartbeat {
	n := h.node
	heartbeat := &api.Heartbeat{}
	n.Do(func() {
		heartbeat.Knowledge = n.fresh.Knowledge(clock.Now(), n.fold.Applied())
		heartbeat.Knowledge.Ready = heartbeat.Knowledge.GetReady() && n.linked
		heartbeat.Draining = n.draining
	})
	return heartbeat
}

func (n *Node) peerUp(s *link.Session) {
	vm := s.Peer.GetVm()
	p := &peer{published: &Peer{Hello: s.Peer, Session: s}, applied: -1, exchangedOffset: -1}
	old := n.byVM[vm]
	n.peers[s] = p
	n.byVM[vm] = p
	delete(n.nextDial, vm)
	delete(n.wrongKey, vm)
	_ = n.logger.Log("msg", "A link stands.", "vm", vm, "role", s.Peer.GetRole(), "incarnation", s.Peer.GetIncarnation())
	// An older link to the same VM is not closed: it may carry answers to their
	// end. If it is silent its own heartbeats close it.
	if old != nil {
		_ = n.logger.Log("msg", "A newer link takes the place of an older one.", "vm", vm)
	}
	n.peersChanged()
}

func (n *Node) peerDown(s *link.Session, cause error) {
	p, ok := n.peers[s]
	if !ok {
		return
	}
	delete(n.peers, s)
	vm := s.Peer.GetVm()
	if n.byVM[vm] == p {
		delete(n.byVM, vm)
	}
	_ = n.logger.Log("msg", "A link is gone.", "result", unreachable, "vm", vm, "cause", cause)
	n.peersChanged()
}

func (n *Node) peersChanged() {
	n.publish()
	if n.options.Hooks.PeersChanged != nil {
		n.options.Hooks.PeersChanged(n.state.Load())
	}
}

// publishedPeers returns the peers by VM for traffic, the same map as before when
// nothing changed.
func (n *Node) publishedPeers(old *State) map[string]*Peer {
	changed := old == nil || len(old.Peers) != len(n.byVM)
	for vm, p := range n.byVM {
		draining := p.draining || n.leavingVMs[vm]
		if p.published.Draining != draining || p.published.Ready != p.ready {
			published := *p.published
			published.Draining = draining
			published.Ready = p.ready
			p.published = &published
		}
		if !changed && old.Peers[vm] != p.published {
			changed = true
		}
	}
	if !changed {
		return old.Peers
	}
	peers := make(map[string]*Peer, len(n.byVM))
	for vm, p := range n.byVM {
		peers[vm] = p.published
	}
	return peers
}

// updateLinked finds out whether this process has had its first look at all VMs that it
// dials. Once it has, it stays so.
func (n *Node) updateLinked() {
	if n.linked || n.vms == nil {
		return
	}
	for _, vm := range n.vms {
		if vm.ID == n.options.Self.GetVm() || vm.Link == "" || !n.options.ShouldDial(vm) {
			continue
		}
		if p := n.byVM[vm.ID]; (p == nil || !p.hasReported) && !n.failedDials[vm.ID] {
			return
		}
	}
	n.linked = n.options.Hooks.IsSynced == nil || n.options.Hooks.IsSynced()
}

// dialMissing dials the VMs of the list that this process should have links to.
func (n *Node) dialMissing(now time.Duration) {
	for _, vm := range n.vms {
		if vm.ID == n.options.Self.GetVm() || vm.Link == "" || !n.options.ShouldDial(vm) {
			continue
		}
		// A silent link gets a successor before it is given up: a connection may be
		// dead for good while new ones work.
		if p, linked := n.byVM[vm.ID]; linked && !p.published.Session.Suspect() {
			continue
		}
		if next, scheduled := n.nextDial[vm.ID]; scheduled && now < next {
			continue
		}
		n.nextDial[vm.ID] = now + n.link.DeadAfter + redialInterval
		go n.dial(vm)
	}
}

func (n *Node) dial(vm platform.VM) {
	_, err := link.Dial(vm.Link, n.link, handler{n})
	if err == nil {
		return
	}
	n.post(func() {
		n.recordDialFailure(vm.ID)
		if errors.Is(err, link.ErrWrongKey) {
			n.logWrongKey(vm.ID)
			return
		}
		_ = n.logger.Log("level", "debug", "msg", "A VM could not be reached.", "result", unreachable, "vm", vm.ID, "err", err)
	})
}

// logWrongKey tells once of a VM that was dialled and does not hold the link key: status
// says no more than that its link is down, and it is dialled again all the time.
func (n *Node) logWrongKey(vm string) {
	if n.wrongKey[vm] {
		return
	}
	n.wrongKey[vm] = true
	_ = n.logger.Log("level", "warn", "msg", "A VM does not hold the link key.", "result", unreachable, "vm", vm)
}

// wrongKeyLogInterval bounds the lines on connections without the link key. A VM with another
// key comes several times a second, and so may anybody who finds the address.
const wrongKeyLogInterval = time.Minute

// logWrongKeyConn tells of a connection whose other side did not prove the link key. It is
// called by the goroutines of links.
func (n *Node) logWrongKeyConn(address string) {
	now, last := int64(clock.Now()), n.lastWrongKeyLog.Load()
	if last != 0 && now-last < int64(wrongKeyLogInterval) || !n.lastWrongKeyLog.CompareAndSwap(last, now) {
		return
	}
	_ = n.logger.Log("level", "warn", "msg", "A VM does not hold the link key.", "result", unreachable, "address", address)
}

func (n *Node) recordDialFailure(vm string) {
	if !slices.ContainsFunc(n.vms, func(listed platform.VM) bool { return listed.ID == vm }) {
		return // It left the list meanwhile, and nobody would forget it any more.
	}
	n.nextDial[vm] = clock.Now() + redialInterval
	if !n.linked {
		n.failedDials[vm] = true
	}
}

// pruneDialState lets go of what is remembered of dialling VMs that have left the list.
func (n *Node) pruneDialState(vms []string) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm] = true
	}
	for vm := range n.nextDial {
		if !listed[vm] {
			delete(n.nextDial, vm)
		}
	}
	for vm := range n.failedDials {
		if !listed[vm] {
			delete(n.failedDials, vm)
		}
	}
	for vm := range n.wrongKey {
		if !listed[vm] {
			delete(n.wrongKey, vm)
		}
	}
}

func (n *Node) closeLinks(cause error) {
	for s := range n.peers {
		go s.Close(cause)
	}
}
