package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/logging"
	"github.com/apricothub/apricothub/internal/result"
)

// ageMillis returns the time since a confirmation in milliseconds, for logs; -1 if there was none.
func ageMillis(at time.Duration) int64 {
	if at == 0 {
		return -1
	}
	return (clock.Now() - at).Milliseconds()
}

// requestFields are the fields of each log line about a request: its route, times and attempts,
// and the age of the state that decisions about it were based on.
func (g *Gateway) requestFields(t *task) []any {
	fields := []any{
		"took_ms", t.elapsed().Milliseconds(), "waited_ms", t.waited.Milliseconds(),
		"sent", t.history.sent, "unsent", t.history.unsent,
	}
	if t.route != nil {
		fields = append(fields, "route", t.route.Name, "kind", t.route.Kind, "service", t.service, "team", t.team)
	} else {
		fields = append(fields, "host", t.host, "path", t.uri[:min(len(t.uri), maxLoggedPath)])
	}
	if t.deadline > 0 {
		fields = append(fields, "left_ms", (t.deadline - clock.Now()).Milliseconds())
	}
	if t.out.lastID != "" {
		fields = append(fields, "last_event", t.out.lastID)
	}
	if v := g.view.Load(); v != nil && v.table != nil {
		fields = append(fields, "config", v.table.Version, "config_age_ms", ageMillis(v.configAt), "servers_age_ms", ageMillis(v.serversAt))
	}
	return fields
}

// slotFields are the log fields about the slots of a request's service.
func (g *Gateway) slotFields(t *task) []any {
	if t.service == "" {
		return nil
	}
	slots := g.fleet.slotState(t.service)
	return []any{
		"running", slots.running, "waiting", slots.queued, "free", slots.free, "capacity", slots.capacity,
		"registered", slots.registered, "entries", slots.entries, "room_age_ms", ageMillis(slots.countedAt),
	}
}

func serverFields(s placement) []any {
	return []any{"server", s.ID, "failure_domain", s.FailureDomain, "server_running", s.inFlight, "server_limit", s.limit}
}

// line is a log line about a request. Its fields are only built if the line is written.
func line(t *task, msg string, fields func() [][]any) []any {
	return []any{"msg", msg, logging.RequestKey, t.ID, logging.FieldsKey, logging.Fields(func() []any {
		return slices.Concat(fields()...)
	})}
}

// logServed logs a request whose caller has the answer of a backend server. A late one, or one that
// took more than one attempt, gets a line of its own, so that its cause can be found.
func (g *Gateway) logServed(t *task, s placement, missed lateness) {
	switch {
	case missed != onTime:
		_ = level.Warn(g.logger).Log(line(t, "A request was served late.", func() [][]any {
			return [][]any{{"late", missed}, serverFields(s), t.timingFields(), g.requestFields(t), g.slotFields(t)}
		})...)
	case len(t.tried) > 1:
		_ = level.Warn(g.logger).Log(line(t, "A request was served after another attempt.", func() [][]any {
			return [][]any{serverFields(s), t.timingFields(), g.requestFields(t)}
		})...)
	default:
		_ = level.Info(g.logger).Log(line(t, "A request was served.", func() [][]any {
			return [][]any{serverFields(s), g.requestFields(t)}
		})...)
	}
}

// timingFields are the log fields about the timing of an answer.
func (t *task) timingFields() []any {
	return []any{
		"tried", len(t.tried), "first_ms", (t.out.begunAt - t.arrivedAt).Milliseconds(), "gap_ms", t.out.maxEventGap.Milliseconds(),
	}
}

// logEnd logs a request that ended without a backend server's answer.
func (g *Gateway) logEnd(t *task, msg string, code api.ResultCode) {
	_ = level.Warn(g.logger).Log(line(t, msg, func() [][]any {
		var content []any
		if code == api.ResultCode_PROMPT_QUARANTINED {
			content = t.contentFields()
		}
		return [][]any{{"result", result.Label(code), "tried", len(t.tried)}, content, g.requestFields(t), g.slotFields(t)}
	})...)
}

// logCallerGone logs a request whose caller did not wait for the answer.
func (g *Gateway) logCallerGone(t *task) {
	_ = level.Warn(g.logger).Log(line(t, "The caller has gone.", func() [][]any {
		return [][]any{{"tried", len(t.tried)}, g.requestFields(t)}
	})...)
}

// logAttempt logs an attempt that did not end the request, and whether another one follows.
func (g *Gateway) logAttempt(t *task, s placement, outcome attemptOutcome, retry bool, why string, err error) {
	_ = level.Warn(g.logger).Log(line(t, "An attempt came to nothing.", func() [][]any {
		failure := []any{"verdict", outcome, "result", result.Label(outcome.resultCode()), "err", err, "again", retry}
		if outcome == broken {
			failure = append(failure, t.contentFields()...)
		}
		if !retry {
			failure = append(failure, "why", why)
		}
		return [][]any{serverFields(s), failure, g.requestFields(t)}
	})...)
}

// maxLoggedParts limits the parts of a prompt in a log line.
const maxLoggedParts = 8

// contentFields are the log fields about what a request consists of.
func (t *task) contentFields() []any {
	fields := []any{"request_digest", t.digest}
	if len(t.SharedParts) > 0 {
		fields = append(fields, "prompt_parts", strings.Join(t.SharedParts[:min(len(t.SharedParts), maxLoggedParts)], ","))
	}
	if t.LastPart != "" {
		fields = append(fields, "last_part", t.LastPart)
	}
	return fields
}
