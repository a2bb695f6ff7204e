package agent

import (
	"testing"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/member"
)

// An agent has links to entries that send it work, to one that dialed it only to present a ticket,
// to one that is draining, and to an agent of its group. It must report two entries: if the others
// were counted, each entry would take too small a share of its slots.
func TestOnlyEntriesThatSendWorkAreCounted(t *testing.T) {
	a := &agent{spareLinks: make(map[*link.Session]bool)}
	state := &member.State{Peers: make(map[string]*member.Peer)}
	add := func(vm string, role api.Role, draining bool) *member.Peer {
		state.Peers[vm] = &member.Peer{Hello: &api.Hello{Vm: vm, Role: role}, Session: &link.Session{}, Draining: draining}
		return state.Peers[vm]
	}
	add("e1", api.Role_ROLE_ENTRY, false)
	moved := add("e2", api.Role_ROLE_ENTRY, false)
	ticketOnly := add("e3", api.Role_ROLE_ENTRY, false)
	add("e4", api.Role_ROLE_ENTRY, true)
	add("a2", api.Role_ROLE_AGENT, false)
	setSpare := func(peer *member.Peer, spare bool) {
		a.handleMessage(peer, &api.Control{Body: &api.Control_Use{Use: &api.LinkUse{Spare: spare}}})
	}
	setSpare(ticketOnly, true)
	setSpare(moved, true)
	setSpare(moved, false)
	if n := a.countEntries(state); n != 2 {
		t.Errorf("%d entries, want 2", n)
	}
	delete(state.Peers, "e3")
	a.peersChanged(state)
	if len(a.spareLinks) != 1 {
		t.Errorf("%d spare links recorded, want that of e2", len(a.spareLinks))
	}
}
