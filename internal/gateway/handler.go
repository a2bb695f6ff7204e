package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/quarantine"
	"github.com/apricothub/apricothub/decide/retry"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/routing"
	"github.com/apricothub/apricothub/internal/shutdown"
	"github.com/apricothub/apricothub/platform"
)

// maxLoggedPath limits the path in a log line.
const maxLoggedPath = 80

// task is one request of a caller while it is served.
type task struct {
	platform.Request
	method, uri, host string
	header            http.Header
	body              []byte
	// digest is the same for all requests with the same method, path, query and body.
	digest string
	// parts are what in the request may end backend servers.
	parts   []quarantine.Part
	route   *routing.Route
	service string
	team    string
	// rank is the request's place in the order of urgency; 0 is the most urgent.
	rank      int
	arrivedAt time.Duration
	// limit is the earlier of the caller's deadline and the route's timeout. deadline is when this entry gives up: at
	// the limit, or earlier during a planned stop.
	limit, deadline time.Duration
	// callerDeadline is when the caller gives up; zero if the request does not state it.
	callerDeadline time.Duration

	// waited is how long the request was queued.
	waited  time.Duration
	history history
	// tried are the backend servers of the attempts so far.
	tried []string
	// retryToken is the token of the retry budget for the current attempt; nil for none.
	retryToken *retry.Token
	// permit holds the parts of the prompt that this request tries.
	permit quarantine.Permit
	// buffered are the answers, or parts of them, that are held until the request ends.
	buffered [][]byte
	// out is the caller's side.
	out *output
}

// timeLeft returns the time until the deadline, at least 1 ms; zero stands for no deadline.
func timeLeft(deadline, now time.Duration) time.Duration {
	if deadline == 0 {
		return 0
	}
	return max(deadline-now, time.Millisecond)
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.metrics.requests.Inc(1)
	if g.leaving.Load() {
		// The caller opens its next connection to another entry.
		w.Header().Set("Connection", "close")
	}
	t := &task{Request: platform.ReadRequest(r.Header), arrivedAt: clock.Now(), method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header}
	if t.TimeLeft > 0 {
		t.callerDeadline = t.arrivedAt + t.TimeLeft
		t.deadline = t.callerDeadline
	}
	t.out = &output{w: w, rc: http.NewResponseController(w), eventGaps: g.metrics.eventGaps}
	g.awaitStart(r.Context(), t)
	defer g.releaseBuffers(t)
	if err := g.prepare(t, g.view.Load(), r); err != nil {
		g.refuse(t, err)
		return
	}
	ctx := r.Context()
	if t.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeLeft(t.deadline, clock.Now()))
		defer cancel()
		_ = t.out.rc.SetWriteDeadline(time.Now().Add(timeLeft(t.deadline, clock.Now()) + writeGrace))
	}
	g.forward(ctx, t)
}

// maxStartWait limits how long a request waits for this entry to start. An entry that finds the store
// and other entries is ready in half of that.
const maxStartWait = time.Second

// awaitStart waits until this entry knows the configuration and a backend server, within the limits
// for queued requests.
//
// When many entries restart at once, callers reach them before they are ready. If these refused,
// a caller's few attempts would be used up at one starting entry after the other.
func (g *Gateway) awaitStart(ctx context.Context, t *task) {
	select {
	case <-g.started:
		return
	default:
	}
	wait := maxStartWait
	if t.deadline > 0 {
		wait = min(wait, time.Duration(maxQueueWaitRatio*float64(timeLeft(t.deadline, clock.Now()))))
	}
	select {
	case <-g.started:
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// writeGrace is how long beyond the deadline a caller may take to read the end of its answer.
const writeGrace = time.Second

// prepare finds the route and the team of a request, and reads its body.
func (g *Gateway) prepare(t *task, v *view, r *http.Request) *result.Error {
	if v == nil || v.table == nil {
		return result.New(api.ResultCode_STARTING)
	}
	t.route = v.table.Match(r.Host, r.URL.EscapedPath())
	if t.route == nil {
		return result.New(api.ResultCode_UNKNOWN_ADDRESS)
	}
	if err := t.findTeam(v.table); err != nil {
		return err
	}
	t.service = t.route.PickService(rand.Float64())
	if t.route.Timeout > 0 && (t.deadline == 0 || t.arrivedAt+t.route.Timeout < t.deadline) {
		t.deadline = t.arrivedAt + t.route.Timeout
	}
	if t.deadline == 0 {
		t.deadline = t.arrivedAt + maxRequestTime
	}
	t.limit = t.deadline
	g.limitByStop(t)
	if err := g.shutdown.Refuse(t.service, t.limit); err != nil {
		return err
	}
	if err := g.readBody(t, r, v.table.Limits.BodyBytes); err != nil {
		return err
	}
	t.digest = digest(t.method, t.uri, t.body)
	t.parts = partsOf(t)
	return nil
}

// findTeam finds the team of a request and its rank.
func (t *task) findTeam(table *routing.Table) *result.Error {
	t.rank = table.Rank(t.route, nil)
	if !table.RequiresKeys() {
		return nil
	}
	team := table.Team(t.Key)
	if team == nil {
		if t.route.Anonymous {
			return nil
		}
		return result.New(api.ResultCode_UNKNOWN_KEY)
	}
	t.team, t.rank = team.Name, table.Rank(t.route, team)
	return nil
}

// forward sends a request to one backend server after another, until the caller has its answer or
// no further attempt is allowed.
func (g *Gateway) forward(ctx context.Context, t *task) {
	if err := g.prompts.await(ctx, t, t.maxQueueWait(clock.Now())); err != nil {
		g.giveUp(ctx, t, err)
		return
	}
	defer g.prompts.release(t)
	g.fleet.retries.countRequest(t.service, clock.Now())
	id, s, err := g.fleet.admitRequest(ctx, t, clock.Now())
	if err != nil {
		t.waited = t.elapsed()
		g.giveUp(ctx, t, err)
		return
	}
	t.waited = t.elapsed()
	began := clock.Now()
	took := time.Duration(0)
	defer func() { g.fleet.endRequest(id, t.service, took, clock.Now()) }()
	for {
		err := g.shutdown.Refuse(t.service, t.limit)
		if d := g.prompts.acquire(t, clock.Now()); err == nil && d.Action != quarantine.Send {
			err = refusedPrompt(d)
		}
		if err != nil {
			g.fleet.endAttempt(s.ID, outcomeUnknown, 0, clock.Now())
			g.returnRetryToken(t)
			g.giveUp(ctx, t, err)
			return
		}
		t.tried = append(t.tried, s.ID)
		attempted := g.attempt(ctx, t, s)
		outcome := attempted.outcome
		if outcome != unsent {
			t.retryToken = nil
		}
		switch outcome {
		case delivered:
			took = clock.Now() - began
			g.served(t, s)
			return
		case abandoned:
			g.endExpired(ctx, t)
			return
		case unsent:
		case notRun:
			// A server that asks for rest speaks of itself, not of its group.
			if !attempted.asksForRest && g.fleet.markRefusing(s.ID, clock.Now()) {
				go g.watchRefusing(s.Server)
			}
		case moved:
			t.history.mayHaveRun = true
			g.logAttempt(t, s, outcome, true, "", attempted.err)
			g.metrics.moved.Inc(1)
			g.countRetry(t)
			s, t.retryToken = attempted.next, &attempted.token
			continue
		case serverError, broken:
			t.history.mayHaveRun = true
		}
		again, why := shouldRetry(outcome, t.route, t.history)
		if again && !g.chargeRetry(ctx, t, outcome) {
			again, why = false, "the retry budget is spent"
		}
		g.logAttempt(t, s, outcome, again, why, attempted.err)
		if !again {
			g.giveUp(ctx, t, result.New(api.ResultCode_SATURATED))
			return
		}
		g.prompts.release(t)
		if s, err = g.awaitRetry(ctx, t, outcome); err != nil {
			g.returnRetryToken(t)
			g.giveUp(ctx, t, err)
			return
		}
		g.countRetry(t)
	}
}

// giveUp gives a request its final answer when no further attempt is made.
func (g *Gateway) giveUp(ctx context.Context, t *task, err *result.Error) {
	switch {
	case t.out.begun:
		g.abortAnswer(t, api.ResultCode_ANSWER_BROKEN)
	case t.out.fallback != nil:
		t.out.deliverFallback()
		g.served(t, t.out.fallback.server)
	case ctx.Err() != nil:
		g.endExpired(ctx, t)
	case t.history.mayHaveRun:
		g.refuse(t, result.New(api.ResultCode_OUTCOME_UNKNOWN))
	default:
		g.refuse(t, err)
	}
}

// endExpired ends a request whose deadline has passed, whose caller has gone, or that has not ended during a planned
// stop.
func (g *Gateway) endExpired(ctx context.Context, t *task) {
	isStopOver := g.shutdown.IsOver()
	switch {
	case ctx.Err() != context.DeadlineExceeded && !isStopOver:
		g.metrics.callersGone.Inc(1)
		g.logCallerGone(t)
		panic(http.ErrAbortHandler)
	case t.out.begun:
		g.abortAnswer(t, api.ResultCode_DEADLINE_EXCEEDED)
	case t.out.fallback != nil:
		t.out.deliverFallback()
		g.served(t, t.out.fallback.server)
	case t.history.sent == 0 && isStopOver:
		g.refuse(t, shutdown.Refusal())
	case t.history.sent == 0:
		g.refuse(t, result.New(api.ResultCode_DEADLINE_UNREACHABLE))
	case isStopOver:
		g.refuse(t, result.New(api.ResultCode_OUTCOME_UNKNOWN))
	default:
		g.refuse(t, result.New(api.ResultCode_DEADLINE_EXCEEDED))
	}
}

// abortAnswer ends an answer that has begun and cannot be completed. The connection is closed, so
// that the caller does not take the answer for a whole one.
func (g *Gateway) abortAnswer(t *task, code api.ResultCode) {
	g.metrics.countResult(code)
	g.logEnd(t, "An answer was broken off.", code)
	panic(http.ErrAbortHandler)
}

// served counts and logs a request whose caller has the answer of a backend server.
func (g *Gateway) served(t *task, server placement) {
	g.metrics.served.Inc(1)
	missed := t.missedObjective()
	if missed != onTime {
		g.metrics.late.Inc(1)
		g.metrics.countLate(missed, t.rank)
	}
	g.metrics.took.Update(t.elapsed().Milliseconds())
	g.metrics.waited.Update(t.waited.Milliseconds())
	if t.out.begunAt > 0 {
		g.metrics.firstEvent.Update((t.out.begunAt - t.arrivedAt).Milliseconds())
	}
	g.metrics.countEnded(t.route.Kind.String(), t.team, t.rank, true)
	g.logServed(t, server, missed)
}
