package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/internal/response"
)

// ErrUnmatchedResponse is returned if a connection received responses to other requests only.
var ErrUnmatchedResponse = errors.New("the response belongs to another request")

const (
	// maxUnmatchedResponses limits the responses that are read and skipped for one request, and
	// maxUnmatchedBytes the body of each.
	maxUnmatchedResponses = 4
	maxUnmatchedBytes     = 1 << 20
)

// MaxResponseBytes limits the body of a response.
const MaxResponseBytes = 64 << 20

// AnswerBody names the body of a response in errors about its length.
const AnswerBody = "the body of a response"

const (
	answerHeader  = "the header of a response"
	unmatchedBody = "the body of a response to another request"
)

// Conn is a connection to a backend server that carries one request at a time.
type Conn struct {
	net.Conn
	pool   *Pool
	server string
	// in limits what is read, responses reads from it.
	in        *bounded.Reader
	responses *response.Reader
	requests  *RequestWriter
	idleSince time.Duration
	// isReused means that the connection has carried another request before.
	isReused bool
	// idleTimeout is how long the backend server keeps the connection open while idle; zero if
	// unknown.
	idleTimeout time.Duration
}

func newConn(conn net.Conn, pool *Pool, server string) *Conn {
	in, requests := bounded.NewReader(conn, 0, answerHeader), NewRequestWriter(conn)
	return &Conn{Conn: conn, pool: pool, server: server, in: in, requests: requests, responses: response.NewReader(in, requests.CheckEnd)}
}

// RoundTrip writes a request once and reads the header of its response. matches reports whether a
// response belongs to this request. Others are skipped, since a faulty backend server may respond
// twice. When ctx ends, the connection is reset. The caller reads the body and calls Release. The error
// is one of response.Reader.Next if the server sent no response.
//
// After an error, the request may still have been executed.
func (c *Conn) RoundTrip(ctx context.Context, req *http.Request, matches func(*http.Response) bool) (*http.Response, error) {
	stop := context.AfterFunc(ctx, c.reset)
	resp, err := c.roundTrip(req, matches)
	if err != nil {
		stop()
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, stop: stop}
	return resp, nil
}

// IsReused reports whether the connection has carried another request before, so that bytes of a response to that
// one may arrive.
func (c *Conn) IsReused() bool { return c.isReused }

// reset closes the connection with a TCP reset.
//
// The VM of the backend server may be unresponsive or unreachable for a while. An orderly close
// would arrive behind the request, which would then be executed seconds after its caller has left
// or has been told that it failed.
func (c *Conn) reset() {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// body is a response body that stops watching the context when it is closed.
type body struct {
	io.ReadCloser
	stop func() bool
}

func (b *body) Close() error {
	b.stop()
	// Closing the body of net/http would read the rest of it. The unread rest is dropped with the
	// connection instead.
	return nil
}

func (c *Conn) roundTrip(req *http.Request, matches func(*http.Response) bool) (*http.Response, error) {
	if err := c.requests.Write(req); err != nil {
		return nil, err
	}
	for range maxUnmatchedResponses {
		c.in.Allow(bounded.MaxHeaderBytes, answerHeader)
		resp, err := c.responses.Next(req)
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		if matches(resp) {
			c.in.Allow(MaxResponseBytes, AnswerBody)
			return resp, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			// A response without a length extends to the end of the connection, past the next one.
			return nil, ErrUnmatchedResponse
		}
		c.in.Allow(maxUnmatchedBytes, unmatchedBody)
		if err := bounded.Discard(resp.Body, maxUnmatchedBytes, unmatchedBody); err != nil {
			return nil, errors.Wrap(err, "skip unmatched response")
		}
	}
	return nil, ErrUnmatchedResponse
}

// Release returns the connection to the pool. It is kept for another request only if the request
// was written and the response was read completely, and the backend server keeps it open too. A
// zero idleTimeout means that the backend server did not state one.
func (c *Conn) Release(resp *http.Response, complete bool, idleTimeout time.Duration, now time.Duration) {
	if resp == nil || !complete || resp.Close || !c.responses.IsBetweenResponses() || !c.requests.IsWritten() {
		c.discard()
		return
	}
	c.isReused = true
	c.idleSince = now
	c.idleTimeout = idleTimeout
	c.pool.putIdle(c)
}

func (c *Conn) discard() {
	_ = c.Close()
	c.pool.releaseConn(c.server)
}

// hasNoInput reports whether an idle connection has received nothing: neither its end nor bytes
// that belong to no request.
func (c *Conn) hasNoInput() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, readErr := syscall.Read(int(fd), buf[:])
		empty = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}
