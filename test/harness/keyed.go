package harness

import (
	"context"
	"time"
)

// PushWithKey sends a push under the caller's own key until an answer is final. It goes through the
// addresses in turn, beginning with the one at index firstAddress. It never changes the key, since
// the caller wants the outcome of the first attempt.
func (c *Caller) PushWithKey(ctx context.Context, addresses []string, firstAddress int, key, call string) Outcome {
	outcome := Outcome{Call: call, Ticket: key, Ran: RanUnknown}
	for ctx.Err() == nil {
		attempt := PushAttempt{Begin: time.Now()}
		reply, err := c.Push(ctx, addresses[(firstAddress+outcome.AttemptCount)%len(addresses)], key, call)
		attempt.End = time.Now()
		outcome.AttemptCount++
		if err != nil {
			outcome.LastMessage = err.Error()
			outcome.Attempts = append(outcome.Attempts, attempt)
			waitBackoff(ctx, nil)
			continue
		}
		attempt.Ran = reply.Ran
		outcome.Attempts = append(outcome.Attempts, attempt)
		outcome.Code, outcome.LastMessage = reply.Code, reply.Name+" "+reply.Message
		if outcome.settle(reply) {
			return outcome
		}
		waitBackoff(ctx, &reply)
	}
	return outcome
}
