package harness

import (
	"context"
	"net/http"
	"time"

	"github.com/apricothub/apricothub/api"
)

const (
	maxAttempts = 40
	// defaultBackoff is the wait before another try where no Retry-After is given.
	defaultBackoff = 50 * time.Millisecond
	// maxBackoff bounds what a caller in a test waits for.
	maxBackoff = 500 * time.Millisecond
)

// retryable says that the request has not run and may be sent again.
func retryable(r *Reply) bool {
	return r.Ran == RanNo && (r.Status == 0 || isToldToRetry(r))
}

func waitBackoff(ctx context.Context, refused *Reply) {
	wait := defaultBackoff
	if refused != nil && refused.RetryAfter > 0 {
		wait = min(refused.RetryAfter, maxBackoff)
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// PushAttempt is one request under a ticket. Ran is "" when no whole answer came.
type PushAttempt struct {
	Begin, End time.Time
	Ran        string
}

// Outcome is what a caller knows of a push in the end.
type Outcome struct {
	Call   string
	Ticket string
	// Ran is "yes", "no" or "unknown".
	Ran          string
	Code         int
	AttemptCount int
	// Attempts are the requests under the ticket, in order.
	Attempts []PushAttempt
	// LastMessage is the last answer or error, for messages.
	LastMessage string
}

// PushWithTicket takes a ticket and pushes with it through one address after another
// until an answer settles what became of it. An error before there is a ticket
// means that nothing was sent. A trusting caller takes the first "not run" for the
// end; another one goes on where it is told when to come back.
func (c *Caller) PushWithTicket(ctx context.Context, addresses []string, call string, acceptNotRun bool) Outcome {
	outcome := Outcome{Call: call, Ran: RanNo}
	for ticketAttempt := 0; outcome.Ticket == ""; ticketAttempt++ {
		if ticketAttempt == maxAttempts || ctx.Err() != nil {
			return outcome
		}
		ticket, err := c.RequestTicket(ctx, addresses[ticketAttempt%len(addresses)], Service)
		if err != nil {
			outcome.LastMessage = err.Error()
			waitBackoff(ctx, nil)
		}
		outcome.Ticket = ticket.Ticket
	}
	outcome.Ran = RanUnknown
	for outcome.AttemptCount < maxAttempts && ctx.Err() == nil {
		attempt := PushAttempt{Begin: time.Now()}
		reply, err := c.Push(ctx, addresses[outcome.AttemptCount%len(addresses)], outcome.Ticket, call)
		attempt.End = time.Now()
		if err == nil {
			attempt.Ran = reply.Ran
		}
		outcome.Attempts = append(outcome.Attempts, attempt)
		outcome.AttemptCount++
		if err != nil {
			outcome.LastMessage = err.Error()
			waitBackoff(ctx, nil)
			continue
		}
		outcome.Code, outcome.LastMessage = reply.Code, reply.Name+" "+reply.Message
		if outcome.settle(reply) || acceptNotRun && reply.Ran == RanNo {
			return outcome
		}
		waitBackoff(ctx, &reply)
	}
	return outcome
}

// settle notes what an answer says; true when no further try can change it.
func (o *Outcome) settle(reply Reply) bool {
	switch api.ResultCode(reply.Code) {
	case api.ResultCode_OK, api.ResultCode_RAN_ANSWER_GONE:
		o.Ran = RanYes
		return true
	case api.ResultCode_TICKET_VOID, api.ResultCode_TICKET_EXPIRED:
		o.Ran = RanNo
		return true
	case api.ResultCode_TICKET_UNKNOWN, api.ResultCode_OUTCOME_UNKNOWN:
		o.Ran = RanUnknown
		return true
	}
	o.Ran = reply.Ran
	return !isToldToRetry(&reply)
}

// isToldToRetry says that the caller is told to press again: under the same ticket that is
// safe whether the request has run or not.
func isToldToRetry(r *Reply) bool {
	return r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
}
