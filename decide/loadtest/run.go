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

// Policy says which decisions a run uses.
type Policy struct {
	Name string
	// Picker makes an entry's placement; nil means package place.
	Picker func(rng *rand.Rand) picker
	// Limiter makes an agent's limiter; nil means always the full limit.
	Limiter func(c cold.Config, now time.Duration) limiter
	// Admit and Shift use the packages of those names; false means no admission and
	// no shares in the agents' queues, and whole weight at once.
	Admit, Shift bool
	// Admission and Placement are the limits of those packages.
	Admission admit.Config
	Placement place.Config
	// Queue is the length of an agent's queue. Default 12.
	Queue int
}

// Own is the policy of this project.
func Own() Policy {
	return Policy{Name: "own", Admit: true, Shift: true, Limiter: ownLimiter}
}

func ownLimiter(c cold.Config, now time.Duration) limiter { return cold.New(c, now) }

// Second is the second version of the own policy: its agents see no pace of streams, its
// queues are as long in standing overload as in a burst, it takes late reports at their
// word, and what waits at an agent stays there when the limit falls.
func Second() Policy {
	p := Own()
	p.Name = "own, second version"
	p.Limiter = func(c cold.Config, now time.Duration) limiter { return paceless{ownLimiter(c, now)} }
	p.Admission.LastingWait = time.Hour
	p.Placement.TrustStaleReports = true
	p.Queue = secondQueue
	return p
}

// secondQueue is the length of an agent's queue in the first two versions.
const secondQueue = 16

// paceless hides the pace of streams from a limiter.
type paceless struct{ limiter }

// First is the first version of the own policy.
func First() Policy {
	p := Second()
	p.Name = "own, first version"
	p.Limiter = func(c cold.Config, _ time.Duration) limiter { return newFirstLimit(c) }
	return p
}

// FullShare is the own policy, but a returned domain restarts at its full share
// and its backend servers at their full limit.
func FullShare() Policy {
	p := Own()
	p.Name = "own, return at full share"
	p.Shift, p.Limiter = false, nil
	return p
}

// RoundRobin and LeastConnections are the plain policies to compare with.
func RoundRobin() Policy {
	return Policy{Name: "round robin", Picker: func(*rand.Rand) picker { return newPlain(false) }}
}

// LeastConnections sends to where the entry has the least in flight.
func LeastConnections() Policy {
	return Policy{Name: "least connections", Picker: func(*rand.Rand) picker { return newPlain(true) }}
}

// Setup describes a run. Zero times take their defaults.
type Setup struct {
	Seed      uint64
	Policy    Policy
	Entries   int
	Backends  []Backend
	Plans     []admit.PlanShare
	Customers []Customer
	// Link is the time one way between VMs, default 1.5 ms.
	Link time.Duration
	// ReportEvery and ReportLag are the period and the age on arrival of load
	// reports, default 200 ms and the link's time.
	ReportEvery, ReportLag time.Duration
	// Stop is when callers stop asking; 0 means never.
	Stop time.Duration
	// Suspect is the silence after which a VM counts as gone, default 600 ms.
	Suspect time.Duration
	// Subset is the number of backend servers that each entry is linked to; 0 for all.
	Subset int
	// Favoured is the part of the callers that keep to the first entry; 0 for an even
	// spread.
	Favoured float64
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
	// weights are the customers' shares of the capacity.
	weights map[string]float64
	// unresumed counts requests that were in flight at a VM that died, and that
	// may not be repeated.
	unresumed int
	// entriesOf counts the entries of each backend server when they have subsets.
	entriesOf map[string]int
}

// New builds a run.
func New(s Setup) *Run {
	if s.Link == 0 {
		s.Link = 1500 * time.Microsecond
	}
	if s.ReportEvery == 0 {
		s.ReportEvery = 200 * time.Millisecond
	}
	if s.Suspect == 0 {
		s.Suspect = 600 * time.Millisecond
	}
	s.ReportLag = max(s.ReportLag, s.Link)
	r := &Run{setup: s, rng: rand.New(rand.NewPCG(s.Seed, 1)), agents: make(map[string]*agent)}
	r.weights = admit.Shares(s.Plans, s.customerShares())
	r.addAgents()
	for i := range s.Entries {
		r.addEntry(i)
	}
	for i := range s.Customers {
		r.addCustomer(s.Customers[i])
	}
	return r
}

// customerShares are the customers as admission takes them.
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
		a.shares = r.setup.Policy.Admit
		r.agents[spec.VM] = a
		r.vms = append(r.vms, spec.VM)
		if !seen[spec.Domain] {
			seen[spec.Domain] = true
			r.domains = append(r.domains, spec.Domain)
		}
		stagger := r.setup.ReportEvery * time.Duration(i) / time.Duration(len(r.setup.Backends))
		r.clock.every(stagger, r.setup.ReportEvery, func() { r.report(a) })
	}
	sort.Strings(r.domains)
}

func (r *Run) newAgent(spec Backend) *agent {
	length := r.setup.Policy.Queue
	if length == 0 {
		length = usualQueue
	}
	return newAgent(&r.clock, spec, r.limiter(spec), length)
}

func (r *Run) limiter(spec Backend) limiter {
	if r.setup.Policy.Limiter == nil {
		return &fixedLimit{full: spec.Full}
	}
	return r.setup.Policy.Limiter(cold.Config{Cold: spec.Cold, Full: spec.Full}, r.clock.now)
}

func (r *Run) report(a *agent) {
	if a.dead {
		return
	}
	a.limit.Tick(r.clock.now)
	a.next()
	report := a.report(a.backend.Full)
	report.Age = r.setup.ReportLag
	r.clock.after(r.setup.ReportLag, func() {
		for _, e := range r.entries {
			e.table.Report(a.backend.VM, r.clock.now, report)
		}
	})
}

func (r *Run) addEntry(i int) {
	rng := rand.New(rand.NewPCG(r.setup.Seed, uint64(100+i)))
	e := &entry{run: r, open: make(map[uint64]*attempt), pending: make(map[uint64]*request)}
	p := r.setup.Policy
	if p.Picker != nil {
		e.table = p.Picker(rng)
	} else {
		cfg := p.Placement
		cfg.TrustStaleReports = cfg.TrustStaleReports || r.setup.Subset > 0
		e.table = place.NewTable(rng, cfg)
	}
	var servers []place.Server
	for _, b := range r.setup.linked(i) {
		servers = append(servers, place.Server{VM: b.VM, Domain: b.Domain, Offers: []string{offerKey}, Weight: 1})
	}
	e.table.SetServers(servers)
	if p.Admit {
		e.admit = admit.New(p.Admission)
		e.admit.SetPlans(r.setup.Plans, r.setup.customerShares())
	}
	if p.Shift {
		e.shift = shift.New(shift.Config{})
	}
	r.entries = append(r.entries, e)
	r.clock.every(time.Duration(i)*time.Millisecond, 50*time.Millisecond, e.tick)
}

// Setup is what the run was built from.
func (r *Run) Setup() Setup { return r.setup }

// At lets something happen at a time of the run.
func (r *Run) At(at time.Duration, what func()) { r.clock.after(at-r.clock.now, what) }

// Until runs up to a time.
func (r *Run) Until(end time.Duration) { r.clock.until(end) }

// Mark takes a failure domain out of service, or brings it back in cold start.
func (r *Run) Mark(domain string, out bool) {
	for _, a := range r.agents {
		if a.backend.Domain != domain {
			continue
		}
		a.out = out
		if !out {
			a.backend.turnCold()
			a.limit.AssumeCold()
		}
	}
	for _, e := range r.entries {
		e.mark(domain, out)
	}
}

func (e *entry) mark(domain string, out bool) {
	now := e.run.clock.now
	switch {
	case e.shift == nil && out:
		e.table.SetDomainWeight(domain, 0)
	case e.shift == nil:
		e.table.SetDomainWeight(domain, 1)
	case out:
		e.shift.Leave(now, domain)
	default:
		e.shift.Return(now, domain)
	}
}

// Kill ends a failure domain without a word. Entries learn it by silence.
func (r *Run) Kill(domain string) {
	for _, vm := range r.vms {
		if a := r.agents[vm]; a.backend.Domain == domain {
			a.dead = true
			a.backend.die()
		}
	}
	r.clock.after(r.setup.Suspect, func() {
		for _, e := range r.entries {
			e.loseDomain(domain)
		}
	})
}

func (e *entry) loseDomain(domain string) {
	if e.shift != nil {
		e.shift.Drop(e.run.clock.now, domain)
	}
	var lost []*attempt
	for _, t := range e.open {
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
			e.run.unresumed++
		}
		e.lost(t)
	}
	e.tick()
}

// Revive brings a dead failure domain back, in cold start and with new agents.
func (r *Run) Revive(domain string) {
	for _, vm := range r.vms {
		a := r.agents[vm]
		if a.backend.Domain != domain {
			continue
		}
		a.dead = false
		a.backend.revive()
		fresh := r.newAgent(a.backend.Backend)
		a.limit, a.queue, a.waiting = fresh.limit, fresh.queue, fresh.waiting
	}
	for _, e := range r.entries {
		if e.shift != nil {
			e.shift.Return(r.clock.now, domain)
		}
		for _, vm := range r.vms {
			if r.agents[vm].backend.Domain == domain {
				e.table.SetSuspect(vm, false)
			}
		}
	}
}
