package agent

import (
	"context"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/answer"
)

// job is one piece of work at this agent, from its arrival until its answer is dropped. Its fields
// are guarded by executor.mu, except for those set at creation.
type job struct {
	work   *api.Work
	buffer *answer.Buffer
	// arrived is when the work arrived, on the process's clock; started is when it was sent to the
	// backend server, or 0 before. Only the goroutine that runs the job writes started.
	arrived, started time.Duration
	// backendState says whether the request may still run at the backend server. The run sets it
	// at its end.
	backendState backendState
	// deadline is when the answer must be complete, on the process's clock.
	deadline time.Duration

	// changed is closed and replaced whenever the answer grows or ends.
	changed chan struct{}
	// admission receives the decision on a queued job: nil to run it, or the refusal.
	admission chan *api.Refusal
	// cancel ends the run; nil before it begins.
	cancel context.CancelFunc
	// readers counts the streams that deliver the answer; unreadSince is since when there is none.
	readers     int
	unreadSince time.Duration
}

func (j *job) notifyReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// dropRequest drops the body and headers of the request once it has ended. The answer is kept for
// a caller that retries, and the ledger knows the request by its digest. With the requests, large
// prompts would take many times the memory that is set for answers. The caller holds the lock.
func (j *job) dropRequest() {
	j.work.Body = nil
	j.work.Headers = nil
}

// isRepeatable reports whether the work may be canceled or run elsewhere: it has no ticket.
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
