package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
	"github.com/apricothub/apricothub/test/harness"
)

const (
	// slowReadPause is how long a slow caller stops reading.
	slowReadPause = 2200 * time.Millisecond
	// slowReadBuffer is its receive buffer in bytes, less than one answer.
	slowReadBuffer = 2 << 10
	longEvents     = 20
)

// longEvent is an event that several of fill the receive buffer of a slow caller.
func longEvent(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 300)) }

func longStream() string {
	var text strings.Builder
	for n := 1; n <= longEvents; n++ {
		text.WriteString(longEvent(n))
	}
	return text.String()
}

// answerLong answers with a stream of events or with the same text as a body.
func answerLong(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
	if !strings.HasPrefix(s.Request.URL.Path, "/draft/") && !strings.HasPrefix(s.Request.URL.Path, "/chat/") {
		_, err := io.WriteString(conn, fakeplatform.WholeResponse(s.ID(), longStream()))
		return err == nil
	}
	_, _ = io.WriteString(conn, fakeplatform.StreamHead(s))
	for n := 1; n <= longEvents; n++ {
		if _, err := io.WriteString(conn, fakeplatform.Chunk(longEvent(n))); err != nil {
			return false
		}
		time.Sleep(10 * time.Millisecond)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// readSlowly sends a request on a connection of its own, stops reading after the header of the answer, and reads
// the rest.
func readSlowly(e *entry, path, id string) (body string, err error) {
	conn, err := harness.NewSmallReader(slowReadBuffer).Dial("tcp", e.settings.Listen.Callers)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nApi-Key: key-1\r\nDeadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n", path, id)
	if err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 16), nil)
	if err != nil {
		return "", err
	}
	time.Sleep(slowReadPause)
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// Guards against answers that are reset because their caller reads late, also around a planned stop.
func TestSlowCallersGetWholeAnswers(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore(t)
	store.Configure(1, fakeplatform.Routes(), "key-1")
	store.Serve(t, "i-a", answerLong)
	settings := settingsFor(store)
	settings.Bounds.TerminationGrace = 8 * time.Second
	e := start(t, settings)
	e.until("the server is known", func() bool { return len(e.fleet.dump(0)) == 1 })
	var callers sync.WaitGroup
	ask := func(when string) {
		for _, path := range []string{"/draft/1", "/chat/1", "/push/1", "/look/1"} {
			callers.Go(func() {
				body, err := readSlowly(e, path, when+path)
				if err != nil || body != longStream() {
					t.Errorf("%s, %s: %d bytes of %d, error %v", when, path, len(body), len(longStream()), err)
				}
			})
		}
	}
	ask("before the stop")
	time.Sleep(100 * time.Millisecond)
	e.cancel()
	ask("after the signal")
	callers.Wait()
}

// slowWriter is a caller that takes nothing for a while from the second part of its answer on.
type slowWriter struct {
	*httptest.ResponseRecorder
	parts int
	pause time.Duration
}

func (w *slowWriter) Write(p []byte) (int, error) {
	if w.parts++; w.parts == 2 {
		time.Sleep(w.pause)
	}
	return w.ResponseRecorder.Write(p)
}

// Guards against requests that are moved away from a sound server because their caller reads late.
func TestASlowCallerDoesNotMoveItsRequest(t *testing.T) {
	t.Parallel()
	_, servers, e := startWorld(t, answerLong, answerLong)
	req := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "http://h.example/draft/1", nil)
	req.Header.Set("Api-Key", "key-1")
	req.Header.Set("Deadline-Ms", "8000")
	caller := &slowWriter{ResponseRecorder: httptest.NewRecorder(), pause: slowReadPause}
	e.ServeHTTP(caller, req)
	if got := caller.Body.String(); got != longStream() {
		t.Errorf("the caller got %d bytes of %d", len(got), len(longStream()))
	}
	if n := len(servers[0].Requests()) + len(servers[1].Requests()); n != 1 {
		t.Errorf("the request was sent %d times", n)
	}
	if n := e.metrics.moved.Count(); n != 0 {
		t.Errorf("%d requests were moved", n)
	}
}
