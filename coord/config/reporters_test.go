package config

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricothub/apricothub/api"
)

// delayedReport is a report in flight, with a time before which it was not sent.
type delayedReport struct {
	report    *api.Holders
	notBefore time.Duration
}

// reportingCluster is a follower of the change at offset 1, two entries that report to it, and
// agents that come to hold the change and are replaced by processes without it.
type reportingCluster struct {
	now           time.Duration
	applied       map[string]int64
	lastHeld      map[string]time.Duration // when the process on a VM last held the change
	latest        map[string]map[string]AppliedReport
	reporterLists map[string]map[string]string // by entry: the reporter of each agent
	inFlight      map[string][]delayedReport
	follower      *Acceptance
}

func (s *reportingCluster) advance(d time.Duration) {
	s.now += d
	for agent, applied := range s.applied {
		if applied >= 1 {
			s.lastHeld[agent] = s.now
		}
	}
}

func (s *reportingCluster) latestAt(entry string) func(string) (AppliedReport, bool) {
	return func(agent string) (AppliedReport, bool) {
		report, ok := s.latest[entry][agent]
		return report, ok
	}
}

// An agent may count as holding the change only if the process on its VM held it within the
// freshness limit. Otherwise "accepted" and "in force" would be reported too early. VM lists differ
// in agents and reporters, agents are replaced by processes that hold less, links keep the last
// report of the old process for a while, and reports are late.
func TestPropertyNobodyIsReportedThatDoesNotHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries, agents := []string{"e1", "e2", "e3"}, []string{"a1", "a2"}
		s := &reportingCluster{
			applied: make(map[string]int64), lastHeld: make(map[string]time.Duration),
			latest: make(map[string]map[string]AppliedReport), reporterLists: make(map[string]map[string]string),
			inFlight: make(map[string][]delayedReport), follower: NewAcceptance(1, freshnessLimit, 0),
		}
		for _, agent := range agents {
			s.lastHeld[agent] = -time.Hour
		}
		var versions []map[string]string
		for v := range 3 {
			list := make(map[string]string)
			for _, agent := range agents {
				if reporter := rapid.SampledFrom([]string{"e2", "e2", "e3", "e3", ""}).Draw(rt, fmt.Sprint(agent, v)); reporter != "" {
					list[agent] = reporter
				}
			}
			versions = append(versions, list)
		}
		for _, e := range entries {
			s.latest[e], s.reporterLists[e] = make(map[string]AppliedReport), versions[0]
			s.follower.ExpectMember(e, api.Role_ROLE_ENTRY)
		}
		drawName := func(rt *rapid.T, of ...string) string { return rapid.SampledFrom(of).Draw(rt, "of") }
		drawDelay := func(rt *rapid.T) time.Duration {
			return time.Duration(rapid.SampledFrom([]int{0, 0, 0, 0, 100, 1500}).Draw(rt, "late")) * time.Millisecond
		}
		report := func(rt *rapid.T, entry string) {
			m := NewReporters(s.reporterLists[entry]).BuildHolders(entry, 1, freshnessLimit, s.now, s.latestAt(entry))
			s.inFlight[entry] = append(s.inFlight[entry], delayedReport{report: m, notBefore: s.now - drawDelay(rt)})
		}
		deliver := func(entry string) {
			if len(s.inFlight[entry]) > 0 {
				first := s.inFlight[entry][0]
				s.inFlight[entry] = s.inFlight[entry][1:]
				s.follower.ApplyHolders(NewReporters(s.reporterLists["e1"]), entry, first.report, first.notBefore, s.hearsDirectly)
			}
		}
		receive := func(rt *rapid.T, entry, agent string) {
			at := s.now - drawDelay(rt)
			if known, ok := s.latest[entry][agent]; !ok || at >= known.NotBefore {
				s.latest[entry][agent] = AppliedReport{Applied: s.applied[agent], NotBefore: at}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"":     func(rt *rapid.T) { s.check(rt, agents) },
			"hear": func(rt *rapid.T) { receive(rt, drawName(rt, entries...), drawName(rt, agents...)) },
			"hear all": func(rt *rapid.T) {
				for _, agent := range agents {
					receive(rt, "e2", agent)
					receive(rt, "e3", agent)
				}
			},
			"report":  func(rt *rapid.T) { report(rt, drawName(rt, "e2", "e3")) },
			"deliver": func(rt *rapid.T) { deliver(drawName(rt, "e2", "e3")) },
			"round": func(rt *rapid.T) {
				for _, entry := range entries[1:] {
					report(rt, entry)
					for range s.inFlight[entry] {
						deliver(entry)
					}
				}
			},
			"apply":   func(rt *rapid.T) { s.applied[drawName(rt, agents...)] = 1; s.advance(0) },
			"replace": func(rt *rapid.T) { s.applied[drawName(rt, agents...)] = 0 },
			"lists": func(rt *rapid.T) {
				s.reporterLists[drawName(rt, entries...)] = rapid.SampledFrom(versions).Draw(rt, "version")
			},
			"lose": func(rt *rapid.T) { delete(s.latest[drawName(rt, entries...)], drawName(rt, agents...)) },
			"tick": func(rt *rapid.T) {
				s.advance(time.Duration(rapid.SampledFrom([]int{1, 300, 900, 1200}).Draw(rt, "ms")) * time.Millisecond)
			},
		})
	})
}

// hearsDirectly reports whether the follower hears an agent itself.
func (s *reportingCluster) hearsDirectly(agent string) bool {
	_, ok := s.latest["e1"][agent]
	return ok
}

// check updates the follower as a member does, and checks the agents that it takes to hold the
// change.
func (s *reportingCluster) check(rt *rapid.T, agents []string) {
	for _, agent := range agents {
		if _, listed := s.reporterLists["e1"][agent]; !listed {
			s.follower.RemoveMember(agent)
			continue
		}
		s.follower.ExpectMember(agent, api.Role_ROLE_AGENT)
		if report, ok := s.latest["e1"][agent]; ok {
			s.follower.UpdateMember(agent, api.Role_ROLE_AGENT, report.Applied, report.NotBefore)
		}
	}
	_, missing := s.follower.State(s.now)
	for agent := range s.reporterLists["e1"] {
		if !slices.Contains(missing, agent) && s.lastHeld[agent] < s.now-freshnessLimit {
			rt.Fatalf("%s is not missing at %v, but last held the change at %v", agent, s.now, s.lastHeld[agent])
		}
	}
}

// An agent is reported missing and shows a moment later that it holds the change. The next report
// must put the change in force, although it is dated by the same heartbeat and by an older report
// of another agent. The agent is then replaced by a process without the change, and the report
// after that must list it as missing. What the follower hears directly takes precedence over both
// reports.
func TestLaterReportReplacesEarlierReport(t *testing.T) {
	r := NewReporters(map[string]string{"a1": "e2", "a2": "e2"})
	a := NewAcceptance(1, freshnessLimit, 0)
	a.ExpectMember("a1", api.Role_ROLE_AGENT)
	a.ExpectMember("a2", api.Role_ROLE_AGENT)
	latest := map[string]AppliedReport{"a1": {Applied: 1, NotBefore: 900 * time.Millisecond}}
	none := func(string) bool { return false }
	applyReport := func(now time.Duration, heardDirectly func(string) bool) string {
		m := r.BuildHolders("e2", 1, freshnessLimit, now, func(vm string) (AppliedReport, bool) { report, ok := latest[vm]; return report, ok })
		a.ApplyHolders(r, "e2", m, time.Second, heardDirectly)
		_, missing := a.State(now)
		return fmt.Sprint(missing)
	}
	latest["a2"] = AppliedReport{Applied: 0, NotBefore: time.Second}
	if got := applyReport(time.Second, none); got != "[a2]" {
		t.Errorf("missing %v, want a2", got)
	}
	latest["a2"] = AppliedReport{Applied: 1, NotBefore: 1100 * time.Millisecond}
	if got := applyReport(1200*time.Millisecond, none); got != "[]" {
		t.Errorf("missing %v, want nobody", got)
	}
	// The report was sent after 1 s, when the oldest agent's report in it was 0.3 s old.
	if _, missing := a.State(700*time.Millisecond + freshnessLimit + 1); len(missing) != 2 {
		t.Errorf("missing %v past the limit, want both", missing)
	}
	delete(latest, "a2")
	if got := applyReport(1300*time.Millisecond, none); got != "[a2]" {
		t.Errorf("missing %v, want a2", got)
	}
	a.UpdateMember("a2", api.Role_ROLE_AGENT, 1, time.Second)
	if got := applyReport(1400*time.Millisecond, func(vm string) bool { return vm == "a2" }); got != "[]" {
		t.Errorf("missing %v, want nobody", got)
	}
	if got := applyReport(1901*time.Millisecond, func(vm string) bool { return vm == "a2" }); got != "[a1]" {
		t.Errorf("missing %v, want a1, whose report is older than half of the limit", got)
	}
	if other := NewReporters(map[string]string{"a3": "e2", "a4": "e2"}); other.digest == r.digest {
		t.Error("a report of the same entry on other agents would be accepted")
	}
}

// More agents are missing than a report names. None of the reporter's agents may count as holding
// the change, since those beyond the limit would wrongly count too.
func TestIncompleteReportConfirmsNoAgent(t *testing.T) {
	reporterOf := map[string]string{"a": "e2"}
	for i := range maxMissingNames + 1 {
		reporterOf[fmt.Sprint("b", i)] = "e2"
	}
	r := NewReporters(reporterOf)
	m := r.BuildHolders("e2", 1, freshnessLimit, 0, func(vm string) (AppliedReport, bool) { return AppliedReport{Applied: 1}, vm == "a" })
	if len(m.GetMissing()) != maxMissingNames || int(m.GetMissingCount()) != maxMissingNames+1 {
		t.Errorf("%d of %d missing agents named", len(m.GetMissing()), m.GetMissingCount())
	}
	a := NewAcceptance(1, freshnessLimit, 0)
	for vm := range reporterOf {
		a.ExpectMember(vm, api.Role_ROLE_AGENT)
	}
	a.ApplyHolders(r, "e2", m, 0, func(string) bool { return false })
	if _, missing := a.State(0); len(missing) != len(reporterOf) {
		t.Errorf("%d missing, want all %d", len(missing), len(reporterOf))
	}
}
