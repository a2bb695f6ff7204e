package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

// A full server refuses a look-up with a body longer than the gateway reads, and keeps the
// connection. The end of the body arrives with the next request and looks like an answer without an
// id. The next caller must get the answer to its own request, and never the rest of the refusal.
func TestTheRestOfALongRefusalIsNobodysAnswer(t *testing.T) {
	t.Parallel()
	leftover := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 7\r\n\r\ncrossed"
	_, _, e := startWorld(t, func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		if s.Request.Header.Get("Attempt-Id") != "full" {
			if !s.FirstOnConn {
				_, _ = io.WriteString(conn, leftover)
			}
			return fakeplatform.Echo(s, conn)
		}
		_, _ = io.WriteString(conn, fmt.Sprintf(
			"HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: full\r\nNot-Executed: 1\r\nKeep-Alive: timeout=30\r\nContent-Length: %d\r\n\r\n%s",
			maxBufferedBytes+len(leftover), strings.Repeat("x", maxBufferedBytes)))
		return true
	})
	if r := e.ask("GET", "/look/1", "full"); r.status != http.StatusServiceUnavailable {
		t.Fatalf("the refused caller got %d %q", r.status, r.body)
	}
	if r := e.ask("GET", "/look/1", "next"); r.body != "answer to next" {
		t.Errorf("the next caller got %d %q", r.status, r.body)
	}
}
