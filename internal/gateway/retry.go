package gateway

import (
	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/routing"
)

// attemptOutcome is how one attempt at a backend server ended.
type attemptOutcome uint8

const (
	// delivered says that the caller has its answer.
	delivered attemptOutcome = iota
	// unsent says that nothing was sent to the backend server.
	unsent
	// notRun says that the backend server did not run the request and will not.
	notRun
	// serverError says that it answered with a failure of its own, whole.
	serverError
	// broken says that the request may have run, and there is no whole answer.
	broken
	// moved says that nothing came of the attempt, and that the request goes to another backend
	// server. It may have run, and may still.
	moved
	// abandoned says that the caller has gone or the time is up.
	abandoned
)

// String names the verdict, as logs show it.
func (o attemptOutcome) String() string {
	return [...]string{"delivered", "unsent", "not run", "failed", "broken", "moved", "over"}[o]
}

// resultCode is the result that an attempt which ended so is logged with.
func (o attemptOutcome) resultCode() api.ResultCode {
	switch o {
	case delivered:
		return api.ResultCode_OK
	case unsent:
		return api.ResultCode_NO_BACKEND
	case notRun:
		return api.ResultCode_SATURATED
	case serverError:
		return api.ResultCode_BACKEND_FAILED
	case moved:
		return api.ResultCode_UNREACHABLE
	default:
		return api.ResultCode_ANSWER_BROKEN
	}
}

// maxUnsent bounds the backend servers that a request is taken to without being sent: when
// so many are out of reach, the rest most likely are too.
const maxUnsent = 4

// history is what has happened to a request so far.
type history struct {
	// sent counts the backend servers that the request was sent to, unsent those that could
	// not be reached.
	sent, unsent int
	// mayHaveRun says that at least one of them may have run it.
	mayHaveRun bool
	// hung says that it was moved from one of them, of which nothing came.
	hung bool
}

// shouldRetry says whether a request may be given to one more backend server after an attempt,
// and if not why, as logs show it.
//
// A request that must not repeat goes on only while it is certain that it has not run:
// after an attempt of which nothing was sent, or that the backend server says it did not
// run. Everything else goes on within the route's attempts.
func shouldRetry(outcome attemptOutcome, r *routing.Route, h history) (bool, string) {
	switch {
	case outcome == delivered || outcome == abandoned:
		return false, "it has ended"
	case outcome == unsent:
		return h.unsent < maxUnsent, "too many servers are out of reach"
	case (outcome != notRun || h.mayHaveRun) && !r.Repeatable():
		return false, "it may have run, and must not run twice"
	default:
		return h.sent < r.Attempts, "the route's attempts are spent"
	}
}
