package gateway

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/coord/peering"
	"github.com/apricothub/apricothub/coord/registry"
	"github.com/apricothub/apricothub/decide/admit"
	"github.com/apricothub/apricothub/decide/arrivals"
	"github.com/apricothub/apricothub/decide/eject"
	"github.com/apricothub/apricothub/decide/place"
	"github.com/apricothub/apricothub/decide/rest"
	"github.com/apricothub/apricothub/decide/retry"
	"github.com/apricothub/apricothub/decide/silence"
	"github.com/apricothub/apricothub/decide/straggler"
	"github.com/apricothub/apricothub/decide/throttle"
	"github.com/apricothub/apricothub/decide/urgency"
	"github.com/apricothub/apricothub/internal/experts"
	"github.com/apricothub/apricothub/internal/routing"
	"github.com/apricothub/apricothub/internal/shutdown"
)

const (
	// serverQueueRatio is the fraction of a backend server's concurrency that may be queued there
	// in addition to the requests that run: enough that no server idles while the entries' reports
	// about each other are outdated. Requests that are queued at an entry can still go to any
	// server, or be refused with a time to retry after.
	serverQueueRatio = 0.25
	// workTimeSamples is the number of requests over which the moving average of the work time
	// runs.
	workTimeSamples = 16
	// idlePlacementInterval is the time between two updates of the placement table while nothing happens.
	idlePlacementInterval = 500 * time.Millisecond
)

// limits holds the platform.Bounds on what all entries together may send to a service or a backend
// server.
type limits struct {
	coldMaxRatio, coldSlack float64
	retry                   retry.Limits
}

// fleet holds what this process knows of the backend servers, and places requests on them. It is
// safe for concurrent use.
type fleet struct {
	limits limits

	mu              sync.Mutex
	rng             *rand.Rand
	table           *place.Table
	ejector         *eject.Tracker
	silenceDetector *silence.Detector
	stragglers      *straggler.Tracker
	servers         map[string]*server
	// hasServers means that servers have been known.
	hasServers bool
	// byHash are the servers by the hash of their IDs.
	byHash map[uint32]*server
	// removedAt is when servers were removed that may return; times are since the process started.
	removedAt map[string]time.Duration
	// retries are the retry budgets of the services.
	retries *retryBudgets
	// rateLimits are the limits that servers state in their answers, resting the servers that ask for
	// rest. pausedServices are the services, if there is such a server.
	rateLimits     *throttle.Limits
	resting        *rest.Tracker
	pausedServices map[string]pausedService
	// shutdown follows the requests of callers.
	shutdown *shutdown.Shutdown
	// newlyLeaving are the servers to be returned by takeNewlyLeaving.
	newlyLeaving []registry.Start
	// entries is the number of live entries, maybeLive that of entries that may still be running.
	// Both include this one.
	entries, maybeLive int

	admitter *admit.Admitter
	queue    map[uint64]*queuedRequest
	lastID   uint64
	// teamsVersion is the version of the configuration that the admitter's teams come from.
	teamsVersion int64
	// engines are the services whose servers are engines.
	engines map[string]bool
	// callTimes are the expected times of a call to each service; zero for streams.
	callTimes map[string]time.Duration
	// demands holds the demand of the other entries for each service whose requests differ in priority.
	demands map[string]*urgency.Table
	// divided are the services whose slots are divided by urgency now.
	divided map[string]bool
	// firstEventDelays are the moving averages of the time until a request at a server has its first
	// event, by service.
	firstEventDelays map[string]time.Duration
	// refusing are the services for which this entry has observed that no server accepts work.
	refusing map[string]bool
	// impairments are the servers that are slow or closed, as last reported. placedAt is when the placement
	// table was last brought up to date.
	impairments map[string]experts.Impairment
	placedAt    time.Duration
	// mustPlace means that the servers have changed since the reports were last applied to them.
	mustPlace bool
	// groupSizes holds the size of the groups of each lock-step service, as an engine has reported it.
	groupSizes map[string]int
	// confirmed are the lock-step services that have been marked as refusing once, when this process
	// first knew a server of theirs; unconfirmed are those of them to be returned by takeUnconfirmed.
	confirmed   map[string]bool
	unconfirmed []string
	// registered is the concurrency of all servers of a service that neither drain nor are in a
	// failure domain that is out, also if they are ejected. running counts this entry's admitted
	// requests of a service.
	registered, running map[string]int
	// outSince is since when no server of a service may be used.
	outSince map[string]time.Duration
	// queued counts the requests of a service that are queued here, slotStates holds the latest
	// counts of the slots of each service.
	queued     map[string]int
	slotStates map[string]slotState

	logger log.Logger
	// ejections counts how often a server was ejected, limitsStated how often one began to state a rate
	// limit or changed it, restsAsked how often one asked for rest.
	ejections, limitsStated, restsAsked metrics.Counter
	// divisions counts how often the slots of a service began to be divided by urgency.
	divisions metrics.Counter
}

// server is one backend server.
type server struct {
	registry.Server
	service *routing.Service
	// hash is the hash of its ID.
	hash uint32
	// joinedAt is when it was first known here. isFirst means that it was among the first servers that
	// this process knew.
	joinedAt time.Duration
	isFirst  bool
	// replacedUntil is until when it gets no new work because another server answered at its address.
	replacedUntil time.Duration
	// refusedAt is when it last refused a request although it had free slots and its service has several
	// groups; hasRefused means that it has.
	refusedAt  time.Duration
	hasRefused bool
	// isLeaving means that it gets no new work, since it drains or its failure domain is out.
	isLeaving bool
	// saysLeaving means that it has said in an answer that it leaves.
	saysLeaving bool
	// ownInFlight counts this process's requests in flight at the server, othersInFlight those of
	// the other entries.
	ownInFlight, othersInFlight int
	// workTime is the moving average of the time that a request takes there; zero if unknown.
	workTime time.Duration
	// slowdown is the ratio of the server's time to its usual time, as the server reports it.
	// closed means that the server accepts no work now.
	slowdown float64
	closed   bool
	// arrivals limits the requests per second; nil for no limit.
	arrivals *arrivals.Share
}

// newFleet returns the fleet of the entry with IP self. It takes over the random source.
func newFleet(self string, l limits, rng *rand.Rand) *fleet {
	return &fleet{
		limits: l,
		rng:    rng,
		// Reports here are the other entries' own counts, a fraction of a second old.
		table:            place.NewTable(rng, place.Config{QueueRatio: serverQueueRatio, TrustStaleReports: true}),
		ejector:          eject.New(eject.Config{}),
		silenceDetector:  silence.New(silence.Config{}),
		stragglers:       straggler.New(straggler.Config{}),
		engines:          make(map[string]bool),
		servers:          make(map[string]*server),
		removedAt:        make(map[string]time.Duration),
		retries:          newRetryBudgets(l.retry),
		rateLimits:       throttle.New(self, rng),
		resting:          rest.New(),
		shutdown:         shutdown.New(),
		entries:          1,
		maybeLive:        1,
		admitter:         admit.New(admit.Config{MaxQueue: maxQueued, MaxWait: maxQueueWait, MaxRetryAfter: maxRetryAfter, BacklogStartsTogether: true}),
		queue:            make(map[uint64]*queuedRequest),
		running:          make(map[string]int),
		queued:           make(map[string]int),
		slotStates:       make(map[string]slotState),
		outSince:         make(map[string]time.Duration),
		divided:          make(map[string]bool),
		demands:          make(map[string]*urgency.Table),
		firstEventDelays: make(map[string]time.Duration),
		logger:           log.NewNopLogger(),
		ejections:        metrics.NilCounter{},
		limitsStated:     metrics.NilCounter{},
		restsAsked:       metrics.NilCounter{},
		divisions:        metrics.NilCounter{},
		refusing:         make(map[string]bool),
		groupSizes:       make(map[string]int),
		confirmed:        make(map[string]bool),
	}
}

func offer(service string) string { return "service:" + service }

// entryCounts are the numbers of entries, this one included.
type entryCounts struct {
	// live counts entries that are heard from, maybeLive also those that may still be running.
	live, maybeLive int
}

// setServers replaces the backend servers, the failure domains that operators have taken out and
// the number of entries.
func (f *fleet) setServers(registrations []registry.Registration, domainsOut map[string]bool, cfg *routing.Table, counts entryCounts, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = max(counts.live, 1)
	f.maybeLive = max(counts.maybeLive, f.entries)
	f.setTeams(cfg)
	f.registered = make(map[string]int)
	f.callTimes = make(map[string]time.Duration)
	f.engines = make(map[string]bool)
	for service := range f.slotStates {
		if cfg.Service(service) == nil {
			delete(f.slotStates, service)
			delete(f.outSince, service)
			delete(f.demands, service)
			delete(f.divided, service)
			delete(f.firstEventDelays, service)
		}
	}
	f.retries.retain(func(service string) bool { return cfg.Service(service) != nil })
	old := f.servers
	f.noteRemovals(registrations, now)
	f.servers = make(map[string]*server, len(registrations))
	f.byHash = make(map[uint32]*server, len(registrations))
	placed := make([]place.Server, 0, len(registrations))
	for _, r := range registrations {
		service := cfg.Service(r.Service)
		if service == nil {
			continue
		}
		s := old[r.ID]
		if s == nil {
			s = &server{hash: peering.ServerHash(r.ID), joinedAt: now, isFirst: !f.hasServers}
		}
		if s.StartedAtUnixMs != r.StartedAtUnixMs {
			s.workTime, s.replacedUntil, s.saysLeaving, s.hasRefused = 0, 0, false, false
			f.rateLimits.Reset(s.hash, now)
			f.resting.Reset(s.ID)
		}
		s.Server = r.Server
		s.service = service
		f.engines[r.Service] = service.Engine != nil
		f.callTimes[r.Service] = cfg.CallTime(r.Service)
		f.setDemandTable(r.Service, cfg)
		f.limitArrivals(s, now)
		f.servers[r.ID] = s
		f.byHash[s.hash] = s
		weight := 1.0
		s.isLeaving = r.Draining || s.saysLeaving || domainsOut[r.FailureDomain]
		if s.isLeaving {
			weight = 0
		} else {
			f.registered[r.Service] += r.Concurrency
			f.markUnconfirmed(s)
		}
		placed = append(placed, place.Server{VM: r.ID, Domain: r.FailureDomain, Offers: []string{offer(r.Service)}, Weight: weight})
	}
	f.hasServers = f.hasServers || len(placed) > 0
	f.mustPlace = true
	f.table.SetServers(placed)
	known := func(id string) bool { return f.servers[id] != nil }
	f.ejector.Retain(known)
	f.silenceDetector.Retain(known)
	f.stragglers.Retain(known)
	f.resting.Retain(known, now)
	f.rateLimits.Retain(func(hash uint32) bool { return f.byHash[hash] != nil }, now)
	f.updatePlacement(now)
}

// setOthersInFlight updates the other entries' requests in flight at some of the servers.
func (f *fleet) setOthersInFlight(hashes []uint32, others *peering.LoadSums, now time.Duration) {
	if len(hashes) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, hash := range hashes {
		if s := f.byHash[hash]; s != nil {
			s.othersInFlight = others.At(hash)
			f.reportLoad(s, now)
		}
	}
	f.updateCapacity(now)
}

// setPeerReports sets the other entries' requests in flight at all servers, and the servers that
// are slow or closed. It reports whether the load limit of any server has changed.
//
// What a request is placed by is brought up to date when it comes. While none waits and no report changes,
// that is done once in idlePlacementInterval only.
func (f *fleet) setPeerReports(others *peering.LoadSums, impairments map[string]experts.Impairment, now time.Duration) (limitsChanged bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.queue) == 0 && !f.mustPlace && maps.Equal(impairments, f.impairments) && now-f.placedAt < idlePlacementInterval {
		return false
	}
	f.impairments, f.mustPlace = impairments, false
	closed := f.countClosed(impairments)
	for id, s := range f.servers {
		s.othersInFlight = others.At(s.hash)
		impairment := impairments[id]
		impairment.Closed = impairment.Closed || s.isJoiningClosedGroup(closed, now)
		limitsChanged = f.setImpairment(id, s, impairment) || limitsChanged
	}
	f.updatePlacement(now)
	return limitsChanged
}

// inFlight returns this entry's requests in flight: the hash of its server for each of them.
func (f *fleet) inFlight() []uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var inFlight []uint32
	for _, s := range f.servers {
		for range s.ownInFlight {
			inFlight = append(inFlight, s.hash)
		}
	}
	return inFlight
}

// maxConnections returns how many connections this entry may have to a server; zero for no limit.
func (f *fleet) maxConnections(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil || s.service.MaxConnections == 0 {
		return 0
	}
	return max(1, s.service.MaxConnections/f.maybeLive)
}

// hasUsableServer reports whether any backend server is not draining.
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
