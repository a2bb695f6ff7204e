package agent

import (
	"context"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/answer"
)

// job is one piece of work at this agent, from its arrival until its answer is let
// go. Its fields are guarded by executor.mu, but for those set at creation.
type job struct {
	work   *api.Work
	buffer *answer.Buffer
	// arrived is when the work came, on the process's clock; started when it was sent
	// to the backend server, 0 before. Only the goroutine that runs the job writes it.
	arrived, started time.Duration
	// backendState is what may go on at the backend server at the end of the run, which sets it.
	backendState backendState
	// deadline is when the answer must be whole, on the process's clock.
	deadline time.Duration

	// changed is closed and replaced whenever the answer grows or ends.
	changed chan struct{}
	// admission carries the decision on a job that waits: nil to run, or the refusal.
	admission chan *api.Refusal
	// cancel ends the run; nil before it begins.
	cancel context.CancelFunc
	// readers counts the streams that deliver the answer; alone is since when
	// there is none.
	readers     int
	unreadSince time.Duration
}

func (j *job) notifyReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// dropRequest drops what was sent to the backend server, which is over. The answer is kept for
// a caller that comes back, and the ledger knows the request by its digest: large prompts
// would take many times the memory that is set for answers. The lock is held.
func (j *job) dropRequest() {
	j.work.Body = nil
	j.work.Headers = nil
}

// isRepeatable says that the work may be given up or run elsewhere: it has no ticket.
func (j *job) isRepeatable() bool { return j.work.GetTicket() == nil }

func newRefusal(code api.ResultCode, ran api.Ran, text string, retryAfter time.Duration) *api.Refusal {
	return &api.Refusal{
		Code:         code,
		Ran:          ran,
		Text:         text,
		RetryAfterMs: retryAfter.Milliseconds(),
	}
}

func notRunRefusal(code api.ResultCode, text string, retryAfter time.Duration) *api.Refusal {
	return newRefusal(code, api.Ran_RAN_NO, text, retryAfter)
}
