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
	// vmProbeTimeout limits one probe of a VM: a connection and an answer across regions, from a VM
	// that is several times slower than usual.
	vmProbeTimeout = 200 * time.Millisecond
	// vmProbeInterval is the time between two probes of a VM that does not answer.
	vmProbeInterval = 100 * time.Millisecond
	// recheckInterval is the time between two checks of an attempt that has waited for too long.
	recheckInterval = 50 * time.Millisecond
)

// watchdog watches one attempt, and ends it when it makes no progress and another backend server
// has a free slot for the request.
type watchdog struct {
	g      *Gateway
	t      *task
	server placement
	// cancel ends the attempt.
	cancel context.CancelFunc
	timer  *time.Timer

	mu       sync.Mutex
	ended    bool
	hasBegun bool
	// events counts the events that the caller has, also from earlier attempts.
	events int
	// lastProgress is when the latest part of the answer arrived or was passed on, or when the attempt began.
	lastProgress time.Duration
	// isDelivering means that a part of the answer is being passed on: nothing is read meanwhile, and a caller
	// that reads slowly may take long.
	isDelivering bool
	// next is where the request moves; nil while the attempt goes on.
	next *move
}

// startWatchdog starts watching an attempt. It returns nil and the same context if the request
// cannot be moved and there is no VM to probe.
func (g *Gateway) startWatchdog(ctx context.Context, t *task, s placement) (context.Context, *watchdog) {
	if !canMove(t.route, t.history) && !g.fleet.hasEngines(t.service) {
		return ctx, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	w := &watchdog{g: g, t: t, server: s, cancel: cancel, lastProgress: clock.Now(), events: t.out.events}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(g.fleet.probeDelay(w.progress()), w.check)
	return ctx, w
}

// progress returns how far the answer has come. The caller holds the lock.
func (w *watchdog) progress() silence.Progress {
	return silence.Progress{HasBegun: w.hasBegun, Objective: w.t.route.Objective, MaxPause: w.t.route.MaxPause, Since: w.lastProgress}
}

// noteProgress records that part of the answer has arrived.
func (w *watchdog) noteProgress() {
	if w == nil {
		return
	}
	now := clock.Now()
	w.mu.Lock()
	w.hasBegun, w.lastProgress = true, now
	w.mu.Unlock()
	w.g.fleet.recordHeard(w.server.ID, w.t.service, now)
}

// beginDelivery records that a part of the answer is being passed on to the caller.
func (w *watchdog) beginDelivery() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isDelivering = true
}

// endDelivery records that the caller has a part of the answer, with a number of events.
func (w *watchdog) endDelivery(events int) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isDelivering, w.lastProgress = false, clock.Now()
	w.events += events
}

// deliveryWriter passes the rest of a long answer on to the caller.
type deliveryWriter struct {
	w        io.Writer
	watchdog *watchdog
}

func (d deliveryWriter) Write(p []byte) (int, error) {
	d.watchdog.beginDelivery()
	defer d.watchdog.endDelivery(0)
	return d.w.Write(p)
}

// progressBody is the body of an answer; each read that returns data counts as progress.
type progressBody struct {
	io.ReadCloser
	watchdog *watchdog
}

func (b progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.watchdog.noteProgress()
	}
	return n, err
}

// stop stops the watchdog. It returns where the request moves; nil if the watchdog did not end the
// attempt.
func (w *watchdog) stop() *move {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	w.cancel()
	return w.next
}

// check checks whether the request has waited for too long, and probes the VM or moves the request.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	if w.isDelivering {
		w.timer.Reset(recheckInterval)
		return
	}
	now := clock.Now()
	if remaining := w.g.fleet.probeDelay(w.progress()) - (now - w.lastProgress); remaining > 0 {
		w.timer.Reset(remaining)
		return
	}
	if w.g.fleet.startVMProbe(w.server.ID, now) {
		go w.g.probeVM(w.server.Server)
	}
	if canMove(w.t.route, w.t.history) {
		w.next = w.g.fleet.pickMoveTarget(w.server.ID, w.t, w.progress(), w.events, now)
	}
	if w.next != nil {
		w.cancel()
		return
	}
	w.timer.Reset(recheckInterval)
}

// canMove reports whether a request that is at a backend server may be sent to another one instead,
// though it may have run or may still run there.
func canMove(r *routing.Route, h history) bool {
	return r.Repeatable() && h.sent+1 < r.Attempts
}

// probeVM probes the VM of an engine until it answers.
func (g *Gateway) probeVM(s registry.Server) {
	began := clock.Now()
	for {
		err := g.probeVMOnce(s)
		if err == nil {
			if g.fleet.recordVMAnswer(s.ID, clock.Now()) {
				_ = level.Info(g.logger).Log("msg", "The VM of a backend server answers again.", "server", s.ID,
					"failure_domain", s.FailureDomain, "away_ms", (clock.Now() - began).Milliseconds())
			}
			return
		}
		becameSilent, probeAgain := g.fleet.recordVMSilence(s.ID, clock.Now())
		if !probeAgain {
			return
		}
		if becameSilent {
			g.metrics.silentVMs.Inc(1)
			_ = level.Warn(g.logger).Log("msg", "The VM of a backend server is silent.", "server", s.ID,
				"failure_domain", s.FailureDomain, "err", err, "result", result.Label(api.ResultCode_UNREACHABLE))
		}
		select {
		case <-time.After(vmProbeInterval):
		case <-g.stopped:
			return
		}
	}
}

// probeVMOnce sends one probe to the rank agent on an engine's VM. It returns an error if the VM
// does not answer in time. A refused connection counts as an answer, since the rank agent may be
// restarting.
func (g *Gateway) probeVMOnce(s registry.Server) error {
	address, err := ranks.AgentAddress(s.Address, g.settings.PeerPort)
	if err != nil {
		// There is nothing to probe, so nothing is known.
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), vmProbeTimeout)
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

// hasEngines reports whether the servers of a service are engines, each with a rank agent on its
// VM.
func (f *fleet) hasEngines(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[service]
}

func (f *fleet) probeDelay(p silence.Progress) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silenceDetector.ProbeDelay(p)
}

// recordHeard records that something arrived from a server.
func (f *fleet) recordHeard(id, service string, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silenceDetector.Heard(id, service, now)
}

// startVMProbe reports whether the VM of a server is to be probed now.
func (f *fleet) startVMProbe(id string, now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	return s != nil && f.engines[s.Service] && f.silenceDetector.StartProbe(id, now)
}

// recordVMAnswer records that the VM of a server has answered. It returns whether it had been
// silent.
func (f *fleet) recordVMAnswer(id string, now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	wasSilent := f.silenceDetector.ProbeAnswered(id, now)
	if wasSilent {
		f.updatePlacement(now)
	}
	return wasSilent
}

// recordVMSilence records that the VM of a server has not answered. It returns whether that makes
// it silent, and whether to probe it again.
func (f *fleet) recordVMSilence(id string, now time.Duration) (becameSilent, probeAgain bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	becameSilent, probeAgain = f.silenceDetector.ProbeFailed(id)
	if becameSilent {
		f.updatePlacement(now)
	}
	return becameSilent, probeAgain
}
