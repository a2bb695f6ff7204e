package httpguard

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/result"
)

// acceptRetryInterval is the time until the next try after a failure to accept that passes, such as too many open
// descriptors.
const acceptRetryInterval = 10 * time.Millisecond

// Listener returns a listener whose connections are bounded by the Guard. A connection for which there is no room is
// closed at once.
func (g *Guard) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, guard: g, closed: make(chan struct{})}
}

type listener struct {
	net.Listener
	guard  *Guard
	once   sync.Once
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil && l.isTemporary(err) {
			continue
		}
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: conn, guard: l.guard}
		if !l.guard.open(c) {
			_ = conn.Close()
			continue
		}
		if l.guard.options.Limits != nil {
			c.beginHeader()
		}
		return c, nil
	}
}

// isTemporary reports whether the listener goes on after an error, and waits before it does. A process that ended by
// such an error could be ended by any client that opens enough connections.
func (l *listener) isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	if errors.Is(err, net.ErrClosed) || !errors.As(err, &temporary) || !temporary.Temporary() {
		return false
	}
	_ = level.Warn(l.guard.options.Logger).Log("msg", "A connection could not be accepted.", "listener", l.guard.options.Name,
		"err", err, "result", result.Label(api.ResultCode_SATURATED))
	select {
	case <-l.closed:
		return false
	case <-time.After(acceptRetryInterval):
		return true
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
