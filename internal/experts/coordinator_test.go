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

// engineConfig configures the group: 16 experts on 4 ranks with 6 slots each.
var engineConfig = &routing.Engine{LayerSets: 1, Experts: expertCount, SlotsPerRank: 6, MaxNewExperts: 2, StepsPerPass: 4, ExpertMB: 1, LinkMbps: 1e6}

// testGroup is a lock-step group with a rank agent for each engine, which can be made silent.
type testGroup struct {
	*fakeplatform.Group
	engines []Engine
	silent  [groupSize]atomic.Bool
	// agentHoldOrders counts the orders to hold the group, or to release a hold, that rank agents
	// received.
	agentHoldOrders atomic.Int64
	// agents holds the rank agents by rank.
	agents [groupSize]*http.Server
}

func newTestGroup(t *testing.T, drift int64) *testGroup {
	g := &testGroup{Group: fakeplatform.NewGroup(t, fakeplatform.GroupShape{
		Ranks: groupSize, Experts: expertCount, Places: engineConfig.SlotsPerRank, Spare: engineConfig.MaxNewExperts, PopularityShiftPasses: drift,
	}, 1)}
	for rank, address := range g.EngineAddresses {
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

// startAgent starts the rank agent of an engine.
func (g *testGroup) startAgent(t *testing.T, rank int, engine string) {
	address, err := ranks.AgentAddress(engine, fakeplatform.PortPeers)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	executor := ranks.NewExecutor(platform.NewEngine(engine, http.DefaultClient))
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
		answer, _ := proto.Marshal(executor.Execute(r.Context(), req))
		_, _ = w.Write(answer)
	})}
	go func() { _ = server.Serve(l) }()
	g.agents[rank] = server
	t.Cleanup(func() { _ = server.Close() })
}

// fakeCluster is the view of an entry that is selected to coordinate.
type fakeCluster struct {
	engines  []Engine
	selected atomic.Bool
}

func (f *fakeCluster) IsCoordinator() bool { return f.selected.Load() }
func (f *fakeCluster) IsLeaving() bool     { return false }
func (f *fakeCluster) Engines() []Engine   { return f.engines }

// newStore returns a store that assigns rising fences.
func newStore(t *testing.T) *platform.Store { return newRefusingStore(t, 0) }

// newRefusingStore returns a store that refuses the given number of calls before it assigns fences.
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
	cluster.selected.Store(true)
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

// waitForPasses waits until more than n further passes have begun.
func (g *testGroup) waitForPasses(t *testing.T, n int64) {
	t.Helper()
	start := g.State().Passes
	waitFor(t, "passes go on", func() bool { return g.State().Passes > start+n })
}

// Half of all tokens go to one expert, which one rank holds, so every pass waits for that rank. The
// coordinator has the expert copied to other ranks, and no pass begins with two maps meanwhile.
func TestAPopularExpertIsCopied(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, 0)
	startCoordinator(t, g, newStore(t))
	waitFor(t, "the popular expert is loaded on several ranks", func() bool { return g.State().Replicas >= 3 })
}

// The answers to a third of the orders are lost. The switch still completes, and the group does not
// stay held.
func TestLostAnswersToOrders(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, 0)
	g.SetOrderFaults(fakeplatform.OrderFaults{LostAnswers: 0.33})
	startCoordinator(t, g, newStore(t))
	waitFor(t, "the popular expert is loaded on several ranks", func() bool { return g.State().Replicas >= 3 })
	g.waitForPasses(t, 20)
}

// A VM becomes unresponsive right after its rank agent has forwarded the order to hold the group.
// Until it wakes, nobody can reach its engine to release the hold. Rank agents must therefore never
// receive such orders.
func TestNoVMBesideAnEngineHoldsTheGroup(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, 200)
	startCoordinator(t, g, newStore(t))
	waitFor(t, "several versions were in use", func() bool { return g.State().Versions >= 3 })
	if n := g.agentHoldOrders.Load(); n != 0 {
		t.Errorf("rank agents received %d orders to hold the group or to release a hold, want 0", n)
	}
}

// The rank agent of one engine does not answer. The engine is called directly, and the group still
// makes passes and switches maps.
func TestSilentRankAgentIsBypassed(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, 0)
	startCoordinator(t, g, newStore(t))
	waitFor(t, "the first map is in use", func() bool { return g.State().Version != 0 })
	g.silent[2].Store(true)
	g.waitForPasses(t, 400)
}

// A coordinator dies while the group is held. The next one has a higher fence, completes the switch
// and releases the hold. When the first one returns, it is refused and backs off.
func TestNextCoordinatorFinishesTheSwitch(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, 200)
	store := newStore(t)
	held := g.Hold(1, 3)
	_, first := startCoordinator(t, g, store)
	waitFor(t, "passes go on", func() bool { return g.State().Step > held+5 })
	_, second := startCoordinator(t, g, store)
	waitFor(t, "the second coordinator has a higher fence", func() bool { return second.Fence() > first.Fence() })
	waitFor(t, "the first coordinator gives up its fence", func() bool { return first.Fence() == 0 })
	g.waitForPasses(t, 20)
}

// A coordinator dies after all ranks have prepared its map. The next one must use that map at once, and
// not leave the group with one that does not fit until it has counts and another copy is complete.
func TestNextCoordinatorUsesThePreparedMap(t *testing.T) {
	t.Parallel()
	const prepared = 7
	g := newTestGroup(t, 200)
	g.Prepare(prepared)
	waitFor(t, "all ranks have the copy", func() bool { return g.IsPrepared(prepared) })
	startCoordinator(t, g, newStore(t))
	waitFor(t, "a map is used", func() bool { return g.State().Version != 0 })
	if !g.HasUsed(prepared) {
		t.Errorf("the first map used is %d, want the prepared one", g.State().Version)
	}
	g.waitForPasses(t, 20)
}

// The coordinator is replaced during an outage of the store. Meanwhile the popularity of experts
// changes, and every pass waits for one rank. Once the store answers, the next coordinator must
// begin within the short interval between requests for a fence, not after the long backoff of a
// coordinator that engines refused.
func TestACoordinatorBeginsSoonAfterAnOutage(t *testing.T) {
	t.Parallel()
	const refusals = 12
	g := newTestGroup(t, 0)
	startCoordinator(t, g, newRefusingStore(t, refusals))
	waitFor(t, "the popular expert is loaded on several ranks", func() bool { return g.State().Replicas >= 3 })
}

// Rank agents are replaced one after the other, so that at any time one of them refuses
// connections, while the popularity of experts changes. Maps must still follow within seconds.
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
			g.startAgent(t, rank, g.EngineAddresses[rank])
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
	t.Logf("longest time without a new map: %v", longest)
	if longest > maxWithoutNewMap {
		t.Errorf("no new map within %v although the popularity of experts changes", maxWithoutNewMap)
	}
}
