package httpguard

import "context"

// AfterAnswer arranges for f to be called when the answer to a request has been written
// completely, or cannot be; sent says which. It returns false, without calling f, if the connection
// is not one of a [Guard].
//
// net/http writes the end of a chunked answer after the handler has returned. To know about it in
// the handler, the handler would have to flush first, and the end would be sent as a packet of its
// own. A caller that hangs up at the last event, as many do, could then not reuse its connection.
//
// The handler may call AfterAnswer at most once, when only the end of the answer is left to write.
// f runs on the connection's goroutine, before its next request is read.
func AfterAnswer(ctx context.Context, f func(sent bool)) bool {
	conn := connectionOf(ctx)
	if conn != nil {
		conn.onAnswered = f
	}
	return conn != nil
}

// notifyAnswered calls the function that waits for the end of an answer.
func (c *connection) notifyAnswered() {
	if f := c.onAnswered; f != nil {
		c.onAnswered = nil
		f(!c.writeFailed)
	}
}
