package agent

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/journal"
	"github.com/apricothub/apricothub/internal/logging"
	"github.com/apricothub/apricothub/internal/result"
)

// journalSize is how many requests of each kind a dump can show.
const journalSize = 500

// recordRequest records how a piece of work ended, under the id that the caller was told, so that
// a dump can show why it was refused or failed here. started is when it was sent to the backend
// server, or 0 if it was not; refused is nil for a complete answer.
func (e *executor) recordRequest(work *api.Work, arrived, started time.Duration, refused *api.Refusal) {
	now := clock.Now()
	_, record := journal.Begin(context.Background(), arrived)
	record.Request, record.Customer = work.GetRequestId(), work.GetCustomer()
	record.Offer = "model:" + work.GetModel()
	if work.GetKind() == api.WorkKind_WORK_CALL {
		record.Offer = "service:" + work.GetService()
	}
	record.Ticket = work.GetTicket() != nil
	record.Once = record.Ticket
	waitEnd := now
	if started > 0 {
		waitEnd = started
	}
	record.WaitMs = (waitEnd - arrived).Milliseconds()
	var err error
	if refused != nil {
		err = result.FromRefusal(refused)
	}
	e.journal.End(record, now, err)
	e.logRequest(work, record, refused)
}

// logRequest logs how a piece of work ended here, under the id that the entry logs it by.
func (e *executor) logRequest(work *api.Work, record *journal.Record, refused *api.Refusal) {
	fields := logging.Fields(func() []any {
		return []any{
			"team", record.Customer, "service", record.Offer, "ticket", record.Ticket,
			"took_ms", record.TookMs, "waited_ms", record.WaitMs, "config", work.GetApplied(),
		}
	})
	if refused == nil {
		_ = level.Info(e.logger).Log("msg", "A request was served.", logging.RequestKey, record.Request, logging.FieldsKey, fields)
		return
	}
	msg := "A request was refused."
	if refused.GetRan() != api.Ran_RAN_NO {
		msg = "A request failed."
	}
	_ = level.Warn(e.logger).Log("msg", msg, logging.RequestKey, record.Request,
		"result", result.Label(refused.GetCode()), "text", record.Text, "ran", record.Ran, logging.FieldsKey, fields)
}
