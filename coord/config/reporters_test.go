package config

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricothub/apricothub/api"
)

// onTheWay is a report with a time before which it was not sent.
type onTheWay struct {
	report *api.Holders
	at     time.Duration
}

// reporting is a follower of the change at offset 1, two entries that report to it, and
// agents that come to hold the change and are replaced by processes without it.
type reporting struct {
	now      time.Duration
	applied  map[string]int64
	held     map[string]time.Duration // when the process on a VM last held the change
	words    map[string]map[string]Word
	lists    map[string]map[string]string // the list of VMs of each entry, as reporters
	way      map[string][]onTheWay
	follower *Acceptance
}

func (s *reporting) tick(d time.Duration) {
	s.now += d
	for agent, applied := range s.applied {
		if applied >= 1 {
			s.held[agent] = s.now
		}
	}
}

func (s *reporting) word(entry string) func(string) (Word, bool) {
	return func(agent string) (Word, bool) {
		w, ok := s.words[entry][agent]
		return w, ok
	}
}

// What the operator sees: an agent is not missing only if the process on its VM held the
// change within the freshness limit, and so "in force" and "accepted" are true. Lists of
// VMs differ, with other agents and other reporters; agents are replaced by processes
// that hold less, links keep the last word of the old one for a while; reports are late.
func TestPropertyNobodyIsReportedThatDoesNotHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries, agents := []string{"e1", "e2", "e3"}, []string{"a1", "a2"}
		s := &reporting{
			applied: make(map[string]int64), held: make(map[string]time.Duration),
			words: make(map[string]map[string]Word), lists: make(map[string]map[string]string),
			way: make(map[string][]onTheWay), follower: NewAcceptance(1, limit, 0),
		}
		for _, agent := range agents {
			s.held[agent] = -time.Hour
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
			s.words[e], s.lists[e] = make(map[string]Word), versions[0]
			s.follower.Expect(e, api.Role_ROLE_ENTRY)
		}
		one := func(rt *rapid.T, of ...string) string { return rapid.SampledFrom(of).Draw(rt, "of") }
		late := func(rt *rapid.T) time.Duration {
			return time.Duration(rapid.SampledFrom([]int{0, 0, 0, 0, 100, 1500}).Draw(rt, "late")) * time.Millisecond
		}
		report := func(rt *rapid.T, entry string) {
			m := NewReporters(s.lists[entry]).Report(entry, 1, limit, s.now, s.word(entry))
			s.way[entry] = append(s.way[entry], onTheWay{report: m, at: s.now - late(rt)})
		}
		deliver := func(entry string) {
			if len(s.way[entry]) > 0 {
				first := s.way[entry][0]
				s.way[entry] = s.way[entry][1:]
				s.follower.Report(NewReporters(s.lists["e1"]), entry, first.report, first.at, s.own)
			}
		}
		hear := func(rt *rapid.T, entry, agent string) {
			at := s.now - late(rt)
			if w, ok := s.words[entry][agent]; !ok || at >= w.At {
				s.words[entry][agent] = Word{Applied: s.applied[agent], At: at}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"":     func(rt *rapid.T) { s.check(rt, agents) },
			"hear": func(rt *rapid.T) { hear(rt, one(rt, entries...), one(rt, agents...)) },
			"hear all": func(rt *rapid.T) {
				for _, agent := range agents {
					hear(rt, "e2", agent)
					hear(rt, "e3", agent)
				}
			},
			"report":  func(rt *rapid.T) { report(rt, one(rt, "e2", "e3")) },
			"deliver": func(rt *rapid.T) { deliver(one(rt, "e2", "e3")) },
			"round": func(rt *rapid.T) {
				for _, entry := range entries[1:] {
					report(rt, entry)
					for range s.way[entry] {
						deliver(entry)
					}
				}
			},
			"apply":   func(rt *rapid.T) { s.applied[one(rt, agents...)] = 1; s.tick(0) },
			"replace": func(rt *rapid.T) { s.applied[one(rt, agents...)] = 0 },
			"lists": func(rt *rapid.T) {
				s.lists[one(rt, entries...)] = rapid.SampledFrom(versions).Draw(rt, "version")
			},
			"lose": func(rt *rapid.T) { delete(s.words[one(rt, entries...)], one(rt, agents...)) },
			"tick": func(rt *rapid.T) {
				s.tick(time.Duration(rapid.SampledFrom([]int{1, 300, 900, 1200}).Draw(rt, "ms")) * time.Millisecond)
			},
		})
	})
}

// own says that the follower hears an agent itself.
func (s *reporting) own(agent string) bool {
	_, ok := s.words["e1"][agent]
	return ok
}

// check feeds the follower as a member does, and looks at whom it takes to hold.
func (s *reporting) check(rt *rapid.T, agents []string) {
	for _, agent := range agents {
		if _, listed := s.lists["e1"][agent]; !listed {
			s.follower.Gone(agent)
			continue
		}
		s.follower.Expect(agent, api.Role_ROLE_AGENT)
		if w, ok := s.words["e1"][agent]; ok {
			s.follower.Member(agent, api.Role_ROLE_AGENT, w.Applied, w.At)
		}
	}
	_, missing := s.follower.State(s.now)
	for agent := range s.lists["e1"] {
		if !slices.Contains(missing, agent) && s.held[agent] < s.now-limit {
			rt.Fatalf("%s is not missing at %v, and held the change at %v last", agent, s.now, s.held[agent])
		}
	}
}

// An agent is named missing, shows a moment later that it holds, and all is in force with
// the next report, though that is dated by the same heartbeat and an older word of another
// agent. It is replaced by a process without the change, and is missing with the report
// after. What the follower hears itself goes before both.
func TestALaterReportTakesThePlaceOfAnEarlierOne(t *testing.T) {
	r := NewReporters(map[string]string{"a1": "e2", "a2": "e2"})
	a := NewAcceptance(1, limit, 0)
	a.Expect("a1", api.Role_ROLE_AGENT)
	a.Expect("a2", api.Role_ROLE_AGENT)
	words := map[string]Word{"a1": {Applied: 1, At: 900 * time.Millisecond}}
	none := func(string) bool { return false }
	take := func(now time.Duration, own func(string) bool) string {
		m := r.Report("e2", 1, limit, now, func(vm string) (Word, bool) { w, ok := words[vm]; return w, ok })
		a.Report(r, "e2", m, time.Second, own)
		_, missing := a.State(now)
		return fmt.Sprint(missing)
	}
	words["a2"] = Word{Applied: 0, At: time.Second}
	if got := take(time.Second, none); got != "[a2]" {
		t.Errorf("missing %v, want a2", got)
	}
	words["a2"] = Word{Applied: 1, At: 1100 * time.Millisecond}
	if got := take(1200*time.Millisecond, none); got != "[]" {
		t.Errorf("missing %v, want nobody", got)
	}
	// The report is as old as its oldest word, 0.3 s, when it was sent after 1 s.
	if _, missing := a.State(700*time.Millisecond + limit + 1); len(missing) != 2 {
		t.Errorf("missing %v past the limit, want both", missing)
	}
	delete(words, "a2")
	if got := take(1300*time.Millisecond, none); got != "[a2]" {
		t.Errorf("missing %v, want a2", got)
	}
	a.Member("a2", api.Role_ROLE_AGENT, 1, time.Second)
	if got := take(1400*time.Millisecond, func(vm string) bool { return vm == "a2" }); got != "[]" {
		t.Errorf("missing %v, want nobody", got)
	}
	if got := take(1901*time.Millisecond, func(vm string) bool { return vm == "a2" }); got != "[a1]" {
		t.Errorf("missing %v, want a1, whose word is older than half of the limit", got)
	}
	if other := NewReporters(map[string]string{"a3": "e2", "a4": "e2"}); other.digest == r.digest {
		t.Error("the same entry's report on other agents would be taken")
	}
}

// More agents are missing than a report names. None of the reporter's agents may count as
// holding: those past the bound would.
func TestAReportWithoutAllNamesShowsNobody(t *testing.T) {
	of := map[string]string{"a": "e2"}
	for i := range maxMissing + 1 {
		of[fmt.Sprint("b", i)] = "e2"
	}
	r := NewReporters(of)
	m := r.Report("e2", 1, limit, 0, func(vm string) (Word, bool) { return Word{Applied: 1}, vm == "a" })
	if len(m.GetMissing()) != maxMissing || int(m.GetMissingCount()) != maxMissing+1 {
		t.Errorf("%d named of %d", len(m.GetMissing()), m.GetMissingCount())
	}
	a := NewAcceptance(1, limit, 0)
	for vm := range of {
		a.Expect(vm, api.Role_ROLE_AGENT)
	}
	a.Report(r, "e2", m, 0, func(string) bool { return false })
	if _, missing := a.State(0); len(missing) != len(of) {
		t.Errorf("%d missing, want all %d", len(missing), len(of))
	}
}
