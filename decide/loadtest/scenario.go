package loadtest

import "time"

// Scenario is one situation in which the decisions are tested.
type Scenario struct {
	Name string
	// Load is the load that customers offer, as a fraction of the capacity.
	Load float64
	// ModifySetup changes the setup, ScheduleEvents schedules events of the run; either may be nil.
	ModifySetup    func(s *Setup)
	ScheduleEvents func(r *Run)
	// From and To limit the arrivals that count. The limiters start cold, so the first minute does
	// not count.
	From, To time.Duration
}

// GreedyCustomer is the customer that sends too many requests in the skew and burst scenarios.
const GreedyCustomer = "customer-9"

// warmUpTime is when every limiter has left its cold start.
const warmUpTime = 40 * time.Second

// Scenarios are the scenarios that are tested and measured.
var Scenarios = []Scenario{
	{Name: "steady, 70%", Load: 0.7},
	{Name: "burst: one customer, 4 times the capacity for 2 s", Load: 0.5, ModifySetup: burst},
	{Name: "skew: one customer at 50 times its share", Load: 0.6, ModifySetup: skew},
	{Name: "one backend server 10 times slower", Load: 0.6, ScheduleEvents: slowBackend},
	{Name: "1 request in 20 is 8 times as long", Load: 0.5, ModifySetup: mixedSizes},
	{Name: "reports 2 s old, 80%", Load: 0.8, ModifySetup: delayedReports},
	{Name: "saturation, 100%", Load: 1},
	{Name: "saturation, 150%", Load: 1.5},
	{Name: "saturation, 200%", Load: 2},
	{Name: "saturation, 400%", Load: 4},
	{Name: "retry storm at 150%", Load: 1.5, ModifySetup: retryStorm},
	{Name: "all new and cold, warm in one step, 30%", Load: 0.3, ModifySetup: allStartCold, To: warmUpTime + 60*time.Second},
	{Name: "all backend servers turn cold, 50%", Load: 0.5, ScheduleEvents: allTurnCold, To: warmUpTime + 120*time.Second},
}

// Run runs the scenario under a policy.
func (s Scenario) Run(p Policy, seed uint64) *Run {
	setup := ReferenceSetup(p, s.Load)
	setup.Seed = seed
	setup.StopArrivalsAt = s.MeasureUntil()
	if s.ModifySetup != nil {
		s.ModifySetup(&setup)
	}
	r := New(setup)
	if s.ScheduleEvents != nil {
		s.ScheduleEvents(r)
	}
	r.RunUntil(s.MeasureUntil() + 30*time.Second)
	return r
}

// MeasureUntil returns the end of the arrivals that count.
func (s Scenario) MeasureUntil() time.Duration { return max(s.To, warmUpTime+20*time.Second) }

// MeasureFrom returns the beginning of the arrivals that count.
func (s Scenario) MeasureFrom() time.Duration { return warmUpTime }

func burst(s *Setup) {
	extra := s.Customers[9]
	extra.Rate = 4 * Capacity(s.Backends)
	extra.From, extra.To = warmUpTime+5*time.Second, warmUpTime+7*time.Second
	s.Customers = append(s.Customers, extra)
}

// skew lets a small customer send 50 times its share: the basic plan has a quarter of the capacity,
// for seven customers.
func skew(s *Setup) {
	s.Customers[9].Rate = 50 * Capacity(s.Backends) / 4 / 7
}

func slowBackend(r *Run) {
	r.At(warmUpTime, func() { r.agents[r.vms[4]].backend.slowDown(10) })
}

func mixedSizes(s *Setup) {
	for i := range s.Customers {
		c := &s.Customers[i]
		c.LongFraction, c.LongFactor = 0.05, 8
		c.Rate /= 1 + c.LongFraction*(c.LongFactor-1)
		c.Deadline = 30 * time.Second
	}
}

func delayedReports(s *Setup) { s.ReportDelay = 2 * time.Second }

func allStartCold(s *Setup) {
	for i := range s.Backends {
		s.Backends[i].StartsWarm = false
		s.Backends[i].WarmsInOneStep = true
		s.Backends[i].WarmAfterCompletions = 20
	}
}

func retryStorm(s *Setup) {
	for i := range s.Customers {
		s.Customers[i].IgnoresRetryAfter = true
	}
}

func allTurnCold(r *Run) {
	r.At(warmUpTime, func() {
		for _, vm := range r.vms {
			r.agents[vm].backend.turnCold()
		}
	})
}
