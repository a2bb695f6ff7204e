package gateway

import (
	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/routing"
)

// verdict is how one attempt at a backend server ended.
type verdict uint8

const (
	// delivered says that the caller has its answer.
	delivered verdict = iota
	// unsent says that nothing was sent to the backend server.
	unsent
	// notRun says that the backend server did not run the request and will not.
	notRun
	// ranBadly says that it answered with a failure of its own, whole.
	ranBadly
	// broken says that the request may have run, and there is no whole answer.
	broken
	// moved says that nothing came of the attempt, and that the request goes to another backend
	// server. It may have run, and may still.
	moved
	// over says that the caller has gone or the time is up.
	over
)

// String names the verdict, as logs show it.
func (v verdict) String() string {
	return [...]string{"delivered", "unsent", "not run", "failed", "broken", "moved", "over"}[v]
}

// code is the result that an attempt which ended so is logged with.
func (v verdict) code() api.ResultCode {
	switch v {
	case delivered:
		return api.ResultCode_OK
	case unsent:
		return api.ResultCode_NO_BACKEND
	case notRun:
		return api.ResultCode_SATURATED
	case ranBadly:
		return api.ResultCode_BACKEND_FAILED
	case moved:
		return api.ResultCode_UNREACHABLE
	default:
		return api.ResultCode_ANSWER_BROKEN
	}
}

// mostUnsent bounds the backend servers that a request is taken to without being sent: when
// so many are out of reach, the rest most likely are too.
const mostUnsent = 4

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

// another says whether a request may be given to one more backend server after an attempt,
// and if not why, as logs show it.
//
// A request that must not repeat goes on only while it is certain that it has not run:
// after an attempt of which nothing was sent, or that the backend server says it did not
// run. Everything else goes on within the route's attempts.
func another(v verdict, r *routing.Route, h history) (bool, string) {
	switch {
	case v == delivered || v == over:
		return false, "it has ended"
	case v == unsent:
		return h.unsent < mostUnsent, "too many servers are out of reach"
	case (v != notRun || h.mayHaveRun) && !r.Repeatable():
		return false, "it may have run, and must not run twice"
	default:
		return h.sent < r.MaxAttempts, "the route's attempts are spent"
	}
}
