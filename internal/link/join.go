package link

import (
	"encoding/binary"
	"net"
)

// yamux writes the header of a frame and its body by two calls, each a system call and a
// packet of its own, and a frame to open a stream before the first that carries anything.
// Tokens of a stream are small and many.
const (
	muxHeader     = 12
	muxTypeData   = 0
	muxTypeWindow = 1
	// muxOpens are the flags of a frame that opens a stream, or takes one, and muxEnds
	// those of one that closes it.
	muxOpens = 1 | 2
	muxEnds  = 4 | 8
	// joinLimit bounds a body that is copied behind its header, bytes; a larger one is
	// worth a call of its own.
	joinLimit = 16 << 10
)

// joined is a connection that writes header and body of a yamux frame together, and what
// opens a stream with the next frame. Only one goroutine writes to it, as yamux does.
type joined struct {
	net.Conn
	held []byte // what waits for the next call
	body bool   // the next call brings the body of the header held last
}

// Write implements net.Conn. Bytes are held back only if others are bound to follow soon;
// their error then comes with that call's. A body follows in the next call; whoever opens
// a stream sends its first message, and whoever takes one its answer, or closes it. Should
// that be late, the heartbeats of the link, which now has work, carry it.
func (c *joined) Write(p []byte) (int, error) {
	switch {
	case c.body:
		c.body = false
	case announcesBody(p):
		c.body = true
		c.held = append(c.held, p...)
		return len(p), nil
	case opensStream(p):
		c.held = append(c.held, p...)
		return len(p), nil
	}
	if len(c.held) == 0 {
		return c.Conn.Write(p)
	}
	if len(p) > joinLimit {
		if _, err := c.Conn.Write(c.held); err != nil {
			return 0, err
		}
		c.held = c.held[:0]
		return c.Conn.Write(p)
	}
	before := len(c.held)
	c.held = append(c.held, p...)
	n, err := c.Conn.Write(c.held)
	c.held = c.held[:0]
	return max(n-before, 0), err
}

// announcesBody says that a write is the header of a data frame that has a body.
func announcesBody(p []byte) bool {
	if len(p) != muxHeader || p[0] != 0 || p[1] != muxTypeData {
		return false
	}
	return binary.BigEndian.Uint32(p[8:]) > 0
}

// opensStream says that a write is a frame without a body by which a stream begins.
func opensStream(p []byte) bool {
	if len(p) != muxHeader || p[0] != 0 || p[1] != muxTypeWindow {
		return false
	}
	flags := binary.BigEndian.Uint16(p[2:])
	return flags&muxOpens != 0 && flags&muxEnds == 0
}
