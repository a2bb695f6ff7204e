package httpguard

import (
	"context"
	"net"
	"net/http"
)

// connectionKey finds the connection in the context of its requests.
type connectionKey struct{}

// trackAnswers has a server tell connections of a Listener when an answer has been written.
func trackAnswers(server *http.Server) *http.Server {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*connection); ok && (state == http.StateIdle || state == http.StateClosed) {
			conn.notifyAnswered()
		}
	}
	return server
}

// AfterAnswer has f called when the answer to a request has been written to its end, or
// cannot be: sent says which. It returns false, and f is not called, for a server that was
// not made here.
//
// The end of a chunked answer is written by the library after the handler has returned. A
// handler that must know of it would have to flush before, and the end be a packet of its
// own: a caller that hangs up at the last event, as many do, could not keep its connection.
//
// The handler calls it once at most, when nothing but the end is left to do. f runs on the
// goroutine of the connection, before its next request is read.
func AfterAnswer(ctx context.Context, f func(sent bool)) bool {
	conn, ok := ctx.Value(connectionKey{}).(*connection)
	if ok {
		conn.onAnswered = f
	}
	return ok
}

// notifyAnswered calls what waits for the end of an answer.
func (c *connection) notifyAnswered() {
	if f := c.onAnswered; f != nil {
		c.onAnswered = nil
		f(!c.writeFailed)
	}
}

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed = true
	}
	return n, err
}
