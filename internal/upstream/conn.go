package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// ErrUnmatchedResponse says that a connection brought an answer that belongs to no request.
var ErrUnmatchedResponse = errors.New("the answer belongs to another request")

const (
	// asyncWriteBytes is the size of a body from which it is written beside reading the answer,
	// bytes: a backend server may answer before it has read a long body, and a body up to
	// this size fits into the socket's buffer.
	asyncWriteBytes = 16 << 10
	// maxUnmatchedResponses is the number of answers to other requests that are passed over on one
	// connection.
	maxUnmatchedResponses = 4
)

// Conn is a connection to a backend server. It carries one request at a time.
type Conn struct {
	net.Conn
	pool      *Pool
	server    string
	br        *bufio.Reader
	idleSince time.Duration
	// idleTimeout is how long the backend server lets the connection be idle.
	idleTimeout time.Duration
	// writeResult carries the result of writing a long body.
	writeResult chan error
}

// RoundTrip writes a request once and reads the head of its answer. matches says whether an
// answer is that of this request; others are passed over, since a faulty backend server may
// answer twice. Once ctx ends the connection is reset. The caller reads the body and calls
// Release.
//
// An error does not say that the request did not run.
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

// reset resets the connection.
//
// Load: a backend server whose VM stands still, or is cut off for a while. Harm prevented: an
// orderly close comes behind the request, which waits there and runs seconds after its caller
// has left, or has been told that it failed.
func (c *Conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// body ends the watch over the context with the body.
type body struct {
	io.ReadCloser
	stop func() bool
}

func (b *body) Close() error {
	b.stop()
	// The library would read the rest of the body; what is not read is closed with the
	// connection.
	return nil
}

func (c *Conn) roundTrip(req *http.Request, matches func(*http.Response) bool) (*http.Response, error) {
	c.writeResult = make(chan error, 1)
	if req.ContentLength > asyncWriteBytes {
		go func() { c.writeResult <- c.write(req) }()
	} else {
		if err := c.write(req); err != nil {
			return nil, err
		}
		c.writeResult <- nil
	}
	for range maxUnmatchedResponses {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if matches(resp) {
			return resp, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			// Without a length it would swallow the answer behind it.
			return nil, ErrUnmatchedResponse
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, errors.Wrap(err, "pass over another answer")
		}
	}
	return nil, ErrUnmatchedResponse
}

func (c *Conn) write(req *http.Request) error {
	bw := bufio.NewWriter(c.Conn)
	if err := req.Write(bw); err != nil {
		return errors.Wrap(err, "send request")
	}
	if err := bw.Flush(); err != nil {
		return errors.Wrap(err, "send request")
	}
	return nil
}

// Release gives the connection back. It is kept for another request only when the answer
// was read whole and the request was written whole, and the backend server keeps it too.
func (c *Conn) Release(resp *http.Response, complete bool, idleTimeout time.Duration, now time.Duration) {
	if resp == nil || !complete || resp.Close || c.br.Buffered() > 0 || !c.isRequestWritten() {
		c.discard()
		return
	}
	c.idleSince = now
	c.idleTimeout = idleTimeout
	c.pool.putIdle(c)
}

// isRequestWritten says that the request has been written whole.
func (c *Conn) isRequestWritten() bool {
	select {
	case err := <-c.writeResult:
		return err == nil
	default:
		return false
	}
}

func (c *Conn) discard() {
	_ = c.Close()
	c.pool.releaseConn(c.server)
}

// hasNoInput says that nothing has come in on an idle connection: neither its end nor bytes that
// belong to no request.
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
