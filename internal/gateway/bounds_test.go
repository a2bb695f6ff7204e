package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/internal/upstream"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

// slowBody is a body without end, one byte at a time.
type slowBody struct{}

func (slowBody) Read(p []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	return copy(p, "x"), nil
}

// A caller sends its body without end, so slowly that no limit in bytes is reached.
func TestABodyWithoutEndIsReadUntilTheDeadline(t *testing.T) {
	t.Parallel()
	_, servers, e := startWorld(t, fakeplatform.Echo)
	began := time.Now()
	r := e.ask("POST", "/look/x", "r1", withDeadline("600"), func(req *http.Request) {
		req.Body, req.ContentLength = io.NopCloser(slowBody{}), -1
	})
	if took := time.Since(began); r.status != http.StatusServiceUnavailable || took > 2*time.Second {
		t.Errorf("got %s after %s", r, took)
	}
	if n := len(servers[0].Requests()); n > 0 {
		t.Errorf("the server got %d requests", n)
	}
	if r := e.ask("POST", "/look/x", "r2"); r.status != http.StatusOK {
		t.Errorf("the next request got %s", r)
	}
	if held := e.bodies.Held(); held != 0 {
		t.Errorf("%d bytes of bodies are held after all requests have ended", held)
	}
}

// The bodies of many requests, each of a size that is allowed, fill the memory.
func TestBodiesTogetherAreBounded(t *testing.T) {
	t.Parallel()
	_, _, e := startWorld(t, fakeplatform.Echo)
	e.bodies = bounded.NewBuffers(1000)
	withBody := func(bytes int) func(*http.Request) {
		return func(req *http.Request) {
			req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", bytes))), int64(bytes)
		}
	}
	if r := e.ask("POST", "/look/x", "r1", withBody(2000)); r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" {
		t.Errorf("got %s", r)
	}
	for n := range 5 {
		if r := e.ask("POST", "/look/x", fmt.Sprint("r2-", n), withBody(900)); r.status != http.StatusOK {
			t.Errorf("got %s", r)
		}
	}
}

// The answers of many requests, each held until it is whole, fill the memory. Without room, an answer is
// passed on as it arrives.
func TestAnswersTogetherAreBounded(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x", 10_000)
	_, _, e := startWorld(t, func(seen fakeplatform.ReceivedRequest, conn net.Conn) bool {
		_, _ = io.WriteString(conn, fakeplatform.WholeResponse(seen.ID(), long))
		return true
	})
	e.buffers = bounded.NewBuffers(1000)
	for n := range 3 {
		if r := e.ask("GET", "/look/x", fmt.Sprint("r", n)); r.status != http.StatusOK || r.body != long {
			t.Errorf("got status %d and %d bytes, error %v", r.status, len(r.body), r.err)
		}
	}
	if held := e.buffers.Held(); held != 0 {
		t.Errorf("%d bytes of answers are held after all requests have ended", held)
	}
}

// An answer states a length beyond what is passed on, and would break off midway.
func TestAnAnswerThatIsTooLongIsNotBegun(t *testing.T) {
	t.Parallel()
	_, _, e := startWorld(t, func(seen fakeplatform.ReceivedRequest, conn net.Conn) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n", seen.ID(), upstream.MaxResponseBytes+1)
		return false
	})
	if r := e.ask("GET", "/look/x", "r1"); r.status != http.StatusBadGateway {
		t.Errorf("got %s", r)
	}
}
