package harness

import (
	"context"
	"time"
)

// PushWithKey presses a push under a key of the caller's own until an answer settles it,
// through one address after another, beginning at a given one. It never takes another
// key: what became of the first is what the caller wants to know.
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
