// Package upstream pools an entry's connections to backend servers.
//
// It writes each request once and never retries on its own: only the caller knows which requests
// may be executed twice. The client of net/http retries some requests if a kept connection turns
// out to be closed.
package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/sockets"
)

// ErrConnectionLimit is returned if no further connection to a backend server may be opened.
var ErrConnectionLimit = errors.New("connection limit of the backend server reached")

const (
	// idleTimeoutMargin is how long before the backend server closes an idle connection it is no
	// longer used, so that no request is sent while the server closes.
	idleTimeoutMargin = 700 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept if the backend server states no timeout.
	defaultIdleTimeout = 300 * time.Millisecond
)

// Pool keeps idle connections to backend servers and counts the open ones, by server ID.
type Pool struct {
	dialer *sockets.Dialer

	mu        sync.Mutex
	idle      map[string][]*Conn
	openCount map[string]int
}

// NewPool returns a pool that waits at most dialTimeout for a connection to be established.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{
		dialer:    sockets.NewDialer(dialTimeout),
		idle:      make(map[string][]*Conn),
		openCount: make(map[string]int),
	}
}

// Get returns an idle connection to a backend server, or a new one if there is none or forceNew is
// set. At most limit connections to the server are open at a time; zero means no limit. If Get
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
	return newConn(conn, p, server), nil
}

// takeIdle removes and returns the most recently used idle connection, so that unneeded ones reach
// their idle timeout. It returns nil if there is none.
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

// Open returns the number of connections that are open, idle ones included.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := 0
	for _, n := range p.openCount {
		open += n
	}
	return open
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

// CloseExpired closes idle connections whose idle timeout is over, and all idle ones to servers for
// which isKnown returns false.
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
