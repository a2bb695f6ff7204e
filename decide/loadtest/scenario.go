package loadtest

import "time"

// Scenario is one situation that the decisions are tested in.
type Scenario struct {
	Name string
	// Load is the part of the capacity that customers ask for.
	Load float64
	// Change alters the setup, Happen what goes on in the run; nil for neither.
	Change func(s *Setup)
	Happen func(r *Run)
	// From and To bound the arrivals that count. The limiters begin cold, so that
	// the first minute does not.
	From, To time.Duration
}

// Hog is the customer that asks for too much in Skew and Burst.
const Hog = "customer-9"

// settled is when every limiter has left its cold start.
const settled = 40 * time.Second

// Scenarios are the situations, each seeded.
var Scenarios = []Scenario{
	{Name: "steady, 70%", Load: 0.7},
	{Name: "burst: one customer, 4 times the capacity for 2 s", Load: 0.5, Change: burst},
	{Name: "skew: one customer at 50 times its share", Load: 0.6, Change: skew},
	{Name: "one backend server 10 times slower", Load: 0.6, Happen: slowOne},
	{Name: "1 request in 20 is 8 times as long", Load: 0.5, Change: mixed},
	{Name: "reports 2 s old, 80%", Load: 0.8, Change: lagging},
	{Name: "saturation, 100%", Load: 1},
	{Name: "saturation, 150%", Load: 1.5},
	{Name: "saturation, 200%", Load: 2},
	{Name: "saturation, 400%", Load: 4},
	{Name: "retry storm at 150%", Load: 1.5, Change: storm},
	{Name: "all new and cold, warm in one step, 30%", Load: 0.3, Change: allNew, To: settled + 60*time.Second},
	{Name: "all backend servers turn cold, 50%", Load: 0.5, Happen: allCold, To: settled + 120*time.Second},
}

// Run plays a scenario.
func (s Scenario) Run(p Policy, seed uint64) *Run {
	setup := Today(p, s.Load)
	setup.Seed = seed
	setup.Stop = s.Until()
	if s.Change != nil {
		s.Change(&setup)
	}
	r := New(setup)
	if s.Happen != nil {
		s.Happen(r)
	}
	r.Until(s.Until() + 30*time.Second)
	return r
}

// Until is the end of the arrivals that count.
func (s Scenario) Until() time.Duration { return max(s.To, settled+20*time.Second) }

// Settled is the beginning of the arrivals that count.
func (s Scenario) Settled() time.Duration { return settled }

func burst(s *Setup) {
	extra := s.Customers[9]
	extra.Rate = 4 * Capacity(s.Backends)
	extra.From, extra.To = settled+5*time.Second, settled+7*time.Second
	s.Customers = append(s.Customers, extra)
}

// skew lets a small customer ask for 50 times its share: the basic plan has a
// quarter of the capacity, for seven customers.
func skew(s *Setup) {
	s.Customers[9].Rate = 50 * Capacity(s.Backends) / 4 / 7
}

func slowOne(r *Run) {
	r.At(settled, func() { r.agents[r.vms[4]].backend.slowDown(10) })
}

func mixed(s *Setup) {
	for i := range s.Customers {
		c := &s.Customers[i]
		c.LongPart, c.LongFactor = 0.05, 8
		c.Rate /= 1 + c.LongPart*(c.LongFactor-1)
		c.Deadline = 30 * time.Second
	}
}

func lagging(s *Setup) { s.ReportLag = 2 * time.Second }

func allNew(s *Setup) {
	for i := range s.Backends {
		s.Backends[i].StartsWarm = false
		s.Backends[i].Step = true
		s.Backends[i].WarmAfter = 20
	}
}

func storm(s *Setup) {
	for i := range s.Customers {
		s.Customers[i].Storm = true
	}
}

func allCold(r *Run) {
	r.At(settled, func() {
		for _, vm := range r.vms {
			r.agents[vm].backend.turnCold()
		}
	})
}
