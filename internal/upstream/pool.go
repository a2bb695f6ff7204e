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

// ErrFull says that a backend server has all connections that this entry may have to it.
var ErrFull = errors.New("no connection is left to the backend server")

const (
	// silence is how long the kernel waits for the other side to acknowledge what was sent,
	// or to answer probes, before it gives a connection up. Connections can go silent for
	// good while new ones work; only this shows it. Above any delay of a sound network, and
	// below the deadlines of short requests.
	silence = 1500 * time.Millisecond
	// probeAfter and probeEach are when an idle connection is probed.
	probeAfter = time.Second
	probeEach  = 500 * time.Millisecond
	probes     = 2
	// keepMargin is how long before the backend server would close an idle connection it
	// is no longer used: a request must not cross the close.
	keepMargin = 700 * time.Millisecond
	// keepUnknown is how long a connection is kept to a backend server that does not say
	// how long it does.
	keepUnknown = 300 * time.Millisecond
)

// Pool keeps connections to backend servers by the servers' IDs.
type Pool struct {
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*Conn
	open map[string]int
}

// NewPool returns a pool that gives a connection up when it does not stand after timeout.
func NewPool(timeout time.Duration) *Pool {
	return &Pool{
		dialer: net.Dialer{Timeout: timeout, Control: SilentLinks, KeepAliveConfig: KeepAlive()},
		idle:   make(map[string][]*Conn),
		open:   make(map[string]int),
	}
}

// KeepAlive probes idle connections, so that one which has gone silent shows.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEach, Count: probes}
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 18

// SilentLinks bounds how long a socket waits for acknowledgements; it is the Control
// function of a dialer or listener.
func SilentLinks(_, _ string, raw syscall.RawConn) error {
	var err error
	failed := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
	})
	if failed != nil {
		return failed
	}
	return err
}

// Get returns a connection to a backend server: an idle one, or with fresh or without an
// idle one a new one. At most limit are open at a time; zero means no bound. When it
// returns an error, nothing was sent.
func (p *Pool) Get(ctx context.Context, server, address string, limit int, fresh bool) (*Conn, error) {
	if !fresh {
		if c := p.take(server, clock.Now()); c != nil {
			return c, nil
		}
	}
	if !p.reserve(server, limit) {
		return nil, ErrFull
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.closed(server)
		return nil, errors.Wrap(err, "connect")
	}
	return &Conn{Conn: conn, pool: p, server: server, br: bufio.NewReader(conn)}, nil
}

// take returns the connection that was used last, since the others may then close for
// being idle.
func (p *Pool) take(server string, now time.Duration) *Conn {
	for {
		p.mu.Lock()
		list := p.idle[server]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[server] = list[:len(list)-1]
		p.mu.Unlock()
		if c.fresh(now) && c.quiet() {
			return c
		}
		c.drop()
	}
}

func (c *Conn) fresh(now time.Duration) bool {
	keep := keepUnknown
	if c.keep > 0 {
		keep = c.keep - keepMargin
	}
	return now-c.idleSince < keep
}

func (p *Pool) reserve(server string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.open[server] >= limit {
		return false
	}
	p.open[server]++
	return true
}

func (p *Pool) closed(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[server]--
	if p.open[server] <= 0 {
		delete(p.open, server)
	}
}

func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.server] = append(p.idle[c.server], c)
}

// Sweep closes idle connections whose time is over, and all to servers of which known
// returns false.
func (p *Pool) Sweep(known func(server string) bool) {
	now := clock.Now()
	var stale []*Conn
	p.mu.Lock()
	for server, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if known(server) && c.fresh(now) {
				kept = append(kept, c)
				continue
			}
			stale = append(stale, c)
		}
		if len(kept) == 0 {
			delete(p.idle, server)
			continue
		}
		p.idle[server] = kept
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.drop()
	}
}
