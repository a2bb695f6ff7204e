package gateway

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/routing"
	"github.com/apricothub/apricothub/platform"
)

// defaultBody bounds a body until the configuration does, bytes.
const defaultBody = 4 << 20

// maxPath bounds the path that a log line shows.
const maxPath = 80

// task is one request of a caller on its way through.
type task struct {
	platform.Request
	method, uri, host string
	header            http.Header
	body              []byte
	route             *routing.Route
	service           string
	team              string
	priority          int
	arrived           time.Duration
	// until is when this entry gives up, by the caller's deadline and the route's timeout;
	// zero for never.
	until time.Duration
	// deadline is when the caller does; zero when it does not say.
	deadline time.Duration

	// waited is how long it waited for its turn.
	waited  time.Duration
	history history
	// tried are the backend servers that the request was taken to.
	tried []string
	// out is the caller's side.
	out *output
}

// left is the time until a moment; zero stands for no bound.
func left(until, now time.Duration) time.Duration {
	if until == 0 {
		return 0
	}
	return max(until-now, time.Millisecond)
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.metrics.requests.Inc(1)
	v := g.view.Load()
	if g.leaving.Load() {
		// The caller opens its next connection elsewhere.
		w.Header().Set("Connection", "close")
	}
	t := &task{Request: platform.ReadRequest(r.Header), arrived: clock.Now(), method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header}
	if t.Left > 0 {
		t.deadline = t.arrived + t.Left
		t.until = t.deadline
	}
	t.out = &output{w: w, rc: http.NewResponseController(w), between: g.metrics.between}
	if err := g.intake(t, v, r); err != nil {
		g.refuse(t, err)
		return
	}
	ctx := r.Context()
	if t.until > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left(t.until, clock.Now()))
		defer cancel()
		_ = t.out.rc.SetWriteDeadline(time.Now().Add(left(t.until, clock.Now()) + writeGrace))
	}
	g.pass(ctx, t)
}

// writeGrace is how long beyond the deadline a caller may take to read the end of its
// answer.
const writeGrace = time.Second

// intake finds the route and the team of a request, and reads its body.
func (g *Gateway) intake(t *task, v *view, r *http.Request) *result.Error {
	if v == nil || v.table == nil {
		return result.New(api.ResultCode_STARTING)
	}
	t.route = v.table.Match(r.Host, r.URL.EscapedPath())
	if t.route == nil {
		return result.New(api.ResultCode_UNKNOWN_ADDRESS)
	}
	t.priority = t.route.Priority
	if err := t.findTeam(v.table); err != nil {
		return err
	}
	t.service = t.route.PickService(rand.Float64())
	if t.route.Timeout > 0 && (t.until == 0 || t.arrived+t.route.Timeout < t.until) {
		t.until = t.arrived + t.route.Timeout
	}
	return t.readBody(r, v.table.Limits.BodyBytes)
}

func (t *task) findTeam(table *routing.Table) *result.Error {
	if !table.HasTeams() {
		return nil
	}
	team := table.Team(t.Key)
	if team == nil {
		if t.route.Anonymous {
			return nil
		}
		return result.New(api.ResultCode_UNKNOWN_KEY)
	}
	t.team = team.Name
	if team.Priority != nil {
		t.priority = *team.Priority
	}
	return nil
}

// readBody reads the whole body before anything is sent: a backend server never waits for a
// slow caller, and the request can be sent again.
func (t *task) readBody(r *http.Request, limit int) *result.Error {
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(t.out.w, r.Body, int64(limit)))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return result.New(api.ResultCode_BODY_TOO_LARGE)
		}
		return result.New(api.ResultCode_BAD_REQUEST)
	}
	t.body = body
	return nil
}

// pass takes a request to one backend server after another, until the caller has its answer
// or no further attempt is allowed.
func (g *Gateway) pass(ctx context.Context, t *task) {
	g.fleet.first(t.service)
	id, s, err := g.fleet.enter(ctx, t, clock.Now())
	if err != nil {
		t.waited = t.elapsed()
		g.giveUp(ctx, t, err)
		return
	}
	t.waited = t.elapsed()
	began := clock.Now()
	took := time.Duration(0)
	defer func() { g.fleet.finish(id, t.service, took, clock.Now()) }()
	for {
		t.tried = append(t.tried, s.ID)
		end := g.attempt(ctx, t, s)
		v := end.verdict
		switch v {
		case delivered:
			took = clock.Now() - began
			g.served(t, s)
			return
		case over:
			g.expired(ctx, t)
			return
		case unsent:
		case notRun:
			if g.fleet.shed(s.ID) {
				go g.watch(s.Server)
			}
		case moved:
			t.history.mayHaveRun = true
			g.logAttempt(t, s, v, true, "", end.err)
			g.metrics.moved.Inc(1)
			g.goesOn(t)
			s = end.next
			continue
		case ranBadly, broken:
			t.history.mayHaveRun = true
		}
		goOn, why := another(v, t.route, t.history)
		if goOn && v != unsent && !g.fleet.again(t.service) {
			goOn, why = false, "the retry budget is spent"
		}
		g.logAttempt(t, s, v, goOn, why, end.err)
		if !goOn {
			g.giveUp(ctx, t, result.New(api.ResultCode_SATURATED))
			return
		}
		if s, err = g.another(ctx, t); err != nil {
			g.giveUp(ctx, t, err)
			return
		}
		g.goesOn(t)
	}
}

// goesOn counts a request that goes to one more backend server.
func (g *Gateway) goesOn(t *task) {
	g.metrics.again.Inc(1)
	if t.out.begun {
		g.metrics.resumed.Inc(1)
	}
}

const (
	// anotherWait is how long a request waits at most for another backend server once it has
	// been to one, and anotherEach how often it looks.
	anotherWait = time.Second
	anotherEach = 25 * time.Millisecond
)

// another finds one more backend server for a request that has its turn already. A request
// that has not run waits for a while if there is none; one of which the caller has some of
// the answer, too.
func (g *Gateway) another(ctx context.Context, t *task) (placement, *result.Error) {
	began := clock.Now()
	for {
		now := clock.Now()
		s, code := g.fleet.another(need{service: t.service, tried: t.tried, left: left(t.until, now)}, now)
		if code == api.ResultCode_OK {
			return s, nil
		}
		if now-began > anotherWait {
			return placement{}, result.New(code)
		}
		select {
		case <-ctx.Done():
			return placement{}, result.New(code)
		case <-time.After(anotherEach):
		}
	}
}

// giveUp gives a request its final answer when no further attempt is made.
func (g *Gateway) giveUp(ctx context.Context, t *task, err *result.Error) {
	switch {
	case t.out.begun:
		g.cut(t, api.ResultCode_ANSWER_BROKEN)
	case t.out.fallback != nil:
		t.out.deliverFallback()
		g.served(t, t.out.fallback.server)
	case ctx.Err() != nil:
		g.expired(ctx, t)
	case t.history.mayHaveRun:
		g.refuse(t, result.New(api.ResultCode_OUTCOME_UNKNOWN))
	default:
		g.refuse(t, err)
	}
}

// expired ends a request whose time is up or whose caller has gone.
func (g *Gateway) expired(ctx context.Context, t *task) {
	switch {
	case ctx.Err() != context.DeadlineExceeded:
		g.metrics.gone.Inc(1)
		g.logGone(t)
		panic(http.ErrAbortHandler)
	case t.out.begun:
		g.cut(t, api.ResultCode_DEADLINE_EXCEEDED)
	case t.out.fallback != nil:
		t.out.deliverFallback()
		g.served(t, t.out.fallback.server)
	case t.history.sent == 0:
		g.refuse(t, result.New(api.ResultCode_DEADLINE_UNREACHABLE))
	default:
		g.refuse(t, result.New(api.ResultCode_DEADLINE_EXCEEDED))
	}
}

// cut ends an answer that has begun and cannot be made whole, in a way that the caller
// notices.
func (g *Gateway) cut(t *task, code api.ResultCode) {
	g.metrics.result(code)
	g.logEnd(t, "An answer was broken off.", code)
	panic(http.ErrAbortHandler)
}

// served counts and logs a request whose caller has the answer of a backend server.
func (g *Gateway) served(t *task, server placement) {
	g.metrics.served.Inc(1)
	late := t.late()
	if late != onTime {
		g.metrics.late.Inc(1)
		g.metrics.lateBy(late)
	}
	g.metrics.took.Update(t.elapsed().Milliseconds())
	g.metrics.waited.Update(t.waited.Milliseconds())
	if t.out.firstAt > 0 {
		g.metrics.first.Update((t.out.firstAt - t.arrived).Milliseconds())
	}
	g.metrics.ended(t.route.Kind.String(), t.team, true)
	g.logServed(t, server, late)
}

// refuse answers with a result of the system's own.
func (g *Gateway) refuse(t *task, err *result.Error) {
	g.metrics.result(err.Code)
	if t.route != nil {
		g.metrics.ended(t.route.Kind.String(), t.team, false)
	}
	g.logEnd(t, "A request was refused.", err.Code)
	h := t.out.w.Header()
	err.SetHeader(h)
	platform.OwnHeader(h, t.ID)
	if h.Get("Retry-After") != "" {
		// Callers here take fractions, and have little time to spend on whole seconds.
		h.Set("Retry-After", strconv.FormatFloat(g.comeBack(t, err).Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Type", "application/json")
	t.out.w.WriteHeader(result.Of(err.Code).HTTP)
	_ = json.NewEncoder(t.out.w).Encode(result.Body{Error: err.Detail()})
}

const (
	// comeBackLeast and comeBackMost bound the time after which a caller is told to come
	// back: room appears as requests end, within a second or two.
	comeBackLeast = 200 * time.Millisecond
	comeBackMost  = 1500 * time.Millisecond
	// comeBackPart is the part of the time left that a caller is told to wait at most: it
	// must still get its answer after that.
	comeBackPart = 0.25
)

// comeBack is when a refused caller should come back.
//
// Load: many callers refused at the same moment, as when a group of engines breaks. Harm
// prevented: all of them come back at the same moment and are refused again. Each is told
// another time, over the span in which room appears.
func (g *Gateway) comeBack(t *task, err *result.Error) time.Duration {
	most := comeBackMost
	if err.RetryAfter > 0 {
		most = err.RetryAfter
	}
	if t.deadline > 0 {
		most = min(most, time.Duration(comeBackPart*float64(left(t.deadline, clock.Now()))))
	}
	if most <= comeBackLeast {
		return most
	}
	return comeBackLeast + rand.N(most-comeBackLeast)
}
