package link

import (
	"encoding/binary"
	"net"
)

// yamux writes the header of a frame and its body by two calls, each a system call and a
// packet of its own, and a frame to open a stream before the first that carries anything.
// Tokens of a stream are small and many.
const (
	muxHeaderBytes = 12
	muxTypeData    = 0
	muxTypeWindow  = 1
	// muxOpenFlags are the flags of a frame that opens a stream, or takes one, and muxEnds
	// those of one that closes it.
	muxOpenFlags  = 1 | 2
	muxCloseFlags = 4 | 8
	// maxCoalescedBytes bounds a body that is copied behind its header, bytes; a larger one is
	// worth a call of its own.
	maxCoalescedBytes = 16 << 10
)

// coalescingConn is a connection that writes header and body of a yamux frame together, and what
// opens a stream with the next frame. Only one goroutine writes to it, as yamux does.
type coalescingConn struct {
	net.Conn
	buffered   []byte // what waits for the next call
	expectBody bool   // the next call brings the body of the header held last
}

// Write implements net.Conn. Bytes are held back only if others are bound to follow soon;
// their error then comes with that call's. A body follows in the next call; whoever opens
// a stream sends its first message, and whoever takes one its answer, or closes it. Should
// that be late, the heartbeats of the link, which now has work, carry it.
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

// isHeaderWithBody says that a write is the header of a data frame that has a body.
func isHeaderWithBody(p []byte) bool {
	if len(p) != muxHeaderBytes || p[0] != 0 || p[1] != muxTypeData {
		return false
	}
	return binary.BigEndian.Uint32(p[8:]) > 0
}

// opensStream says that a write is a frame without a body by which a stream begins.
func opensStream(p []byte) bool {
	if len(p) != muxHeaderBytes || p[0] != 0 || p[1] != muxTypeWindow {
		return false
	}
	flags := binary.BigEndian.Uint16(p[2:])
	return flags&muxOpenFlags != 0 && flags&muxCloseFlags == 0
}
