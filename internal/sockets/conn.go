package sockets

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/clock"
)

// ErrSilentPeer is returned by reads and writes on a connection that was reset because its peer is silent.
var ErrSilentPeer = errors.New("the peer acknowledges nothing that is sent to it")

// checkInterval is the time between two checks of a connection on which something waits to be acknowledged.
const checkInterval = 500 * time.Millisecond

// conn is a TCP connection that is reset when its peer has gone silent. The methods of net.TCPConn go to the
// connection itself, but for Read, Write and Close.
type conn struct {
	*net.TCPConn

	mu sync.Mutex
	// timer runs while isWatched, from a write until the peer has acknowledged everything.
	timer     *time.Timer
	isWatched bool
	isClosed  bool
	// writes counts the calls of Write that have not returned.
	writes  int
	silence silence
	// isSilent means that the connection was reset because the peer is silent.
	isSilent atomic.Bool
}

func watch(tcp *net.TCPConn) *conn { return &conn{TCPConn: tcp} }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.beginWrite()
	defer c.endWrite()
	n, err := c.TCPConn.Write(p)
	return n, c.explain(err)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	return n, c.explain(err)
}

// explain returns the error of an operation, ErrSilentPeer if the connection was reset for that reason.
func (c *conn) explain(err error) error {
	if err != nil && c.isSilent.Load() {
		return ErrSilentPeer
	}
	return err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.isClosed = true
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	return c.TCPConn.Close()
}

func (c *conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes++
	if c.isWatched || c.isClosed {
		return
	}
	c.isWatched = true
	if c.timer == nil {
		c.timer = time.AfterFunc(checkInterval, c.check)
		return
	}
	c.timer.Reset(checkInterval)
}

func (c *conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
}

// check checks whether the peer is silent, and goes on while something waits to be acknowledged.
func (c *conn) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return
	}
	state, err := readSendState(c.TCPConn)
	switch {
	case err != nil || state.isDelivered() && c.writes == 0:
		// Without a state, keep-alive probes and the deadlines of requests remain.
		c.isWatched = false
		c.silence = silence{}
	case c.silence.observe(clock.Now(), state):
		// An orderly close would wait behind what the peer has not acknowledged.
		_ = c.SetLinger(0)
		c.isClosed = true
		c.isSilent.Store(true)
		_ = c.TCPConn.Close()
	default:
		c.timer.Reset(checkInterval)
	}
}

// readSendState reads the state of a connection from the kernel.
func readSendState(tcp *net.TCPConn) (sendState, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return sendState{}, err
	}
	info, err := readInfo(raw)
	return info.sendState(), err
}

// Pools look for input on idle connections through this interface.
var _ syscall.Conn = (*conn)(nil)
