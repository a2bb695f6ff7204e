package agent

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/answer"
	"github.com/apricothub/apricothub/coord/ticket"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/link"
)

// serveStream serves one stream that an entry opened.
func (e *executor) serveStream(_ *link.Session, open *api.Open, stream *link.Stream) {
	switch body := open.GetBody().(type) {
	case *api.Open_Work:
		e.serveWork(body.Work, stream)
	case *api.Open_Attach:
		e.serveAttach(body.Attach, stream)
	case *api.Open_Settle:
		e.serveSettle(body.Settle, stream)
	}
}

func (e *executor) serveWork(work *api.Work, stream *link.Stream) {
	e.counters.taken.Inc(1)
	arrived := clock.Now()
	j, refused := e.accept(work)
	if refused != nil {
		e.recordRequest(work, arrived, 0, refused)
		_ = stream.Send(&api.WorkEvent{Body: &api.WorkEvent_Refusal{Refusal: refused}})
		return
	}
	e.deliver(j, answer.CursorAt(1), stream)
}

func (e *executor) serveAttach(attach *api.Attach, stream *link.Stream) {
	e.mu.Lock()
	j, ok := e.jobs[attach.GetAnswerId()]
	ok = ok && j.work.GetCustomer() == attach.GetCustomer()
	e.mu.Unlock()
	if !ok {
		unknown := newRefusal(api.ResultCode_ANSWER_UNKNOWN, api.Ran_RAN_UNKNOWN, "The answer is not held any more.", 0)
		_ = stream.Send(&api.WorkEvent{Body: &api.WorkEvent_Refusal{Refusal: unknown}})
		return
	}
	e.deliver(j, answer.CursorAt(attach.GetFrom()), stream)
}

// serveSettle answers how the request of a ticket ended. The ledger voids a ticket that it has not
// seen: otherwise "not run" might become untrue a moment later.
func (e *executor) serveSettle(settle *api.Settle, stream *link.Stream) {
	decision := e.settleTicket(settle)
	if decision.Action == ticket.Join {
		_ = stream.Send(&api.WorkEvent{Body: &api.WorkEvent_Accepted{Accepted: &api.Accepted{AnswerId: decision.AnswerID}}})
		return
	}
	settled := newRefusal(decision.Code, decision.Ran, decision.Text, 0)
	_ = stream.Send(&api.WorkEvent{Body: &api.WorkEvent_Refusal{Refusal: settled}})
}

func (e *executor) settleTicket(settle *api.Settle) ticket.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock.Now()
	decision := e.ledger.Settle(now, settle.GetTicket(), settle.GetCustomer())
	if decision.Ran == api.Ran_RAN_NO {
		e.ticketRefusedAt = now
	}
	return decision
}

// deliver sends an answer as it grows. It returns when the receiver has all of it or the stream
// breaks. The answer is kept for another stream.
func (e *executor) deliver(j *job, cursor answer.Cursor, stream *link.Stream) {
	e.mu.Lock()
	j.readers++
	e.mu.Unlock()
	defer e.removeReader(j)
	accepted := &api.Accepted{AnswerId: j.buffer.ID}
	if err := stream.Send(&api.WorkEvent{Body: &api.WorkEvent_Accepted{Accepted: accepted}}); err != nil {
		return
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		e.readSignals(j, stream)
	}()
	var events []proto.Message
	for !cursor.IsAtEnd() {
		var changed chan struct{}
		events, cursor, changed = e.nextEvents(j, events[:0], cursor)
		if len(events) == 0 {
			select {
			case <-changed:
			case <-closed:
				return
			}
			continue
		}
		if err := stream.Send(events...); err != nil {
			return
		}
	}
	e.awaitDone(closed)
}

// maxEventsPerWrite limits the events sent by one write. With parts of the largest size this is
// half a megabyte of buffer for each reader of an answer.
const maxEventsPerWrite = 16

// nextEvents appends the available events after the cursor. Events that arrived together are sent
// together, and no token waits for another. The channel is closed when there are more events.
func (e *executor) nextEvents(j *job, events []proto.Message, cursor answer.Cursor) ([]proto.Message, answer.Cursor, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(events) < maxEventsPerWrite {
		event, after := j.buffer.Next(cursor)
		if event == nil {
			break
		}
		events = append(events, event)
		cursor = after
	}
	return events, cursor, j.changed
}

// doneTimeout is how long the receiver of a complete answer has to confirm it.
const doneTimeout = 30 * time.Second

func (e *executor) awaitDone(closed <-chan struct{}) {
	timer := time.NewTimer(doneTimeout)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	}
}

// readSignals handles the receiver's signals until it closes the stream.
func (e *executor) readSignals(j *job, stream *link.Stream) {
	for {
		signal := &api.WorkSignal{}
		if err := stream.Receive(signal); err != nil {
			return
		}
		if signal.GetDone() {
			e.mu.Lock()
			e.answers.MarkDelivered(j.buffer)
			e.mu.Unlock()
			return
		}
		if signal.GetCancel() {
			e.cancelJob(j)
			return
		}
	}
}

// cancelJob cancels work whose caller has gone. Work with a ticket is not canceled: its caller may
// return and ask how it ended.
func (e *executor) cancelJob(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.isRepeatable() && j.cancel != nil {
		j.cancel()
	}
}

func (e *executor) removeReader(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.readers--
	j.unreadSince = clock.Now()
}
