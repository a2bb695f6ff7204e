package fresh

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricothub/apricothub/api"
)

// word is what a member said at a time of all clocks.
type word struct {
	at          time.Duration
	applied     int64
	initialized bool
}

// census is a world in which nothing but words and counts travels, so that whoever is
// counted must have said a word itself.
type census struct {
	*world
	words map[string][]word
}

func newCensus() *census {
	c := &census{world: newWorld([]string{"e1", "e2", "e3", "e4", "e5", "a1", "a2", "a3", "e6"}), words: make(map[string][]word)}
	c.slack = 0
	c.begin()
	for _, p := range c.processes {
		p.tracker.Tail(0)
	}
	return c
}

// say writes down what a process says now, and returns it without any evidence.
func (c *census) say(p *process) *api.Knowledge {
	k := p.tracker.Knowledge(c.now-p.born, p.applied)
	k.EvidenceAgeMs, k.QuorumAgeMs = noAge, noAge
	c.words[p.vm] = append(c.words[p.vm], word{at: c.now, applied: p.applied, initialized: k.GetInitialized()})
	return k
}

// message captures a heartbeat, with the counts behind it, for now or for later.
func (c *census) message(i, j int) func() {
	to, from := c.processes[i], c.processes[j]
	at := c.now - to.born
	k := c.say(from)
	var counts *api.Counts
	if from.role == api.Role_ROLE_ENTRY {
		counts = from.tracker.Counts(c.now - from.born)
	}
	return func() {
		if c.processes[i] != to {
			return
		}
		to.tracker.Heard(from.vm, at, k, to.applied)
		if counts != nil {
			to.tracker.Counted(from.vm, at, counts, to.applied)
		}
	}
}

// truth is how many entries, and how many members, have said since a time that they are
// initialized and hold no more than an offset.
func (c *census) truth(since time.Duration, offset int64) (entries, members int) {
	for _, vm := range c.vms[:c.listed] {
		for _, w := range c.words[vm] {
			if w.at < since || !w.initialized || w.applied > offset {
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

// check compares what each entry could go by with what was said.
func (c *census) check(t *rapid.T) {
	for _, p := range c.processes {
		if p.role != api.Role_ROLE_ENTRY {
			continue
		}
		c.say(p)
		now := c.now - p.born
		p.tracker.count(now)
		held := &p.tracker.counts
		if at := held.majorityAt(held.entries, len(p.tracker.entries)); at != never && at >= now-limit {
			if entries, _ := c.truth(at+p.born, p.applied); entries < len(p.tracker.entries)/2+1 {
				t.Fatalf("%s at %v has a majority of entries as of %v; %d said so", p.vm, c.now, at+p.born, entries)
			}
		}
		if at := held.majorityAt(held.members, len(p.tracker.members)); at != never && at >= now-limit {
			if _, members := c.truth(at+p.born, p.applied); members < len(p.tracker.members)/2+1 {
				t.Fatalf("%s at %v has a majority of members as of %v; %d said so", p.vm, c.now, at+p.born, members)
			}
		}
	}
}

// What the callers see: nobody serves on a majority that there is not. Words and counts
// arrive late, twice or never; members are replaced; agents change the entry that counts
// them; some hold changes that others lack. A sum that reaches a majority must be of so
// many members that each said so itself, since the time that the sum is dated by.
func TestPropertyCountsAreOfDistinctMembers(t *testing.T) {
	runs(t, "1000")
	rapid.Check(t, func(rt *rapid.T) {
		c := newCensus()
		c.now += limit
		any := rapid.IntRange(0, c.listed-1)
		rt.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { c.now += time.Duration(rapid.IntRange(1, 5).Draw(t, "eighths")) * limit / 8 },
			"hear": func(t *rapid.T) { c.message(any.Draw(t, "to"), any.Draw(t, "from"))() },
			"counts": func(t *rapid.T) {
				c.message(rapid.IntRange(0, 4).Draw(t, "to"), rapid.IntRange(0, 4).Draw(t, "from"))()
			},
			"heard": func(t *rapid.T) {
				c.message(rapid.IntRange(0, 4).Draw(t, "to"), rapid.IntRange(5, 7).Draw(t, "from"))()
			},
			"send":    func(t *rapid.T) { c.late = append(c.late, c.message(any.Draw(t, "to"), any.Draw(t, "from"))) },
			"learn":   func(t *rapid.T) { c.processes[any.Draw(t, "who")].applied = 1 },
			"replace": func(t *rapid.T) { c.replace(any.Draw(t, "who")) },
			"arrive": func(t *rapid.T) {
				if len(c.late) > 0 {
					rapid.SampledFrom(c.late).Draw(t, "message")()
				}
			},
			"settle": func(*rapid.T) {
				for _, p := range c.processes {
					if now := c.now - p.born; !p.tracker.started && now >= p.tracker.settle() {
						p.tracker.Tail(now)
					}
				}
			},
			"": c.check,
		})
	})
}

// counted returns counts of domains, each heard so long ago.
func counted(applied int64, ageMs int64, byDomain map[string]uint32) *api.Counts {
	m := &api.Counts{Applied: applied}
	for domain, n := range byDomain {
		m.Domains = append(m.Domains, &api.DomainCount{Domain: domain, Entries: n, EntriesAgeMs: ageMs, Members: n, MembersAgeMs: ageMs})
	}
	return m
}

// A process hears one entry and goes on by its counts; each rule that could let it trust
// too little is a row. One more than a majority is needed: the counts are by another
// list of VMs, which may hold one that is gone from this one.
func TestCountsOfOthers(t *testing.T) {
	const now = 10 * time.Second
	three := map[string]uint32{"x": 2, "y": 1, "z": 1}
	for _, test := range []struct {
		name string
		news func(*Tracker)
		want State
	}{
		{"enough", func(f *Tracker) { f.Counted("e2", now, counted(5, 0, three), 5) }, Outage},
		{"with their age", func(f *Tracker) { f.Counted("e2", now-500*ms, counted(5, 1500, three), 5) }, Outage},
		{"too old with their age", func(f *Tracker) { f.Counted("e2", now-500*ms, counted(5, 1501, three), 5) }, Isolated},
		{"of changes not applied here", func(f *Tracker) { f.Counted("e2", now, counted(6, 0, three), 5) }, Isolated},
		{"a bare majority", func(f *Tracker) { f.Counted("e2", now, counted(5, 0, map[string]uint32{"x": 2, "y": 1}), 5) }, Isolated},
		{"of one domain twice", func(f *Tracker) {
			f.Counted("e2", now, counted(5, 0, map[string]uint32{"x": 2, "y": 1}), 5)
			f.Counted("e3", now, counted(5, 0, map[string]uint32{"x": 2}), 5)
		}, Isolated},
		{"of two domains from two", func(f *Tracker) {
			f.Counted("e2", now, counted(5, 0, map[string]uint32{"x": 1, "z": 1}), 5)
			f.Counted("e3", now, counted(5, 0, map[string]uint32{"x": 2, "y": 1}), 5)
		}, Outage},
		{"of a domain not on the list", func(f *Tracker) { f.Counted("e2", now, counted(5, 0, map[string]uint32{"w": 9}), 5) }, Isolated},
		{"from an agent", func(f *Tracker) { f.Counted("a1", now, counted(5, 0, three), 5) }, Isolated},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker := running()
			tracker.SetDomains(map[string]string{"e1": "x", "e2": "x", "e3": "y", "e4": "z", "e5": "z"})
			test.news(tracker)
			check(t, tracker, now, test.want)
		})
	}
}

// A new process settles while all counts it has are past the limit. They must not
// initialize it: an agent may have named another entry since, and be in two of them.
func TestCountsPastTheLimitInitializeNobody(t *testing.T) {
	for age, want := range map[time.Duration]State{0: Outage, limit: Outage, limit + 1: Starting} {
		tracker := New("e1", limit)
		tracker.SetEntries(entries)
		tracker.SetDomains(map[string]string{"e1": "x", "e2": "x", "e3": "y", "e4": "z", "e5": "z"})
		tracker.Applied(5)
		at := tracker.settle()
		tracker.Counted("e2", at, counted(5, 0, map[string]uint32{"x": 2, "y": 1, "z": 1}), 5)
		check(t, tracker, at+age, want)
	}
}

// An agent loses the entry that counts it. Another may count it only when all counts by
// the first are past the limit: before that the agent would be two members in a sum.
func TestAnAgentWaitsBeforeItNamesAnother(t *testing.T) {
	tracker := New("a1", limit)
	tracker.SetEntries(entries)
	tracker.SetMembers(members)
	tracker.Tail(0)
	hearAll(tracker, 2*limit, nothing, "e1", "e2")
	first := tracker.Knowledge(2*limit, nothing).GetCountedBy()
	other := map[string]string{"e1": "e2", "e2": "e1"}[first]
	if other == "" {
		t.Fatalf("named %q", first)
	}
	last := 2 * limit
	for now := last; now < 6*limit; now += 10 * ms {
		hearAll(tracker, now, nothing, other)
		switch named := tracker.Knowledge(now, nothing).GetCountedBy(); {
		case named == first:
			last = now
		case named == other && now <= last+limit:
			t.Fatalf("named another %v after the first", now-last)
		case named == other:
			return
		}
	}
	t.Error("no other entry was named")
}

// An entry counts an agent that names it, is initialized and holds no more; no other.
func TestWhichAgentsAnEntryCounts(t *testing.T) {
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
		tracker.Heard("a1", limit, test.k, 5)
		if got := tracker.Counts(limit + limit/4).GetFlock(); got != test.want {
			t.Errorf("an agent that is %s: %d counted, want %d", test.name, got, test.want)
		}
	}
}
