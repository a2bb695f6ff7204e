package entry

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/subset"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/member"
)

// handlePeersChanged handles a change of the links or of the list of VMs, on the control goroutine.
func (e *entry) handlePeersChanged(state *member.State) {
	e.links.setVMs(state.VMs)
	// The links go first: when the directory loses the last agent of an offer, the links to
	// fallback agents must already count as pending.
	e.updateLinks(clock.Now(), state)
	e.directory.setPeers(state)
	e.announceLinkUse(state)
}

// maintainLinks drops the links to agents that are not needed any more, once a tick, on the control
// goroutine.
func (e *entry) maintainLinks(now time.Duration, state *member.State) {
	for _, vm := range e.updateLinks(now, state) {
		if e.directory.removeIfIdle(vm) {
			_ = e.logger.Log("msg", "A link to an agent outside the subset is dropped.", "vm", vm)
			e.node.DropLinks(vm)
		}
	}
}

// updateLinks selects again which agents to link to, and returns those that are linked and need not
// be. It runs on the control goroutine.
func (e *entry) updateLinks(now time.Duration, state *member.State) (drop []string) {
	if e.links.linksToAll() {
		return nil
	}
	linked := make(map[string]bool)
	for vm, peer := range state.Peers {
		if peer.Hello.GetRole() == api.Role_ROLE_AGENT {
			linked[vm] = true
		}
	}
	drop, changed := e.links.tick(now, linked, func(vm string) subset.Health { return e.agentHealth(state, vm) })
	if changed {
		e.directory.refreshTable()
		e.announceLinkUse(state)
		e.node.Redial()
	}
	return drop
}

// agentHealth returns the health of an agent, for the selection of fallback agents.
func (e *entry) agentHealth(state *member.State, vm string) subset.Health {
	peer := state.Peers[vm]
	switch {
	case e.links.isUnavailable(state, vm), peer != nil && peer.Draining:
		return subset.Unavailable
	case peer != nil && !peer.Session.Suspect():
		return subset.Usable
	}
	return subset.Silent
}

// announceLinkUse tells agents which links carry new work. They report how many entries send them
// work, from which each entry computes its share of their capacity.
func (e *entry) announceLinkUse(state *member.State) {
	if e.links.linksToAll() {
		return
	}
	announced := make(map[*link.Session]bool, len(e.announcedSpare))
	for vm, peer := range state.Peers {
		if peer.Hello.GetRole() != api.Role_ROLE_AGENT {
			continue
		}
		s, spare := peer.Session, !e.links.canGetWork(vm)
		if e.announcedSpare[s] != spare {
			s.Post(&api.Control{Body: &api.Control_Use{Use: &api.LinkUse{Spare: spare}}})
		}
		announced[s] = spare
	}
	e.announcedSpare = announced
}

// requestLink requests a link to an agent that this entry has none to.
func (e *entry) requestLink(vm string) {
	if e.links.requestSpare(clock.Now(), vm) {
		e.node.DialMissing()
	}
}

// retainLink keeps the link to an agent from being dropped until the returned function is called.
func (e *entry) retainLink(vm string) (release func()) {
	e.links.acquire(vm)
	return func() { e.links.release(clock.Now(), vm) }
}

// refreshTable updates the placement table after a change of the agents that can get work.
func (d *directory) refreshTable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rebuildTable()
}

// noReportPending says whether no first report is to be expected from an agent: there is no link to
// it, it is shutting down, or it has reported. The directory's lock is held.
func (d *directory) noReportPending(vm string) bool {
	peer := d.peers[vm]
	return peer == nil || peer.Draining || d.status[vm] != nil
}

// removeIfIdle removes an agent from the directory if no request is at it, so that its link cannot
// be found any more. A request counted before it looks up the link keeps the link; one counted
// later finds no link and requests a new one.
func (d *directory) removeIfIdle(vm string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.links.isIdle(vm) {
		return false
	}
	delete(d.peers, vm)
	delete(d.status, vm)
	delete(d.lastReport, vm)
	delete(d.ticketLifetimes, vm)
	delete(d.blockRequestedAt, vm)
	d.minter.Drop(vm)
	return true
}
