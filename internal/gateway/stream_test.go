package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

// A server breaks off in the middle of an event. Another server must resume after the last whole
// event, and the caller must see one stream with nothing missing and nothing twice.
func TestAStreamGoesOnAtAnotherServer(t *testing.T) {
	t.Parallel()
	broken := make(chan string, 2)
	answer := func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		from := s.Request.Header.Get("Last-Event-Id")
		_, _ = io.WriteString(conn, fakeplatform.StreamHead(s))
		if from == "" {
			broken <- s.Request.Header.Get("Target-Instance")
			_, _ = io.WriteString(conn, fakeplatform.Chunk(fakeplatform.Event(1))+fakeplatform.Chunk(fakeplatform.Event(2))+fakeplatform.Chunk("id: 3\nda"))
			return false
		}
		if from != "2" {
			t.Errorf("resumed after %q", from)
		}
		_, _ = io.WriteString(conn, fakeplatform.Chunk(fakeplatform.Event(3))+fakeplatform.Chunk(fakeplatform.Event(4))+"0\r\n\r\n")
		return true
	}
	_, _, e := startWorld(t, answer, answer)
	r := e.ask("POST", "/draft/1", "d1")
	if want := fakeplatform.Event(1) + fakeplatform.Event(2) + fakeplatform.Event(3) + fakeplatform.Event(4); r.body != want || r.err != nil {
		t.Errorf("the caller got %q, %v", r.body, r.err)
	}
	if len(broken) != 1 {
		t.Errorf("%d streams were begun", len(broken))
	}
}

// A stream that cannot be resumed breaks off. The caller must notice: a truncated answer must not
// look whole.
func TestABrokenStreamLooksBroken(t *testing.T) {
	t.Parallel()
	_, _, e := startWorld(t, func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		_, _ = io.WriteString(conn, fakeplatform.StreamHead(s)+fakeplatform.Chunk(fakeplatform.Event(1)))
		return false
	})
	if r := e.ask("POST", "/chat/1", "c1"); r.err == nil || r.body != fakeplatform.Event(1) {
		t.Errorf("the caller got %q, %v", r.body, r.err)
	}
}

// A server sends an event again. The caller already has it, and passing it on would corrupt the
// stream.
func TestEventsOutOfOrderArePassedOnToNobody(t *testing.T) {
	t.Parallel()
	_, _, e := startWorld(t, func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		_, _ = io.WriteString(conn, fakeplatform.StreamHead(s)+fakeplatform.Chunk(fakeplatform.Event(1)+fakeplatform.Event(2)+fakeplatform.Event(2))+"0\r\n\r\n")
		return true
	})
	if r := e.ask("POST", "/chat/1", "o1"); r.err == nil || strings.Count(r.body, "id: 2") > 1 {
		t.Errorf("the caller got %q, %v", r.body, r.err)
	}
}

// A caller leaves in the middle of its stream. The server must stop working on it.
func TestACallerThatLeavesEndsTheWork(t *testing.T) {
	t.Parallel()
	ended := make(chan struct{})
	_, _, e := startWorld(t, func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		_, _ = io.WriteString(conn, fakeplatform.StreamHead(s)+fakeplatform.Chunk(fakeplatform.Event(1)))
		_, _ = conn.Read(make([]byte, 1))
		close(ended)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+e.settings.Listen.Callers+"/draft/1", nil)
	req.Host = "h.example"
	req.Header.Set("Api-Key", "key-1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if line, _ := bufio.NewReader(resp.Body).ReadString('\n'); line != "id: 1\n" {
		t.Fatalf("the stream began with %q", line)
	}
	cancel()
	_ = resp.Body.Close()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("the server went on")
	}
}
