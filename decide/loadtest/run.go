package loadtest

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/apricothub/apricothub/decide/admit"
	"github.com/apricothub/apricothub/decide/cold"
	"github.com/apricothub/apricothub/decide/place"
	"github.com/apricothub/apricothub/decide/shift"
)

// Policy selects the decisions that a run uses.
type Policy struct {
	Name string
	// Picker creates an entry's picker; nil means package place.
	Picker func(rng *rand.Rand) picker
	// Limiter creates an agent's limiter; nil means always the full limit.
	Limiter func(c cold.Config, now time.Duration) limiter
	// UseAdmission and UseShift enable packages admit and shift. Without them there is no
	// admission, the agents' queues ignore customers' shares, and a returned domain gets its full
	// weight at once.
	UseAdmission, UseShift bool
	// AdmissionConfig and PlacementConfig configure packages admit and place.
	AdmissionConfig admit.Config
	PlacementConfig place.Config
	// QueueLength is the length of an agent's queue. Default 12.
	QueueLength int
}

// CurrentPolicy returns the policy that the product uses.
func CurrentPolicy() Policy {
	return Policy{Name: "own", UseAdmission: true, UseShift: true, Limiter: currentLimiter}
}

func currentLimiter(c cold.Config, now time.Duration) limiter { return cold.New(c, now) }

// SecondVersionPolicy returns the second version of the product's policy. Its agents do not observe
// the gaps in streams, its queues are as long in lasting overload as in a burst, it trusts stale
// reports fully, and attempts stay queued at an agent when the limit falls.
func SecondVersionPolicy() Policy {
	p := CurrentPolicy()
	p.Name = "own, second version"
	p.Limiter = func(c cold.Config, now time.Duration) limiter { return limiterWithoutGaps{currentLimiter(c, now)} }
	p.AdmissionConfig.OverloadMaxWait = time.Hour
	p.PlacementConfig.TrustStaleReports = true
	p.QueueLength = secondVersionQueueLength
	return p
}

// secondVersionQueueLength is the length of an agent's queue in the first two versions.
const secondVersionQueueLength = 16

// limiterWithoutGaps hides the gapObserver of a limiter.
type limiterWithoutGaps struct{ limiter }

// FirstVersionPolicy returns the first version of the product's policy.
func FirstVersionPolicy() Policy {
	p := SecondVersionPolicy()
	p.Name = "own, first version"
	p.Limiter = func(c cold.Config, _ time.Duration) limiter { return newFirstVersionLimiter(c) }
	return p
}

// FullShareOnReturnPolicy returns the current policy, except that a returned domain restarts at its
// full share and its backend servers at their full limit.
func FullShareOnReturnPolicy() Policy {
	p := CurrentPolicy()
	p.Name = "own, return at full share"
	p.UseShift, p.Limiter = false, nil
	return p
}

// RoundRobinPolicy returns a baseline that sends to all backend servers in turn.
func RoundRobinPolicy() Policy {
	return Policy{Name: "round robin", Picker: func(*rand.Rand) picker { return newBaselinePicker(false) }}
}

// LeastConnectionsPolicy returns a baseline that sends to the backend server with the fewest
// requests in flight from the entry.
func LeastConnectionsPolicy() Policy {
	return Policy{Name: "least connections", Picker: func(*rand.Rand) picker { return newBaselinePicker(true) }}
}

// Setup describes a run. Zero times take their defaults.
type Setup struct {
	Seed      uint64
	Policy    Policy
	Entries   int
	Backends  []Backend
	Plans     []admit.PlanShare
	Customers []Customer
	// LinkDelay is the one-way delay between VMs. Default 1.5 ms.
	LinkDelay time.Duration
	// ReportInterval is the interval between load reports, ReportDelay their age on arrival.
	// Default 200 ms and LinkDelay.
	ReportInterval, ReportDelay time.Duration
	// StopArrivalsAt is when callers stop sending requests; 0 means never.
	StopArrivalsAt time.Duration
	// SuspectAfter is the time of silence after which a VM counts as gone. Default 600 ms.
	SuspectAfter time.Duration
	// SubsetSize is the number of backend servers that each entry is linked to; 0 means all.
	SubsetSize int
	// FirstEntryFraction is the fraction of the callers that stay with the first entry; 0 means an
	// even spread.
	FirstEntryFraction float64
}

// Run is one run in virtual time.
type Run struct {
	setup    Setup
	clock    clock
	rng      *rand.Rand
	entries  []*entry
	agents   map[string]*agent
	vms      []string
	domains  []string
	attempts uint64
	requests []*request
	// customerWeights holds the customers' shares of the capacity.
	customerWeights map[string]float64
	// lostInFlight counts non-repeatable requests that were in flight at a VM when it died.
	lostInFlight int
	// entriesPerServer counts the entries of each backend server when entries are linked to
	// subsets.
	entriesPerServer map[string]int
}

// New returns a run of a setup.
func New(s Setup) *Run {
	if s.LinkDelay == 0 {
		s.LinkDelay = 1500 * time.Microsecond
	}
	if s.ReportInterval == 0 {
		s.ReportInterval = 200 * time.Millisecond
	}
	if s.SuspectAfter == 0 {
		s.SuspectAfter = 600 * time.Millisecond
	}
	s.ReportDelay = max(s.ReportDelay, s.LinkDelay)
	r := &Run{setup: s, rng: rand.New(rand.NewPCG(s.Seed, 1)), agents: make(map[string]*agent)}
	r.customerWeights = admit.Shares(s.Plans, s.customerShares())
	r.addAgents()
	for i := range s.Entries {
		r.addEntry(i)
	}
	for i := range s.Customers {
		r.addCustomer(s.Customers[i])
	}
	return r
}

// customerShares returns the customers in the form that admission takes.
func (s Setup) customerShares() []admit.CustomerShare {
	var shares []admit.CustomerShare
	for _, c := range s.Customers {
		shares = append(shares, admit.CustomerShare{Name: c.Name, Plan: c.Plan, Weight: max(c.Weight, 1), Burst: 32})
	}
	return shares
}

func (r *Run) addAgents() {
	seen := map[string]bool{}
	for i, spec := range r.setup.Backends {
		a := r.newAgent(spec)
		a.fairQueue = r.setup.Policy.UseAdmission
		r.agents[spec.VM] = a
		r.vms = append(r.vms, spec.VM)
		if !seen[spec.Domain] {
			seen[spec.Domain] = true
			r.domains = append(r.domains, spec.Domain)
		}
		stagger := r.setup.ReportInterval * time.Duration(i) / time.Duration(len(r.setup.Backends))
		r.clock.every(stagger, r.setup.ReportInterval, func() { r.report(a) })
	}
	sort.Strings(r.domains)
}

func (r *Run) newAgent(spec Backend) *agent {
	length := r.setup.Policy.QueueLength
	if length == 0 {
		length = defaultQueueLength
	}
	return newAgent(&r.clock, spec, r.limiter(spec), length)
}

func (r *Run) limiter(spec Backend) limiter {
	if r.setup.Policy.Limiter == nil {
		return &fixedLimiter{full: spec.WarmCapacity}
	}
	return r.setup.Policy.Limiter(cold.Config{ColdLimit: spec.ColdCapacity, FullLimit: spec.WarmCapacity}, r.clock.now)
}

func (r *Run) report(a *agent) {
	if a.dead {
		return
	}
	a.limit.Tick(r.clock.now)
	a.startQueued()
	report := a.report(a.backend.WarmCapacity)
	report.Age = r.setup.ReportDelay
	r.clock.after(r.setup.ReportDelay, func() {
		for _, e := range r.entries {
			e.table.Report(a.backend.VM, r.clock.now, report)
		}
	})
}

func (r *Run) addEntry(i int) {
	rng := rand.New(rand.NewPCG(r.setup.Seed, uint64(100+i)))
	e := &entry{run: r, inFlight: make(map[uint64]*attempt), pending: make(map[uint64]*request)}
	p := r.setup.Policy
	if p.Picker != nil {
		e.table = p.Picker(rng)
	} else {
		cfg := p.PlacementConfig
		cfg.TrustStaleReports = cfg.TrustStaleReports || r.setup.SubsetSize > 0
		e.table = place.NewTable(rng, cfg)
	}
	var servers []place.Server
	for _, b := range r.setup.linkedBackends(i) {
		servers = append(servers, place.Server{VM: b.VM, Domain: b.Domain, Offers: []string{offerKey}, Weight: 1})
	}
	e.table.SetServers(servers)
	if p.UseAdmission {
		e.admitter = admit.New(p.AdmissionConfig)
		e.admitter.SetPlans(r.setup.Plans, r.setup.customerShares())
	}
	if p.UseShift {
		e.shifter = shift.New(shift.Config{})
	}
	r.entries = append(r.entries, e)
	r.clock.every(time.Duration(i)*time.Millisecond, 50*time.Millisecond, e.tick)
}

// Setup returns the setup of the run, with its defaults.
func (r *Run) Setup() Setup { return r.setup }

// At schedules an event at a time of the run.
func (r *Run) At(at time.Duration, event func()) { r.clock.after(at-r.clock.now, event) }

// RunUntil runs up to a time.
func (r *Run) RunUntil(end time.Duration) { r.clock.runUntil(end) }

// MarkDomain takes a failure domain out of service, or returns it in cold start.
func (r *Run) MarkDomain(domain string, out bool) {
	for _, a := range r.agents {
		if a.backend.Domain != domain {
			continue
		}
		a.outOfService = out
		if !out {
			a.backend.turnCold()
			a.limit.AssumeCold()
		}
	}
	for _, e := range r.entries {
		e.markDomain(domain, out)
	}
}

func (e *entry) markDomain(domain string, out bool) {
	now := e.run.clock.now
	switch {
	case e.shifter == nil && out:
		e.table.SetDomainWeight(domain, 0)
	case e.shifter == nil:
		e.table.SetDomainWeight(domain, 1)
	case out:
		e.shifter.Leave(now, domain)
	default:
		e.shifter.Return(now, domain)
	}
}

// KillDomain ends a failure domain without notification. Entries detect it by its silence.
func (r *Run) KillDomain(domain string) {
	for _, vm := range r.vms {
		if a := r.agents[vm]; a.backend.Domain == domain {
			a.dead = true
			a.backend.die()
		}
	}
	r.clock.after(r.setup.SuspectAfter, func() {
		for _, e := range r.entries {
			e.loseDomain(domain)
		}
	})
}

func (e *entry) loseDomain(domain string) {
	if e.shifter != nil {
		e.shifter.Drop(e.run.clock.now, domain)
	}
	var lost []*attempt
	for _, t := range e.inFlight {
		if t.agent.backend.Domain == domain {
			lost = append(lost, t)
		}
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].id < lost[j].id })
	for _, vm := range e.run.vms {
		if e.run.agents[vm].backend.Domain == domain {
			e.table.SetSuspect(vm, true)
		}
	}
	for _, t := range lost {
		if !t.repeatable {
			e.run.lostInFlight++
		}
		e.handleLoss(t)
	}
	e.tick()
}

// ReviveDomain restarts a dead failure domain, in cold start and with new agents.
func (r *Run) ReviveDomain(domain string) {
	for _, vm := range r.vms {
		a := r.agents[vm]
		if a.backend.Domain != domain {
			continue
		}
		a.dead = false
		a.backend.revive()
		restarted := r.newAgent(a.backend.Backend)
		a.limit, a.queue, a.queued = restarted.limit, restarted.queue, restarted.queued
	}
	for _, e := range r.entries {
		if e.shifter != nil {
			e.shifter.Return(r.clock.now, domain)
		}
		for _, vm := range r.vms {
			if r.agents[vm].backend.Domain == domain {
				e.table.SetSuspect(vm, false)
			}
		}
	}
}
