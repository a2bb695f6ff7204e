// Package upstream keeps an entry's connections to backend servers.
//
// It writes each request once and never repeats one by itself: whether a request may be
// sent again is for the caller to decide, who knows what may run twice. The standard
// library's client repeats some requests on its own when a kept connection turns out
// closed.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/clock"
)

// ErrConnectionLimit says that a backend server has all connections that this entry may have to it.
var ErrConnectionLimit = errors.New("no connection is left to the backend server")

const (
	// userTimeout is how long the kernel waits for the other side to acknowledge what was sent,
	// or to answer probes, before it gives a connection up. Connections can go silent for
	// good while new ones work; only this shows it. Above any delay of a sound network, and
	// below the deadlines of short requests.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle and probeEach are when an idle connection is probed.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 2
	// idleTimeoutMargin is how long before the backend server would close an idle connection it
	// is no longer used: a request must not cross the close.
	idleTimeoutMargin = 700 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept to a backend server that does not say
	// how long it does.
	defaultIdleTimeout = 300 * time.Millisecond
)

// Pool keeps connections to backend servers by the servers' IDs.
type Pool struct {
	dialer net.Dialer

	mu        sync.Mutex
	idle      map[string][]*Conn
	openCount map[string]int
}

// NewPool returns a pool that gives a connection up when it does not stand after timeout.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{
		dialer:    net.Dialer{Timeout: dialTimeout, Control: SetTCPUserTimeout, KeepAliveConfig: KeepAliveConfig()},
		idle:      make(map[string][]*Conn),
		openCount: make(map[string]int),
	}
}

// KeepAliveConfig probes idle connections, so that one which has gone silent shows.
func KeepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// tcpUserTimeoutOption is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeoutOption = 18

// SetTCPUserTimeout bounds how long a socket waits for acknowledgements; it is the Control
// function of a dialer or listener.
func SetTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(userTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Get returns a connection to a backend server: an idle one, or with fresh or without an
// idle one a new one. At most limit are open at a time; zero means no bound. When it
// returns an error, nothing was sent.
func (p *Pool) Get(ctx context.Context, server, address string, limit int, forceNew bool) (*Conn, error) {
	if !forceNew {
		if c := p.takeIdle(server, clock.Now()); c != nil {
			return c, nil
		}
	}
	if !p.reserveConn(server, limit) {
		return nil, ErrConnectionLimit
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.releaseConn(server)
		return nil, errors.Wrap(err, "connect")
	}
	return &Conn{Conn: conn, pool: p, server: server, br: bufio.NewReader(conn)}, nil
}

// takeIdle returns the connection that was used last, since the others may then close for
// being idle.
func (p *Pool) takeIdle(server string, now time.Duration) *Conn {
	for {
		p.mu.Lock()
		conns := p.idle[server]
		if len(conns) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := conns[len(conns)-1]
		p.idle[server] = conns[:len(conns)-1]
		p.mu.Unlock()
		if c.canReuse(now) && c.hasNoInput() {
			return c
		}
		c.discard()
	}
}

func (c *Conn) canReuse(now time.Duration) bool {
	idleTimeout := defaultIdleTimeout
	if c.idleTimeout > 0 {
		idleTimeout = c.idleTimeout - idleTimeoutMargin
	}
	return now-c.idleSince < idleTimeout
}

func (p *Pool) reserveConn(server string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.openCount[server] >= limit {
		return false
	}
	p.openCount[server]++
	return true
}

func (p *Pool) releaseConn(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount[server]--
	if p.openCount[server] <= 0 {
		delete(p.openCount, server)
	}
}

func (p *Pool) putIdle(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.server] = append(p.idle[c.server], c)
}

// CloseExpired closes idle connections whose time is over, and all to servers of which known
// returns false.
func (p *Pool) CloseExpired(isKnown func(server string) bool) {
	now := clock.Now()
	var expired []*Conn
	p.mu.Lock()
	for server, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if isKnown(server) && c.canReuse(now) {
				kept = append(kept, c)
				continue
			}
			expired = append(expired, c)
		}
		if len(kept) == 0 {
			delete(p.idle, server)
			continue
		}
		p.idle[server] = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.discard()
	}
}
