package httpguard

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// An answer is written, or its connection fails. The function that keeps the answer for a caller's
// retry must be told which, exactly once, and not before the answer has been written.
func TestAfterAnswer(t *testing.T) {
	sentResults := make(chan bool, 2)
	returned := false
	server := httptest.NewUnstartedServer(nil)
	guard := newTestGuard(Limits{HeaderBytes: 1 << 16}, 10, 1<<30)
	server.Config = guard.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() { returned = true }()
		if r.URL.Path == "/broken" {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
		}
		if r.URL.Path == "/closes" {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, "answer")
		if !AfterAnswer(r.Context(), func(sent bool) { sentResults <- sent && returned }) {
			t.Error("AfterAnswer does not know the connection")
		}
	}))
	server.Listener = guard.Listener(server.Listener)
	server.Start()
	defer server.Close()
	for path, want := range map[string]bool{"/": true, "/closes": true, "/broken": false} {
		resp, err := http.Get(server.URL + path)
		if (err == nil) != want {
			t.Errorf("%s: %v", path, err)
		}
		if err == nil {
			_ = resp.Body.Close()
		}
		select {
		case sent := <-sentResults:
			if sent != want {
				t.Errorf("%s: sent %v, want %v", path, sent, want)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%s: the function was not called", path)
		}
	}
	if len(sentResults) > 0 {
		t.Error("the function was called twice")
	}
}
