package gateway

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricothub/apricothub/platform"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

// startWorld starts a store with the usual configuration, backend servers with the given answers,
// and one entry.
func startWorld(t *testing.T, answers ...fakeplatform.Handler) (*fakeplatform.Store, []*fakeplatform.Server, *entry) {
	t.Helper()
	store := fakeplatform.NewStore(t)
	store.Configure(1, fakeplatform.Routes(), "key-1", "key-2")
	var servers []*fakeplatform.Server
	for i, answer := range answers {
		servers = append(servers, store.Serve(t, "i-"+string(rune('a'+i)), answer))
	}
	e := start(t, settingsFor(store))
	e.until("all servers are known", func() bool {
		return len(e.fleet.dump(0)) == len(servers)
	})
	return store, servers, e
}

// withDeadline sets the deadline of a request, in milliseconds.
func withDeadline(ms string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Deadline-Ms", ms) }
}

// A request is forwarded unchanged: path with its escapes, query, body and headers. The key is
// removed, and the team's name is that of the key's holder, whatever the caller sent.
func TestARequestGoesThroughUnchanged(t *testing.T) {
	t.Parallel()
	_, servers, e := startWorld(t, fakeplatform.Echo)
	r := e.ask("POST", "/push/a%2Fb//c?q=1&q=%20", "r1", func(req *http.Request) {
		req.URL.Opaque = "/push/a%2Fb//c"
		req.Header.Set("Tenant", "forged")
		req.Header.Set("X-Other", "kept")
	})
	if r.status != 200 || r.body != "answer to r1" || r.header.Get("Upstream-Signature") != "sig" {
		t.Fatalf("the caller got %+v", r)
	}
	got := servers[0].Requests()[0]
	if got.Request.RequestURI != "/push/a%2Fb//c?q=1&q=%20" || got.Body != "body of r1" || got.Request.Host != "h.example" {
		t.Errorf("the server got %s %q for %s", got.Request.RequestURI, got.Body, got.Request.Host)
	}
	h := got.Request.Header
	if h.Get("Api-Key") != "" || h.Get("Tenant") != "north" || h.Get("Target-Instance") != "i-a" || h.Get("X-Other") != "kept" {
		t.Errorf("the server got the header %v", h)
	}
}

// A server reads a push and closes its connection without an answer. The push may have taken
// effect: neither the gateway nor the HTTP library may send it again, over a new connection or a
// kept one, with another server available. The caller is told that the outcome is unknown.
func TestAPushIsNeverSentTwice(t *testing.T) {
	t.Parallel()
	drop := func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		if strings.HasPrefix(s.Request.RequestURI, "/look/") {
			return fakeplatform.Echo(s, conn)
		}
		return false
	}
	_, servers, e := startWorld(t, drop, drop)
	for _, kept := range []bool{false, true} {
		if kept {
			// Leave connections behind that can be reused.
			for i := range 8 {
				if r := e.ask("GET", "/look/1", "warm-"+string(rune('a'+i))); r.status != 200 {
					t.Fatalf("look-up: %+v", r)
				}
			}
		}
		for _, body := range []string{"x", ""} {
			before := len(servers[0].Requests()) + len(servers[1].Requests())
			r := e.ask("POST", "/push/1", "push", func(req *http.Request) {
				req.Body = io.NopCloser(strings.NewReader(body))
				req.ContentLength = int64(len(body))
				req.GetBody = nil
			})
			if r.status != http.StatusBadGateway {
				t.Errorf("kept %v, body %q: the caller got %+v", kept, body, r)
			}
			if n := len(servers[0].Requests()) + len(servers[1].Requests()) - before; n != 1 {
				t.Errorf("kept %v, body %q: sent %d times", kept, body, n)
			}
		}
	}
}

// Something on the way loses track of open connections: what is sent on a kept connection is lost,
// while new ones work. Look-ups may be sent again, but a push, or a stream that cannot be resumed, would be
// lost, so it must go over a new connection. There it meets no late answer to an earlier request either.
func TestAPushGoesOverANewConnection(t *testing.T) {
	t.Parallel()
	_, servers, e := startWorld(t, fakeplatform.Echo)
	for i := range 6 {
		id := "n" + string(rune('a'+i))
		if r := e.ask("GET", "/look/1", id); r.status != 200 {
			t.Fatalf("look-up: %+v", r)
		}
		for _, path := range []string{"/push/1", "/chat/1"} {
			if r := e.ask("POST", path, id); r.status != 200 {
				t.Fatalf("%s: %+v", path, r)
			}
		}
	}
	for _, got := range servers[0].Requests() {
		if got.Request.Method == "POST" && !got.FirstOnConn {
			t.Errorf("a request to %s went over a kept connection", got.Request.RequestURI)
		}
	}
}

// A full server refuses a push and says that it has not run. The caller must be told so, and when
// to retry.
func TestARefusedPushHasNotRun(t *testing.T) {
	t.Parallel()
	_, _, e := startWorld(t, func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	r := e.ask("POST", "/push/1", "p1")
	if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" || r.header.Get("Upstream-Signature") != "" {
		t.Errorf("the caller got %+v", r)
	}
}

// One server fails all look-ups. A look-up may run again, so callers must see no failure.
func TestALookUpGoesToAnotherServer(t *testing.T) {
	t.Parallel()
	_, servers, e := startWorld(t, fakeplatform.Echo, func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 500 Oops\r\nUpstream-Signature: bad\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	for i := range 20 {
		if r := e.ask("GET", "/look/1", "l"+string(rune('a'+i))); r.status != 200 {
			t.Errorf("look-up %d: %+v", i, r)
		}
	}
	if len(servers[1].Requests()) == 0 {
		t.Error("the failing server got no request: the test proves nothing")
	}
}

// Pattern: a service with one server left, which fails some look-ups. Each is tried again there, and no
// caller sees a failure.
func TestALookUpIsTriedAgainAtTheOnlyServer(t *testing.T) {
	t.Parallel()
	tries := make(map[string]int)
	var mu sync.Mutex
	_, _, e := startWorld(t, func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		mu.Lock()
		tries[s.ID()]++
		first := tries[s.ID()] == 1
		mu.Unlock()
		if first {
			_, _ = io.WriteString(conn, "HTTP/1.1 500 Oops\r\nUpstream-Signature: bad\r\nContent-Length: 4\r\n\r\noops")
			return true
		}
		return fakeplatform.Echo(s, conn)
	})
	if r := e.ask("GET", "/look/1", "a", withDeadline("900")); r.status != 200 {
		t.Errorf("look-up: %+v", r)
	}
	if r := e.ask("POST", "/push/1", "b", withDeadline("900")); r.status != 500 {
		t.Errorf("push: %+v, want the server's error", r)
	}
	if tries["a"] != 2 || tries["b"] != 1 {
		t.Errorf("attempts by request: %v, want 2 of the look-up and 1 of the push", tries)
	}
}

// The only server fails a look-up and goes. Its error must reach the caller while there is time to try
// again, not at the deadline.
func TestAServersErrorIsNotHeldUntilTheDeadline(t *testing.T) {
	t.Parallel()
	const deadline = 900 * time.Millisecond
	var server *fakeplatform.Server
	ready := make(chan struct{})
	_, servers, e := startWorld(t, func(_ fakeplatform.ReceivedRequest, conn net.Conn) bool {
		<-ready
		_, _ = io.WriteString(conn, "HTTP/1.1 500 Oops\r\nUpstream-Signature: bad\r\nContent-Length: 4\r\n\r\noops")
		server.Kill()
		return true
	})
	server = servers[0]
	close(ready)
	began := time.Now()
	r := e.ask("GET", "/look/1", "a", withDeadline("900"))
	if took := time.Since(began); r.status != 500 || took > deadline*3/4 {
		t.Errorf("%+v after %v, want the server's error well before the deadline of %v", r, took, deadline)
	}
}

// When all servers fail, the caller gets a server's error answer, with its signature.
func TestTheServersFailureIsPassedOn(t *testing.T) {
	t.Parallel()
	_, _, e := startWorld(t, func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 500 Oops\r\nUpstream-Signature: bad\r\nContent-Length: 4\r\n\r\noops")
		return true
	})
	for _, path := range []string{"/look/1", "/push/1"} {
		if r := e.ask("POST", path, "f"); r.status != 500 || r.body != "oops" || r.header.Get("Upstream-Signature") != "bad" {
			t.Errorf("%s: %+v", path, r)
		}
	}
}

// A server answers each request twice; the second answer arrives at once, or only with the next
// request. No caller may get the answer to another caller's request.
func TestASecondAnswerReachesNobody(t *testing.T) {
	t.Parallel()
	last := ""
	_, servers, e := startWorld(t, func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		id := s.Request.Header.Get("Attempt-Id")
		text := fakeplatform.WholeResponse(id, "answer to "+id)
		if last != "" {
			text = fakeplatform.WholeResponse(last, "answer to "+last) + text
		}
		last = id
		_, _ = io.WriteString(conn, text)
		return true
	})
	for i := range 10 {
		id := "s" + string(rune('a'+i))
		if r := e.ask("GET", "/look/1", id); r.status != 200 || r.body != "answer to "+id {
			t.Errorf("the caller of %s got %+v", id, r)
		}
	}
	reused := false
	for _, s := range servers[0].Requests() {
		reused = reused || !s.FirstOnConn
	}
	if !reused {
		t.Error("no connection was used again: the test proves nothing")
	}
}

// A route has a timeout of 300 ms, and its server takes longer. The caller must be told at that
// time, and not that the request did not run.
func TestTheTimeoutOfARoute(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	defer close(release)
	_, _, e := startWorld(t, func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		<-release
		return false
	})
	if r := e.ask("GET", "/quick/1", "q1"); r.status != http.StatusGatewayTimeout {
		t.Errorf("the caller got %+v", r)
	}
}

// Operators publish new versions, in which a key and a route are removed and another route is
// added. Callers must see the whole new version.
func TestAConfigurationComesIntoForce(t *testing.T) {
	t.Parallel()
	store, _, e := startWorld(t, fakeplatform.Echo)
	if r := e.ask("GET", "/look/1", "a", func(r *http.Request) { r.Header.Set("Api-Key", "key-2") }); r.status != 200 {
		t.Fatalf("before: %+v", r)
	}
	routes := append(fakeplatform.Routes()[1:], fakeplatform.Route{Name: "new", Host: "h.example", Prefix: "/new/", Type: "idempotent", Timeout: 1000, Attempts: 1, Service: "app"})
	store.Configure(7, routes, "key-1")
	e.until("version 7 is in force", func() bool { return e.view.Load().table.Version == 7 })
	for _, c := range []struct {
		path, key string
		want      int
	}{{"/new/1", "key-1", 200}, {"/push/1", "key-1", 404}, {"/look/1", "key-2", 401}, {"/look/1", "", 401}} {
		if r := e.ask("GET", c.path, "b", func(r *http.Request) { r.Header.Set("Api-Key", c.key) }); r.status != c.want {
			t.Errorf("%s with %q: %+v, want %d", c.path, c.key, r, c.want)
		}
	}
}

// A server drains, and a failure domain is taken out. Neither may get new work. When no server is
// left, callers are told when to retry.
func TestLeavingServersGetNothing(t *testing.T) {
	t.Parallel()
	store, servers, e := startWorld(t, fakeplatform.Echo, fakeplatform.Echo)
	store.Register(servers[0], "draining")
	e.until("the server is known to drain", func() bool { return e.fleet.dump(0)[0].Draining })
	before := len(servers[0].Requests())
	for range 10 {
		if r := e.ask("GET", "/look/1", "x"); r.status != 200 {
			t.Errorf("look-up: %+v", r)
		}
	}
	if n := len(servers[0].Requests()) - before; n != 0 {
		t.Errorf("the draining server got %d requests", n)
	}
	store.Put("keyed.op", "evacuate/a", "{}")
	e.until("nothing may get work", func() bool { return e.ask("GET", "/look/1", "y").status == 503 })
	store.Put("keyed.op", "evacuate/a", "")
	e.until("the domain is back", func() bool { return e.ask("GET", "/look/1", "z").status == 200 })
}

// In a graceful shutdown the entry reports that it is not ready, serves on for callers that still
// arrive, asks them to close, and finishes the requests in flight.
func TestAPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	finishStream := make(chan struct{})
	_, _, e := startWorld(t, func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		if strings.HasPrefix(s.Request.RequestURI, "/draft/") {
			_, _ = io.WriteString(conn, fakeplatform.StreamHead(s)+fakeplatform.Chunk(fakeplatform.Event(1)))
			<-finishStream
			_, _ = io.WriteString(conn, fakeplatform.Chunk(fakeplatform.Event(2))+"0\r\n\r\n")
			return true
		}
		return fakeplatform.Echo(s, conn)
	})
	stream := make(chan reply, 1)
	go func() { stream <- e.ask("POST", "/draft/1", "long") }()
	e.until("the stream has begun", func() bool { return len(e.fleet.inFlight()) == 1 })
	e.cancel()
	e.until("it is not ready", func() bool {
		resp, err := http.Get("http://" + e.settings.Listen.Readiness + "/apricothub/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == 503
	})
	if r := e.ask("GET", "/look/1", "late"); r.status != 200 || r.header.Get("Connection") != "close" && r.err != nil {
		t.Errorf("a caller that still came got %+v", r)
	}
	close(finishStream)
	if r := <-stream; r.body != fakeplatform.Event(1)+fakeplatform.Event(2) || r.err != nil {
		t.Errorf("the stream in flight ended as %+v", r)
	}
	if err := <-e.done; err != nil {
		t.Errorf("the entry ended with %v", err)
	}
	e.done <- nil
}

// The store rejects the calls of one entry and serves the other. A key that is removed meanwhile
// must not be accepted by the first entry; it learns of that from the second.
func TestAnEntryThatTheStoreTurnsAway(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore(t)
	store.Configure(1, fakeplatform.Routes(), "key-1", "key-2")
	store.Serve(t, "i-a", fakeplatform.Echo)
	settings := settingsFor(store)
	storeEndpoint := store.NewEndpoint(t)
	settings.Store.Address = storeEndpoint.Address
	rejected := start(t, settings)
	served := start(t, settingsFor(store, settings.IP))
	for _, e := range []*entry{rejected, served} {
		e.until("both know of each other", func() bool { return len(e.view.Load().addresses) == 2 })
	}
	storeEndpoint.Unavailable.Store(true)
	// A long poll that is already waiting would still return the new record.
	rejected.until("no read is in flight", func() bool { return storeEndpoint.InFlight.Load() == 0 })
	store.Configure(2, fakeplatform.Routes(), "key-1")
	rejected.until("the first has the new version", func() bool { return rejected.view.Load().table.Version == 2 })
	if r := rejected.ask("GET", "/look/1", "k", func(r *http.Request) { r.Header.Set("Api-Key", "key-2") }); r.status != 401 {
		t.Errorf("the removed key: %+v", r)
	}
}

// Of three entries, two read the store and the third learns from them. A version that operators publish must
// reach its callers. When a reading entry stops, the third one must read.
func TestTwoEntriesReadForAll(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore(t)
	store.Configure(1, fakeplatform.Routes(), "key-1", "key-2")
	store.Serve(t, "i-a", fakeplatform.Echo)
	all := []*platform.Settings{settingsFor(store), settingsFor(store), settingsFor(store)}
	slices.SortFunc(all, func(a, b *platform.Settings) int { return strings.Compare(a.IP, b.IP) })
	all[1].Seeds, all[2].Seeds = []string{all[0].IP}, []string{all[0].IP}
	storeEndpoint := store.NewEndpoint(t)
	all[2].Store.Address = storeEndpoint.Address
	reader, other, idle := start(t, all[0]), start(t, all[1]), start(t, all[2])
	idle.until("the others read the store", func() bool { return reader.isStoreReader.Load() && other.isStoreReader.Load() })
	idle.until("the third one does not read the store", func() bool { return !idle.readsStore.Load() })
	idle.until("no read is in flight", func() bool { return storeEndpoint.InFlight.Load() == 0 })
	before := storeEndpoint.Calls.Load()
	store.Configure(2, fakeplatform.Routes(), "key-1")
	idle.until("it has the new version", func() bool { return idle.view.Load().table.Version == 2 })
	if r := idle.ask("GET", "/look/1", "k", func(r *http.Request) { r.Header.Set("Api-Key", "key-2") }); r.status != 401 {
		t.Errorf("the removed key: %+v", r)
	}
	// The reads of an idle entry in the longest time that a test waits.
	if n := storeEndpoint.Calls.Load() - before; n > 5 {
		t.Errorf("the idle entry called the store %d times", n)
	}
	reader.cancel()
	idle.until("it reads for itself", func() bool { return idle.readsStore.Load() && storeEndpoint.Calls.Load() > before+3 })
	store.Configure(3, fakeplatform.Routes(), "key-1")
	idle.until("it has the version after that", func() bool { return idle.view.Load().table.Version == 3 })
}
