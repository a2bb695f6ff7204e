package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/internal/response"
	"github.com/apricothub/apricothub/internal/sockets"
)

// maxOneshotBodyBytes limits the body of a request that oneshot sends. Up to this size the
// request fits the buffers of the connection, so that it is sent completely before the answer
// is read, even to a backend server that answers without reading it.
const maxOneshotBodyBytes = 64 << 10

// oneshot sends each request over a connection of its own, on the caller's goroutine, with the
// parts of net/http below Transport. Transport uses three goroutines and about six wake-ups for
// each such connection, to be able to keep it and reuse it, which is never done here. Nothing can
// be sent twice.
type oneshot struct {
	address string
}

// newOneshot returns nil if the connection uses TLS, for which Transport is needed.
func newOneshot(base string) *oneshot {
	u, err := url.Parse(base)
	if err != nil || u.Scheme != "http" {
		return nil
	}
	port := u.Port()
	if port == "" {
		port = "80"
	}
	return &oneshot{address: net.JoinHostPort(u.Hostname(), port)}
}

// canSend reports whether oneshot can send a request.
func (o *oneshot) canSend(req *http.Request) bool {
	return o != nil && req.ContentLength <= maxOneshotBodyBytes
}

// roundTrip sends a request and returns the answer's header, with the body still to be read. It
// calls connected once a connection is established. The connection is closed when the request's
// context ends or the body is closed.
func (o *oneshot) roundTrip(req *http.Request, connected func()) (*http.Response, error) {
	// The other end is on this VM; keep-alive probes would only cost system calls.
	dialer := net.Dialer{KeepAlive: -1}
	conn, err := dialer.DialContext(req.Context(), "tcp", o.address)
	if err != nil {
		return nil, err
	}
	connected()
	stop := context.AfterFunc(req.Context(), func() { _ = conn.Close() })
	resp, err := exchange(conn, req)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	resp.Body = &oneshotAnswer{Reader: resp.Body, conn: conn, stop: stop}
	return resp, nil
}

// exchange writes the request with one write and reads the status line and header of the answer.
func exchange(conn net.Conn, req *http.Request) (*http.Response, error) {
	req.Close = true
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return nil, err
	}
	if _, err := conn.Write(text.Bytes()); err != nil {
		return nil, err
	}
	limited := bounded.NewReader(conn, bounded.MaxHeaderBytes, "the header of an answer")
	isWritten := func() bool { return true }
	resp, err := response.NewReader(limited, func() error { return sockets.CheckEnd(conn, isWritten) }).Next(req)
	if err != nil {
		return nil, err
	}
	limited.Allow(maxAnswerBytes, answerName)
	return resp, nil
}

// oneshotAnswer is the body of an answer. The Close of the wrapped body would read to its end,
// which may take an hour.
type oneshotAnswer struct {
	io.Reader
	conn net.Conn
	stop func() bool
}

// Close implements io.Closer.
func (a *oneshotAnswer) Close() error {
	a.stop()
	return a.conn.Close()
}
