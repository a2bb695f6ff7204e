package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/expertmap"
	"github.com/apricothub/apricothub/internal/member"
)

// newTestGroup returns an agent's part of a group without peers, in front of an engine at a URL.
func newTestGroup(url string) *group {
	settings := &api.Group{Name: "g"}
	self := &api.Hello{Vm: "b1"}
	links := &api.Links{HeartbeatMs: 200, SuspectMs: 600, DeadMs: 1500, FreshnessMs: 2000}
	return &group{
		settings:    settings,
		self:        self,
		node:        member.New(member.Options{Self: self, Links: links, Logger: discardLogger{}}),
		backend:     newBackend(url),
		logger:      discardLogger{},
		placements:  newPlacementSet(settings),
		events:      make(chan func(), 8),
		tasks:       make(chan task, maxQueuedTasks),
		activeLoads: make(map[uint64]bool),
		agent:       expertmap.NewAgent(expertmap.AgentConfig{Group: "g", VM: "b1", Incarnation: "1", Engines: 1}),
	}
}

// The connection to an engine breaks repeatedly while a map is being loaded, and the agent
// requests the map with each new connection. Only one load may run at a time, and a load that
// began for an earlier engine must not count for its replacement.
func TestOneLoadOfAMapAtATime(t *testing.T) {
	hold := make(chan struct{})
	var loads atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		loads.Add(1)
		<-hold
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newTestGroup(server.URL)
	for range 10 {
		g.connectionCount++
		g.startLoad(ctx, 7)
	}
	g.connectionCount++
	time.Sleep(50 * time.Millisecond)
	if n := loads.Load(); n != 1 {
		t.Errorf("%d loads at once", n)
	}
	close(hold)
	(<-g.events)()
	if g.loadedMap == 7 {
		t.Error("a load for an earlier connection counts")
	}
	(<-g.events)()
	if g.loadedMap != 7 || loads.Load() != 2 || len(g.activeLoads) != 0 {
		t.Errorf("map %d after %d loads", g.loadedMap, loads.Load())
	}
}

// The weight store fails while a map is requested; then the coordinator is replaced, and its
// successor requests another map. The load of the first map must end. Otherwise it would ask the
// rate-limited store as long as the agent runs.
func TestLoadOfASupersededMapEnds(t *testing.T) {
	var first, second atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var load mapLoadRequest
		_ = json.NewDecoder(r.Body).Decode(&load)
		if load.Version == 7 {
			first.Add(1)
		} else {
			second.Add(1)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newTestGroup(server.URL)
	g.agent.EngineUp(engineIndex)
	g.agent.EngineStateRead(engineIndex, expertmap.EngineState{})
	requestMap := func(ballot, version uint64) {
		for _, m := range []*api.GroupMessage{
			{Body: &api.GroupMessage_Seal{Seal: &api.Seal{Ballot: ballot}}},
			{Body: &api.GroupMessage_Load{Load: &api.LoadMap{Ballot: ballot, Incarnation: "1", MapVersion: version}}},
		} {
			m.Group, m.FromVm, m.FromIncarnation = "g", "b0", strconv.FormatUint(ballot, 10)
			g.agent.HandleMessage(m)
		}
		g.process(ctx)
	}
	failures := func(n int) {
		for range n {
			(<-g.events)()
			g.process(ctx)
		}
	}
	requestMap(1, 7)
	failures(1)
	if first.Load() == 0 || !g.activeLoads[7] {
		t.Fatal("the load of the requested map is not retried")
	}
	requestMap(2, 8)
	failures(4)
	if g.activeLoads[7] || !g.activeLoads[8] {
		t.Errorf("loaders of %v, want 8 alone", g.activeLoads)
	}
	if second.Load() < 2 {
		t.Errorf("the load of the newly requested map was tried %d times", second.Load())
	}
}
