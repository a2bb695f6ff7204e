package gateway

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/peering"
	"github.com/apricothub/apricothub/internal/routing"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

// A team with a priority of its own sends urgent requests and bulk. Engines admit the more urgent ones
// first, and must be able to tell them apart.
func TestEnginesAreToldTheUrgencyOfEachKind(t *testing.T) {
	t.Parallel()
	store, servers, e := startWorld(t, fakeplatform.Echo)
	routes := fakeplatform.Routes()
	for i := range routes {
		routes[i].Priority = map[string]int{"look": 0, "push": 2}[routes[i].Name]
	}
	teamPriority := 1
	store.ConfigureTeams(2, []fakeplatform.Service{{Name: "app", HealthPath: "/healthz"}}, routes,
		[]fakeplatform.Team{{Name: "north", Keys: []string{"key-1"}, Priority: &teamPriority}})
	e.until("the configuration is in force", func() bool { return e.view.Load().table.Version == 2 })
	urgencyOf := func(path, id string) int {
		e.ask("POST", path, id)
		for _, r := range servers[0].Requests() {
			if r.ID() == id {
				n, err := strconv.Atoi(r.Request.Header.Get("Request-Urgency"))
				if err != nil {
					t.Fatal(err)
				}
				return n
			}
		}
		t.Fatalf("the server did not get %s", id)
		return 0
	}
	if urgent, bulk := urgencyOf("/look/1", "l1"), urgencyOf("/push/1", "p1"); urgent >= bulk {
		t.Errorf("the urgent kind has urgency %d, the bulk %d", urgent, bulk)
	}
}

// urgentRoute and bulkRoute are routes to the engines of newRankedFleet.
var (
	urgentRoute = &routing.Route{Name: "urgent", Kind: routing.Stream, Priority: 0, Objective: 500 * msec, Targets: []routing.Target{{Service: "app", Weight: 1}}}
	bulkRoute   = &routing.Route{Name: "bulk", Kind: routing.Stream, Priority: 2, Objective: time.Second, Targets: []routing.Target{{Service: "app", Weight: 1}}}
)

// newRankedFleet returns the fleet of one of two entries that share four engines with four slots each.
func newRankedFleet() *fleet {
	f := newTestFleet(0, 0, 1, 0)
	table := routing.NewTable(&routing.Config{
		Version:  2,
		Services: []routing.Service{{Name: "app", Engine: &routing.Engine{Concurrency: 4}}},
		Routes:   []routing.Route{*urgentRoute, *bulkRoute},
		Teams:    []routing.Team{{Name: "north", Keys: []string{"k"}}},
	})
	f.setServers(registrations(4, 4), nil, table, entryCounts{2, 2}, 0)
	f.clearRefusing("app")
	return f
}

// demandOf is the demand for the engines that another entry tells.
func demandOf(urgent, bulk uint32) []*api.ServiceDemand {
	return []*api.ServiceDemand{{Service: peering.ServerHash("app"), Requests: []uint32{urgent, bulk}}}
}

// admitted returns how many of n requests of a route start at once. The others wait until ctx ends.
func admitted(ctx context.Context, f *fleet, route *routing.Route, rank, n int) int {
	var wait sync.WaitGroup
	started := make(chan bool, n)
	for range n {
		wait.Go(func() {
			t := &task{route: route, rank: rank, service: "app", team: "north", deadline: 20 * time.Second}
			_, _, err := f.admitRequest(ctx, t, 0)
			started <- err == nil
		})
	}
	wait.Wait()
	close(started)
	count := 0
	for ok := range started {
		if ok {
			count++
		}
	}
	return count
}

// Another entry holds more urgent requests than the engines take. Bulk at this entry must wait, apart from
// its floor, while urgent requests still start.
func TestBulkWaitsForUrgentRequestsOfOtherEntries(t *testing.T) {
	t.Parallel()
	f := newRankedFleet()
	f.setDemands("10.0.1.1", demandOf(16, 4), 0)
	ctx, cancel := context.WithTimeout(context.Background(), 100*msec)
	defer cancel()
	if n := admitted(ctx, f, bulkRoute, 1, 8); n == 0 || n > 3 {
		t.Errorf("%d of 8 requests of bulk started, want its floor", n)
	}
	if n := admitted(ctx, f, urgentRoute, 0, 4); n != 4 {
		t.Errorf("%d of 4 urgent requests started", n)
	}
	f.setDemands("10.0.1.1", nil, 0)
	if n := admitted(ctx, f, bulkRoute, 1, 4); n != 4 {
		t.Errorf("%d of 4 requests of bulk started after the other entry had room", n)
	}
}

// The others are told what runs and waits here only while engines are nearly full: each byte of a
// heartbeat goes from all entries to all.
func TestDemandIsToldWhileEnginesAreNearlyFull(t *testing.T) {
	t.Parallel()
	f := newRankedFleet()
	ctx, cancel := context.WithTimeout(context.Background(), 100*msec)
	defer cancel()
	admitted(ctx, f, bulkRoute, 1, 4)
	if got := f.ownDemands(); len(got) != 0 {
		t.Errorf("told %v while three quarters of the slots are free", got)
	}
	admitted(ctx, f, urgentRoute, 0, 8)
	got := f.ownDemands()
	if len(got) != 1 || !slices.Equal(got[0].GetRequests(), []uint32{8, 4}) {
		t.Errorf("told %v, want 8 urgent requests and 4 of bulk", got)
	}
}

// All requests to a service have the same rank. Nothing is divided or told.
func TestServicesWithoutRanksAreServedAsBefore(t *testing.T) {
	t.Parallel()
	f := newTestFleet(4, 4, 2, 0)
	f.setDemands("10.0.1.1", demandOf(100, 0), 0)
	if len(f.demands) != 0 || len(f.ownDemands()) != 0 {
		t.Errorf("a service without ranks has a demand table: %v", f.demands)
	}
}

// A configuration has more ranks than are told apart. The least urgent ones must still be limited.
func TestRanksBeyondTheLastAreLimited(t *testing.T) {
	t.Parallel()
	f := newRankedFleet()
	f.setDemands("10.0.1.1", demandOf(60, 0), 0)
	ctx, cancel := context.WithTimeout(context.Background(), 100*msec)
	defer cancel()
	if n := admitted(ctx, f, bulkRoute, maxRanks+3, 8); n == 0 || n > 3 {
		t.Errorf("%d of 8 requests of the least urgent rank started, want its floor", n)
	}
}
