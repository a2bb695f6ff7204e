package entry

import (
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/admit"
	"github.com/apricothub/apricothub/decide/subset"
	"github.com/apricothub/apricothub/internal/member"
)

// An entry linked to one agent of a model hears that it stops. While the link to the next
// one is being made, requests for the model, and for a version of it, wait; once nothing
// is on its way any more, or with the last agent of the model, they are told so.
func TestAnOfferIsComingWhileALinkIsOnItsWay(t *testing.T) {
	l := newTestLinks(1, agentVM("b1", "model:m", "r1"), agentVM("b2", "model:m", "r1"))
	d := newDirectory(true)
	d.links = l
	own := wantedOf(l)[0]
	hello := &api.Hello{Vm: own, Role: api.Role_ROLE_AGENT, Incarnation: "1"}
	stopping := &member.Peer{Hello: hello, Draining: true}
	health := func(vm string) subset.Health {
		if vm == own {
			return subset.Unavailable
		}
		return subset.Silent
	}
	l.tick(0, map[string]bool{own: true}, health)
	d.setPeers(&member.State{Peers: map[string]*member.Peer{own: stopping}})
	d.message(stopping, &api.Control{Body: &api.Control_Status{Status: &api.BackendStatus{Model: "m", ModelVersion: "v", Limit: 4, FullLimit: 4}}})
	rooms := d.rooms(0, 1)
	for _, offer := range []string{"model:m", "model:m@v"} {
		if r, ok := rooms[offer]; !ok || r.presence != admit.Pending || r.slots != 0 {
			t.Errorf("%s: %+v while a link is on its way", offer, r)
		}
	}
	out := func(string) subset.Health { return subset.Unavailable }
	l.tick(time.Minute, map[string]bool{own: true}, out)
	if r := d.rooms(time.Minute, 1)["model:m"]; r.presence != admit.Unavailable {
		t.Errorf("%+v with all agents out", r)
	}
}

// The only agent of a service is killed, and its link is gone at once. Pushes that were not
// sent wait a moment, in which a link that was merely broken stands again; then they are
// told that nobody offers the service, and not only near their deadline.
func TestAnOfferThatVanishesIsWaitedForAMoment(t *testing.T) {
	d := newDirectory(false)
	peer := &member.Peer{Hello: &api.Hello{Vm: "b1", Role: api.Role_ROLE_AGENT, Incarnation: "1"}}
	linked := &member.State{Peers: map[string]*member.Peer{"b1": peer}}
	report := &api.Control{Body: &api.Control_Status{Status: &api.BackendStatus{Service: "s", Limit: 4, FullLimit: 4}}}
	d.setPeers(linked)
	d.message(peer, report)
	d.rooms(0, 1)
	d.setPeers(&member.State{})
	for now, want := range map[time.Duration]admit.Availability{0: admit.Pending, vanishedKeep - 1: admit.Pending} {
		if r, ok := d.rooms(now, 1)["service:s"]; !ok || r.presence != want || r.capacity != 0 {
			t.Errorf("after %v: %+v", now, r)
		}
	}
	if r, ok := d.rooms(vanishedKeep, 1)["service:s"]; !ok || r.presence != admit.Unavailable {
		t.Errorf("after %v: %+v", vanishedKeep, r)
	}
	if _, ok := d.rooms(time.Minute, 1)["service:s"]; ok {
		t.Error("what has vanished is remembered for ever")
	}
	d.setPeers(linked)
	d.message(peer, report)
	if r := d.rooms(time.Hour, 1)["service:s"]; r.presence != admit.Available {
		t.Errorf("when it is back: %+v", r)
	}
}
