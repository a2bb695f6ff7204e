package fakeplatform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricothub/apricothub/test/harness"
)

// PortEngine is the port of every engine, for requests, orders and queries. Each engine has its
// own IP.
const PortEngine = "9000"

const (
	// passInterval is the time between two passes of a group that no rank holds.
	passInterval = 5 * time.Millisecond
	// copyTime is how long a rank takes to copy the experts that a map version adds.
	copyTime = 40 * time.Millisecond
)

// GroupShape is the size of a group of engines and of its expert maps.
type GroupShape struct {
	// Ranks is the number of ranks, which together hold Experts experts, up to Places on each.
	// A map version may add up to Spare experts to a rank.
	Ranks, Experts, Places, Spare int
	// PopularityShiftPasses is the number of passes after which the next expert becomes the
	// popular one; 0 for never.
	PopularityShiftPasses int64
}

// OrderFaults sets which fractions of all orders are affected by which fault.
type OrderFaults struct {
	// LostAnswers is the fraction of orders that are carried out but not answered. Delayed is the
	// fraction carried out up to MaxDelay later and not answered.
	LostAnswers, Delayed float64
	MaxDelay             time.Duration
}

// Group is a lock-step group of fake engines, each listening on its own IP. It begins a pass every
// passInterval and records a fault for each pass that begins with two maps or lacks an expert.
type Group struct {
	Shape GroupShape
	// EngineAddresses are the addresses of the engines, by rank.
	EngineAddresses []string

	mu    sync.Mutex
	rng   *rand.Rand
	ranks []*rank
	// step is the last pass begun in this epoch; passes counts the passes of all epochs.
	epoch, step, passes int64
	crashed             bool
	orderFaults         OrderFaults
	// usedVersions are the map versions used in any epoch; orderCounts counts the orders carried
	// out, by kind.
	usedVersions map[int64]bool
	orderCounts  map[string]int
	faults       []string
	// paused tells which ranks' VMs are paused; resumed is signalled when one resumes.
	paused  []bool
	resumed *sync.Cond
	runs    []Run
	// paces are the times of the ranks for their work, relative to the usual time; running counts the
	// streams that run on each rank.
	paces   []float64
	running []int
	// onBegin is called before an answer begins; if it returns false, the connection is closed.
	onBegin func(rank int, r *http.Request) bool
	stopped atomic.Bool
}

// OnBegin sets a function that is called before an engine begins an answer. If it returns false, the
// engine closes the connection instead.
func (g *Group) OnBegin(f func(rank int, r *http.Request) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onBegin = f
}

// NewGroup starts a group that stops at the end of the test.
func NewGroup(report harness.Reporter, shape GroupShape, seed uint64) *Group {
	report.Helper()
	g := &Group{
		Shape: shape, rng: rand.New(rand.NewPCG(seed, 1)), epoch: 1,
		usedVersions: make(map[int64]bool), orderCounts: make(map[string]int), paused: make([]bool, shape.Ranks),
		paces: make([]float64, shape.Ranks), running: make([]int, shape.Ranks),
	}
	for index := range g.paces {
		g.paces[index] = 1
	}
	g.resumed = sync.NewCond(&g.mu)
	for index := range shape.Ranks {
		r := &rank{counts: make([]int64, shape.Experts), incarnation: 1}
		r.reset(g.initialMap())
		g.ranks = append(g.ranks, r)
		g.EngineAddresses = append(g.EngineAddresses, g.listen(report, index))
	}
	done := make(chan struct{})
	report.Cleanup(func() {
		g.stopped.Store(true)
		<-done
	})
	go func() {
		defer close(done)
		for !g.stopped.Load() {
			time.Sleep(passInterval)
			g.mu.Lock()
			if !g.crashed {
				g.beginPass()
			}
			g.mu.Unlock()
		}
	}()
	return g
}

// initialMap assigns the experts to the ranks round robin.
func (g *Group) initialMap() expertMap {
	m := make(expertMap, g.Shape.Ranks)
	for e := range g.Shape.Experts {
		m[e%g.Shape.Ranks] = append(m[e%g.Shape.Ranks], int32(e))
	}
	return m
}

func (g *Group) listen(report harness.Reporter, index int) string {
	report.Helper()
	address := net.JoinHostPort(NewLoopbackIP(), PortEngine)
	l, err := net.Listen("tcp", address)
	if err != nil {
		report.Fatalf("listen for an engine: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /apricothub/report", func(w http.ResponseWriter, _ *http.Request) { g.serveReport(w, index) })
	mux.HandleFunc("GET /apricothub/picked", func(w http.ResponseWriter, r *http.Request) { g.servePicked(w, r, index) })
	mux.HandleFunc("POST /apricothub/order", func(w http.ResponseWriter, r *http.Request) { g.serveOrder(w, r, index) })
	mux.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) { g.serveStream(w, r, index) })
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.waitResumed(index)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	report.Cleanup(func() {
		g.ResumeVM(index)
		_ = server.Close()
	})
	return address
}

func (g *Group) serveReport(w http.ResponseWriter, index int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[index]
	r.completeCopy()
	state := "open"
	if g.crashed {
		state = "broken"
	}
	var prepared any
	if r.prepared != 0 {
		prepared = r.prepared
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"group": map[string]any{"name": "g", "epoch": g.epoch, "rank": index, "state": state}, "size": g.Shape.Ranks,
		"pace": g.paces[index], "step": g.step, "map": r.version, "prepared": prepared, "armed": r.armed, "held": r.held, "born": r.incarnation,
	})
}

func (g *Group) servePicked(w http.ResponseWriter, req *http.Request, index int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[index]
	if req.URL.Query().Has("lists") {
		_ = json.NewEncoder(w).Encode(map[string]any{
			"epoch": g.epoch, "map": map[string]any{"version": r.version, "experts": [][]int32{r.maps[r.version][index]}},
		})
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"step": g.step, "epoch": g.epoch, "counts": r.counts})
}

// serveOrder carries an order out: at once, at once without an answer, or delayed without an
// answer.
func (g *Group) serveOrder(w http.ResponseWriter, req *http.Request, index int) {
	var order Order
	if err := json.NewDecoder(req.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	draw := g.rng.Float64()
	if delayed := draw < g.orderFaults.Delayed; delayed {
		delay := time.Duration(g.rng.Int64N(int64(g.orderFaults.MaxDelay)))
		g.mu.Unlock()
		time.AfterFunc(delay, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.carryOut(index, order)
		})
		panic(http.ErrAbortHandler)
	}
	lost := draw < g.orderFaults.Delayed+g.orderFaults.LostAnswers
	status := g.carryOut(index, order)
	g.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// SetOrderFaults sets the faults of all further orders.
func (g *Group) SetOrderFaults(faults OrderFaults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.orderFaults = faults
}

// Crash crashes one rank, which stops the whole group for formingTime. The group then forms anew in
// a new epoch, with its initial map and nothing prepared, armed or held. The crashed rank has lost
// its fence and its token counts.
func (g *Group) Crash(index int, formingTime time.Duration) {
	g.mu.Lock()
	g.crashed = true
	g.mu.Unlock()
	time.Sleep(formingTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashed = false
	g.epoch++
	g.step = 0
	for i, r := range g.ranks {
		r.reset(g.initialMap())
		if i == index {
			r.fence = 0
			r.incarnation++
			r.counts = make([]int64, g.Shape.Experts)
		}
	}
}

// Hold makes a rank hold the group at the pass that is ahead passes from now, like a leftover order
// of a coordinator that no longer runs. It returns the number of that pass.
func (g *Group) Hold(index int, ahead int64) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	step := g.step + ahead
	g.ranks[index].held = &step
	return step
}

// Prepare makes all ranks prepare a version of the initial map, like a coordinator that dies after that.
func (g *Group) Prepare(version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for index := range g.ranks {
		g.prepare(index, Order{Version: version, Map: []expertMap{g.initialMap()}})
	}
}

// IsPrepared reports whether all ranks have completed the copy of a version.
func (g *Group) IsPrepared(version int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		r.completeCopy()
		if r.prepared != version {
			return false
		}
	}
	return true
}

// HasUsed reports whether the group has begun a pass with a version.
func (g *Group) HasUsed(version int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usedVersions[version]
}

// GroupState is a snapshot of a group.
type GroupState struct {
	// Passes counts the passes begun in all epochs; Step is the last pass of this epoch.
	Passes, Step int64
	// Version is the map version in use; Versions counts the versions used so far.
	Version  int64
	Versions int
	// Replicas is the number of ranks that hold the expert that is popular at the start.
	Replicas int
	// Orders counts the orders carried out, by kind.
	Orders map[string]int
	// Faults describes the passes that began with two maps or without an expert.
	Faults []string
}

// State returns a snapshot of the group.
func (g *Group) State() GroupState {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := GroupState{
		Passes: g.passes, Step: g.step, Version: g.ranks[0].version, Versions: len(g.usedVersions),
		Orders: make(map[string]int), Faults: slices.Clone(g.faults),
	}
	for op, n := range g.orderCounts {
		s.Orders[op] = n
	}
	const popularAtStart = 5
	for index, r := range g.ranks {
		if slices.Contains(r.maps[r.version][index], popularAtStart) {
			s.Replicas++
		}
	}
	return s
}

// EngineService returns the configuration of a service whose backend servers are the group's
// engines.
func (g *Group) EngineService(name string) Service {
	return Service{Name: name, HealthPath: "/healthz", Engine: &EngineShape{
		Concurrency: 12, Sets: 1, Experts: g.Shape.Experts, Places: g.Shape.Places, Spare: g.Shape.Spare,
		Stride: 4, ExpertMB: 1, BandwidthMbps: 1e6,
	}}
}

// RegisterGroup registers the engines of a group under a service.
func (s *Store) RegisterGroup(g *Group, service string, domains []string) {
	s.RegisterEngines(g.EngineAddresses, service, domains)
}

// RegisterEngines registers engines under a service; addresses are in order of rank.
func (s *Store) RegisterEngines(addresses []string, service string, domains []string) {
	for index, address := range addresses {
		s.RegisterEngine(index, address, service, domains[index%len(domains)], 0)
	}
}

// RegisterEngine registers the engine of a rank that has started anew some times under its ID.
func (s *Store) RegisterEngine(rank int, address, service, domain string, restarts int) {
	s.registerAs(service, fmt.Sprintf("e-%d", rank), address, Registration{FailureDomain: domain, Concurrency: 12, Restarts: restarts}, "ready")
}
