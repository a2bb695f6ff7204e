package registry

import (
	"testing"
	"time"
)

const second = time.Second

func ids(r *Registry) map[string]bool {
	set := map[string]bool{}
	for _, e := range r.Registrations() {
		set[e.ID] = true
	}
	return set
}

// The store is unreachable for longer than registrations last. When it is back all of them are
// gone, and one of two servers registers again within two seconds. No request is refused for lack
// of servers, and nothing is sent to the server that did not come back.
func TestLapsedRegistrationsSurviveAnOutage(t *testing.T) {
	r := New()
	r.Put(Server{ID: "a"}, 0)
	r.Put(Server{ID: "b"}, 0)
	r.SetStoreReachable(false, 10*second)
	r.Expire(20 * second)
	if len(ids(r)) != 2 {
		t.Fatalf("during the outage: %v", ids(r))
	}
	r.SetStoreReachable(true, 20*second)
	r.Remove("a", 20*second)
	r.Remove("b", 20*second)
	r.Put(Server{ID: "a"}, 21*second)
	if gone := r.Expire(21 * second); len(gone) != 0 {
		t.Fatalf("dropped after one second: %v", gone)
	}
	if gone := r.Expire(22 * second); len(gone) != 1 || gone[0] != "b" {
		t.Fatalf("dropped after two seconds: %v", gone)
	}
	if got := ids(r); !got["a"] || got["b"] {
		t.Errorf("left: %v", got)
	}
}

// While the store answers, a server that removes its registration is dropped at once.
func TestRemovedAtOnceWhileStoreAnswers(t *testing.T) {
	r := New()
	r.Put(Server{ID: "a"}, 0)
	r.Remove("a", second)
	if len(ids(r)) != 0 {
		t.Errorf("left: %v", ids(r))
	}
}

// Another entry that still reaches the store reports that a registration is gone. This process
// cannot check, and drops the server once it has had time to register again.
func TestRemovalFromAnotherEntryDuringOutage(t *testing.T) {
	r := New()
	r.Put(Server{ID: "a"}, 0)
	r.SetStoreReachable(false, second)
	r.Remove("a", 5*second)
	r.Expire(6 * second)
	if len(ids(r)) != 1 {
		t.Fatal("dropped before the grace period ended")
	}
	r.Expire(7 * second)
	if len(ids(r)) != 0 {
		t.Errorf("left: %v", ids(r))
	}
}

// A server that restarts under its old ID counts as new: what was known about it, such as whether
// it is warm, no longer holds.
func TestRestartUnderSameIDIsNew(t *testing.T) {
	r := New()
	r.Put(Server{ID: "a", StartedAtUnixMs: 1}, 0)
	r.Put(Server{ID: "a", StartedAtUnixMs: 1}, second)
	if since := r.Registrations()[0].FirstHeard; since != 0 {
		t.Errorf("a heartbeat changed FirstHeard to %v", since)
	}
	r.Put(Server{ID: "a", StartedAtUnixMs: 2}, 2*second)
	if since := r.Registrations()[0].FirstHeard; since != 2*second {
		t.Errorf("FirstHeard after the restart is %v", since)
	}
}

// All VMs lose power. Servers start again at their addresses under new IDs, while their old
// registrations remain. Requests must go to the new ones, in whatever order both are heard. When
// the newer server at an address has left, the old one counts again.
func TestTheLastOneBornHasTheAddress(t *testing.T) {
	old := Server{ID: "old", Address: "10.0.0.1:80", StartedAtUnixMs: 1}
	renewed := Server{ID: "new", Address: "10.0.0.1:80", StartedAtUnixMs: 9}
	for _, order := range [][]Server{{old, renewed}, {renewed, old}, {old, renewed, old}} {
		r := New()
		for _, s := range order {
			r.Put(s, 0)
		}
		if got := ids(r); len(got) != 1 || !got["new"] {
			t.Errorf("after %v: %v", order, got)
		}
	}
	r := New()
	r.Put(old, 0)
	r.Put(renewed, 0)
	r.Remove("new", second)
	if got := ids(r); !got["old"] {
		t.Errorf("after the new one has left: %v", got)
	}
	r = New()
	r.Put(Server{ID: "a", Address: "10.0.0.1:80"}, 0)
	r.Put(Server{ID: "b", Address: "10.0.0.1:80"}, 0)
	if got := ids(r); len(got) != 2 {
		t.Errorf("servers without a start time: %v", got)
	}
}

// Servers write a heartbeat every second. Only one that differs in more than the remaining cold
// time is passed on to others.
func TestHeartbeatsReportNoChange(t *testing.T) {
	r := New()
	s := Server{ID: "a", ColdRemaining: 3 * second}
	for i, c := range []struct {
		change func()
		want   bool
	}{
		{func() {}, true},
		{func() {}, false},
		{func() { s.ColdRemaining = second }, false},
		{func() { s.ColdRemaining = 0 }, true},
		{func() { s.Draining = true }, true},
		{func() {}, false},
	} {
		c.change()
		if got := r.Put(s, 0); got != c.want {
			t.Errorf("registration %d: changed %v, want %v", i, got, c.want)
		}
	}
}

func isDraining(r *Registry, id string) bool {
	for _, e := range r.Registrations() {
		if e.ID == id {
			return e.Draining
		}
	}
	return false
}

// A server says that it leaves and its registration, read later, says that it is ready. It must get no new
// requests until it has started anew, also if its registration lapses for a moment.
func TestAServerThatSaysItLeavesCountsAsDraining(t *testing.T) {
	r := New()
	r.Put(Server{ID: "a", StartedAtUnixMs: 1}, 0)
	if !r.MarkLeaving(Start{"a", 1}, second) || r.MarkLeaving(Start{"a", 1}, second) {
		t.Error("the news that the server leaves are not reported once")
	}
	r.Put(Server{ID: "a", StartedAtUnixMs: 1}, 2*second)
	if !isDraining(r, "a") || len(r.Leaving()) != 1 {
		t.Error("the server does not count as leaving")
	}
	r.Expire(30 * second)
	r.Remove("a", 30*second)
	r.Expire(40 * second)
	r.Put(Server{ID: "a", StartedAtUnixMs: 1}, 41*second)
	if !isDraining(r, "a") {
		t.Error("the server takes requests again after its registration had lapsed")
	}
	r.Put(Server{ID: "a", StartedAtUnixMs: 2}, 42*second)
	if isDraining(r, "a") || len(r.Leaving()) != 0 {
		t.Error("the restarted server counts as leaving")
	}
	r.Expire(42*second + 2*rememberLeaving)
	if len(r.leaving) != 0 {
		t.Errorf("%d servers are remembered as leaving", len(r.leaving))
	}
}
