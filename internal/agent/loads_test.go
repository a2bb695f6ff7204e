package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
)

// fakeEngine accepts orders and answers them with a status.
type fakeEngine struct {
	mu     sync.Mutex
	status int
	loaded *loadedModel // nil for an engine that does not report it
	orders []string
}

func (f *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case r.URL.Path == "/engine/version" && f.loaded != nil:
		_ = json.NewEncoder(w).Encode(f.loaded)
	case r.URL.Path == "/engine/orders":
		var order engineOrder
		_ = json.NewDecoder(r.Body).Decode(&order)
		f.orders = append(f.orders, order.Kind+" "+order.Version+order.Adapter)
		w.WriteHeader(f.status)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (f *fakeEngine) setStatus(status int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status = status
}

func (f *fakeEngine) received() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.orders)
}

// newLoadingExecutor returns an executor with version 1 in front of an engine.
func newLoadingExecutor(t *testing.T, engine *fakeEngine) *executor {
	t.Helper()
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	e := testExecutor(t, server.URL, &api.Backend{Model: "m", ModelVersion: "1", ColdLimit: 2, FullLimit: 4})
	e.runningKnown = true
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = e.runOrders(ctx) }()
	return e
}

func loadOrder(fence int64, version string, adapters ...string) *api.LoadOrder {
	return &api.LoadOrder{Model: "m", Version: version, Adapters: adapters, Fence: fence}
}

// An engine that does not report what it has loaded gets a version and then its adapters. An order
// that is older than one accepted before, or than the list that the agent has applied, is ignored.
func TestOrdersAreCarriedOutOnce(t *testing.T) {
	engine := &fakeEngine{status: http.StatusOK}
	e := newLoadingExecutor(t, engine)
	e.acceptOrder(loadOrder(4, "0"), 5)
	e.acceptOrder(loadOrder(5, "2", "x", "y"), 5)
	e.acceptOrder(loadOrder(5, "2", "x", "y"), 5)
	waitUntil(t, func() bool { return !e.loading.Load() })
	e.acceptOrder(loadOrder(4, "1"), 3)
	e.acceptOrder(loadOrder(5, "2", "x", "y"), 5)
	if e.loading.Load() {
		t.Error("a stale order, or one that is already met, began")
	}
	want := []string{"load_model 2", "load_adapter 2x", "load_adapter 2y"}
	if got := engine.received(); !slices.Equal(got, want) {
		t.Errorf("orders %q, want %q", got, want)
	}
	status := e.status(clock.Now())
	if status.GetModelVersion() != "2" || !slices.Equal(status.GetAdapters(), []string{"x", "y"}) {
		t.Errorf("reported version %s, adapters %v", status.GetModelVersion(), status.GetAdapters())
	}
}

// A version does not load, and operators publish the previous one again. The engine does not
// report what it has loaded, so the previous version must be loaded too, and only then may the
// agent accept work.
func TestGoingBackFromAVersionThatDoesNotLoad(t *testing.T) {
	engine := &fakeEngine{status: http.StatusInternalServerError}
	e := newLoadingExecutor(t, engine)
	e.acceptOrder(loadOrder(5, "2"), 5)
	waitUntil(t, func() bool { return len(engine.received()) > 0 })
	if status := e.status(clock.Now()); !status.GetLoading() || status.GetModelVersion() != "" {
		t.Errorf("status %v, want loading and no version", status)
	}
	e.acceptOrder(loadOrder(6, "1"), 6)
	engine.setStatus(http.StatusOK)
	waitUntil(t, func() bool { return !e.loading.Load() })
	orders := engine.received()
	if last := orders[len(orders)-1]; last != "load_model 1" {
		t.Errorf("the last order is %q, want version 1", last)
	}
	if version := e.status(clock.Now()).GetModelVersion(); version != "1" {
		t.Errorf("reported version %q, want 1", version)
	}
}

// An engine that does not support orders, or has had a newer one, continues with what it has. The
// same order must not take it out of service again.
func TestRefusedOrdersEnd(t *testing.T) {
	for name, status := range map[string]int{"no orders": http.StatusNotFound, "old fence": http.StatusConflict} {
		t.Run(name, func(t *testing.T) {
			engine := &fakeEngine{status: status, loaded: &loadedModel{}}
			e := newLoadingExecutor(t, engine)
			for range 3 {
				e.acceptOrder(loadOrder(5, "2"), 5)
				waitUntil(t, func() bool { return !e.loading.Load() })
			}
			if got := engine.received(); len(got) != 1 {
				t.Errorf("orders %q, want one", got)
			}
			report := e.status(clock.Now())
			if report.GetModelVersion() != "1" || report.GetFixed() != (status == http.StatusNotFound) {
				t.Errorf("reported version %q, fixed %v", report.GetModelVersion(), report.GetFixed())
			}
		})
	}
}
