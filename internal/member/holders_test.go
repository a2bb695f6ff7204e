package member

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/internal/link"
)

// An agent is replaced, and its new process has reported nothing yet on its link: its reporter must
// not return the report of the previous process. A report over an older link of the reporter, from
// an agent, or before any heartbeat must be ignored, because its time is unknown or it is older
// than the current report. Otherwise an operator would be told that a change is in force which the
// new process lacks.
func TestReportsOfOlderLinksAreIgnored(t *testing.T) {
	now := time.Hour
	n := New(Options{Self: &api.Hello{Vm: "e1", Role: api.Role_ROLE_ENTRY}, Links: fastLinks, Logger: log.NewNopLogger()})
	n.reporters = config.NewReporters(map[string]string{"a1": "e2"})
	newPeer := func(vm string, role api.Role, hasReported bool) *peer {
		return &peer{published: &Peer{Hello: &api.Hello{Vm: vm, Role: role}, Session: &link.Session{}}, hasReported: hasReported, applied: 5, notBefore: now}
	}
	n.byVM["a1"] = newPeer("a1", api.Role_ROLE_AGENT, true)
	if w, ok := n.appliedReport("a1"); !ok || w != (config.AppliedReport{Applied: 5, NotBefore: now}) {
		t.Errorf("report of a1: %v, %v", w, ok)
	}
	n.byVM["a1"] = newPeer("a1", api.Role_ROLE_AGENT, false)
	if _, ok := n.appliedReport("a1"); ok {
		t.Error("a new process has the report of its predecessor")
	}
	delete(n.byVM, "a1")
	report := n.reporters.BuildHolders("e2", 5, time.Second, now, func(string) (config.AppliedReport, bool) {
		return config.AppliedReport{Applied: 5, NotBefore: now}, true
	})
	missing := func(from *peer) int {
		change := &trackedChange{acceptance: config.NewAcceptance(5, time.Second, now)}
		change.acceptance.ExpectMember("a1", api.Role_ROLE_AGENT)
		n.trackedChanges["c"] = change
		n.handleHolders(from, report)
		_, missing := change.acceptance.State(now)
		return len(missing)
	}
	older, newest := newPeer("e2", api.Role_ROLE_ENTRY, true), newPeer("e2", api.Role_ROLE_ENTRY, true)
	n.byVM["e2"] = newest
	if missing(older) != 1 || missing(newest) != 0 {
		t.Error("the report of an older link was applied, or that of the newest was not")
	}
	for _, p := range []*peer{newPeer("e2", api.Role_ROLE_ENTRY, false), newPeer("e2", api.Role_ROLE_AGENT, true)} {
		if n.byVM["e2"] = p; missing(p) != 1 {
			t.Errorf("a report from a %v, with a heartbeat received: %v, was applied", p.published.Hello.GetRole(), p.hasReported)
		}
	}
}
