package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/httpguard"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/platform"
)

func (g *Gateway) endpoints() []endpoint {
	handle := func(path string, f http.HandlerFunc) http.Handler {
		mux := http.NewServeMux()
		mux.HandleFunc("GET "+path, f)
		return mux
	}
	admin := http.NewServeMux()
	admin.HandleFunc("GET /metrics", g.serveMetrics)
	admin.HandleFunc("GET /debug/state", g.serveDump)
	control := httpguard.ControlLimits
	all := []endpoint{
		{"callers", g.settings.Listen.Callers, g, clientBounds{callersMemory, callersSockets, callerRequestBytes, callerWriteTime, g.callerLimits}},
		{
			"readiness", g.settings.Listen.Readiness, handle(platform.PathReady, g.serveReady),
			clientBounds{readinessMemory, readinessSockets, shortAnswerBytes, writeTime, control},
		},
		{
			"directory", g.settings.Listen.Directory, handle(platform.PathResolve, g.serveResolve),
			clientBounds{directoryMemory, directorySockets, shortAnswerBytes, writeTime, control},
		},
		{
			"entries", g.peerAddress(g.settings.IP), handle(statePath, g.serveState),
			clientBounds{entriesMemory, entriesSockets, stateAnswerBytes, writeTime, control},
		},
		{"admin", g.settings.Listen.Admin, admin, clientBounds{adminMemory, adminSockets, dumpBytes, writeTime, control}},
	}
	used := all[:0]
	for _, e := range all {
		if e.address != "" {
			used = append(used, e)
		}
	}
	return used
}

// openEndpoint is an endpoint that accepts connections.
type openEndpoint struct {
	*http.Server
	name     string
	listener net.Listener
}

// listenAll opens all endpoints; the one for callers comes first.
//
// It runs before every other part of the process. Otherwise an entry could read the store, report
// itself ready and be named to callers before anything listens. Connections that arrive before
// serveAll wait in the listener's queue.
func (g *Gateway) listenAll() ([]openEndpoint, error) {
	var opened []openEndpoint
	for _, e := range g.endpoints() {
		listener, err := g.listen.Listen(context.Background(), "tcp", e.address)
		if err != nil {
			for _, o := range opened {
				_ = o.listener.Close()
			}
			return nil, errors.Wrapf(err, "listen for %s", e.name)
		}
		guard := g.newGuard(e.name, e.bounds)
		opened = append(opened, openEndpoint{guard.NewServer(e.handler), e.name, guard.Listener(listener)})
	}
	return opened, nil
}

// serveAll serves on all endpoints until ctx ends or another part of the process does, and then
// shuts down gracefully.
//
// If the control goroutine or the heartbeat socket has ended, the entry must not go on: it would
// serve by an outdated state for good.
func (g *Gateway) serveAll(ctx, parts context.Context, endpoints []openEndpoint) error {
	defer func() {
		for _, e := range endpoints {
			_ = e.Close()
		}
	}()
	failed := make(chan error, len(endpoints))
	for _, e := range endpoints {
		go func() {
			if err := e.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- errors.Wrap(err, e.name)
			}
		}()
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	case <-parts.Done():
	}
	return g.stop(endpoints[0].Server)
}

const (
	// leaveDelay is how long a stopping entry still accepts requests: callers keep an answer on
	// where to connect for addressTTL, and ask again when they need a connection.
	leaveDelay = 2500 * time.Millisecond
	// stopMargin is the rest of the grace period, in which the process ends by itself.
	stopMargin = 500 * time.Millisecond
	// defaultGrace is the grace period if the settings give none.
	defaultGrace = 8 * time.Second
)

// stop shuts down gracefully: the entry first leaves the list of addresses, goes on serving while
// callers still arrive, and then drains the requests in flight.
func (g *Gateway) stop(callers *http.Server) error {
	began := clock.Now()
	grace := g.settings.Bounds.TerminationGrace
	if grace <= 0 {
		grace = defaultGrace
	}
	leave := g.leave
	g.leaving.Store(true)
	close(leave)
	_ = level.Info(g.logger).Log("msg", "The process leaves.", "grace_ms", grace.Milliseconds())
	time.Sleep(min(leaveDelay, grace/3))
	ctx, cancel := context.WithTimeout(context.Background(), grace-stopMargin-(clock.Now()-began))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		_ = level.Warn(g.logger).Log("msg", "Requests were still in flight at the end of the grace period and are cut off.", "err", err,
			"result", result.Label(api.ResultCode_ANSWER_BROKEN))
	}
	return nil
}
