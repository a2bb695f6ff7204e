package httpguard

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/decide/shed"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/sockets"
)

// connection is a connection of a client.
//
// Its methods are called by the goroutine that serves it, or by the library's goroutine that waits for input during a
// request, but yield and isStalledAt, which any goroutine may call.
type connection struct {
	net.Conn
	guard *Guard
	slot  *shed.Conn[*connection]

	// readsHeader means that what is read belongs to a header, or comes before one.
	readsHeader atomic.Bool
	header      headerScan
	// limits are those of the current request.
	limits Limits
	// held is what is held for the current request, in bytes.
	held int64
	// body is the body of the current request; nil for none.
	body *countedBody
	// bodyDeadline is the end of the time for the body; zero while none is read.
	bodyDeadline time.Time

	// writesSince is since when a write has waited, as a time since the process started; zero for none.
	writesSince atomic.Int64
	isStalled   atomic.Bool

	// onAnswered is called at the end of an answer, and writeFailed says that a write has failed.
	onAnswered  func(sent bool)
	writeFailed bool
}

// setState follows the states of the server's connections.
func (c *connection) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		// The library has read a header.
		c.readsHeader.Store(false)
		_ = c.Conn.SetReadDeadline(time.Time{})
	case http.StateIdle:
		c.notifyAnswered()
		c.guard.move(c, shed.Idle, c.held)
		c.held = 0
		c.isStalled.Store(false)
		c.body, c.bodyDeadline = nil, time.Time{}
		c.beginHeader()
	case http.StateClosed:
		c.notifyAnswered()
	}
}

// beginHeader prepares for a header.
func (c *connection) beginHeader() {
	c.limits = c.guard.options.Limits()
	c.header = headerScan{}
	c.readsHeader.Store(true)
	_ = c.Conn.SetReadDeadline(deadlineAfter(c.limits.IdleTime))
}

// deadlineAfter returns the deadline of a limit in time, zero for none.
func deadlineAfter(limit time.Duration) time.Time {
	if limit <= 0 {
		return time.Time{}
	}
	return time.Now().Add(limit)
}

// beginRequest counts a request whose header was read. It returns false if there is no room for it.
func (c *connection) beginRequest(r *http.Request) bool {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(c.guard.options.WriteTime))
	phase := shed.InFlight
	if r.Body != http.NoBody {
		phase = shed.Sending
		c.bodyDeadline = deadlineAfter(c.limits.BodyTime)
		_ = c.Conn.SetReadDeadline(c.bodyDeadline)
		c.body = &countedBody{ReadCloser: r.Body, c: c}
		r.Body = c.body
	}
	c.guard.move(c, phase, 0)
	return c.hold(requestBytes + c.guard.options.RequestBytes)
}

// endRequest limits the time that the library spends on the rest of a body that the handler has not read.
func (c *connection) endRequest() {
	if c.body != nil && !c.body.isRead {
		c.bodyDeadline = time.Now().Add(discardTime)
		_ = c.Conn.SetReadDeadline(c.bodyDeadline)
	}
}

// breakOff makes the end of an answer that is broken off a reset if the client could take it for that of the whole: in
// HTTP/1.0 there are no chunks, and an answer without a length ends with its connection.
func (c *connection) breakOff(r *http.Request) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && !r.ProtoAtLeast(1, 1) {
		_ = tcp.SetLinger(0)
	}
}

// hold counts bytes that are held for the current request.
func (c *connection) hold(bytes int64) bool {
	if !c.guard.hold(c, bytes) {
		return false
	}
	c.held += bytes
	return true
}

// SetReadDeadline implements net.Conn. The limits on headers and bodies hold beside the deadlines of the library and of
// the handler.
func (c *connection) SetReadDeadline(t time.Time) error {
	switch {
	case c.readsHeader.Load() && t.IsZero():
		return nil
	case !c.bodyDeadline.IsZero() && (t.IsZero() || t.After(c.bodyDeadline)):
		t = c.bodyDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	if !c.readsHeader.Load() {
		return c.Conn.Read(p)
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		// A process that was paused finds the deadline passed before it has read what came in time.
		_ = c.Conn.SetReadDeadline(time.Now().Add(pendingInputTime))
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		return 0, err
	}
	if refusal := c.scanHeader(p[:n]); refusal != nil {
		c.refuse(refusal)
		return 0, errRefused
	}
	return n, err
}

// pendingInputTime is how long input that has already arrived takes to be read.
const pendingInputTime = time.Millisecond

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	c.writesSince.Store(int64(clock.Now()))
	n, err := c.Conn.Write(p)
	c.writesSince.Store(0)
	if err != nil {
		c.writeFailed = true
	}
	if c.isStalled.Swap(false) && err == nil {
		c.guard.move(c, shed.InFlight, 0)
	}
	return n, err
}

// isStalledAt reports whether the client takes nothing of its answer, and marks the connection if so.
func (c *connection) isStalledAt(now time.Duration) bool {
	since := c.writesSince.Load()
	if since == 0 || now-time.Duration(since) < stallTime {
		return false
	}
	c.isStalled.Store(true)
	return true
}

// CloseWrite lets the client read the library's last answer before the connection is closed.
func (c *connection) CloseWrite() error {
	c.guard.move(c, shed.Refused, 0)
	if !c.guard.hold(c, sockets.ReceiveBufferBytes) {
		c.yield()
		return nil
	}
	return c.closeWrite()
}

func (c *connection) closeWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.guard.remove(c)
	return c.Conn.Close()
}

// yield closes a connection to make room. The kernel keeps nothing of it, but the client of an idle one can still read
// the end of its last answer.
func (c *connection) yield() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.slot.Phase() != shed.Idle {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// Established marks a connection whose client has proved that it belongs to the system. It is not closed to make room.
func (c *connection) Established() {
	c.readsHeader.Store(false)
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.guard.move(c, shed.InFlight, 0)
}

// errRefused makes the library close a connection without an answer of its own.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request was refused")}

// drain reads what a client still sends after its last answer. A connection that is closed with unread input is reset,
// and the client would lose the answer.
func (c *connection) drain() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(drainTime))
	_, _ = io.CopyN(io.Discard, c.Conn, maxDrainedBytes)
}

const (
	// drainTime and maxDrainedBytes limit what is read after the last answer.
	drainTime       = 500 * time.Millisecond
	maxDrainedBytes = 256 << 10
	// discardTime limits the time for the rest of a body that is not needed.
	discardTime = 500 * time.Millisecond
)
