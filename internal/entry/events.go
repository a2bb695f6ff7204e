package entry

import (
	"context"
	"net/http"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/journal"
	"github.com/apricothub/apricothub/internal/logging"
	"github.com/apricothub/apricothub/internal/member"
	"github.com/apricothub/apricothub/internal/result"
)

// logRequest logs how a request ended: what was decided on it, and the configuration that was
// gone by. Requests that need no key, as for addresses, are logged only when they fail.
func (e *entry) logRequest(record *journal.Record, state *member.State, err error) {
	fields := logging.Fields(func() []any { return inputs(record, state, err) })
	switch {
	case err == nil && record.Customer == "":
	case err == nil && len(record.Attempts) > 1:
		_ = level.Warn(e.logger).Log("msg", "A request was served after another attempt.",
			logging.RequestKey, record.Request, logging.FieldsKey, fields)
	case err == nil:
		_ = level.Info(e.logger).Log("msg", "A request was served.", logging.RequestKey, record.Request, logging.FieldsKey, fields)
	case record.Customer == "":
		// Whoever reaches the entry can make any number of these. A sentence of their own
		// keeps them from crowding out those of customers.
		_ = level.Warn(e.logger).Log("msg", "A request of no known team was refused.", logging.RequestKey, record.Request,
			"result", label(err), logging.FieldsKey, fields)
	case fault(err):
		_ = level.Error(e.logger).Log("msg", "A request failed.", logging.RequestKey, record.Request,
			"result", label(err), logging.FieldsKey, fields)
	default:
		_ = level.Warn(e.logger).Log("msg", "A request was refused.", logging.RequestKey, record.Request,
			"result", label(err), logging.FieldsKey, fields)
	}
}

func label(err error) string { return result.Label(result.FromError(err).Code) }

// fault says whether a request failed by a fault, and nobody can say that it has not run.
func fault(err error) bool {
	failed := result.FromError(err)
	return failed.Ran != api.Ran_RAN_NO && result.Lookup(failed.Code).HTTP >= http.StatusInternalServerError
}

func inputs(record *journal.Record, state *member.State, err error) []any {
	fields := []any{
		"team", record.Customer, "service", record.Offer, "ticket", record.Ticket,
		"took_ms", record.TookMs, "waited_ms", record.WaitMs, "tried", len(record.Attempts),
		"config", state.View.Applied(), "trusted_ms", (state.ServeUntil - clock.Now()).Milliseconds(),
	}
	if n := len(record.Attempts); n > 0 {
		fields = append(fields, "vm", record.Attempts[n-1].VM)
	}
	if err != nil {
		fields = append(fields, "text", record.Text, "ran", record.Ran, "retry_after_ms", record.RetryAfterMs)
	}
	return fields
}

// logAttempt logs an attempt at an agent that brought no whole answer.
func (e *entry) logAttempt(a *attempt, err *result.Error) {
	_ = level.Warn(e.logger).Log("msg", "An attempt came to nothing.", logging.RequestKey, a.work.GetRequestId(),
		"result", result.Label(err.Code), "vm", a.vm, "text", err.Text, "ran", result.RanName(err.Ran))
}

// logReattached logs an answer that goes on over another link, after one that broke or went
// silent.
func (e *entry) logReattached(a *attempt) {
	_ = level.Warn(e.logger).Log("msg", "An answer goes on over another link.", logging.RequestKey, a.work.GetRequestId(), "vm", a.vm)
}

// logSettled logs what an agent said of a ticket.
func (e *entry) logSettled(ctx context.Context, t *api.Ticket, s settlement) {
	_ = level.Warn(e.logger).Log("msg", "An agent was asked what became of a ticket.", logging.RequestKey, journal.From(ctx).Request,
		"vm", t.GetAgentVm(), "begun", s.begun, "outcome", label(s.err), "ran", result.RanName(s.err.Ran))
}
