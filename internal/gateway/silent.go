package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/registry"
	"github.com/apricothub/apricothub/decide/silence"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/ranks"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/routing"
)

const (
	// aliveTime bounds one question whether a VM lives: a connection and an answer across
	// regions, from a VM that is several times slower than usual.
	aliveTime = 200 * time.Millisecond
	// aliveEach is the time between two such questions to a VM that does not answer.
	aliveEach = 100 * time.Millisecond
	// waitingEach is the time between two looks at an attempt that has waited for too long.
	waitingEach = 50 * time.Millisecond
)

// guard watches over one attempt, and ends it when nothing comes of it and another backend server
// has room for the request.
type guard struct {
	g      *Gateway
	t      *task
	server placement
	// cancel ends the attempt.
	cancel context.CancelFunc
	timer  *time.Timer

	mu    sync.Mutex
	ended bool
	begun bool
	// since is when the last of the answer came, or when the attempt began.
	since time.Duration
	// next is where the request goes instead, and why; nil while the attempt stays.
	next   *placement
	reason silence.Reason
}

// guardAttempt begins to watch over an attempt. It returns nil and the same context for one of
// which nothing can be learned or done.
func (g *Gateway) guardAttempt(ctx context.Context, t *task, s placement) (context.Context, *guard) {
	if !mayMove(t.route, t.history) && !g.fleet.hasEngines(t.service) {
		return ctx, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	w := &guard{g: g, t: t, server: s, cancel: cancel, since: clock.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(g.fleet.patience(w.wait()), w.look)
	return ctx, w
}

// wait is what the request has of its answer. The caller holds the lock.
func (w *guard) wait() silence.Progress {
	return silence.Progress{HasBegun: w.begun, Objective: w.t.route.Objective, MaxPause: w.t.route.MaxPause, Since: w.since}
}

// heard says that some of the answer has come.
func (w *guard) heard() {
	if w == nil {
		return
	}
	now := clock.Now()
	w.mu.Lock()
	w.begun, w.since = true, now
	w.mu.Unlock()
	w.g.fleet.heard(w.server.ID, w.t.service, now)
}

// heardBody is the body of an answer, each piece of which is noted.
type heardBody struct {
	io.ReadCloser
	guard *guard
}

func (b heardBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.guard.heard()
	}
	return n, err
}

// end ends the watch. It returns where the request goes instead, and why; nil when the attempt was
// not ended by this watch.
func (w *guard) end() (*placement, silence.Reason) {
	if w == nil {
		return nil, silence.NotMoved
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	w.cancel()
	return w.next, w.reason
}

// look looks whether the request has waited for too long, and what is to be done about it.
func (w *guard) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	now := clock.Now()
	if left := w.g.fleet.patience(w.wait()) - (now - w.since); left > 0 {
		w.timer.Reset(left)
		return
	}
	if w.g.fleet.askAlive(w.server.ID, now) {
		go w.g.askAlive(w.server.Server)
	}
	if mayMove(w.t.route, w.t.history) {
		w.next, w.reason = w.g.fleet.moveFrom(w.server.ID, w.t, w.wait(), now)
	}
	if w.next != nil {
		w.cancel()
		return
	}
	w.timer.Reset(waitingEach)
}

// mayMove says whether a request that is at a backend server now may be given to another one
// instead, though it may have run or may still run there.
func mayMove(r *routing.Route, h history) bool {
	return r.Repeatable() && h.sent+1 < r.MaxAttempts
}

// askAlive asks the VM of an engine until it answers.
func (g *Gateway) askAlive(s registry.Server) {
	began := clock.Now()
	for {
		err := g.alive(s)
		if err == nil {
			if g.fleet.alive(s.ID, clock.Now()) {
				_ = level.Info(g.logger).Log("msg", "The VM of a backend server answers again.", "server", s.ID,
					"failure_domain", s.FailureDomain, "away_ms", (clock.Now() - began).Milliseconds())
			}
			return
		}
		became, again := g.fleet.silent(s.ID, clock.Now())
		if !again {
			return
		}
		if became {
			g.metrics.silent.Inc(1)
			_ = level.Warn(g.logger).Log("msg", "The VM of a backend server is silent.", "server", s.ID,
				"failure_domain", s.FailureDomain, "err", err, "result", result.Label(api.ResultCode_UNREACHABLE))
		}
		select {
		case <-time.After(aliveEach):
		case <-g.stopped:
			return
		}
	}
}

// alive asks the process beside an engine for any answer. It returns an error when the VM is
// silent; one that refuses the connection is not, as while that process starts again.
func (g *Gateway) alive(s registry.Server) error {
	address, err := ranks.AgentAddress(s.Address, g.settings.PeerPort)
	if err != nil {
		// Nothing can be asked, and so nothing is known.
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), aliveTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ranks.AlivePath, nil)
	if err != nil {
		return nil
	}
	resp, err := g.peerClient.Do(req)
	if err == nil {
		_ = resp.Body.Close()
		return nil
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return err
	}
	return nil
}

// hasEngines says that the servers of a service are engines, each with a process of the system
// beside it.
func (f *fleet) hasEngines(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[service]
}

func (f *fleet) patience(w silence.Progress) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watch.ProbeDelay(w)
}

// heard says that something came from a server.
func (f *fleet) heard(id, service string, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watch.Heard(id, service, now)
}

// askAlive says whether the VM of a server is to be asked now.
func (f *fleet) askAlive(id string, now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	return s != nil && f.engines[s.Service] && f.watch.StartProbe(id, now)
}

// alive says that the VM of a server has answered. It returns whether it had been silent.
func (f *fleet) alive(id string, now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.watch.ProbeAnswered(id, now)
	if was {
		f.refresh(now)
	}
	return was
}

// silent says that the VM of a server has not answered. It returns whether that is new, and
// whether the VM is to be asked again.
func (f *fleet) silent(id string, now time.Duration) (became, again bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	became, again = f.watch.ProbeFailed(id)
	if became {
		f.refresh(now)
	}
	return became, again
}

// moveFrom places a request elsewhere that waits in vain at a server, and returns why; nil when it
// stays. End the attempt there with done.
//
// Load: VMs that stand still, and servers that hang, with requests in them. Harm prevented: callers
// wait for these until they leave, and the server runs them for nobody when it is back.
func (f *fleet) moveFrom(id string, t *task, w silence.Progress, now time.Duration) (*placement, silence.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	budget := f.budget(t.service)
	free, capacity := f.table.Slots(offer(t.service), now)
	service := silence.Service{Name: t.service, LockStep: f.engines[t.service], FreeSlots: free, Slots: capacity, Entries: f.entries}
	reason := f.watch.MoveReason(id, service, w, now)
	if reason == silence.NotMoved || !budget.CanRetry() {
		return nil, silence.NotMoved
	}
	s, code := f.pick(need{service: t.service, tried: t.tried, left: left(t.until, now)}, now)
	if code != api.ResultCode_OK {
		return nil, silence.NotMoved
	}
	budget.SpendRetry()
	f.watch.RecordMove(now)
	return &s, reason
}
