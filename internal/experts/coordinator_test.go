package experts

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/ranks"
	"github.com/apricothub/apricothub/internal/routing"
	"github.com/apricothub/apricothub/platform"
)

const (
	generous  = 20 * time.Second
	peerPort  = 7341
	groupSize = 4
	expertsN  = 16
)

// shape is that of the group: 16 experts on 4 ranks with 6 slots.
var shape = &routing.Engine{LayerSets: 1, Experts: expertsN, Slots: 6, Spare: 2, Stride: 4, ExpertMB: 1, LinkMbps: 1e6}

// fakeRank is an engine that does what it is ordered, and compares nothing with others.
type fakeRank struct {
	version, prepared int64
	maps              map[int64][]int32
	armed             *[2]int64
	held              *int64
	fence             int64
	counts            [expertsN]int64
}

// fakeGroup is a lock-step group on sockets, each rank at an IP of its own.
type fakeGroup struct {
	t  *testing.T
	mu sync.Mutex
	// step is the last pass begun; standing says that the group is held.
	step    int64
	ranks   []*fakeRank
	engines []Engine
	// silent are the ranks beside which no process answers; lose is the part of the orders
	// whose answers are lost.
	silent [groupSize]atomic.Bool
	lose   float64
	rng    *rand.Rand
	// drift is the number of passes after which another expert is the popular one; zero for
	// never.
	drift int64
}

var groups atomic.Int32

func newFakeGroup(t *testing.T) *fakeGroup {
	g := &fakeGroup{t: t, rng: rand.New(rand.NewPCG(1, 1))}
	n := groups.Add(1)
	for rank := range groupSize {
		r := &fakeRank{maps: map[int64][]int32{}}
		for e := rank; e < expertsN; e += groupSize {
			r.maps[0] = append(r.maps[0], int32(e))
		}
		g.ranks = append(g.ranks, r)
		ip := fmt.Sprintf("127.8.%d.%d", n, rank+1)
		engine := g.listen(ip+":9000", g.engine(rank))
		g.engines = append(g.engines, Engine{ID: fmt.Sprint("i-", rank), Address: engine, Shape: shape, Pause: time.Second})
		g.listen(fmt.Sprintf("%s:%d", ip, peerPort), g.beside(rank, engine))
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.run(ctx)
	return g
}

func (g *fakeGroup) listen(address string, handler http.Handler) string {
	l, err := net.Listen("tcp", address)
	if err != nil {
		g.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	g.t.Cleanup(func() { _ = server.Close() })
	return address
}

// beside is the process beside an engine.
func (g *fakeGroup) beside(rank int, engine string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.silent[rank].Load() {
			<-r.Context().Done()
			return
		}
		body, _ := io.ReadAll(r.Body)
		req := &api.RankRequest{}
		if err := proto.Unmarshal(body, req); err != nil {
			g.t.Error(err)
		}
		answer, _ := proto.Marshal(ranks.Ask(r.Context(), platform.NewEngine(engine, http.DefaultClient), req))
		_, _ = w.Write(answer)
	})
}

func (g *fakeGroup) engine(rank int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /apricothub/report", func(w http.ResponseWriter, _ *http.Request) {
		g.mu.Lock()
		defer g.mu.Unlock()
		r := g.ranks[rank]
		var prepared, armed any
		if r.prepared != 0 {
			prepared = r.prepared
		}
		if r.armed != nil {
			armed = map[string]int64{"version": r.armed[0], "step": r.armed[1]}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{
			"group": map[string]any{"name": "g", "epoch": 1, "rank": rank, "state": "open"}, "size": groupSize,
			"pace": 1.0, "step": g.step, "map": r.version, "prepared": prepared, "armed": armed, "held": r.held,
		})
	})
	mux.HandleFunc("GET /apricothub/picked", func(w http.ResponseWriter, req *http.Request) {
		g.mu.Lock()
		defer g.mu.Unlock()
		r := g.ranks[rank]
		if req.URL.Query().Has("lists") {
			_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 1, "map": map[string]any{"version": r.version, "experts": [][]int32{r.maps[r.version]}}})
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"step": g.step, "epoch": 1, "counts": r.counts[:]})
	})
	mux.HandleFunc("POST /apricothub/order", func(w http.ResponseWriter, req *http.Request) {
		var o struct {
			Op                   string
			Version, Step, Fence int64
			Map                  [][][]int32
		}
		if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
			g.t.Error(err)
		}
		g.mu.Lock()
		status := g.order(g.ranks[rank], rank, o.Op, o.Version, o.Step, o.Fence, o.Map)
		lost := g.rng.Float64() < g.lose
		g.mu.Unlock()
		if lost {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
	})
	return mux
}

func (g *fakeGroup) order(r *fakeRank, rank int, op string, version, step, fence int64, maps [][][]int32) int {
	if fence < r.fence {
		return http.StatusPreconditionFailed
	}
	r.fence = fence
	fits := true
	switch op {
	case "prepare":
		if r.prepared == version {
			break
		}
		if fits = version > r.version && version > r.prepared && r.armed == nil; fits {
			r.prepared, r.maps[version] = version, maps[0][rank]
		}
	case "hold":
		if fits = r.held == nil && step > g.step; fits {
			r.held = &step
		}
	case "arm":
		if r.armed != nil {
			fits = *r.armed == [2]int64{version, step}
			break
		}
		if fits = r.prepared == version && step > g.step; fits {
			r.armed = &[2]int64{version, step}
		}
	case "disarm":
		r.armed = nil
	case "go":
		if r.held != nil && *r.held == step {
			r.held = nil
		}
	}
	if !fits {
		return http.StatusConflict
	}
	return http.StatusOK
}

// run begins a pass each 5 ms unless the group is held, and checks that all ranks have one
// map and that every expert stands somewhere.
func (g *fakeGroup) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		g.mu.Lock()
		g.pass()
		g.mu.Unlock()
	}
}

func (g *fakeGroup) pass() {
	for _, r := range g.ranks {
		if r.held != nil && *r.held == g.step+1 {
			return
		}
	}
	g.step++
	stands := map[int32]bool{}
	for _, r := range g.ranks {
		if r.armed != nil && r.armed[1] == g.step {
			r.version, r.prepared, r.armed = r.armed[0], 0, nil
		}
		if r.version != g.ranks[0].version {
			g.t.Errorf("pass %d begins with maps %d and %d", g.step, g.ranks[0].version, r.version)
		}
		for _, e := range r.maps[r.version] {
			stands[e] = true
		}
		// One expert gets half of all tokens.
		for e := range r.counts {
			r.counts[e] += 10
		}
		popular := int64(5)
		if g.drift > 0 {
			popular += g.step / g.drift
		}
		r.counts[popular%expertsN] += 150
	}
	if len(stands) != expertsN {
		g.t.Errorf("pass %d begins with %d experts", g.step, len(stands))
	}
}

// replicas is the number of ranks that hold the popular expert, and the version in use.
func (g *fakeGroup) replicas() (n int, version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		for _, e := range r.maps[r.version] {
			if e == 5 {
				n++
			}
		}
	}
	return n, g.ranks[0].version
}

func (g *fakeGroup) steps() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

// fakeBeliefs is what a coordinator goes by.
type fakeBeliefs struct {
	engines     []Engine
	coordinates atomic.Bool
}

func (b *fakeBeliefs) Coordinates() bool { return b.coordinates.Load() }
func (b *fakeBeliefs) Leaving() bool     { return false }
func (b *fakeBeliefs) Engines() []Engine { return b.engines }

// newStore gives numbers, each higher than the last.
func newStore(t *testing.T) *platform.Store {
	var offset atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"offset":%d,"end":0}`, offset.Add(1)-1)
	}))
	t.Cleanup(server.Close)
	return platform.NewStore(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport)
}

func coordinate(t *testing.T, g *fakeGroup, store *platform.Store) (*fakeBeliefs, *Coordinator) {
	b := &fakeBeliefs{engines: g.engines}
	b.coordinates.Store(true)
	c := New("vm", peerPort, b, store, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return b, c
}

func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(generous); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if is() {
			return
		}
	}
	t.Fatalf("not within %v: %s", generous, what)
}

// Half of all tokens go to one expert, which one rank holds: every pass waits for it. The
// coordinator has it copied to others, and no pass begins with two maps on the way.
func TestAPopularExpertIsCopied(t *testing.T) {
	t.Parallel()
	g := newFakeGroup(t)
	coordinate(t, g, newStore(t))
	until(t, "the popular expert stands on several ranks", func() bool {
		n, _ := g.replicas()
		return n >= 3
	})
}

// The answers of a third of the orders are lost. The switch still ends, and the group does
// not stay held.
func TestLostAnswersToOrders(t *testing.T) {
	t.Parallel()
	g := newFakeGroup(t)
	g.lose = 0.33
	coordinate(t, g, newStore(t))
	until(t, "the popular expert stands on several ranks", func() bool {
		n, _ := g.replicas()
		return n >= 3
	})
	from := g.steps()
	until(t, "passes go on", func() bool { return g.steps() > from+20 })
}

// The process beside one engine is gone. Its engine is asked directly, and the group is
// switched all the same.
func TestASilentProcessBesideAnEngine(t *testing.T) {
	t.Parallel()
	g := newFakeGroup(t)
	coordinate(t, g, newStore(t))
	until(t, "the first map is in use", func() bool {
		_, version := g.replicas()
		return version != 0
	})
	g.silent[2].Store(true)
	from := g.steps()
	until(t, "passes go on", func() bool { return g.steps() > from+400 })
}

// A coordinator dies with the group held. The next one has a higher number, brings the switch
// to its end and lets the group go; the first one, when it is back, is refused and rests.
func TestAnotherCoordinatorGoesOn(t *testing.T) {
	t.Parallel()
	g := newFakeGroup(t)
	store := newStore(t)
	g.mu.Lock()
	g.drift = 200
	held := g.step + 3
	g.ranks[1].held = &held
	g.mu.Unlock()
	_, first := coordinate(t, g, store)
	until(t, "passes go on", func() bool { return g.steps() > held+5 })
	_, second := coordinate(t, g, store)
	until(t, "the second one has a higher number", func() bool { return second.Fence() > first.Fence() })
	until(t, "the first one rests", func() bool { return first.Fence() == 0 })
	from := g.steps()
	until(t, "passes go on", func() bool { return g.steps() > from+20 })
}
