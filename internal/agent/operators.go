package agent

import (
	"context"

	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/ticket"
	"github.com/apricothub/apricothub/internal/admin"
	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/settings"
)

// adminProcess provides the agent's data to the admin server. It implements admin.Process.
type adminProcess struct{ agent *agent }

func (a *agent) serveAdmin(ctx context.Context) error {
	listen := a.settings.GetListen()
	handler := admin.Handler(adminProcess{a}, nil, listen.GetAdminToken())
	return admin.Serve(ctx, listen.GetAdmin(), handler, a.logger)
}

// Status implements admin.Process.
func (p adminProcess) Status(context.Context) (*adminapi.Status, error) {
	status := p.agent.node.AdminStatus()
	s := p.agent.executor.status(clock.Now())
	own := adminapi.BackendFromStatus(p.agent.self.GetVm(), p.agent.self.GetFailureDomain(), s)
	status.Backends = []adminapi.Backend{own}
	return status, nil
}

// workState is the part of a dump about the agent's work.
type workState struct {
	Running, Waiting, Answers, Undelivered int
	AnswerBytes                            int64
	Tickets                                ticket.Stats
	Jobs                                   admin.TruncatedList[jobState]
}

type jobState struct {
	Answer, Request, Customer string
	Ticket, Ended             bool
	Readers                   int
}

// Dump implements admin.Process.
func (p adminProcess) Dump(ctx context.Context) ([]admin.DumpPart, error) {
	status, err := p.Status(ctx)
	if err != nil {
		return nil, err
	}
	return []admin.DumpPart{
		{Name: "settings", Value: settings.Redacted(p.agent.settings)},
		{Name: "status", Value: status},
		{Name: "work", Value: p.agent.executor.dump()},
		{Name: "requests", Value: p.agent.executor.journal.Dump(clock.Now())},
	}, nil
}

func (e *executor) dump() workState {
	e.mu.Lock()
	defer e.mu.Unlock()
	jobs := make([]jobState, 0, len(e.jobs))
	for id, j := range e.jobs {
		jobs = append(jobs, jobState{
			Answer:   id,
			Request:  j.work.GetRequestId(),
			Customer: j.work.GetCustomer(),
			Ticket:   !j.isRepeatable(),
			Ended:    j.buffer.IsEnded(),
			Readers:  j.readers,
		})
	}
	return workState{
		Running:     e.running,
		Waiting:     e.queue.Len(),
		Answers:     e.answers.Len(),
		Undelivered: e.answers.Undelivered(),
		AnswerBytes: e.answers.Bytes(),
		Tickets:     e.ledger.Stats(),
		Jobs:        admin.TruncateList(jobs),
	}
}

// Ready implements admin.Process.
func (p adminProcess) Ready() error {
	status := p.agent.executor.status(clock.Now())
	if code := status.GetRefusing(); code != api.ResultCode_OK {
		return result.New(code)
	}
	return nil
}

// Metrics implements admin.Process.
func (p adminProcess) Metrics() metrics.Registry { return p.agent.registry }
