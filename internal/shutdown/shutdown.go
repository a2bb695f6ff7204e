// Package shutdown ends the requests of an HTTP server at a planned stop, so that none is cut without an answer.
//
// A stopping process goes on serving while callers still arrive. Then it closes its listener, serves what still comes
// over open connections, and refuses what cannot end in time. Requests that have not ended when their time is over are
// canceled, so that their handlers can answer what is known of them.
package shutdown

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/drain"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
)

// ErrOver is the cause with which the contexts of requests are canceled that have not ended in time.
var ErrOver = errors.New("the process ends")

// checkInterval is the time between two checks whether all requests have ended.
const checkInterval = 10 * time.Millisecond

// Shutdown follows the requests of one server. It is safe for concurrent use.
type Shutdown struct {
	inFlight atomic.Int64
	// end is when all requests must have ended, in nanoseconds since the process started; zero before a stop.
	end atomic.Int64
	// serving is done once all requests must have ended.
	serving context.Context
	cancel  context.CancelCauseFunc

	mu      sync.Mutex
	tracker *drain.Tracker
}

// New returns a Shutdown of a process that does not stop.
func New() *Shutdown {
	s := &Shutdown{tracker: drain.New()}
	s.serving, s.cancel = context.WithCancelCause(context.Background())
	return s
}

// Follow counts the requests of a server that does not serve yet, and cancels their contexts when their time is over.
func (s *Shutdown) Follow(server *http.Server) {
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
	server.BaseContext = func(net.Listener) context.Context { return s.serving }
}

// InFlight returns how many requests are in flight.
func (s *Shutdown) InFlight() int { return int(s.inFlight.Load()) }

// Begin begins the stop. All requests must have ended at end, as a time since the process started.
func (s *Shutdown) Begin(end time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Begin(end)
	s.end.Store(int64(end))
}

// End returns when all requests must have ended; zero before a stop.
func (s *Shutdown) End() time.Duration { return time.Duration(s.end.Load()) }

// IsOver reports whether the time for requests is over.
func (s *Shutdown) IsOver() bool {
	end := s.End()
	return end > 0 && clock.Now() >= end
}

// Record records that a request of a kind was served, and how long that took.
func (s *Shutdown) Record(kind string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Record(kind, took)
}

// retryAfter is when a refused caller may come back: at once, since it goes to another process.
const retryAfter = 50 * time.Millisecond

// Refusal returns the error of a request that has not run because the process stops.
func Refusal() *result.Error { return result.Refuse(api.ResultCode_DRAINING, retryAfter) }

// Refuse returns Refusal if a request of a kind must not start work any more, given its own limit, and nil otherwise.
func (s *Shutdown) Refuse(kind string, limit time.Duration) *result.Error {
	if s.MayStart(kind, limit) {
		return nil
	}
	return Refusal()
}

// MayStart reports whether a request of a kind may start work now, given its own limit; zero for none.
func (s *Shutdown) MayStart(kind string, limit time.Duration) bool {
	if s.End() == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.MayStart(kind, limit, clock.Now())
}

// Drain closes the listener of a server and waits for the requests in flight. Those that have not ended when their time
// is over are canceled, and have until exitBy to answer. It returns an error if any are cut off, as when ctx ends.
//
// While requests are in flight, open connections are served: the library's own shutdown closes them without an answer
// to the request that is on its way.
func (s *Shutdown) Drain(ctx context.Context, server *http.Server, listener net.Listener, exitBy time.Duration) error {
	_ = listener.Close()
	timer := time.AfterFunc(s.End()-clock.Now(), func() { s.cancel(ErrOver) })
	defer timer.Stop()
	for s.InFlight() > 0 && !s.IsOver() && ctx.Err() == nil {
		time.Sleep(checkInterval)
	}
	ctx, cancel := context.WithTimeout(ctx, exitBy-clock.Now())
	defer cancel()
	err := server.Shutdown(ctx)
	if n := s.InFlight(); n > 0 {
		return errors.Errorf("%d requests are in flight: %v", n, err)
	}
	return nil
}
