package gateway

import (
	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/routing"
)

// attemptOutcome is the outcome of one attempt at a backend server.
type attemptOutcome uint8

const (
	// delivered: the caller has its answer.
	delivered attemptOutcome = iota
	// unsent: nothing was sent to the backend server.
	unsent
	// notRun: the backend server did not run the request and will not.
	notRun
	// serverError: the server sent a whole answer, which is an error.
	serverError
	// broken: the request may have run, and there is no whole answer.
	broken
	// moved: the attempt made no progress, and the request goes to another backend server. It may
	// have run, and may still run.
	moved
	// abandoned: the caller has gone or the deadline has passed.
	abandoned
)

// String returns the outcome as logs show it.
func (o attemptOutcome) String() string {
	return [...]string{"delivered", "unsent", "not run", "failed", "broken", "moved", "over"}[o]
}

// resultCode returns the result that an attempt with this outcome is logged with.
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

// maxUnsent limits the backend servers that a request could not be sent to: when that many are
// unreachable, the rest most likely are too.
const maxUnsent = 4

// history is what has happened to a request so far.
type history struct {
	// sent counts the backend servers that the request was sent to, unsent those that could not be
	// reached.
	sent, unsent int
	// mayHaveRun means that at least one of them may have run it.
	mayHaveRun bool
	// hung means that it was moved away from a server that made no progress or whose VM is silent.
	hung bool
}

// shouldRetry reports whether a request may be sent to another backend server after an attempt, and
// if not why, as logs show it.
//
// A request that must not run twice is retried only while it is certain that it has not run:
// nothing was sent, or the backend server says that it did not run. All other requests are retried
// within the route's attempts.
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
