package entry

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/subset"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/member"
)

// handlePeersChanged takes a change of links or of the list of VMs, on the control goroutine.
func (e *entry) handlePeersChanged(state *member.State) {
	e.links.setVMs(state.VMs)
	// Before the directory: from the moment that it has no agent left for an offer on,
	// the links to further ones must be known to be on their way.
	e.updateLinks(clock.Now(), state)
	e.directory.setPeers(state)
	e.announceLinkUse(state)
}

// maintainLinks brings the links to agents to what they should be, once a tick, on the
// control goroutine.
func (e *entry) maintainLinks(now time.Duration, state *member.State) {
	for _, vm := range e.updateLinks(now, state) {
		if e.directory.removeIfIdle(vm) {
			_ = e.logger.Log("msg", "A link to an agent outside the subset is let go of.", "vm", vm)
			e.node.Drop(vm)
		}
	}
}

// updateLinks decides anew which agents to link to, and returns those that are linked and
// need not be. It runs on the control goroutine.
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

// agentHealth is what this entry knows of an agent, for the choice of further ones.
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

// announceLinkUse tells agents which links carry new work: they say in their reports how many
// entries they have, by which each entry knows its part of their room.
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

// requestLink asks for a link to an agent that this entry is not linked to.
func (e *entry) requestLink(vm string) {
	if e.links.requestSpare(clock.Now(), vm) {
		e.node.DialMissing()
	}
}

// retainLink keeps the link to an agent from being let go of until the function it returns is
// called.
func (e *entry) retainLink(vm string) (release func()) {
	e.links.acquire(vm)
	return func() { e.links.release(clock.Now(), vm) }
}

// refreshTable takes a change of the agents that may get work.
func (d *directory) refreshTable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rebuildTable()
}

// noReportPending says that nothing is to be waited for from an agent: there is no link to it, it
// stops, or it has noReportPending. The directory's lock is held.
func (d *directory) noReportPending(vm string) bool {
	peer := d.peers[vm]
	return peer == nil || peer.Draining || d.status[vm] != nil
}

// removeIfIdle takes an agent out of the directory if no request is at it: from then on nobody
// finds its link. A request that has counted itself before it looks up the link keeps the
// link; one that counts itself later finds none, and asks for a new one.
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
