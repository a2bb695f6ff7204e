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

// A backend server is unresponsive while its caller gives up, and reads the request afterwards. The
// connection must have been reset, or the server would execute a request that nobody waits for.
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
	// One byte has arrived, so the request was written.
	if _, err := server.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := <-result; err == nil {
		t.Error("a canceled request has a response")
	}
	if rest, err := io.ReadAll(server); err == nil {
		t.Errorf("the server read %q and an orderly close, want a reset", rest)
	}
}
