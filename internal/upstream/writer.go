package upstream

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/sockets"
)

// asyncWriteBytes is the body size above which a request is written while its response is read, since a backend server
// may respond before it has read a long body. A body up to this size fits into the socket's buffer.
const asyncWriteBytes = 16 << 10

// RequestWriter writes the requests of a connection, one after the other.
type RequestWriter struct {
	conn net.Conn
	// isWritten means that the last request has been written completely.
	isWritten atomic.Bool
}

// NewRequestWriter returns a writer of requests to conn.
func NewRequestWriter(conn net.Conn) *RequestWriter { return &RequestWriter{conn: conn} }

// Write writes a request; a long one is written further after it returns. If the peer closes or resets the connection
// meanwhile, the error is nil: the response, which may be whole, is still to be read.
func (w *RequestWriter) Write(req *http.Request) error {
	w.isWritten.Store(false)
	if req.ContentLength > asyncWriteBytes {
		go func() { _ = w.write(req) }()
		return nil
	}
	err := w.write(req)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return err
}

func (w *RequestWriter) write(req *http.Request) error {
	out := &failingWriter{conn: w.conn}
	bw := bufio.NewWriter(out)
	err := req.Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	if out.err != nil {
		err = out.err
	}
	if err != nil {
		return errors.Wrap(err, "write request")
	}
	w.isWritten.Store(true)
	return nil
}

// failingWriter keeps the error of a connection, which net/http returns as one of the request's body.
type failingWriter struct {
	conn net.Conn
	err  error
}

// Write implements io.Writer.
func (w *failingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.Write(p)
	w.err = err
	return n, err
}

// IsWritten reports whether the last request has been written completely.
func (w *RequestWriter) IsWritten() bool { return w.isWritten.Load() }

// CheckEnd returns an error unless the connection, whose end was read, has ended in order.
func (w *RequestWriter) CheckEnd() error { return sockets.CheckEnd(w.conn, w.IsWritten) }
