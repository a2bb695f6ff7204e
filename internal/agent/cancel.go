package agent

import (
	"context"
	"time"

	"github.com/apricothub/apricothub/api"
)

// backendState says whether a request may still run at the backend server after the agent has
// ended the job.
type backendState int

const (
	// endedAtBackend: it has ended there, or was never sent.
	endedAtBackend backendState = iota
	// answeringAtBackend: its answer had begun.
	answeringAtBackend
	// sentToBackend: it was sent, and nothing was received for it.
	sentToBackend
)

// secondCancelDelay is longer than an engine on a busy VM takes to read a request from a socket
// and start it.
const secondCancelDelay = 200 * time.Millisecond

// cancelAtBackend tells an engine that nobody waits for the request any more, so that it does not
// occupy a slot there that the limiter counts as free.
//
// A request for which nothing was received may still be in a socket when the engine is told to
// cancel it, and start afterwards. It would run beside the request that gets its slot, and one
// request too many crashes a cold engine. Such a request is therefore canceled again after
// secondCancelDelay, and its slot is released only then. Canceling twice does no harm.
func (e *executor) cancelAtBackend(j *job) {
	if j.backendState == endedAtBackend || j.work.GetKind() != api.WorkKind_WORK_COMPLETION {
		return
	}
	e.sendCancel(j)
	if j.backendState == sentToBackend {
		time.Sleep(secondCancelDelay)
		e.sendCancel(j)
	}
}

func (e *executor) sendCancel(j *job) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if err := e.backend.cancel(ctx, j.work.GetRequestId()); err != nil {
		_ = e.logger.Log("level", "debug", "msg", "A request could not be canceled at the engine.", "result", backendFailedLabel, "request", j.work.GetRequestId(), "err", err)
	}
}
