// Package httpguard bounds what callers can make an HTTP server hold: connections,
// headers, bodies, and the time each may take.
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

// headerSlack lets the library read a little more than the limit, so that the
// handler can refuse with a result code; past it the library itself answers 431.
const headerSlack = 4 << 10

// NewServer makes a server with the limits. A caller that sends its header or body
// a byte at a time is cut off when the time is over, and an idle one when its
// connection is. Answers are streams, so that writing has no limit here: the
// handler sets one by the deadline of each request.
func NewServer(limits *api.Limits, handler http.Handler, logger log.Logger) *http.Server {
	return watch(&http.Server{
		Handler:           limitHeader(limits.GetHeaderBytes(), handler),
		ReadHeaderTimeout: time.Duration(limits.GetReadHeaderMs()) * time.Millisecond,
		ReadTimeout:       time.Duration(limits.GetReadBodyMs()) * time.Millisecond,
		IdleTimeout:       time.Duration(limits.GetIdleMs()) * time.Millisecond,
		MaxHeaderBytes:    int(limits.GetHeaderBytes()) + headerSlack,
		ErrorLog:          logging.NewStdLogger(logger, "The server for callers met a fault.", result.Label(api.ResultCode_INTERNAL)),
	})
}

// limitHeader refuses a header past the limit by its result code.
func limitHeader(limit int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if headerBytes(r) > limit {
			result.WriteHTTP(w, result.Newf(api.ResultCode_HEADER_TOO_LARGE, "The header is larger than %d bytes.", limit))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// separators counts the colon, the space and the line end of a header line.
const separators = 4

func headerBytes(r *http.Request) int64 {
	size := int64(len(r.RequestURI))
	for name, values := range r.Header {
		for _, value := range values {
			size += int64(len(name) + len(value) + separators)
		}
	}
	return size
}

// ReadBody reads a whole body of bounded size. A length that the header already
// gives away as too large is refused before any of it is read.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	tooLarge := result.Newf(api.ResultCode_BODY_TOO_LARGE, "The body is larger than %d bytes.", limit)
	if r.ContentLength > limit {
		return nil, tooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var past *http.MaxBytesError
	switch {
	case errors.As(err, &past):
		return nil, tooLarge
	case err != nil:
		// Part of a request must never run as if it were the whole.
		return nil, result.New(api.ResultCode_BAD_REQUEST, "The body could not be read to its end.")
	}
	return body, nil
}

// Listener bounds the connections held at once. Past the bound new ones wait in the
// kernel's queue; without it a flood of idle connections would take the memory
// that work needs.
func Listener(inner net.Listener, connections int) net.Listener {
	return &listener{Listener: inner, slots: make(chan struct{}, connections), closed: make(chan struct{})}
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
		// While all slots are taken nobody waits in the listener that a stop
		// closes; a stop must not hang on idle callers.
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
	// after waits for the end of an answer, and broken says that a write has failed. Only
	// the goroutine that serves the connection has them.
	after  func(sent bool)
	broken bool
}

// Close implements net.Conn.
func (c *connection) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
