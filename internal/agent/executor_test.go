package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/answer"
	"github.com/apricothub/apricothub/coord/ticket"
	"github.com/apricothub/apricothub/internal/clock"
)

func newRegistry() metrics.Registry { return metrics.NewRegistry() }

// mintTicket returns a ticket of the executor's agent.
func mintTicket(t *testing.T, e *executor) *api.Ticket {
	t.Helper()
	minter := ticket.NewMinter()
	minter.Add(clock.Now(), e.grantTickets(clock.Now()))
	minted, ok := minter.Mint(clock.Now(), e.vm, "c")
	if !ok {
		t.Fatal("no ticket")
	}
	return minted
}

func pushWork(ticket *api.Ticket) *api.Work {
	return &api.Work{
		RequestId:  "r",
		Kind:       api.WorkKind_WORK_CALL,
		Service:    "labels",
		Customer:   "c",
		Method:     "POST",
		Path:       "/push",
		Body:       []byte("1"),
		DeadlineMs: 5000,
		Ticket:     ticket,
	}
}

// awaitEnd waits for the end of a job's answer and returns its refusal, if any.
func awaitEnd(t *testing.T, e *executor, j *job) *api.Refusal {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		e.mu.Lock()
		ended, changed := j.buffer.IsEnded(), j.changed
		e.mu.Unlock()
		if ended {
			return j.buffer.Refusal()
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
		}
	}
	t.Fatal("the answer has not ended")
	return nil
}

// The caller sends a push, gets no answer and sends it again with the same ticket while the first
// is still running. Both get the same answer, and the service runs the push once.
func TestSameTicketJoinsTheRun(t *testing.T) {
	var runs atomic.Int32
	hold := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		<-hold
		_, _ = w.Write([]byte("done"))
	}))
	defer server.Close()
	e := testExecutor(t, server.URL, &api.Backend{Service: "labels", FullLimit: 8, ColdLimit: 8, Queue: 4})
	minted := mintTicket(t, e)
	first, refused := e.accept(pushWork(minted))
	if refused != nil {
		t.Fatal(refused)
	}
	second, refused := e.accept(pushWork(minted))
	if refused != nil {
		t.Fatal(refused)
	}
	close(hold)
	if first != second || awaitEnd(t, e, first) != nil || runs.Load() != 1 {
		t.Errorf("same job %v, %d runs", first == second, runs.Load())
	}
	event, _ := first.buffer.Next(answer.CursorAt(1))
	if event.GetHead().GetStatus() != http.StatusOK {
		t.Errorf("the answer begins with %v", event)
	}
}

// The backend server is full, so a push is queued; then operators take the VM out of service. The
// caller is told "not run" at once. The same ticket must not run either when it is sent again
// after the VM has returned to service: "not run" must stay true.
func TestRefusedTicketNeverRuns(t *testing.T) {
	var runs atomic.Int32
	hold := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		<-hold
	}))
	defer server.Close()
	defer close(hold)
	e := testExecutor(t, server.URL, &api.Backend{Service: "labels", FullLimit: 1, ColdLimit: 1, Queue: 4})
	var refusing atomic.Int32 // OK
	e.refusing = func(time.Duration) api.ResultCode { return api.ResultCode(refusing.Load()) }
	if _, refused := e.accept(pushWork(mintTicket(t, e))); refused != nil {
		t.Fatal(refused)
	}
	queuedTicket := mintTicket(t, e)
	j, refused := e.accept(pushWork(queuedTicket))
	if refused != nil {
		t.Fatal(refused)
	}
	refusing.Store(int32(api.ResultCode_OUT_OF_SERVICE))
	e.dispatch(clock.Now())
	got := awaitEnd(t, e, j)
	if got.GetCode() != api.ResultCode_OUT_OF_SERVICE || got.GetRan() != api.Ran_RAN_NO {
		t.Errorf("the queued push got %v", got)
	}
	refusing.Store(int32(api.ResultCode_OK))
	retried, refused := e.accept(pushWork(queuedTicket))
	if refused == nil {
		refused = awaitEnd(t, e, retried)
	}
	if refused.GetRan() != api.Ran_RAN_NO {
		t.Errorf("the same ticket later got %v", refused)
	}
	if runs.Load() > 1 {
		t.Errorf("%d pushes ran", runs.Load())
	}
}

// The service reads a push and closes the connection without an answer. The caller is told
// "unknown", now and on every retry with the same ticket, and the push is not sent again.
func TestLostAnswerIsUnknownForGood(t *testing.T) {
	var runs atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	e := testExecutor(t, server.URL, &api.Backend{Service: "labels", FullLimit: 8, ColdLimit: 8, Queue: 4})
	minted := mintTicket(t, e)
	for range 3 {
		j, refused := e.accept(pushWork(minted))
		if refused == nil {
			refused = awaitEnd(t, e, j)
		}
		if refused.GetRan() != api.Ran_RAN_UNKNOWN {
			t.Errorf("got %v, want unknown", refused)
		}
	}
	if runs.Load() != 1 {
		t.Errorf("%d runs", runs.Load())
	}
}

// The process is frozen after a push got its slot, and the VM is taken out of service meanwhile.
// Before sending, the agent must check again whether it may accept work; the caller is told "not
// run".
func TestFrozenAgentLooksAgainBeforeSending(t *testing.T) {
	var runs atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer server.Close()
	e := testExecutor(t, server.URL, &api.Backend{Service: "labels", FullLimit: 8, ColdLimit: 8})
	var checks atomic.Int32
	e.refusing = func(time.Duration) api.ResultCode {
		if checks.Add(1) == 1 {
			return api.ResultCode_OK
		}
		return api.ResultCode_ISOLATED
	}
	j, refused := e.accept(pushWork(mintTicket(t, e)))
	if refused != nil {
		t.Fatal(refused)
	}
	if got := awaitEnd(t, e, j); got.GetRan() != api.Ran_RAN_NO || runs.Load() != 0 {
		t.Errorf("got %v after %d runs", got, runs.Load())
	}
}

// The agent restarts while its engine still runs three requests for the previous agent. New work
// must wait for their slots: the engine may be cold and must not get more than the limit, although
// the new agent knows nothing of the old requests.
func TestRestartedAgentCountsPredecessorsWork(t *testing.T) {
	var list atomic.Value
	list.Store(`{"ids":["a","b","c"]}`)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(list.Load().(string)))
	}))
	defer server.Close()
	e := testExecutor(t, server.URL, &api.Backend{Model: "m", FullLimit: 8, ColdLimit: 2, Queue: 4})
	e.runningKnown = false
	if _, refused := e.accept(&api.Work{Kind: api.WorkKind_WORK_COMPLETION, Model: "m", Customer: "c"}); refused.GetCode() != api.ResultCode_STARTING {
		t.Errorf("work before the engine reported its running requests got %v", refused)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = e.adoptRunning(ctx) }()
	waitUntil(t, func() bool { return e.status(clock.Now()).GetRunning() == 3 })
	list.Store(`{"ids":["c","new"]}`)
	waitUntil(t, func() bool { return e.status(clock.Now()).GetRunning() == 1 })
	list.Store(`{"ids":["new"]}`)
	waitUntil(t, func() bool { return e.status(clock.Now()).GetRunning() == 0 })
}

func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatal("timed out waiting for the condition")
}

// The service closes the connection without an answer, so it is unknown whether the push ran, and
// the caller is told so. Then its record is discarded to free memory. When the caller asks again,
// it must not be told "it ran", or the store keeps the old price.
func TestUnknownOutcomeSurvivesEviction(t *testing.T) {
	for _, evicted := range []bool{false, true} {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}))
		defer server.Close()
		e := testExecutor(t, server.URL, &api.Backend{Service: "labels", FullLimit: 8, ColdLimit: 8, Queue: 4})
		minted := mintTicket(t, e)
		j, refused := e.accept(pushWork(minted))
		if refused != nil {
			t.Fatal(refused)
		}
		if refused := awaitEnd(t, e, j); refused.GetRan() != api.Ran_RAN_UNKNOWN {
			t.Fatalf("the first answer is %v", refused)
		}
		e.mu.Lock()
		e.answers.MarkDelivered(j.buffer)
		e.answers = answer.NewStore(1<<20, time.Minute)
		if !evicted {
			delete(e.jobs, j.buffer.ID)
		}
		e.mu.Unlock()
		e.housekeeping(clock.Now())
		if _, refused := e.accept(pushWork(minted)); refused.GetRan() != api.Ran_RAN_UNKNOWN {
			t.Errorf("evicted %v: the second answer is %v", evicted, refused)
		}
	}
}

// An engine reports its prefix cache late and with gaps. New prefixes are reported to the entries
// for a second and then no longer; an engine without the interface is asked once.
func TestReportsIncludeNewPrefixes(t *testing.T) {
	var asked atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		switch r.URL.Path + "?" + r.URL.RawQuery {
		case "/engine/events?from=0":
			_, _ = w.Write([]byte(`{"events":[{"op":"add","prefix":7},{"op":"evict","prefix":8},{"op":"add","prefix":9}],"next":5}`))
		case "/engine/events?from=5":
			_, _ = w.Write([]byte(`{"events":[],"next":5}`))
		default:
			http.NotFound(w, r)
		}
	}))
	defer server.Close()
	e := testExecutor(t, server.URL, &api.Backend{Model: "m", FullLimit: 8, ColdLimit: 2})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.pollPrefixes(ctx)
	waitUntil(t, func() bool {
		reported := e.status(clock.Now()).GetPrefixes()
		return len(reported) == 2 && reported[0] == 7 && reported[1] == 9
	})
	waitUntil(t, func() bool { return len(e.status(clock.Now()).GetPrefixes()) == 0 })
	other := testExecutor(t, server.URL+"/none", &api.Backend{Model: "m", FullLimit: 8, ColdLimit: 2})
	before := asked.Load()
	other.pollCold(ctx)
	if n := asked.Load() - before; n < 1 || other.limiter.IsBackingOff(clock.Now()) {
		t.Errorf("asked %d times", n)
	}
}

// A ticket names an agent. If it is presented with a call of another service, or with a
// completion, the entry sends the request to that agent, whose backend server does not serve it.
// The request must be refused, and the ticket must stay valid for its own service.
func TestTicketOfAnotherServiceIsRefused(t *testing.T) {
	var runs atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer server.Close()
	e := testExecutor(t, server.URL, &api.Backend{Service: "labels", FullLimit: 8, ColdLimit: 8, Queue: 4})
	minted := mintTicket(t, e)
	other, completion := pushWork(minted), pushWork(minted)
	other.Service = "deposits"
	completion.Kind, completion.Model = api.WorkKind_WORK_COMPLETION, "m"
	unticketed := pushWork(nil)
	unticketed.Service = "deposits"
	for _, work := range []*api.Work{other, completion, unticketed} {
		if _, refused := e.accept(work); refused.GetRan() != api.Ran_RAN_NO {
			t.Errorf("%v: %v", work, refused)
		}
	}
	j, refused := e.accept(pushWork(minted))
	if refused != nil {
		t.Fatal(refused)
	}
	if refused := awaitEnd(t, e, j); refused != nil || runs.Load() != 1 {
		t.Errorf("%v after %d runs", refused, runs.Load())
	}
}

// An operator looks for a request by its ID in the dump of the agent that handled it.
func TestJournalRecordsOutcomes(t *testing.T) {
	status := atomic.Int32{}
	status.Store(http.StatusOK)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(int(status.Load())) }))
	defer server.Close()
	e := testExecutor(t, server.URL, &api.Backend{Model: "m", FullLimit: 8, ColdLimit: 8, Queue: 4})
	work := func(id string) *api.Work {
		return &api.Work{RequestId: id, Customer: "c", Kind: api.WorkKind_WORK_COMPLETION, Model: "m", Method: "POST", Path: "/v1/completions", DeadlineMs: 5000}
	}
	for id, code := range map[string]int{"good": http.StatusOK, "bad": http.StatusInternalServerError} {
		status.Store(int32(code))
		j, refused := e.accept(work(id))
		if refused != nil {
			t.Fatal(refused)
		}
		awaitEnd(t, e, j)
	}
	deadline := time.Now().Add(5 * time.Second)
	dump := e.journal.Dump(clock.Now())
	for len(dump.Served) != 1 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
		dump = e.journal.Dump(clock.Now())
	}
	if len(dump.Served) != 1 || dump.Served[0].Request != "good" || dump.Served[0].Offer != "model:m" {
		t.Errorf("served: %+v", dump.Served)
	}
	if len(dump.Refused) != 1 || dump.Refused[0].Request != "bad" || dump.Refused[0].Result != "401 BACKEND_FAILED" || dump.Refused[0].Ran != "unknown" {
		t.Errorf("refused: %+v", dump.Refused)
	}
}

// A full agent refuses thousands of requests a second, and entries send large prompts. Neither
// refused requests nor the bodies of ended ones may fill the memory until the retention time of
// answers has passed.
func TestEndedRequestsFreeMemory(t *testing.T) {
	hold := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold }))
	defer server.Close()
	e := testExecutor(t, server.URL, &api.Backend{Service: "labels", FullLimit: 1, ColdLimit: 1, Queue: 0})
	running, refused := e.accept(pushWork(mintTicket(t, e)))
	if refused != nil {
		t.Fatal(refused)
	}
	for range 100 {
		if _, refused := e.accept(pushWork(nil)); refused.GetRan() != api.Ran_RAN_NO {
			t.Fatal("a full agent accepted work")
		}
	}
	if held := e.dump().Answers; held != 1 {
		t.Errorf("%d answers are held", held)
	}
	close(hold)
	awaitEnd(t, e, running)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(running.work.GetBody()) > 0 {
		t.Error("the body of an ended request is still held")
	}
}

// The backend server turns cold while its slots are full and two requests are queued: a draft, and
// a push with a ticket. The draft's entry is told "not run" at once and places it elsewhere; the
// push, which cannot run elsewhere, stays in the queue.
func TestTurningColdRefusesQueuedRepeatableWork(t *testing.T) {
	hold := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold }))
	defer server.Close()
	defer close(hold)
	e := testExecutor(t, server.URL, &api.Backend{Service: "labels", FullLimit: 4, ColdLimit: 4, Queue: 4})
	for range 4 {
		if _, refused := e.accept(pushWork(nil)); refused != nil {
			t.Fatal(refused)
		}
	}
	ticketed, refused := e.accept(pushWork(mintTicket(t, e)))
	if refused != nil {
		t.Fatal(refused)
	}
	draft, refused := e.accept(pushWork(nil))
	if refused != nil {
		t.Fatal(refused)
	}
	e.mu.Lock()
	e.limiter.Adopt(5)
	e.mu.Unlock()
	e.dispatch(clock.Now())
	if got := awaitEnd(t, e, draft); got.GetCode() != api.ResultCode_COLD || got.GetRan() != api.Ran_RAN_NO {
		t.Errorf("the queued draft got %v", got)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queue.Len() != 1 || ticketed.buffer.IsEnded() {
		t.Errorf("%d queued, the push has ended: %v", e.queue.Len(), ticketed.buffer.IsEnded())
	}
}
