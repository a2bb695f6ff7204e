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

// logRequest logs how a request ended, what was decided on it, and the configuration in use.
// Requests without a key, such as those for addresses, are logged only when they fail.
func (e *entry) logRequest(record *journal.Record, state *member.State, err error) {
	fields := logging.Fields(func() []any { return requestFields(record, state, err) })
	switch {
	case err == nil && record.Customer == "":
	case err == nil && len(record.Attempts) > 1:
		_ = level.Warn(e.logger).Log("msg", "A request was served after another attempt.",
			logging.RequestKey, record.Request, logging.FieldsKey, fields)
	case err == nil:
		_ = level.Info(e.logger).Log("msg", "A request was served.", logging.RequestKey, record.Request, logging.FieldsKey, fields)
	case record.Customer == "":
		// Anyone who can reach the entry can cause any number of these. The rate limit is per
		// sentence, so a separate sentence keeps them from displacing the log lines of customers.
		_ = level.Warn(e.logger).Log("msg", "A request of no known team was refused.", logging.RequestKey, record.Request,
			"result", resultLabel(err), logging.FieldsKey, fields)
	case isFault(err):
		_ = level.Error(e.logger).Log("msg", "A request failed.", logging.RequestKey, record.Request,
			"result", resultLabel(err), logging.FieldsKey, fields)
	default:
		_ = level.Warn(e.logger).Log("msg", "A request was refused.", logging.RequestKey, record.Request,
			"result", resultLabel(err), logging.FieldsKey, fields)
	}
}

func resultLabel(err error) string { return result.Label(result.FromError(err).Code) }

// isFault says whether a request failed because of a fault, so that it may have run.
func isFault(err error) bool {
	failed := result.FromError(err)
	return failed.Ran != api.Ran_RAN_NO && result.Lookup(failed.Code).HTTP >= http.StatusInternalServerError
}

func requestFields(record *journal.Record, state *member.State, err error) []any {
	fields := []any{
		"team", record.Customer, "service", record.Offer, "ticket", record.HasTicket,
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

// logAttempt logs an attempt at an agent that brought no complete answer.
func (e *entry) logAttempt(a *attempt, err *result.Error) {
	_ = level.Warn(e.logger).Log("msg", "An attempt came to nothing.", logging.RequestKey, a.work.GetRequestId(),
		"result", result.Label(err.Code), "vm", a.vm, "text", err.Text, "ran", result.RanName(err.Ran))
}

// logReattached logs an answer that continues over another link after its link broke or went
// silent.
func (e *entry) logReattached(a *attempt) {
	_ = level.Warn(e.logger).Log("msg", "An answer continues over another link.", logging.RequestKey, a.work.GetRequestId(), "vm", a.vm)
}

// logSettled logs what an agent reported about a ticket.
func (e *entry) logSettled(ctx context.Context, t *api.Ticket, s settlement) {
	_ = level.Warn(e.logger).Log("msg", "An agent was asked what became of a ticket.", logging.RequestKey, journal.From(ctx).Request,
		"vm", t.GetAgentVm(), "begun", s.begun, "outcome", resultLabel(s.err), "ran", result.RanName(s.err.Ran))
}
