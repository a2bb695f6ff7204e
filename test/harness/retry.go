package harness

import (
	"context"
	"net/http"
	"time"

	"github.com/apricothub/apricothub/api"
)

const (
	maxTries = 40
	// retryPause is the wait before another try where no Retry-After is given.
	retryPause = 50 * time.Millisecond
	// longestPause bounds what a caller in a test waits for.
	longestPause = 500 * time.Millisecond
)

// retryable says that the request has not run and may be sent again.
func retryable(r *Reply) bool {
	return r.Ran == RanNo && (r.Status == 0 || comeBack(r))
}

func waitRetry(ctx context.Context, refused *Reply) {
	wait := retryPause
	if refused != nil && refused.RetryAfter > 0 {
		wait = min(refused.RetryAfter, longestPause)
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// Press is one request under a ticket. Ran is "" when no whole answer came.
type Press struct {
	Begin, End time.Time
	Ran        string
}

// Outcome is what a caller knows of a push in the end.
type Outcome struct {
	Call   string
	Ticket string
	// Ran is "yes", "no" or "unknown".
	Ran   string
	Code  int
	Tries int
	// Presses are the requests under the ticket, in order.
	Presses []Press
	// Last is the last answer or error, for messages.
	Last string
}

// PushOnce takes a ticket and pushes with it through one address after another
// until an answer settles what became of it. An error before there is a ticket
// means that nothing was sent. A trusting caller takes the first "not run" for the
// end; another one goes on where it is told when to come back.
func (c *Caller) PushOnce(ctx context.Context, addresses []string, call string, trusting bool) Outcome {
	out := Outcome{Call: call, Ran: RanNo}
	for try := 0; out.Ticket == ""; try++ {
		if try == maxTries || ctx.Err() != nil {
			return out
		}
		ticket, err := c.TakeTicket(ctx, addresses[try%len(addresses)], Service)
		if err != nil {
			out.Last = err.Error()
			waitRetry(ctx, nil)
		}
		out.Ticket = ticket.Ticket
	}
	out.Ran = RanUnknown
	for out.Tries < maxTries && ctx.Err() == nil {
		press := Press{Begin: time.Now()}
		reply, err := c.Push(ctx, addresses[out.Tries%len(addresses)], out.Ticket, call)
		press.End = time.Now()
		if err == nil {
			press.Ran = reply.Ran
		}
		out.Presses = append(out.Presses, press)
		out.Tries++
		if err != nil {
			out.Last = err.Error()
			waitRetry(ctx, nil)
			continue
		}
		out.Code, out.Last = reply.Code, reply.Name+" "+reply.Message
		if out.settle(reply) || trusting && reply.Ran == RanNo {
			return out
		}
		waitRetry(ctx, &reply)
	}
	return out
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
	return !comeBack(&reply)
}

// comeBack says that the caller is told to press again: under the same ticket that is
// safe whether the request has run or not.
func comeBack(r *Reply) bool {
	return r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
}
