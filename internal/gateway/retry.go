package gateway

import (
	"context"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
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
	// panicked: the attempt ended by a panic, which goes on to the HTTP library.
	panicked
)

// String returns the outcome as logs show it.
func (o attemptOutcome) String() string {
	return [...]string{"delivered", "unsent", "not run", "failed", "broken", "moved", "over", "panicked"}[o]
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

// chargeRetry charges the retry budget for another attempt of a request, given the outcome of the last one,
// and reports whether the budget allows it. The first attempt that reaches a backend server is free.
func (g *Gateway) chargeRetry(ctx context.Context, t *task, outcome attemptOutcome) bool {
	if outcome == unsent {
		// The token of this attempt was not used, and may have expired since.
		g.returnRetryToken(t)
	}
	if t.history.sent == 0 {
		g.metrics.uncharged.Inc(1)
		return true
	}
	maxWait := min(maxClaimWait, time.Duration(maxClaimWaitRatio*float64(timeLeft(t.deadline, clock.Now()))))
	token, ok := g.fleet.retries.await(ctx, t.service, maxWait)
	if ok {
		t.retryToken = &token
	}
	return ok
}

// returnRetryToken gives the token of an attempt that sent nothing back to the retry budget.
func (g *Gateway) returnRetryToken(t *task) {
	if t.retryToken != nil {
		g.fleet.retries.giveBack(t.service, *t.retryToken)
		t.retryToken = nil
	}
}

// awaitRetry waits until a request may be sent to another backend server, and picks it.
func (g *Gateway) awaitRetry(ctx context.Context, t *task, outcome attemptOutcome) (placement, *result.Error) {
	if err := g.prompts.await(ctx, t, maxRetryServerWait); err != nil {
		return placement{}, err
	}
	return g.waitForRetryServer(ctx, t, outcome)
}

// countRetry counts a request that is sent to another backend server.
func (g *Gateway) countRetry(t *task) {
	g.metrics.retries.Inc(1)
	if t.out.begun {
		g.metrics.resumed.Inc(1)
	}
}

const (
	// maxRetryServerWait is how long a request waits at most for another backend server after its
	// first attempt, and retryServerInterval how often it checks for one.
	maxRetryServerWait  = time.Second
	retryServerInterval = 25 * time.Millisecond
	// maxFallbackWaitRatio limits that wait, for a request that has the error answer of a server, to
	// this fraction of the time left: a caller that gets the error in time may still try again.
	maxFallbackWaitRatio = 0.5
)

// pickAgain picks a backend server for another attempt of a request, given the outcome of the last one.
func (g *Gateway) pickAgain(t *task, outcome attemptOutcome, now time.Duration) (placement, api.ResultCode) {
	if outcome == notRun && g.fleet.awaitsReport(t.tried[len(t.tried)-1], now) {
		return placement{}, api.ResultCode_SATURATED
	}
	req := pickRequest{service: t.service, tried: t.tried, timeLeft: timeLeft(t.deadline, now)}
	s, code := g.fleet.pickForRetry(req, now)
	if code != api.ResultCode_OK && outcome == serverError {
		req.tried = nil
		s, code = g.fleet.pickForRetry(req, now)
	}
	return s, code
}

// waitForRetryServer picks a backend server for another attempt of a request that is already admitted,
// given the outcome of the last one. If none is available, it waits for one, for maxRetryServerWait at
// most, also if the caller already has part of the answer.
//
// A server that has returned an error is tried again if there is no other one, as when a failure domain
// of a small service is out: errors of a few requests in a hundred need not repeat.
func (g *Gateway) waitForRetryServer(ctx context.Context, t *task, outcome attemptOutcome) (placement, *result.Error) {
	began := clock.Now()
	maxWait := maxRetryServerWait
	if t.out.fallback != nil && t.deadline > 0 {
		maxWait = min(maxWait, time.Duration(maxFallbackWaitRatio*float64(timeLeft(t.deadline, began))))
	}
	for {
		now := clock.Now()
		s, code := g.pickAgain(t, outcome, now)
		if code == api.ResultCode_OK {
			return s, nil
		}
		if now-began > maxWait {
			return placement{}, result.New(code)
		}
		if refused := g.fleet.refuseRetry(t.service, maxWait-(now-began), now); refused != nil {
			return placement{}, refused
		}
		select {
		case <-ctx.Done():
			return placement{}, result.New(code)
		case <-time.After(retryServerInterval):
		}
	}
}
