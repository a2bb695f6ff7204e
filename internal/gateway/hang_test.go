package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

// maxAnswerTime is well within the 6 s deadline of the callers in these tests.
const maxAnswerTime = 4 * time.Second

// neverAnswer reads a request and never answers it.
func neverAnswer(conn net.Conn) bool {
	_, _ = conn.Read(make([]byte, 1))
	return false
}

// A server, or the connection to it, goes silent in the middle of a stream, and nothing closes. The
// caller must not wait until its deadline: another server must resume the stream.
func TestAStreamThatStandsStillGoesOnAtAnotherServer(t *testing.T) {
	t.Parallel()
	answer := func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		_, _ = io.WriteString(conn, fakeplatform.StreamHead(s))
		if s.ResumeAfter() == "" {
			_, _ = io.WriteString(conn, fakeplatform.Chunk(fakeplatform.Event(1)+fakeplatform.Event(2)))
			return neverAnswer(conn)
		}
		_, _ = io.WriteString(conn, fakeplatform.Chunk(fakeplatform.Event(3))+"0\r\n\r\n")
		return true
	}
	_, _, e := startWorld(t, answer, answer)
	began := time.Now()
	r := e.ask("POST", "/draft/1", "d1")
	if want := fakeplatform.Event(1) + fakeplatform.Event(2) + fakeplatform.Event(3); r.body != want || r.err != nil {
		t.Errorf("the caller got %q, %v", r.body, r.err)
	}
	if took := time.Since(began); took > maxAnswerTime {
		t.Errorf("it took %v", took)
	}
}

// A server accepts requests and answers none. A look-up must be answered by another server.
func TestALookUpThatHangsIsAnsweredByAnotherServer(t *testing.T) {
	t.Parallel()
	var asked atomic.Int32
	answer := func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		if asked.Add(1) == 1 {
			return neverAnswer(conn)
		}
		return fakeplatform.Echo(s, conn)
	}
	_, _, e := startWorld(t, answer, answer)
	began := time.Now()
	if r := e.ask("GET", "/look/1", "l1"); r.body != "answer to l1" {
		t.Errorf("the caller got %v", r)
	}
	if took := time.Since(began); took > maxAnswerTime {
		t.Errorf("it took %v", took)
	}
}

// A server accepts a push and does not answer. The push may have taken effect, so no other server
// may get it, however long it takes.
func TestAPushThatHangsStaysWhereItIs(t *testing.T) {
	t.Parallel()
	var asked atomic.Int32
	answer := func(_ fakeplatform.ReceivedRequest, conn net.Conn) bool {
		asked.Add(1)
		return neverAnswer(conn)
	}
	_, _, e := startWorld(t, answer, answer)
	r := e.ask("POST", "/push/1", "p1")
	if r.status != http.StatusGatewayTimeout || asked.Load() != 1 {
		t.Errorf("the caller got %v, and %d servers the push", r, asked.Load())
	}
}

// All kept connections have gone silent, and new ones work. A look-up that hung on one of them must
// be sent over a new connection, since it has no attempt left after that.
func TestALookUpThatHungGoesOnOverANewConnection(t *testing.T) {
	t.Parallel()
	answer := func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		if s.ID() == "l1" && !s.FirstOnConn {
			return neverAnswer(conn)
		}
		return fakeplatform.Echo(s, conn)
	}
	_, servers, e := startWorld(t, answer, answer)
	e.until("a connection to each server is kept", func() bool {
		e.ask("GET", "/look/1", "first")
		return len(servers[0].Requests()) > 0 && len(servers[1].Requests()) > 0
	})
	if r := e.ask("GET", "/look/1", "l1"); r.body != "answer to l1" {
		t.Errorf("the caller got %v", r)
	}
}

// A long answer arrives piece by piece, for longer than an answer without progress may take. It
// must not count as hanging and be broken off after the caller has part of it.
func TestALongAnswerThatComesSlowlyIsPassedOnWhole(t *testing.T) {
	t.Parallel()
	const pieces, size = 12, 200 << 10
	piece := strings.Repeat("x", size)
	answer := func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		_, _ = io.WriteString(conn, fmt.Sprintf(
			"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nUpstream-Signature: sig\r\nContent-Length: %d\r\n\r\n", s.ID(), pieces*size))
		for range pieces {
			if _, err := io.WriteString(conn, piece); err != nil {
				return false
			}
			time.Sleep(200 * time.Millisecond)
		}
		return true
	}
	_, servers, e := startWorld(t, answer, answer)
	if r := e.ask("GET", "/look/1", "long"); len(r.body) != pieces*size || r.err != nil {
		t.Errorf("the caller got %d bytes of %d, %v", len(r.body), pieces*size, r.err)
	}
	if n := len(servers[0].Requests()) + len(servers[1].Requests()); n != 1 {
		t.Errorf("%d servers were asked", n)
	}
}
