package loadtest

import (
	"fmt"
	"testing"
	"time"
)

// serversPerEntry is the number of backend servers of each entry: 4 of 12.
const serversPerEntry = 4

// halfAtFirstEntry lets half of all callers stay with one entry, which is linked to a third of the
// backend servers.
func halfAtFirstEntry(s *Setup) { s.FirstEntryFraction = 0.5 }

// subsetExpectations are what callers must see when each entry is linked to 4 of 12 backend
// servers: nearly what they see when each is linked to all.
var subsetExpectations = []expectation{
	{scenario: "steady, 70%", allInTime: 1, firstTokenP95: 400 * time.Millisecond},
	{scenario: "burst: one customer, 4 times the capacity for 2 s", othersInTime: 1, refusalP95: withoutWait},
	{scenario: "skew: one customer at 50 times its share", othersInTime: 1, minGoodput: 0.95, refusalP95: withoutWait},
	{scenario: "half of the callers at one entry, 40%", allInTime: 1, firstTokenP95: 400 * time.Millisecond},
	{scenario: "half of the callers at one entry, 50%", allInTime: 1, firstTokenP95: 600 * time.Millisecond},
	{scenario: "one backend server 10 times slower", allInTime: 0.98, firstTokenP95: 450 * time.Millisecond, maxLate: 30},
	{scenario: "reports 2 s old, 80%", allInTime: 1},
	{scenario: "saturation, 100%", allInTime: 0.93, minGoodput: 0.94, maxLate: 10},
	{scenario: "saturation, 200%", minGoodput: 0.97, refusalP95: withoutWait, maxLate: 50},
	{scenario: "retry storm at 150%", minGoodput: 0.97, maxLate: 150},
	{scenario: "all backend servers turn cold, 50%", allInTime: 0.5, maxLate: 200, maxOverloads: 100},
}

func subsetScenarios() map[string]Scenario {
	byName := map[string]Scenario{}
	for _, s := range Scenarios {
		byName[s.Name] = s
	}
	for name, load := range map[string]float64{"half of the callers at one entry, 40%": 0.4, "half of the callers at one entry, 50%": 0.5} {
		byName[name] = Scenario{Name: name, Load: load, ModifySetup: halfAtFirstEntry}
	}
	return byName
}

// runSubset runs a scenario with subsets of the given size; 0 links all.
func runSubset(s Scenario, size int, seed uint64) *Run {
	change := s.ModifySetup
	s.ModifySetup = func(setup *Setup) {
		if change != nil {
			change(setup)
		}
		setup.SubsetSize = size
	}
	return s.Run(CurrentPolicy(), seed)
}

func TestOutcomesWithSubsets(t *testing.T) {
	scenarios := subsetScenarios()
	for _, w := range subsetExpectations {
		for _, seed := range []uint64{1, 2} {
			t.Run(w.scenario, func(t *testing.T) {
				t.Parallel()
				s := scenarios[w.scenario]
				r := runSubset(s, serversPerEntry, seed)
				w.check(t, s, r)
				logBesideAllLinks(t, s, r, seed)
			})
		}
	}
}

// logBesideAllLinks logs the figures for the tables of docs/design/subsetting.md, beside the same
// run with all links.
func logBesideAllLinks(t *testing.T, s Scenario, r *Run, seed uint64) {
	if !testing.Verbose() {
		return
	}
	logOutcome(t, s, r, "subsets")
	logOutcome(t, s, runSubset(s, 0, seed), "all")
}

func logOutcome(t *testing.T, s Scenario, r *Run, links string) {
	all := r.Outcome("", s.MeasureFrom(), s.MeasureUntil())
	t.Logf("%-7s in time %.4f, refused %d, late %d, goodput %.3f of the capacity, first token p95 %v, %d attempts for %d requests, overloads %d",
		links, all.FractionInTime(), all.Refused, all.Late, r.Goodput(s.MeasureFrom(), s.MeasureUntil())/Capacity(r.setup.Backends),
		Quantile(all.TimeToFirstToken, 0.95).Round(time.Millisecond), r.attempts, len(r.requests), r.Cost().Overloads)
}

// regionSize makes the run as large as a model in one region of the target size: 98 entries in
// front of 62 backend servers in 3 failure domains, 4 of them for each entry.
func regionSize(s *Setup) {
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

// burstAtOneEntry lets the callers of one customer, all at one entry, send half of the capacity of
// that entry's backend servers for five seconds.
func burstAtOneEntry(s *Setup) {
	regionSize(s)
	extra := s.Customers[0]
	extra.Clients = 1
	extra.Rate = Capacity(s.Backends[:serversPerEntry]) / 2
	extra.From, extra.To = warmUpTime+5*time.Second, warmUpTime+10*time.Second
	extra.Deadline = 3 * time.Second
	s.Customers = append(s.Customers, extra)
}

// Guards against subsets that are noticed by callers at the size of a region, where each entry sees
// 4 of 62 backend servers and each of those has 6 or 7 of 98 entries, also for a customer that
// bursts at one entry.
func TestSubsetsInARegion(t *testing.T) {
	for _, c := range []struct {
		expectation
		load   float64
		change func(*Setup)
	}{
		{expectation{scenario: "steady", allInTime: 0.999, firstTokenP95: 500 * time.Millisecond}, 0.8, regionSize},
		{expectation{scenario: "burst at one entry", allInTime: 0.999, firstTokenP95: 400 * time.Millisecond}, 0.4, burstAtOneEntry},
		{expectation{scenario: "saturation", allInTime: 0.98, minGoodput: 0.97, maxLate: 10}, 1, regionSize},
	} {
		t.Run(c.scenario, func(t *testing.T) {
			t.Parallel()
			s := Scenario{Name: c.scenario, Load: c.load, ModifySetup: c.change}
			r := runSubset(s, serversPerEntry, 1)
			c.check(t, s, r)
			logBesideAllLinks(t, s, r, 1)
		})
	}
}
