package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/peering"
	"github.com/apricothub/apricothub/coord/registry"
	"github.com/apricothub/apricothub/decide/quarantine"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
)

// endChecks are the times after a broken answer at which its server is checked: the listener of a process
// that ends may be closed a little later than its connections.
var endChecks = []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond}

// endProber finds out whether servers that broke off an answer have ended. Checks of the same server are
// shared. It is safe for concurrent use.
type endProber struct {
	mu     sync.Mutex
	checks map[registry.Start]*endCheck
	// begunCheckedAt is when servers were last checked at once after an answer that had begun, begunChecks
	// how many since then.
	begunCheckedAt time.Duration
	begunChecks    int
}

// endCheck is the check of one server.
type endCheck struct {
	// first is closed once the server has been checked once, done at the end of the check.
	first, done chan struct{}
	// ended is whether the server has ended.
	ended atomic.Bool
}

func newEndProber() *endProber { return &endProber{checks: make(map[registry.Start]*endCheck)} }

const (
	// maxBegunChecks limits the servers that are checked at once after answers that had begun, in each
	// begunCheckInterval.
	maxBegunChecks     = 2
	begunCheckInterval = time.Second
)

// takeBegunCheck reports whether another server may be checked at once after an answer that had begun.
func (p *endProber) takeBegunCheck(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now-p.begunCheckedAt >= begunCheckInterval {
		p.begunCheckedAt, p.begunChecks = now, 0
	}
	p.begunChecks++
	return p.begunChecks <= maxBegunChecks
}

// start returns the check of a server, and starts one unless one is under way.
func (p *endProber) start(s registry.Server) *endCheck {
	key := registry.Start{ID: s.ID, StartedAtUnixMs: s.StartedAtUnixMs}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.checks[key]; c != nil {
		return c
	}
	c := &endCheck{first: make(chan struct{}), done: make(chan struct{})}
	p.checks[key] = c
	go func() {
		c.run(s.Address)
		p.mu.Lock()
		delete(p.checks, key)
		p.mu.Unlock()
		close(c.done)
	}()
	return c
}

func (c *endCheck) run(address string) {
	began := clock.Now()
	for i, at := range endChecks {
		time.Sleep(began + at - clock.Now())
		c.ended.Store(isRefused(address))
		if i == 0 {
			close(c.first)
		}
		if c.ended.Load() {
			return
		}
	}
}

// isRefused reports whether a VM refuses connections to an address, so that no process listens there. A VM
// that is silent, or a server that accepts or resets connections, gives false.
func isRefused(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// maxEndWait is how long a request waits for the first check of the server that broke off its answer: several
// times a network delay. A request that is sent again must be held back if it may have ended the server.
const maxEndWait = 25 * time.Millisecond

// checkEnd checks whether the server of a broken attempt has ended while it had not begun the answer, and
// waits for the first check.
//
// When a rank of a lock-step group ends, the other ranks break off their answers as well. Only the rank
// that has ended can have been ended by a request that was at it.
func (g *Gateway) checkEnd(t *task, s registry.Server) {
	if !g.fleet.endsUnexpectedly(s) {
		return
	}
	check := g.ends.start(s)
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		<-check.done
		if check.ended.Load() {
			g.recordEnd(t, s, false)
		}
	}()
	select {
	case <-recorded:
	case <-check.first:
		if check.ended.Load() {
			<-recorded
		}
	case <-time.After(maxEndWait):
	}
}

// checkBegun checks whether the server of a broken attempt has ended while its answer was under way.
//
// When a group breaks, all entries would connect to all of its ranks. So only the first servers are checked
// at once: the connections of a rank that has ended break before those of the others. The rest are checked
// only if another server has ended at about that time.
func (g *Gateway) checkBegun(t *task, s registry.Server) {
	if !g.ends.takeBegunCheck(clock.Now()) {
		select {
		case <-time.After(endChecks[1]):
		case <-g.stopped:
			return
		}
		if !g.prompts.hasRecentEnd(clock.Now()) {
			return
		}
	}
	if !g.fleet.endsUnexpectedly(s) {
		return
	}
	check := g.ends.start(s)
	<-check.done
	if check.ended.Load() {
		g.recordEnd(t, s, true)
	}
}

// endsUnexpectedly reports whether nothing but a failure of its process explains the end of a server: it
// is registered, has not said that it leaves, and its VM is not silent.
func (f *fleet) endsUnexpectedly(s registry.Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.servers[s.ID]
	return known != nil && known.StartedAtUnixMs == s.StartedAtUnixMs && !known.Draining && !known.saysLeaving &&
		!f.silenceDetector.IsSilent(s.ID)
}

func (g *Gateway) recordEnd(t *task, s registry.Server, hasBegun bool) {
	start := quarantine.ServerStart{Hash: peering.ServerHash(s.ID), StartedAtUnixMs: s.StartedAtUnixMs}
	g.prompts.recordEnd(t, start, hasBegun, clock.Now())
	_ = level.Warn(g.logger).Log(line(t, "A backend server ended while it had the request.", func() [][]any {
		return [][]any{{
			"server", s.ID, "service", s.Service, "failure_domain", s.FailureDomain, "answer_begun", hasBegun,
			"result", result.Label(api.ResultCode_BACKEND_FAILED),
		}, t.contentFields()}
	})...)
}
