package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/coord/registry"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
)

// age is how old a belief is, as logs show it; -1 for one that was never confirmed.
func age(at time.Duration) int64 {
	if at == 0 {
		return -1
	}
	return (clock.Now() - at).Milliseconds()
}

// inputs are the fields of each line about a request: what was decided on, and how old what
// was known is.
func (g *Gateway) inputs(t *task) []any {
	v := g.view.Load()
	fields := []any{"id", t.ID, "took_ms", t.elapsed().Milliseconds(), "waited_ms", t.waited.Milliseconds(), "sent", t.history.sent, "unsent", t.history.unsent}
	if t.route != nil {
		fields = append(fields, "route", t.route.Name, "kind", t.route.Kind, "service", t.service, "team", t.team)
	} else {
		fields = append(fields, "host", t.host, "path", t.uri[:min(len(t.uri), maxPath)])
	}
	if t.until > 0 {
		fields = append(fields, "left_ms", (t.until - clock.Now()).Milliseconds())
	}
	if v != nil && v.table != nil {
		fields = append(fields, "config", v.table.Version, "config_age_ms", age(v.configAt), "servers_age_ms", age(v.serversAt))
	}
	return fields
}

// logServed logs a request whose caller has the answer of a backend server.
func (g *Gateway) logServed(t *task, server string) {
	_ = level.Info(g.logger).Log(append([]any{"msg", "A request was served.", "server", server}, g.inputs(t)...)...)
}

// logEnd logs a request that ended otherwise.
func (g *Gateway) logEnd(t *task, msg, label string) {
	fields := append([]any{"msg", msg, "result", label}, g.inputs(t)...)
	_ = level.Warn(g.logger).Log(append(fields, "tried", len(t.tried))...)
}

// logAttempt logs an attempt that did not end the request.
func (g *Gateway) logAttempt(t *task, s registry.Server, v verdict, err error) {
	fields := append([]any{
		"msg", "An attempt came to nothing.", "server", s.ID, "verdict", v,
		"result", result.Label(v.code()), "err", err,
	}, g.inputs(t)...)
	_ = level.Warn(g.logger).Log(fields...)
}
