package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/apricothub/apricothub/internal/upstream"
)

// A backend server stands still while its caller gives up, and reads the request when it is
// back. The connection was reset, so that it does not take the request for one to be run.
func TestAGivenUpRequestIsReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	conn, err := upstream.NewPool(time.Second).Get(ctx, "i-1", listener.Addr().String(), 0, true)
	if err != nil {
		t.Fatal(err)
	}
	result := make(chan error)
	go func() {
		req := &http.Request{Method: http.MethodPost, URL: &url.URL{Opaque: "/push"}, Host: "h", Header: http.Header{}}
		_, err := conn.RoundTrip(ctx, req, func(*http.Response) bool { return true })
		result <- err
	}()
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	// Some of the request has come: it was written.
	if _, err := server.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := <-result; err == nil {
		t.Error("a request that was given up has an answer")
	}
	if rest, err := io.ReadAll(server); err == nil {
		t.Errorf("%q and an orderly end", rest)
	}
}
