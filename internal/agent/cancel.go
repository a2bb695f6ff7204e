package agent

import (
	"context"
	"time"

	"github.com/apricothub/apricothub/api"
)

// backendState says what of a job may go on at the backend server once the agent has let go of it.
type backendState int

const (
	// endedAtBackend: it has ended there, or was never sent.
	endedAtBackend backendState = iota
	// answeringAtBackend: it had answeringAtBackend to answer.
	answeringAtBackend
	// sentToBackend: it was sent, and nothing was heard of it.
	sentToBackend
)

// secondCancelDelay is the time in which an engine begins a request that was sent to it: far
// more than it takes a request out of a socket on a busy VM.
const secondCancelDelay = 200 * time.Millisecond

// cancelAtBackend tells an engine that nobody waits for the request any more, so that
// it does not go on holding a place there that the limiter counts as free.
//
// One that nothing was heard of may still be in a socket when the engine is told, begin
// after that, and run to its end beside those that get its place: a cold engine falls over
// by one request too many. So it is cancelled again a while later, and its place is given
// back only then. Cancelling twice does nothing.
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
		_ = e.logger.Log("level", "debug", "msg", "A request could not be cancelled.", "result", backendFailedLabel, "request", j.work.GetRequestId(), "err", err)
	}
}
