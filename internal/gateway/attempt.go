package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/decide/silence"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/routing"
	"github.com/apricothub/apricothub/internal/sse"
	"github.com/apricothub/apricothub/internal/upstream"
	"github.com/apricothub/apricothub/platform"
)

const (
	// maxHeld is how much of an answer is held back until it is whole, bytes. Up to this
	// size an answer that breaks off can be asked for again, unseen by the caller.
	maxHeld = 1 << 20
	// maxRefusal is how much of a refusal's body is read, bytes; refusals are a sentence.
	maxRefusal = 64 << 10
	// copyBuffer is the buffer for the rest of longer answers, bytes.
	copyBuffer = 32 << 10
)

// try is one attempt at one backend server.
type try struct {
	g      *Gateway
	t      *task
	server placement
	conn   *upstream.Conn
	resp   *http.Response
	answer platform.Answer
	// guard watches over the attempt; nil for none.
	guard *guard
	// whole says that the answer was read to its end.
	whole bool
	fate  fate
	// err is why the attempt came to nothing, for the log.
	err error
}

// ending is how an attempt ended.
type ending struct {
	verdict verdict
	// next is where the request goes that was moved.
	next placement
	// err is why the attempt came to nothing, for the log.
	err error
}

// attempt takes a request to one backend server, and delivers the answer when it is one
// that the caller should get.
func (g *Gateway) attempt(ctx context.Context, t *task, s placement) ending {
	began := clock.Now()
	a := &try{g: g, t: t, server: s, fate: fateUnknown}
	var guarded context.Context
	guarded, a.guard = g.guardAttempt(ctx, t, s)
	v := a.run(guarded)
	next, reason := a.guard.end()
	if a.conn != nil {
		t.history.sent++
		a.conn.Release(a.resp, a.whole, a.answer.KeepAlive, clock.Now())
	} else {
		t.history.unsent++
	}
	switch {
	case v == delivered:
	case ctx.Err() != nil:
		v = over
		// What ended with the caller says nothing about the server.
		a.fate = fateUnknown
	case next != nil:
		v = moved
		a.fate, a.err = movedFor(reason)
		t.history.hung = true
	}
	g.fleet.done(s.ID, a.fate, clock.Now()-began, clock.Now())
	if next == nil {
		return ending{verdict: v, err: a.err}
	}
	if v != moved {
		g.fleet.done(next.ID, fateUnknown, 0, clock.Now())
	}
	return ending{verdict: v, next: *next, err: a.err}
}

var (
	errSilentVM = errors.New("the VM of the backend server is silent")
	errStuck    = errors.New("nothing has come of the request for too long")
)

// movedFor is what a request that was moved says about the server, and the error to log.
func movedFor(reason silence.Reason) (fate, error) {
	if reason == silence.SilentVM {
		// The VM is watched, and says more.
		return fateUnknown, errSilentVM
	}
	return fateFailed, errStuck
}

func (a *try) run(ctx context.Context) verdict {
	limit := a.g.fleet.connections(a.server.ID)
	// A request that must not repeat goes over a new connection. A kept one may have gone
	// silent, or be closed just now: whether the request was read could not be told, and it
	// is lost though it never ran. The same for one that hung before: it has no attempts to lose.
	fresh := a.t.route.Kind == routing.AtMostOnce || a.t.history.hung
	conn, err := a.g.pool.Get(ctx, a.server.ID, a.server.Address, limit, fresh)
	if err != nil {
		if errors.Is(err, upstream.ErrConnectionLimit) {
			a.fate = fateRefused
		} else {
			a.fate = fateUnreachable
		}
		a.err = err
		return unsent
	}
	a.conn = conn
	a.resp, err = conn.RoundTrip(ctx, a.request(), a.matches)
	if err != nil {
		return a.broke(err)
	}
	defer func() { _ = a.resp.Body.Close() }()
	a.guard.heard()
	a.resp.Body = heardBody{a.resp.Body, a.guard}
	a.answer = platform.ReadAnswer(a.resp.StatusCode, a.resp.Header)
	if a.answer.NotRun {
		return a.refused()
	}
	if a.t.route.Kind == routing.Stream && a.resp.StatusCode == http.StatusOK && isEvents(a.resp.Header) {
		return a.stream()
	}
	return a.hold()
}

// isEvents says that an answer is a series of events; one that does not say what it is counts
// as such on a route for streams.
func isEvents(h http.Header) bool {
	kind, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return kind == "" || strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// broke ends an attempt that may have run and brought no whole answer.
func (a *try) broke(err error) verdict {
	a.fate = fateFailed
	a.err = err
	return broken
}

// request makes the request as the backend server gets it.
func (a *try) request() *http.Request {
	t := a.t
	resume := t.ResumeAfter
	if t.out.lastID != "" {
		resume = t.out.lastID
	}
	req := &http.Request{
		Method: t.method,
		// The path goes out as it came in, whatever its escapes.
		URL:  &url.URL{Opaque: t.uri},
		Host: t.host,
		Header: platform.OutgoingHeader(t.header, platform.Send{
			Server: a.server.ID, Team: t.team, Left: left(t.until, clock.Now()),
			Priority: t.priority, ResumeAfter: resume,
		}),
		ContentLength: int64(len(t.body)),
	}
	if _, sent := req.Header["User-Agent"]; !sent {
		// Or the library adds its own.
		req.Header.Set("User-Agent", "")
	}
	if len(t.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(t.body))
	}
	return req
}

// matches says whether an answer belongs to this request.
//
// Load: a faulty backend server that answers a request twice. Harm prevented: the second
// answer is taken for that of the next request on the connection, and a caller gets what
// another one asked for.
func (a *try) matches(resp *http.Response) bool {
	id := platform.ReadAnswer(resp.StatusCode, resp.Header).ID
	return id == a.t.ID || id == ""
}

// refused ends an attempt that the backend server did not take.
//
// A body that is longer than what is read of it leaves its end on the connection, which is
// then not used again: the end would be read as the answer to the next request there.
func (a *try) refused() verdict {
	a.fate = fateRefused
	n, err := io.Copy(io.Discard, io.LimitReader(a.resp.Body, maxRefusal+1))
	a.whole = err == nil && n <= maxRefusal
	return notRun
}

// hold reads an answer whole before the caller gets any of it.
func (a *try) hold() verdict {
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, maxHeld+1))
	if err != nil {
		return a.broke(err)
	}
	if len(body) > maxHeld {
		return a.passOn(body)
	}
	a.whole = true
	a.fate = fateServed
	held := &heldAnswer{status: a.resp.StatusCode, header: platform.IncomingHeader(a.resp.Header), body: body, server: a.server}
	if a.resp.StatusCode >= http.StatusInternalServerError {
		a.fate = fateFailed
		if a.t.route.Repeatable() && !a.t.out.begun {
			a.t.out.fallback = held
			return ranBadly
		}
	}
	if a.t.out.begun {
		// Another backend server has begun the answer; this one cannot be joined to it.
		return broken
	}
	if err := a.t.out.deliver(held); err != nil {
		return over
	}
	return delivered
}

// passOn delivers an answer that is too long to be held.
func (a *try) passOn(first []byte) verdict {
	out := a.t.out
	if out.begun {
		return broken
	}
	out.begin(a.resp.StatusCode, platform.IncomingHeader(a.resp.Header))
	if a.resp.ContentLength >= 0 {
		out.w.Header().Set("Content-Length", strconv.FormatInt(a.resp.ContentLength, 10))
	}
	if _, err := out.w.Write(first); err != nil {
		return over
	}
	if _, err := io.CopyBuffer(out.w, a.resp.Body, make([]byte, copyBuffer)); err != nil {
		return a.broke(err)
	}
	a.whole = true
	a.fate = fateServed
	return delivered
}

// stream delivers the events of a stream as they come. Only whole events are passed on, so
// that another backend server can go on behind the last one.
func (a *try) stream() verdict {
	out := a.t.out
	events := sse.NewReader(a.resp.Body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			a.whole = true
			a.fate = fateServed
			if !out.begun {
				out.begin(a.resp.StatusCode, platform.IncomingHeader(a.resp.Header))
			}
			return delivered
		}
		if err != nil {
			return a.broke(err)
		}
		if !follows(event.ID, out.lastID) {
			return a.broke(errors.Errorf("event %q does not follow event %q", event.ID, out.lastID))
		}
		if !out.begun {
			out.begin(a.resp.StatusCode, platform.IncomingHeader(a.resp.Header))
		}
		if err := out.event(event); err != nil {
			return over
		}
	}
}

// follows says whether an event comes next behind the last one. Events without a number are
// taken as they come.
func follows(id, last string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return id == ""
	}
	before, err := strconv.ParseInt(last, 10, 64)
	return err != nil || n > before
}

// elapsed is the time since a request arrived.
func (t *task) elapsed() time.Duration { return clock.Now() - t.arrived }
