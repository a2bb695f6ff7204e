package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/apricothub/apricothub/platform"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

// unframedEvents is the whole of an answer without a length, as a stream of events or as a body.
const unframedEvents = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"

// unframed answers without a length. Paths that end in /cut get the first half, and the server ends; end ends it.
func unframed(end func()) fakeplatform.Handler {
	return func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + s.ID() + "\r\nUpstream-Signature: sig\r\nContent-Type: text/event-stream\r\n\r\n"
		body := unframedEvents
		isCut := strings.HasSuffix(s.Request.URL.Path, "/cut")
		if isCut {
			body = body[:len(body)/2]
		}
		_, _ = io.WriteString(conn, head+body)
		if isCut {
			end()
		}
		return false
	}
}

// Guards against a part of an answer that counts as whole, as its server ends in order: an end without a notice, while
// the server leaves, or after its registration is gone.
func TestAnAnswerThatItsServerCutsIsNotWhole(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(e *entry, store *fakeplatform.Store, server *fakeplatform.Server){
		"without a notice": func(*entry, *fakeplatform.Store, *fakeplatform.Server) {},
		"while it drains": func(e *entry, store *fakeplatform.Store, server *fakeplatform.Server) {
			store.Register(server, "draining")
			e.until("the server drains", func() bool { return e.fleet.dump(0)[0].Draining })
		},
		"without a registration": func(e *entry, store *fakeplatform.Store, server *fakeplatform.Server) {
			store.Put(platform.TopicServers, server.ID(), "")
			e.until("the server is registered no more", func() bool { return len(e.fleet.dump(0)) == 0 })
		},
	} {
		for _, kind := range []string{"push", "look", "draft", "chat"} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				checkCutAnswer(t, "/"+kind, leave)
			})
		}
	}
}

// checkCutAnswer checks that callers get whole answers without a length, and not one that its server cuts.
func checkCutAnswer(t *testing.T, path string, leave func(*entry, *fakeplatform.Store, *fakeplatform.Server)) {
	t.Helper()
	running, left := make(chan struct{}), make(chan struct{})
	var server *fakeplatform.Server
	store, servers, e := startWorld(t, unframed(func() {
		close(running)
		<-left
		server.Kill()
	}))
	server = servers[0]
	if r := e.ask("POST", path+"/whole", "whole"); r.status != http.StatusOK || r.body != unframedEvents || r.err != nil {
		t.Errorf("a whole answer: %s", r)
	}
	go func() {
		<-running
		leave(e, store, server)
		close(left)
	}()
	if r := e.ask("POST", path+"/cut", "cut"); r.status == http.StatusOK && r.err == nil {
		t.Errorf("an answer that was cut: %s", r)
	}
}
