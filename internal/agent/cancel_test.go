package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
)

// A caller hangs up just as its request is sent. The engine is told to cancel it before it
// has taken the request out of its socket, knows nothing of it, and then begins it. Its
// place at the agent must not be free meanwhile: a cold engine that gets one request more
// than it bears falls over, with the answers of all other callers.
func TestACancelThatComesBeforeItsRequest(t *testing.T) {
	var begun, cancelled atomic.Bool
	sent := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/engine/cancel") {
			if begun.Load() {
				cancelled.Store(true)
			}
			return
		}
		close(sent)
		time.Sleep(50 * time.Millisecond)
		begun.Store(true)
	}))
	defer server.Close()
	e := testExecutor(t, server.URL, &api.Backend{Model: "m", ColdLimit: 1, FullLimit: 1})
	j, refused := e.accept(&api.Work{Kind: api.WorkKind_WORK_COMPLETION, Model: "m", Method: "POST", Path: "/v1/completions", DeadlineMs: 5000, RequestId: "r"})
	if refused != nil {
		t.Fatal(refused)
	}
	<-sent
	e.mu.Lock()
	j.cancel()
	e.mu.Unlock()
	awaitEnd(t, e, j)
	for running := 1; running > 0; time.Sleep(time.Millisecond) {
		e.mu.Lock()
		running = e.limiter.Running()
		e.mu.Unlock()
	}
	if !begun.Load() || !cancelled.Load() {
		t.Errorf("the place is free again: begun %v, cancelled %v", begun.Load(), cancelled.Load())
	}
}
