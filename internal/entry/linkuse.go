package entry

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/subset"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/member"
)

// peersChanged takes a change of links or of the list of VMs, on the control goroutine.
func (e *entry) peersChanged(state *member.State) {
	e.links.list(state.VMs)
	// Before the directory: from the moment that it has no agent left for an offer on,
	// the links to further ones must be known to be on their way.
	e.chooseLinks(clock.Now(), state)
	e.directory.setPeers(state)
	e.tellUse(state)
}

// keepLinks brings the links to agents to what they should be, once a tick, on the
// control goroutine.
func (e *entry) keepLinks(now time.Duration, state *member.State) {
	for _, vm := range e.chooseLinks(now, state) {
		if e.directory.retire(vm) {
			_ = e.logger.Log("msg", "A link to an agent outside the subset is let go of.", "vm", vm)
			e.node.DropLinks(vm)
		}
	}
}

// chooseLinks decides anew which agents to link to, and returns those that are linked and
// need not be. It runs on the control goroutine.
func (e *entry) chooseLinks(now time.Duration, state *member.State) (drop []string) {
	if e.links.all() {
		return nil
	}
	linked := make(map[string]bool)
	for vm, peer := range state.Peers {
		if peer.Hello.GetRole() == api.Role_ROLE_AGENT {
			linked[vm] = true
		}
	}
	drop, changed := e.links.tick(now, linked, func(vm string) subset.Health { return e.health(state, vm) })
	if changed {
		e.directory.renew()
		e.tellUse(state)
		e.node.Redial()
	}
	return drop
}

// health is what this entry knows of an agent, for the choice of further ones.
func (e *entry) health(state *member.State, vm string) subset.Health {
	peer := state.Peers[vm]
	switch {
	case e.links.out(state, vm), peer != nil && peer.Draining:
		return subset.Unavailable
	case peer != nil && !peer.Session.Suspect():
		return subset.Usable
	}
	return subset.Silent
}

// tellUse tells agents which links carry new work: they say in their reports how many
// entries they have, by which each entry knows its part of their room.
func (e *entry) tellUse(state *member.State) {
	if e.links.all() {
		return
	}
	told := make(map[*link.Session]bool, len(e.told))
	for vm, peer := range state.Peers {
		if peer.Hello.GetRole() != api.Role_ROLE_AGENT {
			continue
		}
		s, spare := peer.Session, !e.links.forWork(vm)
		if e.told[s] != spare {
			s.Post(&api.Control{Body: &api.Control_Use{Use: &api.LinkUse{Spare: spare}}})
		}
		told[s] = spare
	}
	e.told = told
}

// reach asks for a link to an agent that this entry is not linked to.
func (e *entry) reach(vm string) {
	if e.links.ask(clock.Now(), vm) {
		e.node.DialMissing()
	}
}

// hold keeps the link to an agent from being let go of until the function it returns is
// called.
func (e *entry) hold(vm string) (release func()) {
	e.links.use(vm)
	return func() { e.links.done(clock.Now(), vm) }
}

// renew takes a change of the agents that may get work.
func (d *directory) renew() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rebuild()
}

// reported says that nothing is to be waited for from an agent: there is no link to it, it
// stops, or it has reported. The directory's lock is held.
func (d *directory) reported(vm string) bool {
	peer := d.peers[vm]
	return peer == nil || peer.Draining || d.status[vm] != nil
}

// retire takes an agent out of the directory if no request is at it: from then on nobody
// finds its link. A request that has counted itself before it looks up the link keeps the
// link; one that counts itself later finds none, and asks for a new one.
func (d *directory) retire(vm string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.links.idle(vm) {
		return false
	}
	delete(d.peers, vm)
	delete(d.status, vm)
	delete(d.heard, vm)
	delete(d.lifetimes, vm)
	delete(d.asked, vm)
	d.minter.Drop(vm)
	return true
}
