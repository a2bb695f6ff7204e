package agent

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
)

const (
	// maxOneshotBodyBytes bounds the body of a request that is sent by oneshot, bytes: such a one
	// fits the buffers of the connection, so that the whole request is on its way before
	// the answer is read, also from a backend server that answers without reading it.
	maxOneshotBodyBytes = 64 << 10
	// maxAnswerHeaderBytes bounds status and header of an answer, bytes.
	maxAnswerHeaderBytes = 1 << 20
	// maxInterimAnswers bounds the interim answers before the answer.
	maxInterimAnswers = 5
)

// oneshot sends each request over a connection of its own, on the caller's goroutine, by
// what net/http offers below its Transport. Transport spends three goroutines and some six
// wake-ups on each such connection, to be ready for what is never asked of it here: keeping
// it, and giving it to another request. Nothing can be sent twice.
type oneshot struct {
	address string
}

// newOneshot returns nil where Transport is needed: for a connection under TLS.
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

// canSend says whether a request can be sent so.
func (o *oneshot) canSend(req *http.Request) bool {
	return o != nil && req.ContentLength <= maxOneshotBodyBytes
}

// roundTrip sends a request and returns the answer's header, with its body still to come.
// connected is called once a connection stands. The end of the request's context closes the
// connection, as does closing the body.
func (o *oneshot) roundTrip(req *http.Request, connected func()) (*http.Response, error) {
	// The other end is on this VM; probes of an idle connection would only cost calls.
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

// exchange writes the request by one write and reads status and header of the answer.
func exchange(conn net.Conn, req *http.Request) (*http.Response, error) {
	req.Close = true
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return nil, err
	}
	if _, err := conn.Write(text.Bytes()); err != nil {
		return nil, err
	}
	limited := &io.LimitedReader{R: conn, N: maxAnswerHeaderBytes}
	reader := bufio.NewReader(limited)
	for range maxInterimAnswers {
		resp, err := http.ReadResponse(reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			limited.N = math.MaxInt64
			return resp, nil
		}
	}
	return nil, errTooManyInterim
}

// oneshotAnswer is the body of an answer. Its own Close would read on to its end, which
// may be an hour away.
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
