package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/registry"
	"github.com/apricothub/apricothub/decide/admit"
	"github.com/apricothub/apricothub/decide/arrivals"
	"github.com/apricothub/apricothub/decide/eject"
	"github.com/apricothub/apricothub/decide/place"
	"github.com/apricothub/apricothub/decide/silence"
	"github.com/apricothub/apricothub/internal/experts"
	"github.com/apricothub/apricothub/internal/routing"
)

const (
	// serverQueueRatio is the part of its concurrency that may wait at a backend server beyond it:
	// enough that none idles for the age of what entries know of each other. What waits at
	// an entry can still go to any server, or be told to come back.
	serverQueueRatio = 0.25
	// workTimeSamples is the number of requests over which the time of the work is averaged.
	workTimeSamples = 16
	// retryBudgetShare is the part of the retry budget of all entries that this process plans
	// with: entries that have just come or gone are counted late.
	retryBudgetShare = 0.8
)

// limits is what all entries together may do to a service or a backend server.
type limits struct {
	coldMaxRatio, coldSlack float64
	retryRatio              float64
	retryReserve            float64
}

// fleet is what this process knows of the backend servers. It is safe for use by many
// goroutines.
type fleet struct {
	limits limits

	mu              sync.Mutex
	rng             *rand.Rand
	table           *place.Table
	ejector         *eject.Tracker
	silenceDetector *silence.Detector
	servers         map[string]*server
	budgets         map[string]*place.RetryBudget
	// entries is the number of live entries, maybeLive that of those that may be at work, this
	// one included.
	entries, maybeLive int

	admitter *admit.Admitter
	queue    map[uint64]*queuedRequest
	lastID   uint64
	// teamsVersion is the version of the configuration that the admitter's teams are of.
	teamsVersion int64
	// engines are the services whose servers are engines.
	engines map[string]bool
	// refusing are the services of which this entry has seen itself that no server takes work.
	refusing map[string]bool
	// registered is what all servers of a service can hold, whether they may get work now or
	// not, and running this entry's requests there.
	registered, running map[string]int
	// queued are the requests of a service that wait here, rooms what was last counted.
	queued     map[string]int
	slotStates map[string]slotState

	logger log.Logger
	// ejections counts how often a server was left out.
	ejections metrics.Counter
}

// server is one backend server.
type server struct {
	registry.Server
	service *routing.Service
	// isLeaving says that it gets no new work, since it drains or its failure domain is out.
	isLeaving bool
	// ownInFlight is this process's work there, othersInFlight that of the other entries.
	ownInFlight, othersInFlight int
	workTime                    time.Duration
	// slowdown is how many times slower than usual it is, by its own word; closed says that it
	// takes no work now.
	slowdown float64
	closed   bool
	// arrivals bounds the requests a second; nil where there is no bound.
	arrivals *arrivals.Share
}

func newFleet(l limits, rng *rand.Rand) *fleet {
	return &fleet{
		limits: l,
		rng:    rng,
		// Reports here are the other entries' own counts, a fraction of a second old.
		table:           place.NewTable(rng, place.Config{QueueRatio: serverQueueRatio, TrustStaleReports: true}),
		ejector:         eject.New(eject.Config{}),
		silenceDetector: silence.New(silence.Config{}),
		engines:         make(map[string]bool),
		servers:         make(map[string]*server),
		budgets:         make(map[string]*place.RetryBudget),
		entries:         1,
		maybeLive:       1,
		admitter:        admit.New(admit.Config{Queue: maxQueued, MaxWait: maxQueueWait, MostRetry: maxRetryAfter}),
		queue:           make(map[uint64]*queuedRequest),
		running:         make(map[string]int),
		queued:          make(map[string]int),
		slotStates:      make(map[string]slotState),
		logger:          log.NewNopLogger(),
		ejections:       metrics.NilCounter{},
		refusing:        make(map[string]bool),
	}
}

func offer(service string) string { return "service:" + service }

// entryCounts is how many entries there are, this one included.
type entryCounts struct {
	// live are heard, maybeLive are at work for all that is known.
	live, maybeLive int
}

// setServers replaces the backend servers, with the failure domains that operators have taken out
// and the number of entries.
func (f *fleet) setServers(registrations []registry.Registration, domainsOut map[string]bool, cfg *routing.Table, counts entryCounts, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = max(counts.live, 1)
	f.maybeLive = max(counts.maybeLive, f.entries)
	f.setTeams(cfg)
	f.registered = make(map[string]int)
	f.engines = make(map[string]bool)
	for service := range f.slotStates {
		if cfg.Service(service) == nil {
			delete(f.slotStates, service)
		}
	}
	old := f.servers
	f.servers = make(map[string]*server, len(registrations))
	placed := make([]place.Server, 0, len(registrations))
	for _, r := range registrations {
		service := cfg.Service(r.Service)
		if service == nil {
			continue
		}
		s := old[r.ID]
		if s == nil {
			s = &server{}
		}
		if s.StartedAtUnixMs != r.StartedAtUnixMs {
			s.workTime = 0
		}
		s.Server = r.Server
		s.service = service
		f.engines[r.Service] = service.Engine != nil
		f.limitArrivals(s, now)
		f.servers[r.ID] = s
		weight := 1.0
		s.isLeaving = r.Draining || domainsOut[r.FailureDomain]
		if s.isLeaving {
			weight = 0
		} else {
			f.registered[r.Service] += r.Concurrency
		}
		placed = append(placed, place.Server{VM: r.ID, Domain: r.FailureDomain, Offers: []string{offer(r.Service)}, Weight: weight})
	}
	f.table.SetServers(placed)
	known := func(id string) bool { return f.servers[id] != nil }
	f.ejector.Retain(known)
	f.silenceDetector.Retain(known)
	f.updatePlacement(now)
}

// limitArrivals sets how many requests a second this entry sends to a server.
//
// Load: a backend server that is cold, or turns cold without a word, while others are gone
// and their work comes to it. Harm prevented: it falls over. The bound is for all entries
// together; each keeps to its part without asking, and does so also while the server is
// taken as warm, since what a server says of itself is late.
func (f *fleet) limitArrivals(s *server, now time.Duration) {
	if s.service.ColdRate <= 0 {
		s.arrivals = nil
		return
	}
	limit := arrivals.Limit{Rate: s.service.ColdRate, MaxRatio: f.limits.coldMaxRatio, Slack: f.limits.coldSlack}
	if s.arrivals == nil {
		s.arrivals = arrivals.NewShare(limit, f.maybeLive, f.rng.Float64(), now)
		return
	}
	s.arrivals.Set(limit, f.maybeLive, now)
}

// setPeerReports takes the work of the other entries by server, and the servers that are slow.
func (f *fleet) setPeerReports(others map[string]int, paces map[string]experts.Pace, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.servers {
		s.othersInFlight = others[id]
		f.setSlowdown(id, s, paces[id])
	}
	f.updatePlacement(now)
}

// setSlowdown takes in how slow a server is. The caller holds the lock.
func (f *fleet) setSlowdown(id string, s *server, p experts.Pace) {
	oldLimit, wasClosed := s.inFlightLimit(), s.closed
	s.slowdown, s.closed = p.Slower, p.Closed
	if s.inFlightLimit() != oldLimit || s.closed != wasClosed {
		_ = level.Info(f.logger).Log("msg", "A backend server gets work by its pace.", "server", id, "service", s.Service,
			"pace", s.slowdown, "closed", s.closed, "limit", s.inFlightLimit())
	}
}

// inFlightLimit is the number of requests to have at a server at once.
//
// Load: one engine of a lock-step group that is several times slower. Harm prevented: all
// ranks wait in every pass for what it reads and writes for its own requests. It gets the
// fewer the slower it is, none from some two times on; its part of the experts is moved
// elsewhere, too.
func (s *server) inFlightLimit() int {
	slowdown := max(s.slowdown, 1)
	return int(float64(s.Concurrency) / (slowdown * slowdown * slowdown))
}

// isTooSlow says whether a server is too slow for any request. When all of its service are, none
// is: slow answers are better than none.
func (s *server) isTooSlow(hasFast map[string]bool) bool {
	return s.inFlightLimit() == 0 && hasFast[s.Service]
}

// updatePlacement tells the placement what is known of each server. The caller holds the lock.
func (f *fleet) updatePlacement(now time.Duration) {
	unavailable := make(map[string]int)
	total := make(map[string]int)
	// hasFast are the services that have a server which is fast enough and may get work.
	hasFast := make(map[string]bool)
	for id, s := range f.servers {
		total[s.Service]++
		if f.isUnavailable(id, now) {
			unavailable[s.Service]++
		} else if s.inFlightLimit() > 0 && !s.closed && !s.isLeaving {
			hasFast[s.Service] = true
		}
	}
	for id, s := range f.servers {
		if s.arrivals != nil {
			s.arrivals.Tick(now)
		}
		f.table.Report(id, now, place.Report{
			Limit: s.inFlightLimit(), FullLimit: s.Concurrency, Running: s.ownInFlight + s.othersInFlight, WorkTime: s.workTime,
		})
		// When all of a service fail, something else is at fault, and none is worse than
		// the others.
		f.table.SetSuspect(id, s.closed || s.isTooSlow(hasFast) || f.refusing[s.Service] || f.isUnavailable(id, now) && unavailable[s.Service] < total[s.Service])
	}
	f.updateCapacity(now)
}

// isUnavailable says whether a server is left out for what it does: it fails, or its VM is silent. The
// caller holds the lock.
func (f *fleet) isUnavailable(id string, now time.Duration) bool {
	return f.ejector.Ejected(id, now) || f.silenceDetector.IsSilent(id)
}

// pickRequest is what placing a request takes.
type pickRequest struct {
	service  string
	tried    []string
	timeLeft time.Duration
}

// placement is a backend server that a request goes to, with what was known of it then.
type placement struct {
	registry.Server
	// inFlight are the requests there, this one included, and limit the most to have there.
	inFlight, limit int
}

// pick chooses a backend server and counts the request as sent there; end it with done. The
// caller holds the lock.
func (f *fleet) pick(req pickRequest, now time.Duration) (placement, api.ResultCode) {
	avoid := append([]string(nil), req.tried...)
	skippedCold := false
	for {
		id, code := f.table.Pick(now, place.Request{Offer: offer(req.service), Avoid: avoid, TimeLeft: req.timeLeft})
		if code != api.ResultCode_OK {
			if skippedCold {
				code = api.ResultCode_COLD
			}
			return placement{}, code
		}
		s := f.servers[id]
		if s.arrivals != nil && !s.arrivals.Allow(now) {
			avoid = append(avoid, id)
			skippedCold = true
			continue
		}
		s.ownInFlight++
		f.table.Started(id, now)
		return placement{Server: s.Server, inFlight: s.ownInFlight + s.othersInFlight, limit: s.inFlightLimit()}, api.ResultCode_OK
	}
}

// serverLoad is one server with this entry's requests there.
type serverLoad struct {
	id       string
	inFlight int
}

// loads returns this entry's own requests at each server that has any.
func (f *fleet) loads() []serverLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var loads []serverLoad
	for id, s := range f.servers {
		if s.ownInFlight > 0 {
			loads = append(loads, serverLoad{id, s.ownInFlight})
		}
	}
	return loads
}

// maxConnections is the number of maxConnections that this entry may have to a server.
func (f *fleet) maxConnections(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil || s.service.MaxConnections == 0 {
		return 0
	}
	return max(1, s.service.MaxConnections/f.maybeLive)
}

// hasUsableServer says whether any backend server may get work.
func (f *fleet) hasUsableServer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if !s.Draining {
			return true
		}
	}
	return false
}

func (f *fleet) isKnown(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[id] != nil
}
