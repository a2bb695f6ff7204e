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

// journalRequests is how many requests of each kind a dump can tell of.
const journalRequests = 500

// note keeps how a piece of work ended, by the id that the caller was told: a dump can
// then answer why it was refused or failed here. started is when it was sent to the
// backend server, 0 for never; refused is nil for a whole answer.
func (e *executor) note(work *api.Work, arrived, started time.Duration, refused *api.Refusal) {
	now := clock.Now()
	_, record := journal.Begin(context.Background(), arrived)
	record.Request, record.Customer = work.GetRequestId(), work.GetCustomer()
	record.Offer = "model:" + work.GetModel()
	if work.GetKind() == api.WorkKind_WORK_CALL {
		record.Offer = "service:" + work.GetService()
	}
	record.HasTicket = work.GetTicket() != nil
	record.AtMostOnce = record.HasTicket
	waited := now
	if started > 0 {
		waited = started
	}
	record.WaitMs = (waited - arrived).Milliseconds()
	var err error
	if refused != nil {
		err = result.FromRefusal(refused)
	}
	e.journal.End(record, now, err)
	e.logWork(work, record, refused)
}

// logWork logs how a piece of work ended here, under the id that the entry logs it by.
func (e *executor) logWork(work *api.Work, record *journal.Record, refused *api.Refusal) {
	fields := logging.Fields(func() []any {
		return []any{
			"team", record.Customer, "service", record.Offer, "ticket", record.HasTicket,
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
