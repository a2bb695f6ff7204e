package entry

import (
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/member"
)

// An agent is replaced by another on the same VM. The baseline must be given to it once, and only
// with the same offers: that of another model would be wrong.
func TestBaselineIsGivenToTheNextAgent(t *testing.T) {
	known := &api.BackendStatus{Model: "m", ModelVersion: "1", Usual: &api.Usual{LatencyUs: 7}}
	fresh := &api.BackendStatus{Model: "m", ModelVersion: "1"}
	other := &api.BackendStatus{Model: "m", ModelVersion: "2"}
	agent := func(vm, incarnation string) *member.Peer {
		return &member.Peer{Hello: &api.Hello{Vm: vm, Incarnation: incarnation}}
	}
	cache := newBaselineCache()
	cache.exchange(0, agent("a", "1"), known)
	cases := []struct {
		name   string
		peer   *member.Peer
		status *api.BackendStatus
		given  bool
	}{
		{"the one that learned it", agent("a", "1"), fresh, false},
		{"another VM", agent("b", "2"), fresh, false},
		{"before its engine has told the version", agent("a", "2"), &api.BackendStatus{Model: "m"}, false},
		{"another version", agent("a", "2"), other, false},
		{"the next", agent("a", "2"), fresh, true},
		{"the next, again", agent("a", "2"), fresh, false},
		{"the one after", agent("a", "3"), fresh, true},
	}
	for _, c := range cases {
		if given := cache.exchange(time.Second, c.peer, c.status) != nil; given != c.given {
			t.Errorf("%s: given %v, want %v", c.name, given, c.given)
		}
	}
	cache.removeExpired(2 * baselineTTL)
	if cache.exchange(2*baselineTTL, agent("a", "4"), fresh) != nil {
		t.Error("an expired baseline was given")
	}
}
