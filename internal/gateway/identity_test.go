package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

// strayServer answers soundly, and sends further bytes before some of its answers.
type strayServer struct {
	mu sync.Mutex
	// runs counts how often each request has run.
	runs map[string]int
}

func (s *strayServer) answer(r fakeplatform.ReceivedRequest, conn net.Conn) bool {
	_, _ = io.WriteString(conn, strayText(r))
	if r.Request.Header.Get("Stray-Only") != "" {
		return true
	}
	s.mu.Lock()
	s.runs[r.ID()]++
	s.mu.Unlock()
	if path := r.Request.URL.Path; strings.HasPrefix(path, "/draft/") || strings.HasPrefix(path, "/chat/") {
		head := strings.Replace(fakeplatform.StreamHead(r), "\r\n\r\n", "\r\nKeep-Alive: timeout=30\r\n\r\n", 1)
		_, err := io.WriteString(conn, head+fakeplatform.Chunk(eventsOf(r.ID()))+"0\r\n\r\n")
		return err == nil
	}
	_, err := io.WriteString(conn, fakeplatform.WholeResponse(r.ID(), eventsOf(r.ID())))
	return err == nil
}

func (s *strayServer) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// eventsOf is the answer to a request, as a stream of events or as a body.
func eventsOf(id string) string { return "id: 1\ndata: answer to " + id + "\n\n" }

// strayText returns the further bytes that a request asks for in its headers.
func strayText(r fakeplatform.ReceivedRequest) string {
	h := r.Request.Header
	if h.Get("Stray-Status") == "" {
		return ""
	}
	text := "HTTP/1.1 " + h.Get("Stray-Status") + " Stray\r\n"
	if id := h.Get("Stray-Id"); id != "" {
		text += "Attempt-Id: " + id + "\r\n"
	}
	if header := h.Get("Stray-Header"); header != "" {
		text += header + "\r\n"
	}
	return text + "Content-Length: 5\r\n\r\nstray"
}

// stray is an answer that a faulty server may send once more: a status and a header.
type stray struct{ status, header string }

var strays = []stray{{"503", "Not-Executed: 1"}, {"421", ""}, {"200", "Upstream-Signature: sig"}, {"200", ""}, {"500", "Upstream-Signature: sig"}}

// ask makes a request ask for a stray with an ID. isOnly means that no sound answer follows.
func (s stray) ask(id string, isOnly bool) func(*http.Request) {
	return func(r *http.Request) {
		r.Header.Set("Stray-Status", s.status)
		r.Header.Set("Stray-Id", id)
		r.Header.Set("Stray-Header", s.header)
		if isOnly {
			r.Header.Set("Stray-Only", "1")
		}
	}
}

// startStrayWorld starts an entry with one such server, so that a request finds the connection of the last one.
func startStrayWorld(t *testing.T) (*strayServer, *entry) {
	t.Helper()
	server := &strayServer{runs: make(map[string]int)}
	_, _, e := startWorld(t, server.answer)
	return server, e
}

// Guards against late bytes on a connection that are taken for the answer to the request that waits there: a request
// that must not run twice is sent again, or a caller gets the answer to another request.
func TestLateBytesAreNobodysAnswer(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"look", "push", "draft", "chat"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			server, e := startStrayWorld(t)
			for _, s := range strays {
				for _, strayID := range []string{"", "other"} {
					id := kind + s.status + s.header + strayID
					if r := e.ask("GET", "/look/1", "before "+id); r.status != http.StatusOK {
						t.Fatalf("%q: a sound request got %s", id, r)
					}
					if isOnNewConn := kind == "push" || kind == "chat"; isOnNewConn && strayID == "" {
						// The first answer on a connection belongs to no earlier request.
						continue
					}
					r := e.ask("POST", "/"+kind+"/1", id, s.ask(strayID, false))
					if n := server.runsOf(id); r.status != http.StatusOK || r.body != eventsOf(id) || r.err != nil || n != 1 {
						t.Errorf("%q: ran %d times, the caller got %s", id, n, r)
					}
				}
			}
		})
	}
}

// Guards against a success that no server has signed, and a refusal that is not believed on a new connection.
func TestAnAnswerWithoutIDOnANewConnection(t *testing.T) {
	t.Parallel()
	_, e := startStrayWorld(t)
	for _, c := range []struct {
		stray  stray
		status int
	}{
		{stray{"503", "Not-Executed: 1"}, http.StatusServiceUnavailable},
		{stray{"200", "Upstream-Signature: sig"}, http.StatusOK},
		{stray{"200", ""}, http.StatusBadGateway},
		{stray{"204", ""}, http.StatusBadGateway},
	} {
		id := c.stray.status + c.stray.header
		if r := e.ask("POST", "/push/1", id, c.stray.ask("", true)); r.status != c.status {
			t.Errorf("%q: the caller got %s, want %d", id, r, c.status)
		}
	}
}
