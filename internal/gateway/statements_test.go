package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/routing"
	"github.com/apricothub/apricothub/platform"
)

// state applies what a server says of itself in an answer to a request sent just now.
func (f *fleet) state(id string, a platform.Answer, now time.Duration) {
	f.recordStatements(f.servers[id].Server, a, now, now)
}

// callTask returns a request of a call that may take a long time.
func callTask() *task {
	return &task{route: &routing.Route{}, service: "app", team: "north"}
}

// The last server that takes requests asks for rest while others wait for the end of theirs: the queued
// callers would wait in vain.
func TestQueuedRequestsAreRefusedOnceAllServersRest(t *testing.T) {
	t.Parallel()
	f := newTestFleet(2, 4, 1, 0)
	f.clearRefusing("app")
	f.state("i-0", platform.Answer{Rest: 300 * msec}, 0)
	f.state("i-1", platform.Answer{Rest: 300 * msec}, 0)
	refused := make(chan *result.Error)
	began := time.Now()
	go func() {
		_, _, err := f.admitRequest(context.Background(), callTask(), 0)
		refused <- err
	}()
	for queued := 0; queued == 0; time.Sleep(msec) {
		queued = f.slotState("app").queued
	}
	f.state("i-0", platform.Answer{Rest: 3 * time.Second}, 10*msec)
	f.state("i-1", platform.Answer{Rest: 2 * time.Second}, 10*msec)
	err := <-refused
	if err == nil || err.Code != api.ResultCode_SATURATED || err.NotBefore != 2*time.Second {
		t.Fatalf("the queued request ended with %+v, want a refusal for 2 s", err)
	}
	if waited := time.Since(began); waited > maxQueueWait/2 {
		t.Errorf("it was refused after %v, want at once", waited)
	}
}

// A server asks for rest and the others serve: callers are neither refused nor kept waiting.
func TestRequestsGoToOtherServersDuringARest(t *testing.T) {
	f := newTestFleet(3, 4, 1, 0)
	f.clearRefusing("app")
	f.state("i-0", platform.Answer{Rest: 3 * time.Second}, 0)
	for range 8 {
		if id, code := f.pickApp(msec); code != api.ResultCode_OK || id == "i-0" {
			t.Fatalf("a request went to %q with code %v", id, code)
		}
	}
}

// A server restarts under its ID while it rests or has a rate limit: the new process has asked for nothing.
func TestAServerThatRestartsIsNotBoundByItsPredecessor(t *testing.T) {
	f := newTestFleet(1, 4, 1, 0)
	f.clearRefusing("app")
	none := 0.0
	f.state("i-0", platform.Answer{Rest: time.Minute, RateLimit: &none}, 0)
	if _, code := f.pickApp(msec); code == api.ResultCode_OK {
		t.Fatal("a request went to the server that rests")
	}
	restarted := registrations(1, 4)
	restarted[0].StartedAtUnixMs++
	f.setServers(restarted, nil, serviceTable(0), entryCounts{1, 1}, 2*msec)
	if _, code := f.pickApp(3 * msec); code != api.ResultCode_OK {
		t.Errorf("no request went to the restarted server: %v", code)
	}
}

// Callers that were refused because all servers rest come back before the rest is over, and are refused again.
func TestRefusedCallersComeBackAfterTheRest(t *testing.T) {
	g := &Gateway{}
	patient := &task{}
	for range 100 {
		if after := g.retryAfter(patient, refusalUntilRested(3*time.Second)); after < 3*time.Second || after > 3*time.Second+maxRetryAfter {
			t.Fatalf("a caller is told to come back after %v", after)
		}
	}
}

// A server with a rate limit refuses a request without stating the limit, as others answer in its place or
// its group is closed: the limit must hold until the server serves a request without it.
func TestARefusalDoesNotEndARateLimit(t *testing.T) {
	f := newTestFleet(1, 4, 1, 0)
	rate := 3.0
	f.state("i-0", platform.Answer{Signed: true, RateLimit: &rate}, 0)
	f.state("i-0", platform.Answer{NotRun: true}, msec)
	if !f.rateLimits.Any() {
		t.Error("a refusal has ended the limit")
	}
	f.state("i-0", platform.Answer{Signed: true}, 2*msec)
	if f.rateLimits.Any() {
		t.Error("an answer without the limit has not ended it")
	}
}

// Two servers of a service are ejected for failures, and the last one asks for rest: callers are refused
// although the ejected servers might serve them.
func TestEjectedServersServeWhileTheOthersRest(t *testing.T) {
	f := newTestFleet(3, 4, 1, 0)
	f.clearRefusing("app")
	for now := time.Duration(0); now < 10*msec; now += msec {
		for _, id := range []string{"i-0", "i-1"} {
			f.endAttempt(id, outcomeFailed, msec, now)
		}
	}
	if id, _ := f.pickApp(20 * msec); id != "i-2" {
		t.Fatalf("a request went to %q, want the server that is not ejected", id)
	}
	f.state("i-2", platform.Answer{Rest: 3 * time.Second}, 300*msec)
	if id, code := f.pickApp(310 * msec); code != api.ResultCode_OK || id == "i-2" {
		t.Errorf("a request went to %q with code %v, want an ejected server", id, code)
	}
}

// Heartbeats carry a limit with less precision than answers: entries take each report and each answer for a
// change of the limit, and log it.
func TestReportsKeepARateLimitExactly(t *testing.T) {
	f, other := newTestFleet(1, 4, 2, 0, 1), newTestFleet(1, 4, 2, 0, 2)
	rate := 0.3
	f.state("i-0", platform.Answer{Signed: true, RateLimit: &rate}, 0)
	other.recordRateLimitReports(f.rateLimitReports(msec), msec)
	if got, _ := other.rateLimits.Rate(other.servers["i-0"].hash); got != rate {
		t.Errorf("the other entry knows the limit as %v", got)
	}
}

// The only server of a service has rested, and the first request after that is under way: further callers
// are refused although the server may serve them in a moment.
func TestRequestsWaitForTheFirstAnswerAfterARest(t *testing.T) {
	t.Parallel()
	f := newTestFleet(1, 4, 1, 0)
	f.clearRefusing("app")
	f.state("i-0", platform.Answer{Rest: 100 * msec}, 0)
	f.updatePlacement(100 * msec)
	if _, code := f.pickApp(100 * msec); code != api.ResultCode_OK {
		t.Fatalf("the server gets no request after its rest: %v", code)
	}
	f.updatePlacement(105 * msec)
	admitted := make(chan *result.Error)
	go func() {
		_, _, err := f.admitRequest(context.Background(), callTask(), 110*msec)
		admitted <- err
	}()
	for queued := 0; queued == 0; time.Sleep(msec) {
		select {
		case err := <-admitted:
			t.Fatalf("the request ended with %v while the first one is under way", err)
		default:
		}
		queued = f.slotState("app").queued
	}
	f.state("i-0", platform.Answer{Signed: true}, 150*msec)
	if err := <-admitted; err != nil {
		t.Errorf("the request ended with %v after the server had served one", err)
	}
}
