package httpguard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/result"
)

const timeout = 300 * time.Millisecond

const maxBody = 4096

// newTestGuard returns a guard with bounds on connections and memory.
func newTestGuard(limits Limits, maxConnections int, bytes int64) *Guard {
	return New(Options{
		Name: "test", Connections: maxConnections, Bytes: bytes, WriteTime: 20 * timeout, Logger: log.NewNopLogger(),
		Limits: func() Limits { return limits },
	})
}

// serve starts a server that reads the body and counts the requests that it received completely.
func serve(t *testing.T, maxConnections int) (address string, completed *atomic.Int64) {
	t.Helper()
	limits := Limits{HeaderBytes: 2048, HeaderTime: timeout, BodyTime: timeout, IdleTime: timeout}
	completed = &atomic.Int64{}
	guard := newTestGuard(limits, maxConnections, 1<<30)
	server := guard.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(w, r, maxBody); err != nil {
			result.WriteHTTP(w, err)
			return
		}
		completed.Add(1)
		result.SetHeader(w.Header(), api.ResultCode_OK)
	}))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(guard.Listener(inner)) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String(), completed
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * timeout))
	return conn
}

func TestLimits(t *testing.T) {
	address, completed := serve(t, 10)
	tests := []struct {
		name, request, status, code string
	}{
		{"good", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi", "200", "0 OK"},
		{"header past the limit", "GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 3000) + "\r\n\r\n", "431", "113 HEADER_TOO_LARGE"},
		{"many headers", "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("A: a\r\n", 500) + "\r\n", "431", "113 HEADER_TOO_LARGE"},
		{"header past the library's", "GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 30000) + "\r\n\r\n", "431", "113 HEADER_TOO_LARGE"},
		{"body announced too large", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n", "413", "106 BODY_TOO_LARGE"},
		{"endless body", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("400\r\n"+strings.Repeat("a", 1024)+"\r\n", 8), "413", "106 BODY_TOO_LARGE"},
		{"bad chunk", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400", "100 BAD_REQUEST"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn := dial(t, address)
			go func() { _, _ = io.WriteString(conn, test.request) }()
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			answer.Body.Close()
			if !strings.HasPrefix(answer.Status, test.status) || answer.Header.Get(result.Header) != test.code {
				t.Errorf("got %s, %q", answer.Status, answer.Header.Get(result.Header))
			}
		})
	}
	if completed.Load() != 1 {
		t.Errorf("%d requests ran, want the good one", completed.Load())
	}
}

// A caller sends its header or body one byte at a time without end. The connection must be closed
// at the timeout, and the request must not run.
func TestSlowloris(t *testing.T) {
	address, completed := serve(t, 10)
	for name, begin := range map[string]string{
		"header": "POST / HTTP/1.1\r\nHost: x\r\nA: ",
		"body":   "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4000\r\n\r\n",
		"idle":   "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := dial(t, address)
			from := time.Now()
			go func() {
				_, err := io.WriteString(conn, begin)
				for err == nil && begin != "" {
					time.Sleep(timeout / 10)
					_, err = io.WriteString(conn, "a")
				}
			}()
			// The end of the server's output is the end of the connection.
			_, _ = io.Copy(io.Discard, conn)
			if took := time.Since(from); took > 10*timeout {
				t.Errorf("cut off after %v, the limit is %v", took, timeout)
			}
		})
	}
	t.Cleanup(func() {
		if completed.Load() != 0 {
			t.Errorf("%d requests ran", completed.Load())
		}
	})
}

// Callers hold every connection open. The next caller waits and is served when an idle connection
// is closed.
func TestConnectionsAreBounded(t *testing.T) {
	address, completed := serve(t, 2)
	dial(t, address)
	dial(t, address)
	conn := dial(t, address)
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || completed.Load() != 1 {
		t.Errorf("the third caller was not answered: %v", err)
	}
}

// Idle callers hold all slots. Closing the listener must not wait for any of them.
func TestCloseWithAllSlotsTaken(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := newTestGuard(Limits{}, 1, 1<<30).Listener(inner)
	dial(t, inner.Addr().String())
	if _, err := ln.Accept(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := ln.Accept()
		ended <- err
	}()
	_ = ln.Close()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("a closed listener accepted")
		}
	case <-time.After(20 * timeout):
		t.Error("Accept hangs after Close")
	}
}

// An answer takes longer than the read timeout of the body, which the caller sent at once. The
// timeout is for the body and must not cut the answer.
func TestBodyTimeoutDoesNotCutLongAnswers(t *testing.T) {
	contextErrs := make(chan error, 1)
	guard := newTestGuard(Limits{HeaderBytes: 4096, HeaderTime: 200 * time.Millisecond, BodyTime: 200 * time.Millisecond, IdleTime: time.Second}, 10, 1<<30)
	server := guard.NewServer(
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := ReadBody(w, r, 100); err != nil {
				t.Error(err)
			}
			select {
			case <-r.Context().Done():
			case <-time.After(500 * time.Millisecond):
			}
			contextErrs <- r.Context().Err()
			_, _ = w.Write([]byte("whole"))
		}))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(guard.Listener(ln)) }()
	defer func() { _ = server.Close() }()
	for range 2 { // The second time over the kept connection.
		resp, err := http.Post("http://"+ln.Addr().String(), "text/plain", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || string(body) != "whole" {
			t.Errorf("%q, %v", body, err)
		}
		if err := <-contextErrs; err != nil {
			t.Errorf("the request was canceled: %v", err)
		}
	}
}
