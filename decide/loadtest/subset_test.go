package loadtest

import (
	"fmt"
	"testing"
	"time"
)

// perEntry is the number of backend servers of each entry: 4 of 12.
const perEntry = 4

// halfToOne lets half of all callers keep to one entry, which is linked to a third of the
// backend servers.
func halfToOne(s *Setup) { s.Favoured = 0.5 }

// subsetWants are what callers must see when each entry is linked to 4 of 12 backend
// servers: nearly what they see when it is linked to all.
var subsetWants = []want{
	{scenario: "steady, 70%", all: 1, first: 400 * time.Millisecond},
	{scenario: "burst: one customer, 4 times the capacity for 2 s", others: 1, refusal: atOnce},
	{scenario: "skew: one customer at 50 times its share", others: 1, goodput: 0.95, refusal: atOnce},
	{scenario: "half of the callers at one entry, 40%", all: 1, first: 400 * time.Millisecond},
	{scenario: "half of the callers at one entry, 50%", all: 1, first: 600 * time.Millisecond},
	{scenario: "one backend server 10 times slower", all: 0.98, first: 450 * time.Millisecond, late: 30},
	{scenario: "reports 2 s old, 80%", all: 1},
	{scenario: "saturation, 100%", all: 0.93, goodput: 0.94, late: 10},
	{scenario: "saturation, 200%", goodput: 0.97, refusal: atOnce, late: 50},
	{scenario: "retry storm at 150%", goodput: 0.97, late: 150},
	{scenario: "all backend servers turn cold, 50%", all: 0.5, late: 200, overloads: 100},
}

func subsetScenarios() map[string]Scenario {
	byName := map[string]Scenario{}
	for _, s := range Scenarios {
		byName[s.Name] = s
	}
	for name, load := range map[string]float64{"half of the callers at one entry, 40%": 0.4, "half of the callers at one entry, 50%": 0.5} {
		byName[name] = Scenario{Name: name, Load: load, Change: halfToOne}
	}
	return byName
}

// runSubset plays a scenario with subsets of some size; 0 links all.
func runSubset(s Scenario, size int, seed uint64) *Run {
	change := s.Change
	s.Change = func(setup *Setup) {
		if change != nil {
			change(setup)
		}
		setup.Subset = size
	}
	return s.Run(Own(), seed)
}

func TestOutcomesWithSubsets(t *testing.T) {
	scenarios := subsetScenarios()
	for _, w := range subsetWants {
		for _, seed := range []uint64{1, 2} {
			t.Run(w.scenario, func(t *testing.T) {
				t.Parallel()
				s := scenarios[w.scenario]
				r := runSubset(s, perEntry, seed)
				w.check(t, s, r)
				compare(t, s, r, seed)
			})
		}
	}
}

// compare logs what the tables of docs/design/subsetting.md are made from, beside the same
// run with all links.
func compare(t *testing.T, s Scenario, r *Run, seed uint64) {
	if !testing.Verbose() {
		return
	}
	tell(t, s, r, "subsets")
	tell(t, s, runSubset(s, 0, seed), "all")
}

func tell(t *testing.T, s Scenario, r *Run, links string) {
	all := r.Outcome("", s.Settled(), s.Until())
	t.Logf("%-7s in time %.4f, refused %d, late %d, goodput %.3f of the capacity, first token p95 %v, %d attempts for %d requests, overloads %d",
		links, all.Share(), all.Refused, all.Late, r.Goodput(s.Settled(), s.Until())/Capacity(r.setup.Backends),
		Quantile(all.First, 0.95).Round(time.Millisecond), r.attempts, len(r.requests), r.Cost().Overloads)
}

// region makes the run as large as a model in a region of the size to design for: 98
// entries before 62 backend servers in 3 failure domains, 4 of them for each entry.
func region(s *Setup) {
	before := Capacity(s.Backends)
	one := s.Backends[0]
	s.Entries, s.Backends = 98, nil
	for i := range 62 {
		one.VM, one.Domain = fmt.Sprintf("vm-%02d", i), Domains[i%len(Domains)]
		s.Backends = append(s.Backends, one)
	}
	for i := range s.Customers {
		s.Customers[i].Rate *= Capacity(s.Backends) / before
		s.Customers[i].Clients = 40
	}
}

// oneEntryBursts lets the callers of one customer, who all keep to one entry, ask for half
// of what that entry's backend servers can do, for five seconds.
func oneEntryBursts(s *Setup) {
	region(s)
	extra := s.Customers[0]
	extra.Clients = 1
	extra.Rate = Capacity(s.Backends[:perEntry]) / 2
	extra.From, extra.To = settled+5*time.Second, settled+10*time.Second
	extra.Deadline = 3 * time.Second
	s.Customers = append(s.Customers, extra)
}

// At the size of a region each entry sees 4 of 62 backend servers, and each of those has 6
// or 7 of 98 entries. Callers hardly notice, nor those of a customer that bursts at one
// entry.
func TestSubsetsInARegion(t *testing.T) {
	for _, c := range []struct {
		want
		load   float64
		change func(*Setup)
	}{
		{want{scenario: "steady", all: 0.999, first: 500 * time.Millisecond}, 0.8, region},
		{want{scenario: "burst at one entry", all: 0.999, first: 400 * time.Millisecond}, 0.4, oneEntryBursts},
		{want{scenario: "saturation", all: 0.98, goodput: 0.97, late: 10}, 1, region},
	} {
		t.Run(c.scenario, func(t *testing.T) {
			t.Parallel()
			s := Scenario{Name: c.scenario, Load: c.load, Change: c.change}
			r := runSubset(s, perEntry, 1)
			c.check(t, s, r)
			compare(t, s, r, 1)
		})
	}
}
