package ranks

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/platform"
)

// fakeEngine records the maps that it is told to prepare, and answers with its counts.
type fakeEngine struct {
	maps   map[int64]layers
	counts []int64
}

func newFakeEngine(t *testing.T) (*fakeEngine, *platform.Engine) {
	e := &fakeEngine{maps: make(map[int64]layers)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /apricothub/order", func(w http.ResponseWriter, r *http.Request) {
		var o struct {
			Version int64
			Map     layers
		}
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			t.Error(err)
		}
		e.maps[o.Version] = o.Map
		w.WriteHeader(http.StatusAccepted)
	})
	mux.HandleFunc("GET /apricothub/report", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"group":{"name":"g","epoch":1,"state":"open"},"size":2}`))
	})
	mux.HandleFunc("GET /apricothub/picked", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"counts": e.counts})
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return e, platform.NewEngine(strings.TrimPrefix(server.URL, "http://"), server.Client())
}

func prepareOrder(version int64, m layers, base int64, baseMap layers, whole bool) *api.RankRequest {
	o := &api.RankOrder{Kind: api.RankOrder_PREPARE, Version: version}
	NewMapOrder(m, base, baseMap).AddTo(o, whole)
	return &api.RankRequest{Order: o}
}

// A rank agent that does not hold the map that changes apply to, because it was restarted or missed
// an order, must not pass anything on, and must ask for the whole map.
func TestARankAgentThatLacksTheMapAsksForIt(t *testing.T) {
	engine, client := newFakeEngine(t)
	x := NewExecutor(client)
	first, second := layers{{{0, 1}, {2, 3}}}, layers{{{0, 1}, {1, 3}}}
	if reply := x.Execute(t.Context(), prepareOrder(2, second, 1, first, false)); !reply.GetNeedsMap() || len(engine.maps) != 0 {
		t.Fatalf("got %v, and the engine %v", reply, engine.maps)
	}
	if reply := x.Execute(t.Context(), &api.RankRequest{}); reply.GetNeedsMap() {
		t.Error("a request without an order is said to need a map")
	}
	x.Execute(t.Context(), prepareOrder(1, first, 0, nil, true))
	if reply := x.Execute(t.Context(), prepareOrder(2, second, 1, first, false)); reply.GetNeedsMap() || !reflect.DeepEqual(engine.maps[2], second) {
		t.Errorf("got %v, and the engine %v", reply, engine.maps)
	}
	// Another coordinator takes other contents for version 2.
	if reply := x.Execute(t.Context(), prepareOrder(3, first, 2, first, false)); !reply.GetNeedsMap() {
		t.Errorf("changes of another map were applied: %v, and the engine has %v", reply, engine.maps)
	}
	if reply := x.Execute(t.Context(), prepareOrder(3, first, 2, first, true)); reply.GetNeedsMap() || !reflect.DeepEqual(engine.maps[3], first) {
		t.Errorf("got %v, and the engine %v", reply, engine.maps)
	}
}

// Two coordinators poll a rank during a takeover. Each must get true counts, whichever of them the
// changes would apply to.
func TestCountsForTwoCoordinators(t *testing.T) {
	engine, client := newFakeEngine(t)
	x := NewExecutor(client)
	type held struct {
		id     uint64
		counts []int64
	}
	var holders [2]held
	compact := 0
	for step := range int64(8) {
		engine.counts = []int64{step, 40 * step, 7}
		h := &holders[(step/3)%2]
		reply := x.Execute(t.Context(), &api.RankRequest{Counts: true, CountsBase: h.id})
		if len(reply.GetCounts()) == 0 {
			compact++
		}
		*h = held{reply.GetCountsId(), UpdateCounts(reply, h.counts, nil)}
		if !reflect.DeepEqual(h.counts, engine.counts) {
			t.Fatalf("step %d: got %v, want %v", step, h.counts, engine.counts)
		}
	}
	// Those to the coordinator that also got the reply before.
	const wantCompact = 5
	if compact != wantCompact {
		t.Errorf("%d replies told changes only, want %d", compact, wantCompact)
	}
}

// All VMs have lost power, and the group begins again with the map that deals experts in turn. The
// first change must not need the whole map, which every rank agent would have to be sent at once.
func TestTheFirstMapOfAGroupNeedsNoWholeMap(t *testing.T) {
	engine, client := newFakeEngine(t)
	x := NewExecutor(client)
	initial, next := layers{{{0, 2}, {1, 3}}}, layers{{{0, 2, 3}, {1, 3}}}
	req := prepareOrder(1, next, 0, initial, false)
	if len(req.GetOrder().GetMap()) != 0 {
		t.Error("the whole map is sent")
	}
	if reply := x.Execute(t.Context(), req); reply.GetNeedsMap() || !reflect.DeepEqual(engine.maps[1], next) {
		t.Errorf("got %v, and the engine %v", reply, engine.maps)
	}
	// An engine that begins with another map gets the right one all the same.
	other := layers{{{3, 2}, {1, 0}}}
	if reply := x.Execute(t.Context(), prepareOrder(2, next, 0, other, false)); reply.GetNeedsMap() || !reflect.DeepEqual(engine.maps[2], next) {
		t.Errorf("got %v, and the engine %v", reply, engine.maps)
	}
}
