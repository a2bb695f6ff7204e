package harness

import (
	"context"
	"time"
)

// PressKey presses a push under a key of the caller's own until an answer settles it,
// through one address after another, beginning at a given one. It never takes another
// key: what became of the first is what the caller wants to know.
func (c *Caller) PressKey(ctx context.Context, addresses []string, begin int, key, call string) Outcome {
	out := Outcome{Call: call, Ticket: key, Ran: RanUnknown}
	for ctx.Err() == nil {
		press := Press{Begin: time.Now()}
		reply, err := c.Push(ctx, addresses[(begin+out.Tries)%len(addresses)], key, call)
		press.End = time.Now()
		out.Tries++
		if err != nil {
			out.Last = err.Error()
			out.Presses = append(out.Presses, press)
			waitRetry(ctx, nil)
			continue
		}
		press.Ran = reply.Ran
		out.Presses = append(out.Presses, press)
		out.Code, out.Last = reply.Code, reply.Name+" "+reply.Message
		if out.settle(reply) {
			return out
		}
		waitRetry(ctx, &reply)
	}
	return out
}
