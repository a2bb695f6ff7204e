// Package httpguard limits what callers can make an HTTP server hold: connections, headers,
// bodies, and the time that each may take.
package httpguard

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/logging"
	"github.com/apricothub/apricothub/internal/result"
)

// headerSlack lets net/http read slightly more than the limit, so that the handler can refuse the
// request with a result code. Beyond it net/http itself answers with status 431.
const headerSlack = 4 << 10

// NewServer returns a server with the given limits. A caller that sends its header or body one
// byte at a time is cut off at the read timeout, and an idle connection at the idle timeout.
// Answers may be streams, so there is no write timeout here; the handler sets a write deadline
// from the deadline of each request.
func NewServer(limits *api.Limits, handler http.Handler, logger log.Logger) *http.Server {
	return trackAnswers(&http.Server{
		Handler:           limitHeader(limits.GetHeaderBytes(), handler),
		ReadHeaderTimeout: time.Duration(limits.GetReadHeaderMs()) * time.Millisecond,
		ReadTimeout:       time.Duration(limits.GetReadBodyMs()) * time.Millisecond,
		IdleTimeout:       time.Duration(limits.GetIdleMs()) * time.Millisecond,
		MaxHeaderBytes:    int(limits.GetHeaderBytes()) + headerSlack,
		ErrorLog:          logging.NewStdLogger(logger, "The HTTP server for callers reported an error.", result.Label(api.ResultCode_INTERNAL)),
	})
}

// limitHeader answers a request whose header exceeds the limit with a result code.
func limitHeader(limit int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if headerBytes(r) > limit {
			result.WriteHTTP(w, result.Newf(api.ResultCode_HEADER_TOO_LARGE, "The header is larger than %d bytes.", limit))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// headerLineOverhead counts the colon, the space and the line end of a header line.
const headerLineOverhead = 4

func headerBytes(r *http.Request) int64 {
	size := int64(len(r.RequestURI))
	for name, values := range r.Header {
		for _, value := range values {
			size += int64(len(name) + len(value) + headerLineOverhead)
		}
	}
	return size
}

// ReadBody reads a whole body of at most limit bytes. If the Content-Length already exceeds the
// limit, nothing is read.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	tooLarge := result.Newf(api.ResultCode_BODY_TOO_LARGE, "The body is larger than %d bytes.", limit)
	if r.ContentLength > limit {
		return nil, tooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var maxBytesErr *http.MaxBytesError
	switch {
	case errors.As(err, &maxBytesErr):
		return nil, tooLarge
	case err != nil:
		// A truncated request must never run as if it were complete.
		return nil, result.New(api.ResultCode_BAD_REQUEST, "The body could not be read to its end.")
	}
	return body, nil
}

// LimitListener limits the number of connections accepted at the same time. Further connections
// wait in the kernel's queue. Without this limit a flood of idle connections would take the memory
// needed for requests.
func LimitListener(inner net.Listener, maxConnections int) net.Listener {
	return &listener{Listener: inner, slots: make(chan struct{}, maxConnections), closed: make(chan struct{})}
}

type listener struct {
	net.Listener
	slots  chan struct{}
	once   sync.Once
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		// While all slots are taken, no goroutine waits in the inner listener, which Close would
		// wake. Closing must not hang because of idle callers.
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &connection{Conn: conn, release: func() { <-l.slots }}, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type connection struct {
	net.Conn
	once    sync.Once
	release func()
	// onAnswered is called at the end of an answer, and writeFailed says that a write has failed.
	// Only the goroutine that serves the connection accesses them.
	onAnswered  func(sent bool)
	writeFailed bool
}

// Close implements net.Conn.
func (c *connection) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
