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

// PortEngine is where an engine takes requests, orders and questions, on its own IP.
const PortEngine = "9000"

const (
	// passEach is the time between two passes of a group that nobody holds.
	passEach = 5 * time.Millisecond
	// copyTime is how long a rank takes to copy what a version adds.
	copyTime = 40 * time.Millisecond
)

// GroupShape says what a group of engines is like.
type GroupShape struct {
	// Ranks hold Experts on Places each; a version may add Spare experts to a rank.
	Ranks, Experts, Places, Spare int
	// Drift is the number of passes after which another expert is the popular one; zero for
	// never.
	Drift int64
}

// Trouble is what may come of an order, each as a part of all orders.
type Trouble struct {
	// Lost answers are not given, though the order is carried out. Late orders are carried
	// out up to Latest later, and not answered.
	Lost, Late float64
	Latest     time.Duration
}

// Group is a lock-step group of engines on sockets, each at an IP of its own. It begins a pass
// each few ms, and notes each one that begins with two maps or lacks an expert.
type Group struct {
	Shape GroupShape
	// Engines are their addresses, by rank.
	Engines []string

	mu    sync.Mutex
	rng   *rand.Rand
	ranks []*rank
	// step is the last pass begun in this epoch, passes their number in all.
	epoch, step, passes int64
	broken              bool
	trouble             Trouble
	// used are the versions in use so far in any epoch, orders those carried out by kind.
	used   map[int64]bool
	orders map[string]int
	faults []string
	// asleep are the ranks whose VM stands still; woken is signalled when one is back.
	asleep []bool
	woken  *sync.Cond
	runs   []Run
	ended  atomic.Bool
}

// NewGroup starts a group that stops with the test.
func NewGroup(report harness.Reporter, shape GroupShape, seed uint64) *Group {
	report.Helper()
	g := &Group{
		Shape: shape, rng: rand.New(rand.NewPCG(seed, 1)), epoch: 1,
		used: make(map[int64]bool), orders: make(map[string]int), asleep: make([]bool, shape.Ranks),
	}
	g.woken = sync.NewCond(&g.mu)
	for at := range shape.Ranks {
		r := &rank{counts: make([]int64, shape.Experts), born: 1}
		r.reset(g.firstMap())
		g.ranks = append(g.ranks, r)
		g.Engines = append(g.Engines, g.listen(report, at))
	}
	done := make(chan struct{})
	report.Cleanup(func() {
		g.ended.Store(true)
		<-done
	})
	go func() {
		defer close(done)
		for !g.ended.Load() {
			time.Sleep(passEach)
			g.mu.Lock()
			if !g.broken {
				g.pass()
			}
			g.mu.Unlock()
		}
	}()
	return g
}

// firstMap gives the experts to the ranks in turn.
func (g *Group) firstMap() expertMap {
	m := make(expertMap, g.Shape.Ranks)
	for e := range g.Shape.Experts {
		m[e%g.Shape.Ranks] = append(m[e%g.Shape.Ranks], int32(e))
	}
	return m
}

func (g *Group) listen(report harness.Reporter, at int) string {
	report.Helper()
	address := net.JoinHostPort(OwnIP(), PortEngine)
	l, err := net.Listen("tcp", address)
	if err != nil {
		report.Fatalf("engine: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /apricothub/report", func(w http.ResponseWriter, _ *http.Request) { g.serveReport(w, at) })
	mux.HandleFunc("GET /apricothub/picked", func(w http.ResponseWriter, r *http.Request) { g.servePicked(w, r, at) })
	mux.HandleFunc("POST /apricothub/order", func(w http.ResponseWriter, r *http.Request) { g.serveOrder(w, r, at) })
	mux.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) { g.serveStream(w, r, at) })
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.awake(at)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	report.Cleanup(func() {
		g.Wake(at)
		_ = server.Close()
	})
	return address
}

func (g *Group) serveReport(w http.ResponseWriter, at int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[at]
	r.settle()
	state := "open"
	if g.broken {
		state = "broken"
	}
	var prepared any
	if r.prepared != 0 {
		prepared = r.prepared
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"group": map[string]any{"name": "g", "epoch": g.epoch, "rank": at, "state": state}, "size": g.Shape.Ranks,
		"pace": 1.0, "step": g.step, "map": r.version, "prepared": prepared, "armed": r.armed, "held": r.held, "born": r.born,
	})
}

func (g *Group) servePicked(w http.ResponseWriter, req *http.Request, at int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[at]
	if req.URL.Query().Has("lists") {
		_ = json.NewEncoder(w).Encode(map[string]any{
			"epoch": g.epoch, "map": map[string]any{"version": r.version, "experts": [][]int32{r.maps[r.version][at]}},
		})
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"step": g.step, "epoch": g.epoch, "counts": r.counts})
}

// serveOrder carries an order out: now, now without an answer, or late without one.
func (g *Group) serveOrder(w http.ResponseWriter, req *http.Request, at int) {
	var o Order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	chance := g.rng.Float64()
	if late := chance < g.trouble.Late; late {
		after := time.Duration(g.rng.Int64N(int64(g.trouble.Latest)))
		g.mu.Unlock()
		time.AfterFunc(after, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.order(at, o)
		})
		panic(http.ErrAbortHandler)
	}
	lost := chance < g.trouble.Late+g.trouble.Lost
	status := g.order(at, o)
	g.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// SetTrouble sets what may come of orders from now on.
func (g *Group) SetTrouble(t Trouble) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trouble = t
}

// Break ends one rank, and with it the group's work, until it has formed again in a new epoch:
// with its first map, and nothing prepared, armed or held. The rank that ended has forgotten
// which fencing numbers it saw.
func (g *Group) Break(at int, forming time.Duration) {
	g.mu.Lock()
	g.broken = true
	g.mu.Unlock()
	time.Sleep(forming)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broken = false
	g.epoch++
	g.step = 0
	for i, r := range g.ranks {
		r.reset(g.firstMap())
		if i == at {
			r.fence = 0
			r.born++
			r.counts = make([]int64, g.Shape.Experts)
		}
	}
}

// Hold has a rank hold the group some passes ahead, as an order of a coordinator that is gone
// did. It returns the pass.
func (g *Group) Hold(at int, ahead int64) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	step := g.step + ahead
	g.ranks[at].held = &step
	return step
}

// GroupState is how a group stands.
type GroupState struct {
	// Passes begun so far in all epochs, and the last one of this epoch.
	Passes, Step int64
	// Version is in use; Versions is the number of versions that were.
	Version  int64
	Versions int
	// Replicas is the number of ranks that hold the expert that was popular at the start.
	Replicas int
	// Orders are those carried out, by kind.
	Orders map[string]int
	// Faults are the passes that began with two maps, or without an expert.
	Faults []string
}

// State returns how the group stands.
func (g *Group) State() GroupState {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := GroupState{
		Passes: g.passes, Step: g.step, Version: g.ranks[0].version, Versions: len(g.used),
		Orders: make(map[string]int), Faults: slices.Clone(g.faults),
	}
	for op, n := range g.orders {
		s.Orders[op] = n
	}
	const popular = 5
	for at, r := range g.ranks {
		if slices.Contains(r.maps[r.version][at], popular) {
			s.Replicas++
		}
	}
	return s
}

// EngineService is the service of a group's engines, as the configuration says it.
func (g *Group) EngineService(name string) Service {
	return Service{Name: name, HealthPath: "/healthz", Engine: &EngineShape{
		Concurrency: 12, Sets: 1, Experts: g.Shape.Experts, Places: g.Shape.Places, Spare: g.Shape.Spare,
		Stride: 4, ExpertMB: 1, BandwidthMbps: 1e6,
	}}
}

// RegisterGroup registers the engines of a group under a service.
func (s *Store) RegisterGroup(g *Group, service string, domains []string) {
	s.RegisterEngines(g.Engines, service, domains)
}

// RegisterEngines registers engines, by rank, at addresses under a service.
func (s *Store) RegisterEngines(addresses []string, service string, domains []string) {
	for at, address := range addresses {
		s.registerAs(service, fmt.Sprintf("e-%d", at), address, Place{FailureDomain: domains[at%len(domains)], Concurrency: 12}, "ready")
	}
}
