package experts

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/ranks"
	"github.com/apricothub/apricothub/internal/routing"
	"github.com/apricothub/apricothub/platform"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

const (
	waitTimeout = 20 * time.Second
	groupSize   = 4
	expertCount = 16
)

// engineConfig is that of the group: 16 experts on 4 ranks with 6 slots.
var engineConfig = &routing.Engine{LayerSets: 1, Experts: expertCount, SlotsPerRank: 6, MaxNewExperts: 2, StepsPerPass: 4, ExpertMB: 1, LinkMbps: 1e6}

// testGroup is a lock-step group with a process beside each engine, which can be silent.
type testGroup struct {
	*fakeplatform.Group
	engines []Engine
	silent  [groupSize]atomic.Bool
	// agentHoldOrders counts the orders that stop the group, or let it go, of processes beside engines.
	agentHoldOrders atomic.Int64
	// agents are the processes agents engines.
	agents [groupSize]*http.Server
}

func newTestGroup(t *testing.T, drift int64) *testGroup {
	g := &testGroup{Group: fakeplatform.NewGroup(t, fakeplatform.GroupShape{
		Ranks: groupSize, Experts: expertCount, Places: engineConfig.SlotsPerRank, Spare: engineConfig.MaxNewExperts, Drift: drift,
	}, 1)}
	for rank, address := range g.Engines {
		g.engines = append(g.engines, Engine{ID: fmt.Sprint("i-", rank), Address: address, Config: engineConfig, MaxPause: time.Second})
		g.startAgent(t, rank, address)
	}
	t.Cleanup(func() {
		for _, fault := range g.State().Faults {
			t.Error(fault)
		}
	})
	return g
}

// startAgent starts the process beside an engine.
func (g *testGroup) startAgent(t *testing.T, rank int, engine string) {
	address, err := ranks.AgentAddress(engine, fakeplatform.PortPeers)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.silent[rank].Load() {
			<-r.Context().Done()
			return
		}
		body, _ := io.ReadAll(r.Body)
		req := &api.RankRequest{}
		if err := proto.Unmarshal(body, req); err != nil {
			t.Error(err)
		}
		if kind := req.GetOrder().GetKind(); kind == api.RankOrder_HOLD || kind == api.RankOrder_GO {
			g.agentHoldOrders.Add(1)
		}
		answer, _ := proto.Marshal(ranks.Execute(r.Context(), platform.NewEngine(engine, http.DefaultClient), req))
		_, _ = w.Write(answer)
	})}
	go func() { _ = server.Serve(l) }()
	g.agents[rank] = server
	t.Cleanup(func() { _ = server.Close() })
}

// fakeCluster is what a coordinator goes by.
type fakeCluster struct {
	engines     []Engine
	coordinates atomic.Bool
}

func (b *fakeCluster) IsCoordinator() bool { return b.coordinates.Load() }
func (b *fakeCluster) IsLeaving() bool     { return false }
func (b *fakeCluster) Engines() []Engine   { return b.engines }

// newStore gives numbers, each higher than the last.
func newStore(t *testing.T) *platform.Store { return newRefusingStore(t, 0) }

// newRefusingStore turns so many calls away before it gives numbers.
func newRefusingStore(t *testing.T, refusals int64) *platform.Store {
	var offset, calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) <= refusals {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintf(w, `{"offset":%d,"end":0}`, offset.Add(1)-1)
	}))
	t.Cleanup(server.Close)
	return platform.NewStore(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport)
}

func startCoordinator(t *testing.T, g *testGroup, store *platform.Store) (*fakeCluster, *Coordinator) {
	cluster := &fakeCluster{engines: g.engines}
	cluster.coordinates.Store(true)
	c := New("vm", fakeplatform.PortPeers, cluster, store, log.NewNopLogger())
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
	return cluster, c
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not within %v: %s", waitTimeout, what)
}

// waitForPasses waits for further passes.
func (g *testGroup) waitForPasses(t *testing.T, n int64) {
	t.Helper()
	start := g.State().Passes
	waitFor(t, "passes go on", func() bool { return g.State().Passes > start+n })
}

// Half of all tokens go to one expert, which one rank holds: every pass waits for it. The
// coordinator has it copied to others, and no pass begins with two maps on the way.
func TestAPopularExpertIsCopied(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, 0)
	startCoordinator(t, g, newStore(t))
	waitFor(t, "the popular expert stands on several ranks", func() bool { return g.State().Replicas >= 3 })
}

// The answers of a third of the orders are lost. The switch still ends, and the group does
// not stay held.
func TestLostAnswersToOrders(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, 0)
	g.SetTrouble(fakeplatform.Trouble{Lost: 0.33})
	startCoordinator(t, g, newStore(t))
	waitFor(t, "the popular expert stands on several ranks", func() bool { return g.State().Replicas >= 3 })
	g.waitForPasses(t, 20)
}

// A VM stands still right after it has passed on the order that holds the group: nobody reaches
// its engine to let the group go until it wakes. No VM beside an engine passes on such orders.
func TestNoVMBesideAnEngineHoldsTheGroup(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, 200)
	startCoordinator(t, g, newStore(t))
	waitFor(t, "several versions were in use", func() bool { return g.State().Versions >= 3 })
	if n := g.agentHoldOrders.Load(); n != 0 {
		t.Errorf("%d orders to stop the group came from the VMs of its engines", n)
	}
}

// The process beside one engine is gone. Its engine is asked directly, and the group is
// switched all the same.
func TestSilentRankAgentIsBypassed(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, 0)
	startCoordinator(t, g, newStore(t))
	waitFor(t, "the first map is in use", func() bool { return g.State().Version != 0 })
	g.silent[2].Store(true)
	g.waitForPasses(t, 400)
}

// A coordinator dies with the group held. The next one has a higher number, brings the switch
// to its end and lets the group go; the first one, when it is back, is refused and rests.
func TestNextCoordinatorFinishesTheSwitch(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, 200)
	store := newStore(t)
	held := g.Hold(1, 3)
	_, first := startCoordinator(t, g, store)
	waitFor(t, "passes go on", func() bool { return g.State().Step > held+5 })
	_, second := startCoordinator(t, g, store)
	waitFor(t, "the second one has a higher number", func() bool { return second.Fence() > first.Fence() })
	waitFor(t, "the first one rests", func() bool { return first.Fence() == 0 })
	g.waitForPasses(t, 20)
}

// The coordinator is replaced while the store is away, and experts' popularity moves on: every
// pass waits for one rank. Once the store answers again the next coordinator begins within a
// moment of its next question, not after the rest of one whom engines have refused.
func TestACoordinatorBeginsSoonAfterAnOutage(t *testing.T) {
	t.Parallel()
	const refusals = 12
	g := newTestGroup(t, 0)
	startCoordinator(t, g, newRefusingStore(t, refusals))
	waitFor(t, "the popular expert stands on several ranks", func() bool { return g.State().Replicas >= 3 })
}

// The processes beside engines are replaced one after the other, so that one refuses connections
// at any time, while popularity moves on. Maps must follow it within seconds all the same.
func TestMapsAreChangedWhileProcessesBesideEnginesAreReplaced(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, 120)
	startCoordinator(t, g, newStore(t))
	waitFor(t, "a map is in use", func() bool { return g.State().Versions > 1 })
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for n := 0; ; n++ {
			rank := n % groupSize
			_ = g.agents[rank].Close()
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
			g.startAgent(t, rank, g.Engines[rank])
		}
	}()
	versions, changed, longest := g.State().Versions, time.Now(), time.Duration(0)
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if now := g.State().Versions; now != versions {
			versions, changed = now, time.Now()
		}
		longest = max(longest, time.Since(changed))
	}
	close(stop)
	<-stopped
	const maxWithoutNewMap = 4 * time.Second
	t.Logf("no new map for %v at most", longest)
	if longest > maxWithoutNewMap {
		t.Errorf("popularity is not followed within %v", maxWithoutNewMap)
	}
}
