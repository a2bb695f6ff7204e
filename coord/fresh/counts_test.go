package fresh

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricothub/apricothub/api"
)

// statement is what a member sent about itself, at a time that all clocks share.
type statement struct {
	at          time.Duration
	applied     int64
	initialized bool
}

// countCluster is a cluster in which processes exchange only counts and knowledge without evidence,
// so that every counted member must have made a statement itself.
type countCluster struct {
	*cluster
	statements map[string][]statement
}

func newCountCluster() *countCluster {
	c := &countCluster{cluster: newCluster([]string{"e1", "e2", "e3", "e4", "e5", "a1", "a2", "a3", "e6"}), statements: make(map[string][]statement)}
	c.minSlack = 0
	c.replaceAll()
	for _, p := range c.processes {
		p.tracker.ConfirmTail(0)
	}
	return c
}

// recordStatement records what a process sends about itself now, and returns it without any
// evidence.
func (c *countCluster) recordStatement(p *process) *api.Knowledge {
	k := p.tracker.Knowledge(c.now-p.born, p.applied)
	k.EvidenceAgeMs, k.QuorumAgeMs = noAge, noAge
	c.statements[p.vm] = append(c.statements[p.vm], statement{at: c.now, applied: p.applied, initialized: k.GetInitialized()})
	return k
}

// captureHeartbeat captures a heartbeat followed by counts, to be delivered now or later.
func (c *countCluster) captureHeartbeat(i, j int) func() {
	to, from := c.processes[i], c.processes[j]
	at := c.now - to.born
	k := c.recordStatement(from)
	var counts *api.Counts
	if from.role == api.Role_ROLE_ENTRY {
		counts = from.tracker.Counts(c.now - from.born)
	}
	return func() {
		if c.processes[i] != to {
			return
		}
		to.tracker.HandleKnowledge(from.vm, at, k, to.applied)
		if counts != nil {
			to.tracker.HandleCounts(from.vm, at, counts, to.applied)
		}
	}
}

// countStated returns how many entries, and how many members, have stated since a time that they
// are initialized and hold no more than an offset.
func (c *countCluster) countStated(since time.Duration, offset int64) (entries, members int) {
	for _, vm := range c.vms[:c.listed] {
		for _, s := range c.statements[vm] {
			if s.at < since || !s.initialized || s.applied > offset {
				continue
			}
			members++
			if vm[0] == 'e' {
				entries++
			}
			break
		}
	}
	return entries, members
}

// check compares the majorities that each entry could rely on with the statements made.
func (c *countCluster) check(t *rapid.T) {
	for _, p := range c.processes {
		if p.role != api.Role_ROLE_ENTRY {
			continue
		}
		c.recordStatement(p)
		now := c.now - p.born
		p.tracker.refreshCounts(now)
		counts := &p.tracker.counts
		if at := counts.majorityAt(counts.entries, len(p.tracker.entries)); at != never && at >= now-limit {
			if entries, _ := c.countStated(at+p.born, p.applied); entries < len(p.tracker.entries)/2+1 {
				t.Fatalf("%s at %v has a majority of entries as of %v; %d stated it", p.vm, c.now, at+p.born, entries)
			}
		}
		if at := counts.majorityAt(counts.members, len(p.tracker.members)); at != never && at >= now-limit {
			if _, members := c.countStated(at+p.born, p.applied); members < len(p.tracker.members)/2+1 {
				t.Fatalf("%s at %v has a majority of members as of %v; %d stated it", p.vm, c.now, at+p.born, members)
			}
		}
	}
}

// No process may serve on a majority that does not exist. Heartbeats and counts arrive late, twice
// or never, members are replaced, agents change the entry that counts them, and some members hold
// changes that others lack. When a sum reaches a majority, that many members must have stated so
// themselves since the time of the sum.
func TestPropertyCountsAreOfDistinctMembers(t *testing.T) {
	setChecks(t, "1000")
	rapid.Check(t, func(rt *rapid.T) {
		c := newCountCluster()
		c.now += limit
		drawProcess := rapid.IntRange(0, c.listed-1)
		rt.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { c.now += time.Duration(rapid.IntRange(1, 5).Draw(t, "eighths")) * limit / 8 },
			"hear": func(t *rapid.T) { c.captureHeartbeat(drawProcess.Draw(t, "to"), drawProcess.Draw(t, "from"))() },
			"counts": func(t *rapid.T) {
				c.captureHeartbeat(rapid.IntRange(0, 4).Draw(t, "to"), rapid.IntRange(0, 4).Draw(t, "from"))()
			},
			"heard": func(t *rapid.T) {
				c.captureHeartbeat(rapid.IntRange(0, 4).Draw(t, "to"), rapid.IntRange(5, 7).Draw(t, "from"))()
			},
			"send": func(t *rapid.T) {
				c.delayed = append(c.delayed, c.captureHeartbeat(drawProcess.Draw(t, "to"), drawProcess.Draw(t, "from")))
			},
			"learn":   func(t *rapid.T) { c.processes[drawProcess.Draw(t, "who")].applied = 1 },
			"replace": func(t *rapid.T) { c.replace(drawProcess.Draw(t, "who")) },
			"arrive": func(t *rapid.T) {
				if len(c.delayed) > 0 {
					rapid.SampledFrom(c.delayed).Draw(t, "message")()
				}
			},
			"settle": func(*rapid.T) {
				for _, p := range c.processes {
					if now := c.now - p.born; !p.tracker.isInitialized && now >= p.tracker.settleTime() {
						p.tracker.ConfirmTail(now)
					}
				}
			},
			"": c.check,
		})
	})
}

// domainCounts returns counts of domains, with one age for all.
func domainCounts(applied int64, ageMs int64, byDomain map[string]uint32) *api.Counts {
	m := &api.Counts{Applied: applied}
	for domain, n := range byDomain {
		m.Domains = append(m.Domains, &api.DomainCount{Domain: domain, Entries: n, EntriesAgeMs: ageMs, Members: n, MembersAgeMs: ageMs})
	}
	return m
}

// A process hears one entry and serves by its counts. Each row is a rule without which the process
// could trust too little evidence. One more than a majority is needed, because the counts are by
// another VM list, which may hold a VM that is gone from the own list.
func TestCountsOfOthers(t *testing.T) {
	const now = 10 * time.Second
	enough := map[string]uint32{"x": 2, "y": 1, "z": 1}
	for _, test := range []struct {
		name    string
		receive func(*Tracker)
		want    State
	}{
		{"enough", func(f *Tracker) { f.HandleCounts("e2", now, domainCounts(5, 0, enough), 5) }, Outage},
		{"with their age", func(f *Tracker) { f.HandleCounts("e2", now-500*ms, domainCounts(5, 1500, enough), 5) }, Outage},
		{"too old with their age", func(f *Tracker) { f.HandleCounts("e2", now-500*ms, domainCounts(5, 1501, enough), 5) }, Isolated},
		{"of changes not applied here", func(f *Tracker) { f.HandleCounts("e2", now, domainCounts(6, 0, enough), 5) }, Isolated},
		{"a bare majority", func(f *Tracker) { f.HandleCounts("e2", now, domainCounts(5, 0, map[string]uint32{"x": 2, "y": 1}), 5) }, Isolated},
		{"of one domain twice", func(f *Tracker) {
			f.HandleCounts("e2", now, domainCounts(5, 0, map[string]uint32{"x": 2, "y": 1}), 5)
			f.HandleCounts("e3", now, domainCounts(5, 0, map[string]uint32{"x": 2}), 5)
		}, Isolated},
		{"of two domains from two", func(f *Tracker) {
			f.HandleCounts("e2", now, domainCounts(5, 0, map[string]uint32{"x": 1, "z": 1}), 5)
			f.HandleCounts("e3", now, domainCounts(5, 0, map[string]uint32{"x": 2, "y": 1}), 5)
		}, Outage},
		{"of a domain not on the list", func(f *Tracker) { f.HandleCounts("e2", now, domainCounts(5, 0, map[string]uint32{"w": 9}), 5) }, Isolated},
		{"from an agent", func(f *Tracker) { f.HandleCounts("a1", now, domainCounts(5, 0, enough), 5) }, Isolated},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker := running()
			tracker.SetDomains(map[string]string{"e1": "x", "e2": "x", "e3": "y", "e4": "z", "e5": "z"})
			test.receive(tracker)
			checkState(t, tracker, now, test.want)
		})
	}
}

// A new process has waited long enough, but all its counts are past the limit. They must not
// initialize it: an agent may have named another entry since, and be in two of the counts.
func TestStaleCountsDoNotInitialize(t *testing.T) {
	for age, want := range map[time.Duration]State{0: Outage, limit: Outage, limit + 1: Starting} {
		tracker := New("e1", limit)
		tracker.SetEntries(entries)
		tracker.SetDomains(map[string]string{"e1": "x", "e2": "x", "e3": "y", "e4": "z", "e5": "z"})
		tracker.SetApplied(5)
		settled := tracker.settleTime()
		tracker.HandleCounts("e2", settled, domainCounts(5, 0, map[string]uint32{"x": 2, "y": 1, "z": 1}), 5)
		checkState(t, tracker, settled+age, want)
	}
}

// An agent loses the entry that counts it. Another entry may count it only when all counts by the
// first are past the limit. Before that, the agent would be two members in a sum.
func TestAgentWaitsBeforeChangingItsCountingEntry(t *testing.T) {
	tracker := New("a1", limit)
	tracker.SetEntries(entries)
	tracker.SetMembers(members)
	tracker.ConfirmTail(0)
	hearAll(tracker, 2*limit, noOffset, "e1", "e2")
	first := tracker.Knowledge(2*limit, noOffset).GetCountedBy()
	other := map[string]string{"e1": "e2", "e2": "e1"}[first]
	if other == "" {
		t.Fatalf("agent named %q as its counting entry", first)
	}
	last := 2 * limit
	for now := last; now < 6*limit; now += 10 * ms {
		hearAll(tracker, now, noOffset, other)
		switch named := tracker.Knowledge(now, noOffset).GetCountedBy(); {
		case named == first:
			last = now
		case named == other && now <= last+limit:
			t.Fatalf("agent named another entry %v after it last named the first", now-last)
		case named == other:
			return
		}
	}
	t.Error("agent named no other entry")
}

// An entry counts only agents that name it, are initialized and hold no more than the entry.
func TestEntryCountsOnlyInitializedAgentsThatNameIt(t *testing.T) {
	for _, test := range []struct {
		name string
		k    *api.Knowledge
		want uint32
	}{
		{"names it", &api.Knowledge{Applied: 5, Initialized: true, CountedBy: "e1"}, 1},
		{"names another", &api.Knowledge{Applied: 5, Initialized: true, CountedBy: "e2"}, 0},
		{"new", &api.Knowledge{Applied: 5, CountedBy: "e1"}, 0},
		{"ahead", &api.Knowledge{Applied: 6, Initialized: true, CountedBy: "e1"}, 0},
	} {
		tracker := running()
		test.k.EvidenceAgeMs, test.k.QuorumAgeMs = noAge, noAge
		tracker.HandleKnowledge("a1", limit, test.k, 5)
		if got := tracker.Counts(limit + limit/4).GetFlock(); got != test.want {
			t.Errorf("an agent that is %s: %d counted, want %d", test.name, got, test.want)
		}
	}
}
