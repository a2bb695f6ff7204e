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
	// queueRoom is the part of its concurrency that may wait at a backend server beyond it:
	// enough that none idles for the age of what entries know of each other. What waits at
	// an entry can still go to any server, or be told to come back.
	queueRoom = 0.25
	// workWeight is the number of requests over which the time of the work is averaged.
	workWeight = 16
	// retryShare is the part of the retry budget of all entries that this process plans
	// with: entries that have just come or gone are counted late.
	retryShare = 0.8
)

// bounds is what all entries together may do to a service or a backend server.
type bounds struct {
	coldOver, coldSlack float64
	retryRatio          float64
	retrySlack          float64
}

// fleet is what this process knows of the backend servers. It is safe for use by many
// goroutines.
type fleet struct {
	bounds bounds

	mu      sync.Mutex
	rng     *rand.Rand
	table   *place.Table
	judge   *eject.Tracker
	watch   *silence.Detector
	servers map[string]*server
	budgets map[string]*place.RetryBudget
	// entries is the number of live entries, mayLive that of those that may be at work, this
	// one included.
	entries, mayLive int

	admitter *admit.Admitter
	waiting  map[uint64]*waiter
	lastID   uint64
	// teamsOf is the version of the configuration that the admitter's teams are of.
	teamsOf int64
	// engines are the services whose servers are engines.
	engines map[string]bool
	// shut are the services of which this entry has seen itself that no server takes work.
	shut map[string]bool
	// registered is what all servers of a service can hold, whether they may get work now or
	// not, and running this entry's requests there.
	registered, running map[string]int
	// queued are the requests of a service that wait here, rooms what was last counted.
	queued map[string]int
	rooms  map[string]room

	logger log.Logger
	// leftOut counts how often a server was left out.
	leftOut metrics.Counter
}

// server is one backend server.
type server struct {
	registry.Server
	service *routing.Service
	// leaves says that it gets no new work, since it drains or its failure domain is out.
	leaves bool
	// own is this process's work there, others that of the other entries.
	own, others int
	work        time.Duration
	// pace is how many times slower than usual it is, by its own word; closed says that it
	// takes no work now.
	pace   float64
	closed bool
	// arrivals bounds the requests a second; nil where there is no bound.
	arrivals *arrivals.Share
}

func newFleet(b bounds, rng *rand.Rand) *fleet {
	return &fleet{
		bounds: b,
		rng:    rng,
		// Reports here are the other entries' own counts, a fraction of a second old.
		table:    place.NewTable(rng, place.Config{QueueRatio: queueRoom, TrustStaleReports: true}),
		judge:    eject.New(eject.Config{}),
		watch:    silence.New(silence.Config{}),
		engines:  make(map[string]bool),
		servers:  make(map[string]*server),
		budgets:  make(map[string]*place.RetryBudget),
		entries:  1,
		mayLive:  1,
		admitter: admit.New(admit.Config{MaxQueue: mostWaiting, MaxWait: longestWait, MaxRetryAfter: comeBackMost}),
		waiting:  make(map[uint64]*waiter),
		running:  make(map[string]int),
		queued:   make(map[string]int),
		rooms:    make(map[string]room),
		logger:   log.NewNopLogger(),
		leftOut:  metrics.NilCounter{},
		shut:     make(map[string]bool),
	}
}

func offer(service string) string { return "service:" + service }

// census is how many entries there are, this one included.
type census struct {
	// live are heard, mayLive are at work for all that is known.
	live, mayLive int
}

// set replaces the backend servers, with the failure domains that operators have taken out
// and the number of entries.
func (f *fleet) set(entries []registry.Registration, out map[string]bool, cfg *routing.Table, n census, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = max(n.live, 1)
	f.mayLive = max(n.mayLive, f.entries)
	f.setTeams(cfg)
	f.registered = make(map[string]int)
	f.engines = make(map[string]bool)
	for service := range f.rooms {
		if cfg.Service(service) == nil {
			delete(f.rooms, service)
		}
	}
	old := f.servers
	f.servers = make(map[string]*server, len(entries))
	placed := make([]place.Server, 0, len(entries))
	for _, e := range entries {
		service := cfg.Service(e.Service)
		if service == nil {
			continue
		}
		s := old[e.ID]
		if s == nil {
			s = &server{}
		}
		if s.StartedAtUnixMs != e.StartedAtUnixMs {
			s.work = 0
		}
		s.Server = e.Server
		s.service = service
		f.engines[e.Service] = service.Engine != nil
		f.boundArrivals(s, now)
		f.servers[e.ID] = s
		weight := 1.0
		s.leaves = e.Draining || out[e.FailureDomain]
		if s.leaves {
			weight = 0
		} else {
			f.registered[e.Service] += e.Concurrency
		}
		placed = append(placed, place.Server{VM: e.ID, Domain: e.FailureDomain, Offers: []string{offer(e.Service)}, Weight: weight})
	}
	f.table.SetServers(placed)
	known := func(id string) bool { return f.servers[id] != nil }
	f.judge.Retain(known)
	f.watch.Retain(known)
	f.refresh(now)
}

// boundArrivals sets how many requests a second this entry sends to a server.
//
// Load: a backend server that is cold, or turns cold without a word, while others are gone
// and their work comes to it. Harm prevented: it falls over. The bound is for all entries
// together; each keeps to its part without asking, and does so also while the server is
// taken as warm, since what a server says of itself is late.
func (f *fleet) boundArrivals(s *server, now time.Duration) {
	if s.service.ColdRate <= 0 {
		s.arrivals = nil
		return
	}
	bound := arrivals.Limit{Rate: s.service.ColdRate, MaxRatio: f.bounds.coldOver, Slack: f.bounds.coldSlack}
	if s.arrivals == nil {
		s.arrivals = arrivals.NewShare(bound, f.mayLive, f.rng.Float64(), now)
		return
	}
	s.arrivals.Set(bound, f.mayLive, now)
}

// setOthers takes the work of the other entries by server, and the servers that are slow.
func (f *fleet) setOthers(others map[string]int, paces map[string]experts.Impairment, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.servers {
		s.others = others[id]
		f.setPace(id, s, paces[id])
	}
	f.refresh(now)
}

// setPace takes in how slow a server is. The caller holds the lock.
func (f *fleet) setPace(id string, s *server, p experts.Impairment) {
	limit, closed := s.limit(), s.closed
	s.pace, s.closed = p.Slowdown, p.Closed
	if s.limit() != limit || s.closed != closed {
		_ = level.Info(f.logger).Log("msg", "A backend server gets work by its pace.", "server", id, "service", s.Service,
			"pace", s.pace, "closed", s.closed, "limit", s.limit())
	}
}

// limit is the number of requests to have at a server at once.
//
// Load: one engine of a lock-step group that is several times slower. Harm prevented: all
// ranks wait in every pass for what it reads and writes for its own requests. It gets the
// fewer the slower it is, none from some two times on; its part of the experts is moved
// elsewhere, too.
func (s *server) limit() int {
	slower := max(s.pace, 1)
	return int(float64(s.Concurrency) / (slower * slower * slower))
}

// spared says whether a server is too slow for any request. When all of its service are, none
// is: slow answers are better than none.
func (s *server) spared(paced map[string]bool) bool {
	return s.limit() == 0 && paced[s.Service]
}

// refresh tells the placement what is known of each server. The caller holds the lock.
func (f *fleet) refresh(now time.Duration) {
	out := make(map[string]int)
	all := make(map[string]int)
	// paced are the services that have a server which is fast enough and may get work.
	paced := make(map[string]bool)
	for id, s := range f.servers {
		all[s.Service]++
		if f.isOut(id, now) {
			out[s.Service]++
		} else if s.limit() > 0 && !s.closed && !s.leaves {
			paced[s.Service] = true
		}
	}
	for id, s := range f.servers {
		if s.arrivals != nil {
			s.arrivals.Tick(now)
		}
		f.table.Report(id, now, place.Report{
			Limit: s.limit(), FullLimit: s.Concurrency, Running: s.own + s.others, WorkTime: s.work,
		})
		// When all of a service fail, something else is at fault, and none is worse than
		// the others.
		f.table.SetSuspect(id, s.closed || s.spared(paced) || f.shut[s.Service] || f.isOut(id, now) && out[s.Service] < all[s.Service])
	}
	f.admit(now)
}

// isOut says whether a server is left out for what it does: it fails, or its VM is silent. The
// caller holds the lock.
func (f *fleet) isOut(id string, now time.Duration) bool {
	return f.judge.Ejected(id, now) || f.watch.IsSilent(id)
}

// need is what placing a request takes.
type need struct {
	service string
	tried   []string
	left    time.Duration
}

// placement is a backend server that a request goes to, with what was known of it then.
type placement struct {
	registry.Server
	// running are the requests there, this one included, and limit the most to have there.
	running, limit int
}

// pick chooses a backend server and counts the request as sent there; end it with done. The
// caller holds the lock.
func (f *fleet) pick(n need, now time.Duration) (placement, api.ResultCode) {
	avoid := append([]string(nil), n.tried...)
	cold := false
	for {
		id, code := f.table.Pick(now, place.Request{Offer: offer(n.service), Avoid: avoid, TimeLeft: n.left})
		if code != api.ResultCode_OK {
			if cold {
				code = api.ResultCode_COLD
			}
			return placement{}, code
		}
		s := f.servers[id]
		if s.arrivals != nil && !s.arrivals.Allow(now) {
			avoid = append(avoid, id)
			cold = true
			continue
		}
		s.own++
		f.table.Started(id, now)
		return placement{Server: s.Server, running: s.own + s.others, limit: s.limit()}, api.ResultCode_OK
	}
}

// load is one server with this entry's requests there.
type load struct {
	id       string
	inFlight int
}

// loads returns this entry's own requests at each server that has any.
func (f *fleet) loads() []load {
	f.mu.Lock()
	defer f.mu.Unlock()
	var loads []load
	for id, s := range f.servers {
		if s.own > 0 {
			loads = append(loads, load{id, s.own})
		}
	}
	return loads
}

// connections is the number of connections that this entry may have to a server.
func (f *fleet) connections(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil || s.service.MaxConnections == 0 {
		return 0
	}
	return max(1, s.service.MaxConnections/f.mayLive)
}

// usable says whether any backend server may get work.
func (f *fleet) usable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if !s.Draining {
			return true
		}
	}
	return false
}

func (f *fleet) known(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[id] != nil
}
