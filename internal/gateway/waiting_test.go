package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/experts"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/routing"
)

// newSharedFleet returns the fleet of one of 99 entries that share n servers with six slots each, for
// calls of one of 40 teams.
func newSharedFleet(n int, coldRate float64) *fleet {
	cfg := &routing.Config{
		Version:  2,
		Services: []routing.Service{{Name: "app", ColdRate: coldRate}},
		Routes:   []routing.Route{{Kind: routing.Idempotent, Objective: 120 * msec, Targets: []routing.Target{{Service: "app", Weight: 1}}}},
	}
	for i := range 40 {
		cfg.Teams = append(cfg.Teams, routing.Team{Name: fmt.Sprint("team-", i), Keys: []string{fmt.Sprint("key-", i)}})
	}
	f := newTestFleet(0, 0, 1, 0)
	f.setServers(registrations(n, 6), nil, routing.NewTable(cfg), entryCounts{manyEntries + 1, manyEntries + 1}, 0)
	return f
}

// Pattern: capacity below one slot an entry. 99 entries share a service of five servers with six
// slots each; a few of its calls arrive at one entry within a tick. None may be refused while nearly
// all slots are free.
func TestFewSlotsForManyEntries(t *testing.T) {
	t.Parallel()
	f := newSharedFleet(5, 0)
	for i := range 3 {
		task := &task{route: &routing.Route{Kind: routing.Idempotent}, service: "app", team: "team-1", deadline: 600 * msec}
		if _, _, err := f.admitRequest(context.Background(), task, 0); err != nil {
			t.Errorf("call %d of 3 was refused: %v", i+1, err.Code)
		}
	}
}

// All servers come back cold after a loss of power, and this entry has used its part of what they
// bear. Requests that arrive meanwhile must wait for its next part: their deadline is seconds away.
func TestRequestsWaitForColdServers(t *testing.T) {
	t.Parallel()
	f := newSharedFleet(129, 0.1)
	ctx, cancel := context.WithTimeout(context.Background(), 200*msec)
	defer cancel()
	var requests sync.WaitGroup
	for i := range 12 {
		requests.Go(func() {
			task := &task{route: &routing.Route{Kind: routing.Stream}, service: "app", team: "team-1", deadline: 8 * time.Second}
			if _, _, err := f.admitRequest(ctx, task, 0); err != nil && err.Code == api.ResultCode_DEADLINE_UNREACHABLE {
				t.Errorf("request %d of 12 was refused as too late, with 8 s left", i+1)
			}
		})
		time.Sleep(2 * msec)
	}
	requests.Wait()
}

// Callers of a stream wait longer where its first event takes longer, as while a group of engines
// forms again, and a request may wait as long, but no longer.
func TestQueueWaitFollowsThePatienceOfCallers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		patience, left, want time.Duration
	}{
		{0, 8 * time.Second, maxQueueWait},
		{2 * time.Second, 8 * time.Second, 1300 * msec},
		{2400 * msec, 8 * time.Second, 1560 * msec},
		{2400 * msec, time.Second, 400 * msec},
	} {
		if got := queueWait(&routing.Route{Patience: c.patience}, c.left); got != c.want {
			t.Errorf("patience %v, %v left: %v, want %v", c.patience, c.left, got, c.want)
		}
	}
}

// Pattern: engines too few for their group. Requests wait while the group may still form, but once it
// has been closed for longer than any outage takes, they are refused at once, and start again as soon
// as the group opens.
func TestRequestsDoNotWaitForAServiceThatIsLongOut(t *testing.T) {
	t.Parallel()
	f := newSharedFleet(5, 0)
	closed := make(map[string]experts.Impairment)
	for id := range f.servers {
		closed[id] = experts.Impairment{Slowdown: 1, Closed: true}
	}
	admitFor := func(now, patience time.Duration) (time.Duration, *result.Error) {
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		task := &task{route: &routing.Route{Kind: routing.Stream}, service: "app", team: "team-1", deadline: now + 8*time.Second}
		_, _, err := f.admitRequest(ctx, task, now)
		return time.Since(began), err
	}
	const closedAt = time.Second
	f.setPeerReports(loadSums(nil), closed, closedAt)
	if waited, err := admitFor(closedAt+2*time.Second, 50*msec); err == nil || waited < 50*msec {
		t.Errorf("2 s after the group closed: waited %v, %v; want to wait", waited, err)
	}
	f.setPeerReports(loadSums(nil), closed, closedAt+maxOutageWait+msec)
	if waited, err := admitFor(closedAt+maxOutageWait+msec, time.Second); err == nil || waited > 500*msec {
		t.Errorf("long after the group closed: waited %v, %v; want a refusal at once", waited, err)
	}
	f.setPeerReports(loadSums(nil), nil, closedAt+maxOutageWait+time.Second)
	if _, err := admitFor(closedAt+maxOutageWait+time.Second, time.Second); err != nil {
		t.Errorf("after the group opened: %v", err)
	}
}

// Pattern: a backlog after a restart. The engines of a group register anew one after the other while it
// forms. Those that the coordinator does not report on yet must not look like the only open ones:
// requests would be refused for a long expected wait, moments before the group opens.
func TestRequestsWaitWhileTheEnginesOfAGroupRegister(t *testing.T) {
	t.Parallel()
	const ranks = 8
	cfg := routing.NewTable(&routing.Config{
		Version:  2,
		Services: []routing.Service{{Name: "app", Engine: &routing.Engine{Experts: 16}}},
		Routes:   []routing.Route{{Kind: routing.Stream, Targets: []routing.Target{{Service: "app", Weight: 1}}}},
	})
	f := newTestFleet(0, 0, 1, 0)
	old := registrations(ranks, 10)
	f.setServers(old, nil, cfg, entryCounts{35, 35}, 100*msec)
	f.clearRefusing("app")
	closed := make(map[string]experts.Impairment)
	for _, r := range old {
		closed[r.ID] = experts.Impairment{Slowdown: 1, Closed: true}
	}
	renewed := registrations(ranks, 10)
	for _, count := range []int{2, ranks} {
		for i := range count {
			renewed[i].ID = fmt.Sprint("new-", i)
		}
		f.setServers(renewed, nil, cfg, entryCounts{35, 35}, 600*msec)
		f.setPeerReports(loadSums(nil), closed, 650*msec)
		if s, code := f.pickForRetry(pickRequest{service: "app"}, 650*msec); code == api.ResultCode_OK {
			t.Errorf("%d engines are new: a request is sent to %s while the group forms", count, s.ID)
		}
		if got := f.slotState("app").capacity; got != 0 {
			t.Errorf("%d engines are new: %d slots are counted while the group forms, want 0", count, got)
		}
	}
	f.setPeerReports(loadSums(nil), nil, 700*msec)
	if _, code := f.pickForRetry(pickRequest{service: "app"}, 700*msec); code != api.ResultCode_OK {
		t.Errorf("no request is sent after the group opened: %v", code)
	}
}

// Pattern: a backlog after a restart. An entry that has just started knows neither a coordinator's report
// nor an answer of an engine. What is queued must not be sent before an engine says that its group is
// open: all engines would refuse it.
func TestNothingIsSentToAGroupThatMayBeClosed(t *testing.T) {
	t.Parallel()
	cfg := routing.NewTable(&routing.Config{
		Version:  2,
		Services: []routing.Service{{Name: "app", Engine: &routing.Engine{Experts: 16}}, {Name: "plain"}},
	})
	f := newTestFleet(0, 0, 1, 0)
	servers := registrations(4, 10)
	servers[3].Service = "plain"
	for _, now := range []time.Duration{100 * msec, 200 * msec} {
		f.setServers(servers, nil, cfg, entryCounts{35, 35}, now)
		if s, code := f.pickForRetry(pickRequest{service: "app"}, now); code == api.ResultCode_OK {
			t.Errorf("a request is sent to %s before its group is known to be open", s.ID)
		}
	}
	if _, code := f.pickForRetry(pickRequest{service: "plain"}, 200*msec); code != api.ResultCode_OK {
		t.Errorf("no request is sent to a service without groups: %v", code)
	}
	if services := f.takeUnconfirmed(); len(services) != 1 || services[0] != "app" {
		t.Errorf("services to confirm: %v, want the one with groups", services)
	}
	f.clearRefusing("app")
	f.setServers(servers, nil, cfg, entryCounts{35, 35}, 300*msec)
	if _, code := f.pickForRetry(pickRequest{service: "app"}, 300*msec); code != api.ResultCode_OK {
		t.Errorf("no request is sent after an engine said that its group is open: %v", code)
	}
	if services := f.takeUnconfirmed(); len(services) != 0 {
		t.Errorf("services to confirm again: %v", services)
	}
}
