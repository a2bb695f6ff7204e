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

// redialAfter is how long a VM that could not be dialled is left alone. It is well
// under the time in which a link counts as dead, so that a restarted process is
// found again within about a second.
const redialAfter = 300 * time.Millisecond

// peer is the control goroutine's view of one link.
type peer struct {
	shown   *Peer
	applied int64
	said    time.Duration // a time before which it cannot have said so
	heard   bool
	// held is the offset up to which the peer has been sent the log, or has sent it.
	// It has applied that once it has read it: links lose nothing before they break.
	held     int64
	ready    bool
	draining bool
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
func (h handler) Control(s *link.Session, m *api.Control, said time.Duration) {
	h.node.post(func() { h.node.message(s, m, said) })
}

// Stream implements link.Handler.
func (h handler) Stream(s *link.Session, open *api.Open, stream *link.Stream) {
	if h.node.options.Hooks.Stream != nil {
		h.node.options.Hooks.Stream(s, open, stream)
	}
}

// Heartbeat implements link.Handler. It asks the control goroutine: knowledge that
// was written down earlier would be taken by the receiver for newer than it is.
func (h handler) Heartbeat() *api.Heartbeat {
	n := h.node
	beat := &api.Heartbeat{}
	n.Do(func() {
		beat.Knowledge = n.fresh.Knowledge(clock.Now(), n.fold.Applied())
		beat.Knowledge.Ready = beat.Knowledge.GetReady() && n.linked
		beat.Draining = n.draining
	})
	return beat
}

func (n *Node) peerUp(s *link.Session) {
	vm := s.Peer.GetVm()
	p := &peer{shown: &Peer{Hello: s.Peer, Session: s}, applied: -1, held: -1}
	old := n.byVM[vm]
	n.peers[s] = p
	n.byVM[vm] = p
	delete(n.dialling, vm)
	delete(n.unproved, vm)
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
	if n.options.Hooks.Peers != nil {
		n.options.Hooks.Peers(n.state.Load())
	}
}

// snapshotPeers returns the peers by VM for traffic, the same map as before when
// nothing changed.
func (n *Node) snapshotPeers(old *State) map[string]*Peer {
	changed := old == nil || len(old.Peers) != len(n.byVM)
	for vm, p := range n.byVM {
		draining := p.draining || n.leaving[vm]
		if p.shown.Draining != draining || p.shown.Ready != p.ready {
			shown := *p.shown
			shown.Draining = draining
			shown.Ready = p.ready
			p.shown = &shown
		}
		if !changed && old.Peers[vm] != p.shown {
			changed = true
		}
	}
	if !changed {
		return old.Peers
	}
	peers := make(map[string]*Peer, len(n.byVM))
	for vm, p := range n.byVM {
		peers[vm] = p.shown
	}
	return peers
}

// noteLinked finds out whether this process has had its first look at all VMs that it
// dials. Once it has, it stays so.
func (n *Node) noteLinked() {
	if n.linked || n.vms == nil {
		return
	}
	for _, vm := range n.vms {
		if vm.ID == n.options.Self.GetVm() || vm.Link == "" || !n.options.Dials(vm) {
			continue
		}
		if p := n.byVM[vm.ID]; (p == nil || !p.heard) && !n.failed[vm.ID] {
			return
		}
	}
	n.linked = n.options.Hooks.Complete == nil || n.options.Hooks.Complete()
}

// dialMissing dials the VMs of the list that this process should have links to.
func (n *Node) dialMissing(now time.Duration) {
	for _, vm := range n.vms {
		if vm.ID == n.options.Self.GetVm() || vm.Link == "" || !n.options.Dials(vm) {
			continue
		}
		// A silent link gets a successor before it is given up: a connection may be
		// dead for good while new ones work.
		if p, linked := n.byVM[vm.ID]; linked && !p.shown.Session.Suspect() {
			continue
		}
		if until, waiting := n.dialling[vm.ID]; waiting && now < until {
			continue
		}
		n.dialling[vm.ID] = now + n.link.DeadAfter + redialAfter
		go n.dial(vm)
	}
}

func (n *Node) dial(vm platform.VM) {
	_, err := link.Dial(vm.Link, n.link, handler{n})
	if err == nil {
		return
	}
	n.post(func() {
		n.dialFailed(vm.ID)
		if errors.Is(err, link.ErrWrongKey) {
			n.noteUnproved(vm.ID)
			return
		}
		_ = n.logger.Log("level", "debug", "msg", "A VM could not be reached.", "result", unreachable, "vm", vm.ID, "err", err)
	})
}

// noteUnproved tells once of a VM that was dialled and does not hold the link key: status
// says no more than that its link is down, and it is dialled again all the time.
func (n *Node) noteUnproved(vm string) {
	if n.unproved[vm] {
		return
	}
	n.unproved[vm] = true
	_ = n.logger.Log("level", "warn", "msg", "A VM does not hold the link key.", "result", unreachable, "vm", vm)
}

// strangerEvery bounds the lines on connections without the link key. A VM with another
// key comes several times a second, and so may anybody who finds the address.
const strangerEvery = time.Minute

// noteStranger tells of a connection whose other side did not prove the link key. It is
// called by the goroutines of links.
func (n *Node) noteStranger(address string) {
	now, last := int64(clock.Now()), n.strangerAt.Load()
	if last != 0 && now-last < int64(strangerEvery) || !n.strangerAt.CompareAndSwap(last, now) {
		return
	}
	_ = n.logger.Log("level", "warn", "msg", "A VM does not hold the link key.", "result", unreachable, "address", address)
}

func (n *Node) dialFailed(vm string) {
	if !slices.ContainsFunc(n.vms, func(listed platform.VM) bool { return listed.ID == vm }) {
		return // It left the list meanwhile, and nobody would forget it any more.
	}
	n.dialling[vm] = clock.Now() + redialAfter
	if !n.linked {
		n.failed[vm] = true
	}
}

// forgetDials lets go of what is remembered of dialling VMs that have left the list.
func (n *Node) forgetDials(members []string) {
	listed := make(map[string]bool, len(members))
	for _, vm := range members {
		listed[vm] = true
	}
	for vm := range n.dialling {
		if !listed[vm] {
			delete(n.dialling, vm)
		}
	}
	for vm := range n.failed {
		if !listed[vm] {
			delete(n.failed, vm)
		}
	}
	for vm := range n.unproved {
		if !listed[vm] {
			delete(n.unproved, vm)
		}
	}
}

func (n *Node) closeLinks(cause error) {
	for s := range n.peers {
		go s.Close(cause)
	}
}
