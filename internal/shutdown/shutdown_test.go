package shutdown

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/internal/clock"
)

// serve starts a server whose requests a Shutdown follows.
func serve(t *testing.T, handler http.HandlerFunc) (*Shutdown, *http.Server, net.Listener) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, server := New(), &http.Server{Handler: handler}
	s.Follow(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s, server, listener
}

// Guards against a server that waits for requests that do not end, or ends without their answers.
func TestRequestsThatDoNotEndAreAnswered(t *testing.T) {
	var cause error
	s, server, listener := serve(t, func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		cause = context.Cause(r.Context())
		w.WriteHeader(http.StatusBadGateway)
	})
	var caller sync.WaitGroup
	caller.Go(func() {
		resp, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			t.Errorf("the caller got %v", err)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		if err := bounded.Discard(resp.Body, 1, "the answer"); err != nil || resp.StatusCode != http.StatusBadGateway {
			t.Errorf("the caller got status %d, %v", resp.StatusCode, err)
		}
	})
	for s.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	end := clock.Now() + 200*time.Millisecond
	s.Begin(end)
	if err := s.Drain(t.Context(), server, listener, end+5*time.Second); err != nil {
		t.Error(err)
	}
	caller.Wait()
	if !errors.Is(cause, ErrOver) || !s.IsOver() {
		t.Errorf("the request ended with %v", cause)
	}
}

// Guards against a request that is cut without a word of it in the log.
func TestCutRequestsAreReported(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	s, server, listener := serve(t, func(http.ResponseWriter, *http.Request) { <-release })
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	for s.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	end := clock.Now() + 50*time.Millisecond
	s.Begin(end)
	if err := s.Drain(t.Context(), server, listener, end+50*time.Millisecond); err == nil {
		t.Error("the end of a request that ignores its context was not reported")
	}
}
