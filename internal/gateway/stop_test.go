package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

// startStoppable starts a store, backend servers with the given answers and one entry with a grace period.
func startStoppable(t *testing.T, grace time.Duration, answers ...fakeplatform.Handler) ([]*fakeplatform.Server, *entry) {
	t.Helper()
	store := fakeplatform.NewStore(t)
	store.Configure(1, fakeplatform.Routes(), "key-1")
	var servers []*fakeplatform.Server
	for i, answer := range answers {
		servers = append(servers, store.Serve(t, fmt.Sprintf("i-%d", i), answer))
	}
	settings := settingsFor(store)
	settings.Bounds.TerminationGrace = grace
	return servers, start(t, settings)
}

// late is what callers got whose requests were sent around a planned stop.
type late struct {
	mu      sync.Mutex
	replies map[string]reply
}

// askAround sends requests from before a planned stop until the entry is gone, over connections of their own, and stops
// the entry. Each path gets requests in turn.
func askAround(t *testing.T, e *entry, interval time.Duration, paths ...string) *late {
	t.Helper()
	l := &late{replies: make(map[string]reply)}
	var callers sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{}}
	time.AfterFunc(10*interval, e.cancel)
	for n := 0; ; n++ {
		select {
		case err := <-e.done:
			e.done <- err
			callers.Wait()
			return l
		case <-time.After(interval):
		}
		id := fmt.Sprintf("r%d", n)
		path := paths[n%len(paths)]
		callers.Go(func() {
			r := e.askWith(client, http.MethodPost, path, id)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.replies[id] = r
		})
	}
}

// checkNotCut checks that each request that a server has received was answered.
func (l *late) checkNotCut(t *testing.T, servers []*fakeplatform.Server) {
	t.Helper()
	for id, r := range l.replies {
		n := countRequests(servers, id)
		switch {
		case r.err != nil && n > 0:
			t.Errorf("%s: sent on %d times, and the caller got %s", id, n, r)
		case r.status == http.StatusServiceUnavailable && n > 0:
			t.Errorf("%s: sent on %d times, and refused as not run", id, n)
		}
	}
}

// count returns how many callers got a status; 0 for none.
func (l *late) count(status int) int {
	n := 0
	for _, r := range l.replies {
		if r.status == status {
			n++
		}
	}
	return n
}

// Guards against requests that are cut at the end of a planned stop, because their servers need longer than is left of
// the grace period.
func TestRequestsThatOutlastAPlannedStopAreAnswered(t *testing.T) {
	t.Parallel()
	hang := func(fakeplatform.ReceivedRequest, net.Conn) bool {
		time.Sleep(5 * time.Second)
		return false
	}
	servers, e := startStoppable(t, 2*time.Second, hang, hang)
	l := askAround(t, e, 20*time.Millisecond, "/push/1", "/look/1", "/draft/1", "/chat/1")
	l.checkNotCut(t, servers)
	if n := l.count(http.StatusBadGateway) + l.count(http.StatusGatewayTimeout); n == 0 {
		t.Error("no request was in flight at the end")
	}
}

// Guards against requests that are sent on during a planned stop although they cannot end in it, while their callers
// could go to another entry.
func TestLateRequestsThatCannotEndAreRefused(t *testing.T) {
	t.Parallel()
	const workTime = 1200 * time.Millisecond
	slow := func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		time.Sleep(workTime)
		return fakeplatform.Echo(s, conn)
	}
	servers, e := startStoppable(t, 3*time.Second, slow, slow)
	var before sync.WaitGroup
	for n := range 8 {
		before.Go(func() {
			if r := e.ask(http.MethodPost, "/push/1", fmt.Sprintf("before %d", n)); r.status != http.StatusOK {
				t.Errorf("before the stop: %s", r)
			}
		})
	}
	before.Wait()
	l := askAround(t, e, 50*time.Millisecond, "/push/1", "/look/1")
	l.checkNotCut(t, servers)
	for id, r := range l.replies {
		if r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout {
			t.Errorf("%s: sent on, and its outcome is unknown: %s", id, r)
		}
	}
	if l.count(http.StatusOK) < 10 || l.count(http.StatusServiceUnavailable) == 0 {
		t.Errorf("%d requests were served and %d refused", l.count(http.StatusOK), l.count(http.StatusServiceUnavailable))
	}
	for id, r := range l.replies {
		if r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") == "" {
			t.Errorf("%s: refused without a time to come back: %s", id, r)
		}
	}
}

// Guards against requests on open connections that are cut, or closed without an answer, after the listener is closed.
func TestRequestsOnOpenConnectionsLateInAPlannedStop(t *testing.T) {
	t.Parallel()
	const inFlight = 2200 * time.Millisecond
	slow := func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		if s.ID() == "in flight" {
			time.Sleep(inFlight)
		} else {
			time.Sleep(300 * time.Millisecond)
		}
		return fakeplatform.Echo(s, conn)
	}
	servers, e := startStoppable(t, 3*time.Second, slow)
	if r := e.ask(http.MethodPost, "/push/1", "before"); r.status != http.StatusOK {
		t.Fatalf("before the stop: %s", r)
	}
	var callers sync.WaitGroup
	defer callers.Wait()
	for after := 200 * time.Millisecond; after <= 2*time.Second; after += 200 * time.Millisecond {
		conn, err := net.Dial("tcp", e.settings.Listen.Callers)
		if err != nil {
			t.Fatal(err)
		}
		callers.Go(func() {
			defer func() { _ = conn.Close() }()
			time.Sleep(after)
			id := after.String()
			_, _ = io.WriteString(conn, "POST /push/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: "+id+"\r\nApi-Key: key-1\r\nDeadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n")
			text, _ := io.ReadAll(conn)
			isServed := strings.HasPrefix(string(text), "HTTP/1.1 200 ")
			isRefused := strings.HasPrefix(string(text), "HTTP/1.1 503 ") && countRequests(servers, id) == 0
			if !isServed && !isRefused {
				t.Errorf("after %s: sent on %d times, and the caller got %q", id, countRequests(servers, id), text)
			}
		})
	}
	callers.Go(func() {
		if r := e.ask(http.MethodPost, "/push/1", "in flight"); r.status != http.StatusOK {
			t.Errorf("a request in flight got %s", r)
		}
	})
	e.until("a request is in flight", func() bool { return countRequests(servers, "in flight") == 1 })
	e.cancel()
	err := <-e.done
	e.done <- err
}

// Guards against a stream that hangs and keeps its caller waiting after the end of the grace period, or that looks whole.
func TestAStreamThatOutlastsAPlannedStopIsBrokenOff(t *testing.T) {
	t.Parallel()
	hang := func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		_, _ = io.WriteString(conn, fakeplatform.StreamHead(s)+fakeplatform.Chunk(fakeplatform.Event(1)))
		time.Sleep(5 * time.Second)
		return false
	}
	_, e := startStoppable(t, 2*time.Second, hang)
	replies := make(chan reply, 1)
	go func() { replies <- e.ask(http.MethodPost, "/chat/1", "stream") }()
	e.until("the stream is in flight", func() bool { return e.shutdown.InFlight() == 1 })
	began := time.Now()
	e.cancel()
	if r := <-replies; r.err == nil || !strings.Contains(r.body, "part 1") {
		t.Errorf("the caller got %s", r)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the stream ended %s after the signal", took)
	}
}
