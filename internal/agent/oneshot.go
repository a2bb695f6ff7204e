package agent

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/internal/response"
	"github.com/apricothub/apricothub/internal/upstream"
)

// oneshot sends each request over a connection of its own, with the parts of net/http below Transport, and reads the
// answer on the caller's goroutine. Transport uses three goroutines and about six wake-ups for each such connection, to
// be able to keep it and reuse it, which is never done here, and drops an answer that comes before its request has been
// written if the rest cannot be. Nothing can be sent twice.
type oneshot struct {
	// address is the host and the port of the backend server.
	address string
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

// exchange writes the request and reads the status line and header of the answer.
func exchange(conn net.Conn, req *http.Request) (*http.Response, error) {
	req.Close = true
	requests := upstream.NewRequestWriter(conn)
	if err := requests.Write(req); err != nil {
		return nil, err
	}
	limited := bounded.NewReader(conn, bounded.MaxHeaderBytes, "the header of an answer")
	resp, err := response.NewReader(limited, requests.CheckEnd).Next(req)
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
