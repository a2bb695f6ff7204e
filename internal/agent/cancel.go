package agent

import (
	"context"
	"time"

	"github.com/apricothub/apricothub/api"
)

// left says what of a job may go on at the backend server once the agent has let go of it.
type left int

const (
	// nothing: it has ended there, or was never sent.
	nothing left = iota
	// begun: it had begun to answer.
	begun
	// onItsWay: it was sent, and nothing was heard of it.
	onItsWay
)

// cancelSettle is the time in which an engine begins a request that was sent to it: far
// more than it takes a request out of a socket on a busy VM.
const cancelSettle = 200 * time.Millisecond

// cancelAtBackend tells an engine that nobody waits for the request any more, so that
// it does not go on holding a place there that the limiter counts as free.
//
// One that nothing was heard of may still be in a socket when the engine is told, begin
// after that, and run to its end beside those that get its place: a cold engine falls over
// by one request too many. So it is cancelled again a while later, and its place is given
// back only then. Cancelling twice does nothing.
func (e *executor) cancelAtBackend(j *job) {
	if j.left == nothing || j.work.GetKind() != api.WorkKind_WORK_COMPLETION {
		return
	}
	e.cancelOnce(j)
	if j.left == onItsWay {
		time.Sleep(cancelSettle)
		e.cancelOnce(j)
	}
}

func (e *executor) cancelOnce(j *job) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if err := e.backend.cancel(ctx, j.work.GetRequestId()); err != nil {
		_ = e.logger.Log("level", "debug", "msg", "A request could not be cancelled.", "result", backendFailed, "request", j.work.GetRequestId(), "err", err)
	}
}
