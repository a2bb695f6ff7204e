// Package rankagent is the process beside a model engine. It holds nothing: it passes the
// orders of the entry that coordinates expert maps on to its engine, and answers with the
// engine's state, which is free and fresh only on the engine's own machine.
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
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/logging"
	"github.com/apricothub/apricothub/internal/ranks"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/textmetrics"
	"github.com/apricothub/apricothub/internal/upstream"
	"github.com/apricothub/apricothub/platform"
)

const (
	// maxRequest bounds a request, bytes: a map of thousands of experts.
	maxRequest = 4 << 20
	// readTime bounds reading a request.
	readTime = 2 * time.Second
	// idleTime is how long a coordinator's connection may be idle.
	idleTime = 30 * time.Second
	// stopTime bounds ending what is under way at a stop.
	stopTime = time.Second
)

// Run serves until ctx ends.
func Run(ctx context.Context, s *platform.Settings, logger log.Logger) error {
	if s.Engine == "" {
		return errors.New("the settings name no engine on this VM")
	}
	a := newAgent(platform.NewEngine(s.Engine, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}), logger)
	lc := net.ListenConfig{Control: upstream.SilentLinks, KeepAliveConfig: upstream.KeepAlive()}
	listener, err := lc.Listen(ctx, "tcp", net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)))
	if err != nil {
		return errors.Wrap(err, "listen for the coordinator")
	}
	server := &http.Server{
		Handler: a.handler(), ReadTimeout: readTime, IdleTimeout: idleTime,
		ErrorLog: logging.NewStdLogger(logger, "The library for HTTP reports an error.", result.Label(api.ResultCode_INTERNAL)),
	}
	_ = level.Info(logger).Log("msg", "The process starts.", "failure_domain", s.FailureDomain, "engine", s.Engine)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	_ = server.Shutdown(stopCtx)
	_ = level.Info(logger).Log("msg", "The process stops.", "uptime_ms", clock.Now().Milliseconds())
	return nil
}

type agent struct {
	engine  *platform.Engine
	logger  log.Logger
	metrics *counters

	mu sync.Mutex
	// silentAt is since when the engine does not answer; zero while it does.
	silentAt time.Duration
}

// note counts an answer of the engine, and logs that it has gone silent or answers again.
func (a *agent) note(reply *api.RankReply, took time.Duration) {
	a.metrics.asked.Inc(1)
	a.metrics.took.Update(took.Milliseconds())
	failed := reply.GetError() != ""
	if failed {
		a.metrics.failed.Inc(1)
	}
	now := clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case failed && a.silentAt == 0:
		a.silentAt = now
		_ = level.Warn(a.logger).Log("msg", "The engine does not answer.", "err", reply.GetError(),
			"result", result.Label(api.ResultCode_BACKEND_FAILED))
	case !failed && a.silentAt != 0:
		_ = level.Info(a.logger).Log("msg", "The engine answers again.", "away_ms", (now - a.silentAt).Milliseconds())
		a.silentAt = 0
	}
}

func newAgent(engine *platform.Engine, logger log.Logger) *agent {
	return &agent{engine: engine, logger: logger, metrics: newCounters()}
}

func (a *agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+ranks.Path, a.serve)
	mux.HandleFunc("GET "+ranks.AlivePath, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		textmetrics.Write(w, a.metrics.registry, metrics.DefaultRegistry)
	})
	return mux
}

func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
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
	began := clock.Now()
	reply := ranks.Ask(ctx, a.engine, req)
	a.note(reply, clock.Now()-began)
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
