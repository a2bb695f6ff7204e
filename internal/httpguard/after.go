package httpguard

import (
	"context"
	"net"
	"net/http"
)

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// trackAnswers makes a server notify the connections of a [LimitListener] when an answer has been
// written.
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

// AfterAnswer arranges for f to be called when the answer to a request has been written
// completely, or cannot be; sent says which. It returns false, without calling f, if the server
// was not made by [NewServer] or the connection was not accepted by a [LimitListener].
//
// net/http writes the end of a chunked answer after the handler has returned. To know about it in
// the handler, the handler would have to flush first, and the end would be sent as a packet of its
// own. A caller that hangs up at the last event, as many do, could then not reuse its connection.
//
// The handler may call AfterAnswer at most once, when only the end of the answer is left to write.
// f runs on the connection's goroutine, before its next request is read.
func AfterAnswer(ctx context.Context, f func(sent bool)) bool {
	conn, ok := ctx.Value(connectionKey{}).(*connection)
	if ok {
		conn.onAnswered = f
	}
	return ok
}

// notifyAnswered calls the function that waits for the end of an answer.
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
