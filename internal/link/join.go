package link

import (
	"encoding/binary"
	"net"
)

// yamux writes the header and the body of a frame with two calls, each of which causes a system
// call and a packet. It also sends a separate frame to open a stream. This is expensive for
// streamed tokens, which are small and many.
const (
	muxHeaderBytes = 12
	muxTypeData    = 0
	muxTypeWindow  = 1
	// muxOpenFlags are the flags of a frame that opens or accepts a stream, muxCloseFlags those of
	// a frame that closes it.
	muxOpenFlags  = 1 | 2
	muxCloseFlags = 4 | 8
	// maxCoalescedBytes limits the body that is copied behind its header. A larger body gets a
	// write of its own.
	maxCoalescedBytes = 16 << 10
)

// coalescingConn is a connection that writes the header and the body of a yamux frame together, and
// a frame that opens a stream together with the next frame. Only one goroutine may write to it, as
// yamux does.
type coalescingConn struct {
	net.Conn
	buffered   []byte // data held back for the next call
	expectBody bool   // the next call writes the body of the last buffered header
}

// Write implements net.Conn. Data is held back only if more is certain to follow soon; its write
// error is then returned by that later call. The body of a frame follows with the next call. A side
// that opens a stream sends its first message, and a side that accepts one answers or closes it. If
// that takes long, the heartbeats of the link, which now has work, flush the data.
func (c *coalescingConn) Write(p []byte) (int, error) {
	switch {
	case c.expectBody:
		c.expectBody = false
	case isHeaderWithBody(p):
		c.expectBody = true
		c.buffered = append(c.buffered, p...)
		return len(p), nil
	case opensStream(p):
		c.buffered = append(c.buffered, p...)
		return len(p), nil
	}
	if len(c.buffered) == 0 {
		return c.Conn.Write(p)
	}
	if len(p) > maxCoalescedBytes {
		if _, err := c.Conn.Write(c.buffered); err != nil {
			return 0, err
		}
		c.buffered = c.buffered[:0]
		return c.Conn.Write(p)
	}
	before := len(c.buffered)
	c.buffered = append(c.buffered, p...)
	n, err := c.Conn.Write(c.buffered)
	c.buffered = c.buffered[:0]
	return max(n-before, 0), err
}

// isHeaderWithBody reports whether p is the header of a data frame with a body.
func isHeaderWithBody(p []byte) bool {
	if len(p) != muxHeaderBytes || p[0] != 0 || p[1] != muxTypeData {
		return false
	}
	return binary.BigEndian.Uint32(p[8:]) > 0
}

// opensStream reports whether p is a frame without a body that opens or accepts a stream.
func opensStream(p []byte) bool {
	if len(p) != muxHeaderBytes || p[0] != 0 || p[1] != muxTypeWindow {
		return false
	}
	flags := binary.BigEndian.Uint16(p[2:])
	return flags&muxOpenFlags != 0 && flags&muxCloseFlags == 0
}
