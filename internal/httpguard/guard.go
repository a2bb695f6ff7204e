// Package httpguard limits what the clients of a listener can make a process hold: connections, headers, bodies,
// answers, and the time that each may take.
//
// A Guard stands between the listener and the server of net/http. It counts what each connection costs, closes those
// that yield by package shed when a bound is reached, and refuses headers beyond the limits before the library has
// parsed them.
package httpguard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/shed"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/logging"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/sockets"
)

const (
	// connectionBytes is what a connection holds without a request: the library's buffers and its goroutine.
	connectionBytes = 24 << 10
	// requestBytes is what a request in flight can make the kernel hold: the answer that its client does not
	// take, and what the client sends meanwhile.
	requestBytes = sockets.ReceiveBufferBytes + sockets.SendBufferBytes
	// stallTime is how long a client takes nothing of its answer until its connection may be closed.
	stallTime = time.Second
	// stallCheckInterval is the least time between two searches for such connections.
	stallCheckInterval = 100 * time.Millisecond
	// logInterval is the least time between two lines about connections that were closed to make room.
	logInterval = 10 * time.Second
)

// Limits limit one request. A limit of zero is none.
type Limits struct {
	// HeaderBytes limits the header without the request line, which has the same limit of its own.
	HeaderBytes int64
	// HeaderTime limits the time from the first byte of a header to its end, BodyTime the time of a body, IdleTime the
	// time before a header.
	HeaderTime, BodyTime, IdleTime time.Duration
}

// Options are the bounds of a Guard.
type Options struct {
	// Name names the listener in log lines and metrics.
	Name string
	// Connections limits the connections, Bytes the memory that is held for all of them.
	Connections int
	Bytes       int64
	// RequestBytes is what a handler holds for a request on average, without its header and body.
	RequestBytes int64
	// WriteTime limits the writing of an answer for which the handler sets no limit.
	WriteTime time.Duration
	// Limits returns the limits in force. It is nil for connections of another protocol than HTTP.
	Limits func() Limits
	Logger log.Logger
	// Registry receives the metrics; nil for none.
	Registry metrics.Registry
}

// Guard bounds what the clients of one listener hold.
type Guard struct {
	options                   Options
	closedCount, refusedCount metrics.Counter

	mu    sync.Mutex
	table *shed.Table[*connection]
	// stallsCheckedAt is when connections were last searched for stalled clients, loggedAt when a line was last
	// written, and closedSince and refusedSince what happened since.
	stallsCheckedAt, loggedAt time.Duration
	closedSince, refusedSince int
}

// New returns a Guard.
func New(o Options) *Guard {
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	name := "clients." + o.Name
	return &Guard{
		options:      o,
		closedCount:  metrics.GetOrRegisterCounter(name+".closed", o.Registry),
		refusedCount: metrics.GetOrRegisterCounter(name+".refused", o.Registry),
		table:        shed.New[*connection](shed.Limits{Connections: max(1, o.Connections), Bytes: max(o.Bytes, minBytes)}),
		loggedAt:     -logInterval,
	}
}

// minBytes lets one connection with a request in flight fit any bound.
const minBytes = 1 << 20

// NewServer returns a server for the connections of a [Guard.Listener]. It sets none of the library's time limits: those
// of the Guard may change while the server runs.
func (g *Guard) NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:        g.guard(handler),
		MaxHeaderBytes: maxLibraryHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if conn, ok := c.(*connection); ok {
				conn.setState(state)
			}
		},
		ErrorLog: logging.NewStdLogger(g.options.Logger, "The library for HTTP reports an error.", result.Label(api.ResultCode_INTERNAL)),
	}
}

// maxLibraryHeaderBytes is more than a Guard lets pass.
const maxLibraryHeaderBytes = 4 << 20

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

func connectionOf(ctx context.Context) *connection {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	return c
}

// guard counts a request while next serves it.
func (g *Guard) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connectionOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !c.beginRequest(r) {
			w.Header().Set("Connection", "close")
			result.WriteHTTP(w, noRoom())
			return
		}
		defer func() {
			if broken := recover(); broken != nil {
				c.breakOff(r)
				panic(broken)
			}
		}()
		next.ServeHTTP(w, r)
		c.endRequest()
	})
}

// open adds a connection. It returns false if there is no room for it, and waits while there will be soon.
func (g *Guard) open(c *connection) bool {
	for {
		wait, ok := g.tryOpen(c)
		if wait == 0 {
			return ok
		}
		time.Sleep(wait)
	}
}

func (g *Guard) tryOpen(c *connection) (wait time.Duration, ok bool) {
	now := clock.Now()
	g.mu.Lock()
	a := g.table.Add(c, connectionBytes, now)
	if a.Conn == nil && a.Wait == 0 && g.markStalled(now) {
		closed := a.Closed
		a = g.table.Add(c, connectionBytes, now)
		a.Closed = append(a.Closed, closed...)
	}
	c.slot = a.Conn
	g.count(a.Closed, a.Conn == nil && a.Wait == 0, now)
	g.mu.Unlock()
	closeAll(a.Closed)
	return a.Wait, a.Conn != nil
}

// hold counts further bytes that are held for a connection, or returns false if there is no room for them.
func (g *Guard) hold(c *connection, bytes int64) bool {
	now := clock.Now()
	g.mu.Lock()
	closed, ok := g.table.Hold(c.slot, bytes, now)
	if !ok && g.markStalled(now) {
		var more []*connection
		more, ok = g.table.Hold(c.slot, bytes, now)
		closed = append(closed, more...)
	}
	g.count(closed, !ok, now)
	g.mu.Unlock()
	closeAll(closed)
	return ok
}

// move records that a connection has come into a phase, and counts bytes that are held no longer. It returns false if the
// connection has yielded.
func (g *Guard) move(c *connection, p shed.Phase, released int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Release(c.slot, released)
	return g.table.Move(c.slot, p, clock.Now())
}

func (g *Guard) remove(c *connection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Remove(c.slot)
}

// markStalled looks for connections whose clients take nothing of their answers, and returns whether there are any.
func (g *Guard) markStalled(now time.Duration) bool {
	if now-g.stallsCheckedAt < stallCheckInterval {
		return false
	}
	g.stallsCheckedAt = now
	return g.table.MarkStalled(func(c *connection) bool { return c.isStalledAt(now) }, now) > 0
}

// count counts what was closed and refused, and logs it from time to time.
func (g *Guard) count(closed []*connection, isRefused bool, now time.Duration) {
	if len(closed) == 0 && !isRefused {
		return
	}
	g.closedCount.Inc(int64(len(closed)))
	g.closedSince += len(closed)
	if isRefused {
		g.refusedCount.Inc(1)
		g.refusedSince++
	}
	if now-g.loggedAt < logInterval {
		return
	}
	_ = level.Warn(g.options.Logger).Log("msg", "Clients reach a bound. Connections are closed or refused to keep within it.",
		"listener", g.options.Name, "connections", g.table.Open(), "max_connections", g.options.Connections, "held_bytes", g.table.Bytes(),
		"max_held_bytes", g.options.Bytes, "connections_closed", g.closedSince, "connections_refused", g.refusedSince, "result", result.Label(api.ResultCode_SATURATED))
	g.loggedAt, g.closedSince, g.refusedSince = now, 0, 0
}

// closeAll closes connections that have yielded.
func closeAll(connections []*connection) {
	for _, c := range connections {
		c.yield()
	}
}
