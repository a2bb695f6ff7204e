package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
)

// An agent is told to stop while an answer is on its way; at that moment the link
// breaks. The entry comes back for the answer over another link, so the agent must
// still be there: a planned stop cuts nothing.
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
		t.Error("the agent would end with an answer that nobody has had")
	}
	if !e.isIdle(clock.Now() + orphanGrace) {
		t.Error("the agent waits for a caller that does not come back")
	}
	e.mu.Lock()
	e.answers.MarkDelivered(j.buffer)
	e.mu.Unlock()
	if !e.isIdle(clock.Now()) {
		t.Error("the agent waits although the answer was delivered")
	}
}

// A push comes to an agent that is stopping: it is told "not run", and when to come back.
// The caller does so under the same ticket, of which this agent alone can say that it is
// void. Were it gone by then, the caller would be told "unknown" after "not run".
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
			t.Errorf("%s: the agent would be gone when the caller comes back", name)
		}
		if !e.isIdle(now + ticketRetryGrace) {
			t.Errorf("%s: the agent waits for a caller that does not come back", name)
		}
		if _, refused := e.accept(pushWork(minted)); refused.GetCode() != api.ResultCode_TICKET_VOID || refused.GetRan() != api.Ran_RAN_NO {
			t.Errorf("%s: a caller that comes back is told %v", name, refused)
		}
		e.ticketRefusedAt = 0
	}
}

// Pushes wait for room at an agent that is told to stop. Each is refused as "not run", its
// ticket is void, and nothing is left to come back for: a stop that waited for it as for an
// answer would hold the VM's replacement up for seconds.
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
		t.Fatalf("the push that waited: %v", refused)
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
