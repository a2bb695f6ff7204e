package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
)

// An agent shuts down gracefully while an answer is being delivered, and at that moment the link
// breaks. The entry requests the answer over another link, so the agent must still be running: a
// graceful shutdown must not cut off an answer.
func TestStopWaitsForAnAnswerWhoseLinkBroke(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("done"))
	}))
	defer server.Close()
	e := testExecutor(t, server.URL, &api.Backend{Service: "labels", FullLimit: 8, ColdLimit: 8})
	j, refused := e.accept(pushWork(mintTicket(t, e)))
	if refused != nil {
		t.Fatal(refused)
	}
	if refused := awaitEnd(t, e, j); refused != nil {
		t.Fatal(refused)
	}
	waitUntil(t, func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.running == 0 })
	if e.isIdle(clock.Now()) {
		t.Error("the agent would stop with an undelivered answer")
	}
	if !e.isIdle(clock.Now() + orphanGrace) {
		t.Error("the agent waits too long for a caller that does not return")
	}
	e.mu.Lock()
	e.answers.MarkDelivered(j.buffer)
	e.mu.Unlock()
	if !e.isIdle(clock.Now()) {
		t.Error("the agent waits although the answer was delivered")
	}
}

// A push arrives at a draining agent, which answers "not run" with a retry time. The caller
// retries with the same ticket, and only this agent can say that the ticket is void. If it had
// ended by then, the caller would be told "unknown" after "not run".
func TestStopWaitsForCallersToldToComeBack(t *testing.T) {
	e := testExecutor(t, "http://127.0.0.1:1", &api.Backend{Service: "labels", FullLimit: 8, ColdLimit: 8})
	e.refusing = func(time.Duration) api.ResultCode { return api.ResultCode_DRAINING }
	for name, refuse := range map[string]func(*api.Ticket){
		"refused on arrival": func(minted *api.Ticket) { _, _ = e.accept(pushWork(minted)) },
		"settled":            func(minted *api.Ticket) { _ = e.settleTicket(&api.Settle{Ticket: minted, Customer: "c"}) },
	} {
		minted := mintTicket(t, e)
		refuse(minted)
		now := clock.Now()
		if e.isIdle(now) || e.isIdle(now+defaultRetryAfter) {
			t.Errorf("%s: the agent would be gone when the caller retries", name)
		}
		if !e.isIdle(now + ticketRetryGrace) {
			t.Errorf("%s: the agent waits too long for a caller that does not retry", name)
		}
		if _, refused := e.accept(pushWork(minted)); refused.GetCode() != api.ResultCode_TICKET_VOID || refused.GetRan() != api.Ran_RAN_NO {
			t.Errorf("%s: a caller that retries is told %v", name, refused)
		}
		e.ticketRefusedAt = 0
	}
}

// Pushes are queued at an agent that starts to shut down. Each is refused as "not run" and its
// ticket is void, so no caller has a reason to return. A shutdown that waited for them as for an
// answer would delay the replacement of the VM by seconds.
func TestStopDoesNotWaitForWhatItRefused(t *testing.T) {
	started, hold := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-hold
	}))
	defer server.Close()
	e := testExecutor(t, server.URL, &api.Backend{Service: "labels", FullLimit: 1, ColdLimit: 1, Queue: 4})
	running, refused := e.accept(pushWork(mintTicket(t, e)))
	if refused != nil {
		t.Fatal(refused)
	}
	<-started
	waiting, refused := e.accept(pushWork(mintTicket(t, e)))
	if refused != nil {
		t.Fatal(refused)
	}
	e.refusing = func(time.Duration) api.ResultCode { return api.ResultCode_DRAINING }
	e.dispatch(clock.Now())
	if refused := awaitEnd(t, e, waiting); refused.GetRan() != api.Ran_RAN_NO {
		t.Fatalf("the queued push: %v", refused)
	}
	close(hold)
	if refused := awaitEnd(t, e, running); refused != nil {
		t.Fatal(refused)
	}
	waitUntil(t, func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.running == 0 })
	e.mu.Lock()
	e.answers.MarkDelivered(running.buffer)
	e.mu.Unlock()
	if !e.isIdle(clock.Now() + ticketRetryGrace) {
		t.Error("the agent waits for the reader of a refusal")
	}
}
