// Package rankagent is the rank agent, a process on the VM of a model engine. It forwards orders of
// the entry that coordinates expert maps to the engine and returns the engine's state: only on the
// engine's own VM is the state up to date and cheap to read. It keeps nothing that it cannot do
// without.
package rankagent

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/httpguard"
	"github.com/apricothub/apricothub/internal/ranks"
	"github.com/apricothub/apricothub/internal/resources"
	"github.com/apricothub/apricothub/internal/response"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/sockets"
	"github.com/apricothub/apricothub/internal/textmetrics"
	"github.com/apricothub/apricothub/platform"
)

const (
	// maxRequestBytes limits a request. It leaves room for a map of thousands of experts.
	maxRequestBytes = 4 << 20
	// readTimeout limits the time to read a header, and that to read a body.
	readTimeout = 2 * time.Second
	// writeTimeout limits the time from the end of its header to the end of the reply.
	writeTimeout = 5 * time.Second
	// clientsMemory is the part of the VM's memory, clientsSockets the part of the process's sockets that clients may
	// take. The rest is for the engine's answers and its connections.
	clientsMemory  = 1.0 / 4
	clientsSockets = 1.0 / 2
	// replyBytes is what a request holds on average, without its body.
	replyBytes = 64 << 10
	// idleTimeout is how long a connection of a coordinator may be idle.
	idleTimeout = 30 * time.Second
	// shutdownTimeout limits the time for requests in flight to complete at shutdown.
	shutdownTimeout = time.Second
)

// Run serves rank requests until ctx ends, then shuts down gracefully.
func Run(ctx context.Context, s *platform.Settings, logger log.Logger) error {
	if s.Engine == "" {
		return errors.New("the settings name no engine on this VM")
	}
	a := newAgent(platform.NewEngine(s.Engine, &http.Client{Transport: response.Transport(&http.Transport{MaxIdleConnsPerHost: 2})}), logger)
	lc := sockets.NewListenConfig()
	listener, err := lc.Listen(ctx, "tcp", net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)))
	if err != nil {
		return errors.Wrap(err, "listen for the coordinator")
	}
	guard := newGuard(resources.Of(s.MemoryBytes, s.Descriptors), a.metrics.registry, logger)
	server := guard.NewServer(a.handler())
	_ = level.Info(logger).Log("msg", "The process starts.", "failure_domain", s.FailureDomain, "engine", s.Engine)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(guard.Listener(listener)) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = server.Shutdown(stopCtx)
	_ = level.Info(logger).Log("msg", "The process stops.", "uptime_ms", clock.Now().Milliseconds())
	return nil
}

// newGuard returns the guard of the listener for coordinators.
func newGuard(available resources.Resources, registry metrics.Registry, logger log.Logger) *httpguard.Guard {
	return httpguard.New(httpguard.Options{
		Name: "coordinators", Connections: available.Descriptors(clientsSockets), Bytes: available.Memory(clientsMemory),
		RequestBytes: replyBytes, WriteTime: writeTimeout, Logger: logger, Registry: registry,
		Limits: func() httpguard.Limits {
			return httpguard.Limits{HeaderBytes: bounded.MaxHeaderBytes, HeaderTime: readTimeout, BodyTime: readTimeout, IdleTime: idleTimeout}
		},
	})
}

type agent struct {
	engine  *ranks.Executor
	logger  log.Logger
	metrics *counters

	mu sync.Mutex
	// silentSince is when the engine stopped answering; zero while it answers.
	silentSince time.Duration
}

// recordReply counts a reply of the engine, and logs when the engine stops answering and when it
// answers again.
func (a *agent) recordReply(reply *api.RankReply, duration time.Duration) {
	a.metrics.requests.Inc(1)
	a.metrics.duration.Update(duration.Milliseconds())
	failed := reply.GetError() != ""
	if failed {
		a.metrics.failures.Inc(1)
	}
	now := clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case failed && a.silentSince == 0:
		a.silentSince = now
		_ = level.Warn(a.logger).Log("msg", "The engine does not answer.", "err", reply.GetError(),
			"result", result.Label(api.ResultCode_BACKEND_FAILED))
	case !failed && a.silentSince != 0:
		_ = level.Info(a.logger).Log("msg", "The engine answers again.", "away_ms", (now - a.silentSince).Milliseconds())
		a.silentSince = 0
	}
}

func newAgent(engine *platform.Engine, logger log.Logger) *agent {
	return &agent{engine: ranks.NewExecutor(engine), logger: logger, metrics: newCounters()}
}

func (a *agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+ranks.RequestPath, a.handleRank)
	mux.HandleFunc("GET "+ranks.AlivePath, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		textmetrics.Write(w, a.metrics.registry, metrics.DefaultRegistry)
	})
	return mux
}

func (a *agent) handleRank(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		result.WriteHTTP(w, result.New(api.ResultCode_BAD_REQUEST))
		return
	}
	req := &api.RankRequest{}
	if err := proto.Unmarshal(data, req); err != nil {
		result.WriteHTTP(w, result.New(api.ResultCode_BAD_REQUEST))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), platform.EngineCallTimeout)
	defer cancel()
	startedAt := clock.Now()
	reply := a.engine.Execute(ctx, req)
	a.recordReply(reply, clock.Now()-startedAt)
	if o := req.GetOrder(); o != nil {
		a.metrics.orders.Inc(1)
		_ = level.Info(a.logger).Log("msg", "An order was passed on.", "kind", o.GetKind(), "version", o.GetVersion(),
			"step", o.GetStep(), "epoch", o.GetEpoch(), "fence", o.GetFence(), "outcome", reply.GetResult())
	}
	answer, err := proto.Marshal(reply)
	if err != nil {
		result.WriteHTTP(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/protobuf")
	_, _ = w.Write(answer)
}
