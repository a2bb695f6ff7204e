package gateway

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/httpguard"
	"github.com/apricothub/apricothub/platform"
)

// callersName names the endpoint for callers.
const callersName = "callers"

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
		{callersName, g.settings.Listen.Callers, g, clientBounds{callersMemory, callersSockets, callerRequestBytes, callerWriteTime, g.callerLimits}},
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
		server := guard.NewServer(e.handler)
		if e.name == callersName {
			g.shutdown.Follow(server)
		}
		opened = append(opened, openEndpoint{server, e.name, guard.Listener(listener)})
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
	return g.stop(endpoints[0])
}
