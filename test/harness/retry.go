package harness

import (
	"context"
	"net/http"
	"time"

	"github.com/apricothub/apricothub/api"
)

const (
	maxAttempts = 40
	// defaultBackoff is the wait before a retry if the answer has no Retry-After.
	defaultBackoff = 50 * time.Millisecond
	// maxBackoff limits the Retry-After that a caller in a test obeys, to keep tests short.
	maxBackoff = 500 * time.Millisecond
)

// retryable reports whether the request has not run and may be retried.
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

// PushAttempt is one request under a ticket or key. Ran is "" without a complete answer.
type PushAttempt struct {
	Begin, End time.Time
	Ran        string
}

// Outcome is what a caller finally knows about a push.
type Outcome struct {
	Call   string
	Ticket string
	// Ran is RanYes, RanNo or RanUnknown.
	Ran          string
	Code         int
	AttemptCount int
	// Attempts are the requests under the ticket or key, in order.
	Attempts []PushAttempt
	// LastMessage describes the last answer or error, for test failures.
	LastMessage string
}

// PushWithTicket requests a ticket and pushes with it, through the addresses in turn, until an
// answer is final. An error before there is a ticket means that nothing was sent. With
// acceptNotRun, the caller stops at the first answer that the request has not run; without it, the
// caller also retries such answers if they ask for a retry.
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

// settle records what an answer states; it returns true if no retry can change the outcome.
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

// isToldToRetry reports whether the answer asks for a retry. Under the same ticket, a retry is safe
// whether the request has run or not.
func isToldToRetry(r *Reply) bool {
	return r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
}
