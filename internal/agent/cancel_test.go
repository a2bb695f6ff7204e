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

// A caller hangs up just as its request is sent. The engine is told to cancel the request before
// it has read it from its socket, does not know it, and starts it afterwards. The slot at the
// agent must not be released meanwhile: one request more than its limit crashes a cold engine,
// which breaks the answers of all other callers.
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
		t.Errorf("the slot was released: begun %v, canceled %v", begun.Load(), cancelled.Load())
	}
}
