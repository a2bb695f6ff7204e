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

// redialInterval is the time between attempts to dial a VM. It is well below the time after which a
// link is dead, so that a restarted process is linked again within about a second.
const redialInterval = 300 * time.Millisecond

// peer is the state of one link, owned by the control goroutine.
type peer struct {
	published   *Peer
	applied     int64
	notBefore   time.Duration // the peer cannot have reported applied before this time
	hasReported bool
	// exchangedOffset is the offset up to which log records were sent to the peer, or received from
	// it. The peer will have applied them once it has read them, because a link loses nothing until
	// it breaks.
	exchangedOffset int64
	ready           bool
	draining        bool
}

// errStopped means that the link was established after the member had stopped.
var errStopped = errors.New("the member has stopped")

// handler passes the events of links to the control goroutine.
type handler struct{ node *Node }

// Up implements link.Handler. It waits for the control goroutine: a link that this goroutine no longer
// closes when it ends is closed here. The peer would otherwise hear from a process that has stopped,
// and not dial its successor.
func (h handler) Up(s *link.Session) {
	if !h.node.Do(func() { h.node.peerUp(s) }) {
		go s.Close(errStopped)
	}
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

// Heartbeat implements link.Handler. It queries the control goroutine, because the receiver would
// assume stored knowledge to be newer than it is.
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
	_ = n.logger.Log("msg", "A link is established.", "vm", vm, "role", s.Peer.GetRole(), "incarnation", s.Peer.GetIncarnation())
	// An older link to the same VM is not closed, because it may still carry answers. If it is
	// silent, its own heartbeats close it.
	if old != nil {
		_ = n.logger.Log("msg", "A newer link replaces an older one.", "vm", vm)
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

// publishedPeers returns the peers by VM for the published State; the same map as before if nothing
// has changed.
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

// updateLinked checks whether all VMs that this process dials have been linked or tried once. Once
// set, linked stays set.
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

// dialMissing dials the VMs of the list to which this process should have a link and has none.
func (n *Node) dialMissing(now time.Duration) {
	for _, vm := range n.vms {
		if vm.ID == n.options.Self.GetVm() || vm.Link == "" || !n.options.ShouldDial(vm) {
			continue
		}
		// A suspect link gets a replacement before it is closed: its connection may be broken for
		// good while new ones work.
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

// logWrongKey logs, once for each VM, that a dialed VM does not hold the link key. The status shows
// only that its link is down, and it is redialed continuously.
func (n *Node) logWrongKey(vm string) {
	if n.wrongKey[vm] {
		return
	}
	n.wrongKey[vm] = true
	_ = n.logger.Log("level", "warn", "msg", "A VM does not hold the link key.", "result", unreachable, "vm", vm)
}

// wrongKeyLogInterval limits the log lines about connections without the link key. A VM with
// another key connects several times a second, and so can anyone who knows the address.
const wrongKeyLogInterval = time.Minute

// logWrongKeyConn logs a connection whose peer did not prove the link key. It is called on the
// goroutines of links.
func (n *Node) logWrongKeyConn(address string) {
	now, last := int64(clock.Now()), n.lastWrongKeyLog.Load()
	if last != 0 && now-last < int64(wrongKeyLogInterval) || !n.lastWrongKeyLog.CompareAndSwap(last, now) {
		return
	}
	_ = n.logger.Log("level", "warn", "msg", "A VM does not hold the link key.", "result", unreachable, "address", address)
}

func (n *Node) recordDialFailure(vm string) {
	if !slices.ContainsFunc(n.vms, func(listed platform.VM) bool { return listed.ID == vm }) {
		return // The VM has left the list, and its entry would never be removed.
	}
	n.nextDial[vm] = clock.Now() + redialInterval
	if !n.linked {
		n.failedDials[vm] = true
	}
}

// pruneDialState removes the dial state of VMs that have left the list.
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
