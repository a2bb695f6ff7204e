package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/answer"
)

// awaitEvents waits until a job's answer has the given number of events.
func awaitEvents(t *testing.T, e *executor, j *job, events int) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for got := -1; got != events; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d events available, want %d", got, events)
		}
		e.mu.Lock()
		cursor := answer.CursorAt(1)
		var event *api.WorkEvent
		for got = -1; got < 0 || event != nil; got++ {
			event, cursor = j.buffer.Next(cursor)
		}
		e.mu.Unlock()
	}
}

// Each token is sent to the caller at once. Readers are woken only for what the caller can use:
// the header of an answer is sent with its first token, and the engine's last event with the end
// of the answer. An unnecessary wake-up costs a packet and several goroutine switches.
func TestReadersAreWokenForTokens(t *testing.T) {
	step := make(chan string)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for text := range step {
			_, _ = w.Write([]byte(text))
			_ = http.NewResponseController(w).Flush()
		}
	}))
	defer server.Close()
	e := testExecutor(t, server.URL, &api.Backend{Model: "m", FullLimit: 8, ColdLimit: 8, Queue: 4})
	work := &api.Work{Kind: api.WorkKind_WORK_COMPLETION, Model: "m", Customer: "c", Method: "POST", Path: "/", DeadlineMs: 20_000}
	j, refused := e.accept(work)
	if refused != nil {
		t.Fatal(refused)
	}
	for events, c := range []struct {
		text string
		wake bool
	}{{"", false}, {"data: x\n\n", true}, {"data: y\n\n", true}, {"data: [DONE]\n\n", false}} {
		e.mu.Lock()
		changed := j.changed
		e.mu.Unlock()
		step <- c.text
		awaitEvents(t, e, j, events+1)
		select {
		case <-changed:
			if !c.wake {
				t.Errorf("readers were woken after %q", c.text)
			}
		default:
			if c.wake {
				t.Errorf("no reader was woken after %q", c.text)
			}
		}
	}
	close(step)
	if refused := awaitEnd(t, e, j); refused != nil {
		t.Error(refused)
	}
}
