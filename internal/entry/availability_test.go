package entry

import (
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/admit"
	"github.com/apricothub/apricothub/decide/subset"
	"github.com/apricothub/apricothub/internal/member"
)

// An entry that is linked to one agent of a model learns that the agent is shutting down. While the
// link to the next one is being made, requests for the model, with or without a version, must wait.
// Once no link is pending, or with the last agent of the model gone, they must be refused.
func TestOfferIsExpectedWhileALinkIsDialled(t *testing.T) {
	l := newTestLinkChooser(1, agentVM("b1", "model:m", "r1"), agentVM("b2", "model:m", "r1"))
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
	d.handleMessage(stopping, &api.Control{Body: &api.Control_Status{Status: &api.BackendStatus{Model: "m", ModelVersion: "v", Limit: 4, FullLimit: 4}}})
	capacities := d.capacities(0, 1)
	for _, offer := range []string{"model:m", "model:m@v"} {
		if r, ok := capacities[offer]; !ok || r.availability != admit.Pending || r.slots != 0 {
			t.Errorf("%s: %+v while a link is pending", offer, r)
		}
	}
	unavailable := func(string) subset.Health { return subset.Unavailable }
	l.tick(time.Minute, map[string]bool{own: true}, unavailable)
	if r := d.capacities(time.Minute, 1)["model:m"]; r.availability != admit.Unavailable {
		t.Errorf("%+v with all agents out", r)
	}
}

// The only agent of a service is killed, and its link is gone at once. Pushes that were not sent
// must wait for a moment, in which a link that was merely broken is up again. Then they must be
// refused, instead of shortly before their deadlines.
func TestRequestsWaitBrieflyForAVanishedOffer(t *testing.T) {
	d := newDirectory(false)
	peer := &member.Peer{Hello: &api.Hello{Vm: "b1", Role: api.Role_ROLE_AGENT, Incarnation: "1"}}
	linked := &member.State{Peers: map[string]*member.Peer{"b1": peer}}
	report := &api.Control{Body: &api.Control_Status{Status: &api.BackendStatus{Service: "s", Limit: 4, FullLimit: 4}}}
	d.setPeers(linked)
	d.handleMessage(peer, report)
	d.capacities(0, 1)
	d.setPeers(&member.State{})
	for now, want := range map[time.Duration]admit.Availability{0: admit.Pending, vanishedOfferGrace - 1: admit.Pending} {
		if r, ok := d.capacities(now, 1)["service:s"]; !ok || r.availability != want || r.total != 0 {
			t.Errorf("after %v: %+v", now, r)
		}
	}
	if r, ok := d.capacities(vanishedOfferGrace, 1)["service:s"]; !ok || r.availability != admit.Unavailable {
		t.Errorf("after %v: %+v", vanishedOfferGrace, r)
	}
	if _, ok := d.capacities(time.Minute, 1)["service:s"]; ok {
		t.Error("a vanished offer is never removed")
	}
	d.setPeers(linked)
	d.handleMessage(peer, report)
	if r := d.capacities(time.Hour, 1)["service:s"]; r.availability != admit.Available {
		t.Errorf("after the server is back: %+v", r)
	}
}
