package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

// untilNothingInFlight waits until no request counts as in flight and no connection to a server is in use.
func (e *entry) untilNothingInFlight() {
	e.t.Helper()
	e.until("no request is in flight", func() bool { return len(e.fleet.inFlight()) == 0 })
	e.until("no connection is in use", func() bool {
		e.pool.CloseExpired(func(string) bool { return false })
		return e.pool.Open() == 0
	})
}

// spoilStatus answers requests whose path says so with the status in the path, and the others soundly.
func spoilStatus(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
	_, status, isSpoiled := strings.Cut(s.Request.URL.Path, "/status-")
	if !isSpoiled {
		return fakeplatform.Echo(s, conn)
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s OK\r\nAttempt-Id: %s\r\nUpstream-Signature: sig\r\nContent-Length: 2\r\n\r\nxx", status, s.ID())
	return err == nil
}

// Guards against answers with an invalid status that leave their requests in flight, until the server counts as full.
func TestAnInvalidStatusLeavesNoRequestInFlight(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "099", "101", "600", "999", "+12"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			_, _, e := startWorld(t, spoilStatus, spoilStatus)
			for _, path := range []string{"/look/", "/push/", "/draft/", "/chat/"} {
				r := e.ask("POST", path+"status-"+status, status+path)
				if r.status != http.StatusBadGateway || strings.Contains(r.body, "xx") {
					t.Errorf("%s: the caller got %s, want 502", path, r)
				}
			}
			e.untilNothingInFlight()
			if r := e.ask("GET", "/look/1", "sound"); r.status != http.StatusOK {
				t.Errorf("a sound request after the invalid answers: %s", r)
			}
		})
	}
}

// panickingWriter panics when an answer is delivered: at its header, or at its body.
type panickingWriter struct {
	http.ResponseWriter
	atHeader bool
}

func (w panickingWriter) WriteHeader(status int) {
	if w.atHeader {
		panic("header")
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w panickingWriter) Write([]byte) (int, error) { panic("body") }

// Guards against a panic on any way out of an attempt that leaves the request and its connection in use.
func TestAPanicInAnAttemptLeavesNoRequestInFlight(t *testing.T) {
	t.Parallel()
	_, _, e := startWorld(t, func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		if strings.HasPrefix(s.Request.URL.Path, "/draft/") {
			_, err := fmt.Fprint(conn, fakeplatform.StreamHead(s), fakeplatform.Chunk(fakeplatform.Event(1)), "0\r\n\r\n")
			return err == nil
		}
		return fakeplatform.Echo(s, conn)
	})
	for _, atHeader := range []bool{true, false} {
		for _, path := range []string{"/look/1", "/push/1", "/draft/1"} {
			serveWithPanic(t, e, path, atHeader)
		}
	}
	e.untilNothingInFlight()
	e.until("no slot is taken", func() bool { return e.fleet.slotState("app").running == 0 })
}

// serveWithPanic serves one request whose answer cannot be delivered without a panic.
func serveWithPanic(t *testing.T, e *entry, path string, atHeader bool) {
	t.Helper()
	defer func() {
		if recover() == nil {
			t.Errorf("%s, panic at the header %v: no panic", path, atHeader)
		}
	}()
	req := httptest.NewRequest(http.MethodPost, "http://h.example"+path, nil)
	req.Header.Set("Api-Key", "key-1")
	e.ServeHTTP(panickingWriter{httptest.NewRecorder(), atHeader}, req)
}
