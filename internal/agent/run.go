package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/cold"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
)

// runJob runs a job from its admission to the end of its answer.
func (e *executor) runJob(j *job) {
	if refused := <-j.admission; refused != nil {
		e.failJob(j, refused)
		return
	}
	started := clock.Now()
	// The process may have been frozen between the admission and this moment, and the VM taken out
	// of service meanwhile.
	if code := e.refusing(started); code != api.ResultCode_OK {
		e.mu.Lock()
		e.voidTicket(j.work)
		e.mu.Unlock()
		e.releaseSlot(cold.Outcome{Cancelled: true})
		e.failJob(j, notRunRefusal(code, "The agent takes no new work.", defaultRetryAfter))
		return
	}
	ctx, cancel := e.runContext(j, started)
	defer cancel()
	j.started = started
	outcome, refused := e.execute(ctx, j, started)
	if refused != nil {
		e.failJob(j, refused)
		e.cancelAtBackend(j)
		e.releaseSlot(outcome)
		return
	}
	e.releaseSlot(outcome)
	e.mu.Lock()
	e.answers.End(j.buffer, clock.Now())
	j.dropRequest()
	e.recordOutcome(j.work, api.Ran_RAN_YES)
	j.notifyReaders()
	e.mu.Unlock()
	e.counters.completed.Inc(1)
	e.recordRequest(j.work, j.arrived, j.started, nil)
}

// runContext limits the run to the deadline. Work with a ticket may go on longer: it has begun,
// and its caller will want to know how it ended.
func (e *executor) runContext(j *job, now time.Duration) (context.Context, context.CancelFunc) {
	timeout := j.deadline - now
	if !j.isRepeatable() {
		timeout += ticketGrace
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	e.mu.Lock()
	j.cancel = cancel
	e.mu.Unlock()
	return ctx, cancel
}

// execute sends the work and receives the answer.
func (e *executor) execute(ctx context.Context, j *job, started time.Duration) (cold.Outcome, *api.Refusal) {
	resp, err := e.backend.send(ctx, j.work)
	if err != nil {
		return e.sendFailed(ctx, j, err)
	}
	defer resp.Body.Close()
	if j.work.GetKind() == api.WorkKind_WORK_COMPLETION && resp.StatusCode >= http.StatusInternalServerError {
		return cold.Outcome{Failed: true}, e.engineFailed(j, resp.StatusCode)
	}
	e.mu.Lock()
	// It is sent with the first part: the entry passes nothing on before that.
	e.answers.SetHead(j.buffer, answerHead(resp))
	e.mu.Unlock()
	recorder := newAnswerRecorder(e, j, resp, started)
	err = readParts(resp, recorder.addPart)
	outcome := recorder.outcome()
	if err == nil {
		return outcome, nil
	}
	failed, refused := e.readFailed(ctx, j, err)
	failed.Observed = recorder.observed
	return failed, refused
}

// engineFailed returns the refusal for an engine's own error. The engine may have run a part of
// the request.
func (e *executor) engineFailed(j *job, status int) *api.Refusal {
	refused := newRefusal(api.ResultCode_BACKEND_FAILED, api.Ran_RAN_UNKNOWN, "The engine failed while it held the request.", 0)
	if !j.isRepeatable() {
		refused = newRefusal(api.ResultCode_OUTCOME_UNKNOWN, api.Ran_RAN_UNKNOWN, "The engine failed; the request may have run.", 0)
	}
	_ = e.logger.Log("msg", "The engine answered with an error.", "result", result.Label(refused.GetCode()), "request", j.work.GetRequestId(), "status", status)
	return refused
}

// sendFailed handles a request that got no answer. It certainly has not run only if no connection
// to the backend server was established.
func (e *executor) sendFailed(ctx context.Context, j *job, err error) (cold.Outcome, *api.Refusal) {
	var failed *backendError
	if errors.As(err, &failed) && !failed.Sent {
		e.mu.Lock()
		e.voidTicket(j.work)
		e.mu.Unlock()
		_ = e.logger.Log("msg", "The backend server does not accept connections.", "result", result.Label(api.ResultCode_NO_BACKEND), "request", j.work.GetRequestId(), "err", err)
		return cold.Outcome{Failed: true}, notRunRefusal(api.ResultCode_NO_BACKEND, "The backend server does not accept connections.", defaultRetryAfter)
	}
	outcome, refused := e.readFailed(ctx, j, err)
	if ctx.Err() != nil {
		j.backendState = sentToBackend
	}
	return outcome, refused
}

func (e *executor) readFailed(ctx context.Context, j *job, err error) (cold.Outcome, *api.Refusal) {
	outcome := cold.Outcome{Failed: true}
	if ctx.Err() != nil {
		outcome = cold.Outcome{Cancelled: true}
	}
	refused := unansweredRefusal(ctx, j)
	_ = e.logger.Log("msg", "The backend server failed a request.", "result", result.Label(refused.GetCode()), "request", j.work.GetRequestId(), "err", err)
	j.backendState = answeringAtBackend
	return outcome, refused
}

// unansweredRefusal returns the refusal of a job that was sent and got no complete answer.
func unansweredRefusal(ctx context.Context, j *job) *api.Refusal {
	switch {
	case !j.isRepeatable():
		return newRefusal(api.ResultCode_OUTCOME_UNKNOWN, api.Ran_RAN_UNKNOWN, "The backend server did not answer; the request may have run.", 0)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return newRefusal(api.ResultCode_DEADLINE_EXCEEDED, api.Ran_RAN_UNKNOWN, "The deadline passed while the request ran.", 0)
	}
	return newRefusal(api.ResultCode_BACKEND_FAILED, api.Ran_RAN_UNKNOWN, "The backend server failed while it held the request.", 0)
}

// backendFailedLabel is the result in log lines about the backend server as a whole.
var backendFailedLabel = result.Label(api.ResultCode_BACKEND_FAILED)

// releaseSlot releases the job's slot and dispatches the next job.
func (e *executor) releaseSlot(outcome cold.Outcome) {
	now := clock.Now()
	e.mu.Lock()
	e.running--
	e.pollPacer.workEnded(now)
	e.limiter.Done(now, outcome)
	e.mu.Unlock()
	e.dispatch(now)
}

func (e *executor) failJob(j *job, refused *api.Refusal) {
	e.recordRequest(j.work, j.arrived, j.started, refused)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers.Fail(j.buffer, clock.Now(), refused)
	j.dropRequest()
	j.notifyReaders()
	e.counters.failed.Inc(1)
}

// hopByHopHeaders concern one connection, not the answer.
var hopByHopHeaders = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Transfer-Encoding": true,
	"Trailer":           true,
	"Upgrade":           true,
	"Content-Length":    true,
}

func answerHead(resp *http.Response) *api.Head {
	h := &api.Head{Status: int32(resp.StatusCode)}
	for name, values := range resp.Header {
		if hopByHopHeaders[name] {
			continue
		}
		for _, value := range values {
			h.Headers = append(h.Headers, &api.Header{Name: name, Value: value})
		}
	}
	return h
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
