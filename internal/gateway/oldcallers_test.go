package gateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

// askOld sends a request in HTTP/1.0 and returns all that arrives until the connection ends.
func (e *entry) askOld(path string) (string, error) {
	e.t.Helper()
	conn, err := net.Dial("tcp", e.settings.Listen.Callers)
	if err != nil {
		e.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: h.example\r\nAttempt-Id: old\r\nApi-Key: key-1\r\nContent-Length: 0\r\n\r\n", path); err != nil {
		e.t.Fatal(err)
	}
	text, err := io.ReadAll(conn)
	return string(text), err
}

// Guards against a part of an answer that a caller of HTTP/1.0 takes for the whole: it ends with the connection.
func TestAnAnswerThatIsCutIsNotWholeInHTTP10(t *testing.T) {
	t.Parallel()
	_, _, e := startWorld(t, func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		text := fakeplatform.StreamHead(s) + fakeplatform.Chunk(fakeplatform.Event(1))
		if strings.Contains(s.Request.URL.Path, "/long") {
			text += fakeplatform.Chunk(strings.Repeat("x", 2*maxBufferedBytes))
		}
		if strings.HasSuffix(s.Request.URL.Path, "/whole") {
			text += "0\r\n\r\n"
		}
		_, _ = io.WriteString(conn, text)
		return false
	})
	for _, path := range []string{"/chat/short", "/push/long"} {
		if text, err := e.askOld(path + "/whole"); err != nil || !strings.HasPrefix(text, "HTTP/1.0 200") || !strings.Contains(text, fakeplatform.Event(1)) {
			t.Errorf("%s: a caller got %d bytes of a whole answer, %v", path, len(text), err)
		}
		if text, err := e.askOld(path + "/cut"); err == nil && strings.HasPrefix(text, "HTTP/1.0 200") {
			t.Errorf("%s: a caller got %d bytes of an answer that was cut, and its end", path, len(text))
		}
	}
}
