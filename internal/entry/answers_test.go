package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/resources"
)

// A streamed answer breaks in the middle. The caller must get the failure as an event and no end
// marker, and the dump must show the same failure, not a fault of the entry.
func TestBrokenStreamIsRecordedAsAnswerBroken(t *testing.T) {
	agent := newFakeAgent(t, "b1", func(_ *api.Work, stream *link.Stream) {
		send(stream, accepted(), headOf(200, "text/event-stream"), partOf(1, "data: one\n\n"), partOf(3, "data: three\n\n"))
	})
	e, url := startEntry(t, agent)
	got := sendRequest(t, url, completions)
	if !got.cut || !strings.Contains(got.body, "data: one") || !strings.Contains(got.body, "ANSWER_BROKEN") ||
		strings.Contains(got.body, "three") || strings.Contains(got.body, "[DONE]") {
		t.Errorf("got %+v", got)
	}
	refused := e.journal.Dump(clock.Now()).Refused
	if len(refused) != 1 || refused[0].Result != "400 ANSWER_BROKEN" {
		t.Errorf("journal: %+v", refused)
	}
}

// An agent fails while it runs a request that may be repeated, and the next agent refuses it as not
// run. The caller must not be told that the request has not run.
func TestNotRunIsSaidOfAllAttempts(t *testing.T) {
	var agents [2]*fakeAgent
	script := func(other int) func(*api.Work, *link.Stream) {
		return func(_ *api.Work, stream *link.Stream) {
			if agents[other].workCount.Load() == 0 {
				send(stream, accepted())
				refuse(stream, api.ResultCode_BACKEND_FAILED, api.Ran_RAN_UNKNOWN)
				return
			}
			refuse(stream, api.ResultCode_DEADLINE_UNREACHABLE, api.Ran_RAN_NO)
		}
	}
	agents[0] = newFakeAgent(t, "b1", script(1))
	agents[1] = newFakeAgent(t, "b2", script(0))
	_, url := startEntry(t, agents[0], agents[1])
	got := sendRequest(t, url, completions)
	if got.result != "202 DEADLINE_UNREACHABLE" || got.ran != "unknown" {
		t.Errorf("got %+v", got)
	}
}

// A faulty agent sends an end without a head, or a status that HTTP does not define, at which
// net/http panics. The caller must get a result code, and nothing may stay counted as in flight.
func TestMalformedAnswers(t *testing.T) {
	for name, events := range map[string][]*api.WorkEvent{
		"no head":         {accepted(), endOf(0, 0)},
		"part, no head":   {accepted(), partOf(1, "x"), endOf(1, 1)},
		"status 0":        {accepted(), headOf(0, "text/plain"), endOf(0, 0)},
		"status 100":      {accepted(), headOf(100, "text/plain"), endOf(0, 0)},
		"status 9999":     {accepted(), headOf(9999, "text/event-stream"), partOf(1, "x"), endOf(1, 1)},
		"short":           {accepted(), headOf(200, "text/plain"), partOf(1, "x"), endOf(2, 2)},
		"empty":           {{}},
		"empty refusal":   {{Body: &api.WorkEvent_Refusal{}}},
		"nothing":         nil,
		"part after part": {accepted(), headOf(200, "text/plain"), partOf(1, "x"), partOf(9, "y"), endOf(2, 2)},
	} {
		agent := newFakeAgent(t, "b1", func(_ *api.Work, stream *link.Stream) { send(stream, events...) })
		e, url := startEntry(t, agent)
		got := sendRequest(t, url, completions, "Apricothub-Deadline-Ms", "300")
		if got.cut || got.status < 500 || got.result == "" {
			t.Errorf("%s: %+v", name, got)
		}
		if inFlight := e.directory.dump().InFlight; inFlight["model:m"] != 0 {
			t.Errorf("%s: %v in flight", name, inFlight)
		}
	}
}

// A request is retried at another agent only while the caller has received nothing, and a call that
// runs at most once only after a refusal that says "not run".
func TestRetryOnlyWhileTheCallerHasNothing(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		first  func(stream *link.Stream)
		result string
		works  int32
	}{
		"refused as not run":   {completions, func(s *link.Stream) { refuse(s, api.ResultCode_COLD, api.Ran_RAN_NO) }, "0 OK", 2},
		"a once call, not run": {"/services/s/push", func(s *link.Stream) { refuse(s, api.ResultCode_SATURATED, api.Ran_RAN_NO) }, "0 OK", 2},
		"a once call, unknown": {"/services/s/push", func(s *link.Stream) {
			send(s, accepted())
			refuse(s, api.ResultCode_OUTCOME_UNKNOWN, api.Ran_RAN_UNKNOWN)
		}, "302 OUTCOME_UNKNOWN", 1},
		"after a head": {completions, func(s *link.Stream) {
			send(s, accepted(), headOf(200, "text/plain"), partOf(1, "begun"))
			refuse(s, api.ResultCode_BACKEND_FAILED, api.Ran_RAN_UNKNOWN)
		}, "0 OK", 2},
		"after a part of a stream": {completions, func(s *link.Stream) {
			send(s, accepted(), headOf(200, "text/event-stream"), partOf(1, "data: x\n\n"))
			refuse(s, api.ResultCode_BACKEND_FAILED, api.Ran_RAN_UNKNOWN)
		}, "0 OK", 1},
	} {
		var agents [2]*fakeAgent
		script := func(other int) func(*api.Work, *link.Stream) {
			return func(work *api.Work, stream *link.Stream) {
				if agents[other].workCount.Load() == 0 {
					c.first(stream)
					return
				}
				wholeAnswer("the answer")(work, stream)
			}
		}
		for i := range agents {
			agents[i] = newFakeAgent(t, "b"+string(rune('1'+i)), script(1-i))
			if c.path != completions {
				agents[i].status = &api.BackendStatus{Service: "s", Limit: 8, FullLimit: 8}
			}
		}
		_, url := startEntry(t, agents[0], agents[1])
		got := sendRequest(t, url, c.path)
		if works := agents[0].workCount.Load() + agents[1].workCount.Load(); got.result != c.result || works != c.works {
			t.Errorf("%s: %+v after %d attempts", name, got, works)
		}
		if strings.Contains(got.body, "begun") || got.result == "0 OK" && c.works == 2 && got.body != "the answer" {
			t.Errorf("%s: %q", name, got.body)
		}
	}
}

// The link to the agent breaks in the middle of an answer that is not a stream. The entry attaches
// again at the next part, and the agent sends the head first, as always. The caller must also get
// the parts from before the break.
func TestAnAnswerGoesOnOverANewLink(t *testing.T) {
	var agent *fakeAgent
	agent = newFakeAgent(t, "b1", func(_ *api.Work, stream *link.Stream) {
		send(stream, accepted(), headOf(200, "text/plain"), partOf(1, "first "))
		time.Sleep(20 * time.Millisecond) // The part is read before the break.
		agent.link().Close(io.EOF)
	})
	agent.attached = func(attach *api.Attach, stream *link.Stream) {
		if attach.GetFrom() != 2 || attach.GetAnswerId() != "vm:1:1" || attach.GetCustomer() != "c" {
			t.Errorf("unexpected attach: %v", attach)
		}
		send(stream, headOf(200, "text/plain"), partOf(1, "late"), partOf(2, "second"), endOf(2, 12))
	}
	_, url := startEntry(t, agent)
	if got := sendRequest(t, url, completions); got.body != "first second" || got.status != 200 {
		t.Errorf("got %+v", got)
	}
}

// A caller asks for a long stream, and stops reading without closing its connection. The request
// must end at its deadline: otherwise it holds slots at the gate and at the agent, and a graceful
// shutdown waits for it.
func TestACallerThatDoesNotRead(t *testing.T) {
	agent := newFakeAgent(t, "b1", func(_ *api.Work, stream *link.Stream) {
		send(stream, accepted(), headOf(200, "text/event-stream"))
		event := "data: " + strings.Repeat("x", 1<<20) + "\n\n"
		for n := uint64(1); n < 64; n++ {
			if stream.Send(partOf(n, event)) != nil {
				return
			}
		}
	})
	e, url := startEntry(t, agent)
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	body := `{"model":"m","prompt":"p"}`
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\nApricothub-Deadline-Ms: 200\r\nContent-Length: %d\r\n\r\n%s",
		completions, testKey, len(body), body)
	eventually(t, "the request in flight", func() bool { return e.directory.dump().InFlight["model:m"] == 1 })
	began := time.Now()
	eventually(t, "the end of the request", func() bool { return len(e.directory.dump().InFlight) == 0 })
	if took := time.Since(began); took > 200*time.Millisecond+2*writeGrace {
		t.Errorf("the request ended after %v", took)
	}
}

// A caller reads its whole stream up to "[DONE]" and closes the connection at once, as client
// libraries do. The agent must still be told that the answer is delivered. Otherwise it keeps the
// answer for the caller to come back, until its memory for answers is full and it refuses work, and
// its graceful shutdown waits ten seconds for nobody.
func TestDeliveredIsSaidOfACallerThatHangsUp(t *testing.T) {
	const callers, callsEach = 16, 25
	var delivered atomic.Int32
	agent := newFakeAgent(t, "b1", func(_ *api.Work, stream *link.Stream) {
		send(stream, accepted(), headOf(200, "text/event-stream"), partOf(1, "data: x\n\n"), endOf(1, 9))
		signal := &api.WorkSignal{}
		if stream.Receive(signal) == nil && signal.GetDone() {
			delivered.Add(1)
		}
	})
	agent.status.Limit, agent.status.FullLimit = callers, callers
	_, url := startEntry(t, agent)
	var calls sync.WaitGroup
	for range callers {
		calls.Go(func() {
			for range callsEach {
				hangUpAtDone(t, url)
			}
		})
	}
	calls.Wait()
	eventually(t, "a delivery notice for each answer", func() bool { return delivered.Load() == agent.workCount.Load() })
}

// hangUpAtDone streams a completion and closes the connection as soon as the end marker arrives.
func hangUpAtDone(t *testing.T, url string) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = conn.Close() }()
	body := `{"model":"m","prompt":"p","stream":true}`
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		completions, testKey, len(body), body)
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		if lines.Text() == doneEvent {
			return
		}
	}
	t.Error("the stream ended without the end marker")
}

// writeCountingListener counts the writes to all its connections.
type writeCountingListener struct {
	net.Listener
	count atomic.Int64
}

func (l *writeCountingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &writeCountingConn{conn, &l.count}, err
}

type writeCountingConn struct {
	net.Conn
	count *atomic.Int64
}

func (c *writeCountingConn) Write(p []byte) (int, error) {
	c.count.Add(1)
	return c.Conn.Write(p)
}

// A caller hangs up at the last event of a stream, as some client libraries do, and asks again. The
// end of the HTTP answer must be sent in the same write as the last event, so that the connection
// can be kept: a new one costs the caller another round trip. The agent is told after that.
func TestStreamEndsByOneWrite(t *testing.T) {
	event := "data: x\n\n"
	doneReceived := make(chan bool, 1)
	agent := newFakeAgent(t, "b1", func(_ *api.Work, stream *link.Stream) {
		send(stream, accepted(), headOf(200, "text/event-stream"), partOf(1, event))
		time.Sleep(50 * time.Millisecond)
		send(stream, endOf(1, uint64(len(event))))
		signal := &api.WorkSignal{}
		doneReceived <- stream.Receive(signal) == nil && signal.GetDone()
	})
	e, _ := startEntry(t, agent)
	public := httptest.NewUnstartedServer(nil)
	count := &writeCountingListener{Listener: public.Listener}
	guard := e.newCallersGuard(resources.Of(0, 0))
	public.Config = guard.NewServer(e.handler())
	public.Listener = guard.Listener(count)
	public.Start()
	defer public.Close()
	for range 3 {
		count.count.Store(0)
		if got := sendRequest(t, public.URL, completions); !strings.Contains(got.body, event) {
			t.Errorf("the answer is %+v", got)
		}
		select {
		case done := <-doneReceived:
			if !done {
				t.Error("the agent was not told that the answer is delivered")
			}
		case <-time.After(5 * time.Second):
			t.Fatal("the agent received no signal")
		}
		if n := count.count.Load(); n != 2 {
			t.Errorf("%d writes for a token and the end", n)
		}
	}
}
