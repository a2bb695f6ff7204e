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

	"github.com/apricothub/apricothub/decide/retry"
	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/response"
	"github.com/apricothub/apricothub/internal/routing"
	"github.com/apricothub/apricothub/internal/sse"
	"github.com/apricothub/apricothub/internal/upstream"
	"github.com/apricothub/apricothub/platform"
)

const (
	// maxBufferedBytes limits how much of an answer is buffered until it is whole. An answer up to
	// this size that breaks off can be requested again without the caller noticing.
	maxBufferedBytes = 1 << 20
	// maxRefusalBytes limits how much of a refusal's body is read; refusals are a sentence long.
	maxRefusalBytes = 64 << 10
	// copyBufferBytes is the size of the buffer that copies the rest of longer answers.
	copyBufferBytes = 32 << 10
)

// attempt is one attempt at one backend server.
type attempt struct {
	g      *Gateway
	t      *task
	server placement
	// startedAt is when the attempt started.
	startedAt time.Duration
	conn      *upstream.Conn
	resp      *http.Response
	answer    platform.Answer
	// watchdog watches the attempt; nil for none.
	watchdog *watchdog
	// isWhole means that the answer was read to its end.
	isWhole bool
	// events counts the events of this attempt.
	events        int
	serverOutcome serverOutcome
	// err is why the attempt failed, for the log.
	err error
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	outcome attemptOutcome
	// next is the server that a moved request goes to, token the token of the retry budget for that.
	next  placement
	token retry.Token
	// asksForRest means that the server has refused the request and asks for rest.
	asksForRest bool
	// err is why the attempt failed, for the log.
	err error
}

// attempt sends a request to one backend server, and delivers the answer if the caller should get
// it.
func (g *Gateway) attempt(ctx context.Context, t *task, s placement) (result attemptResult) {
	a := &attempt{g: g, t: t, server: s, startedAt: clock.Now(), serverOutcome: outcomeUnknown}
	outcome := panicked
	// A panic must not leave the request in flight for good: its server would count as busy at all entries.
	defer func() { result = a.end(ctx, outcome) }()
	var watchedCtx context.Context
	watchedCtx, a.watchdog = g.startWatchdog(ctx, t, s)
	outcome = a.run(watchedCtx)
	return result
}

// end ends an attempt, whatever its outcome: it releases the connection and the slot at the server.
func (a *attempt) end(ctx context.Context, outcome attemptOutcome) attemptResult {
	next := a.watchdog.stop()
	a.releaseConn()
	switch {
	case outcome == delivered || outcome == panicked:
	case ctx.Err() != nil:
		outcome = abandoned
		// An attempt that ended with its caller says nothing about the server.
		a.serverOutcome = outcomeUnknown
	case next != nil:
		outcome = moved
		a.serverOutcome, a.err = next.outcome, next.cause
		a.t.history.hung = true
		if errors.Is(next.cause, errSlowServer) {
			a.g.metrics.movedFromSlow.Inc(1)
		}
	}
	now := clock.Now()
	a.g.fleet.endAttempt(a.server.ID, a.serverOutcome, now-a.startedAt, now)
	a.recordEvidence(outcome)
	if outcome == moved {
		return attemptResult{outcome: moved, next: next.to, token: next.token, err: a.err}
	}
	if next != nil {
		a.g.fleet.endAttempt(next.to.ID, outcomeUnknown, 0, clock.Now())
		a.g.fleet.retries.giveBack(a.t.service, next.token)
	}
	return attemptResult{outcome: outcome, err: a.err, asksForRest: a.answer.Rest > 0}
}

// releaseConn returns the connection of an attempt to the pool, which closes it unless it can be used again.
func (a *attempt) releaseConn() {
	if a.conn == nil {
		a.t.history.unsent++
		return
	}
	a.t.history.sent++
	a.conn.Release(a.resp, a.isWhole, a.answer.KeepAlive, clock.Now())
}

// recordEvidence records what the end of an attempt says of the request: whether it may end servers.
func (a *attempt) recordEvidence(outcome attemptOutcome) {
	switch {
	case outcome == broken && a.events >= soundEvents:
		go a.g.checkBegun(a.t, a.server.Server)
	case outcome == broken:
		a.g.checkEnd(a.t, a.server.Server)
	case a.isWhole && a.serverOutcome == outcomeServed:
		a.g.prompts.recordSound(a.t, true, clock.Now())
	}
}

func (a *attempt) run(ctx context.Context) attemptOutcome {
	limit := a.g.fleet.maxConnections(a.server.ID)
	// A request that must not run twice goes over a new connection. A kept connection may have gone
	// silent or be closing: then it would be unknown whether the request was read, and the request
	// would be lost although it never ran. The same goes for a request that hung before: it cannot
	// afford to lose another attempt. Without an ID, nothing tells late answers to earlier requests from its own.
	newConn := !a.t.route.Repeatable() || a.t.history.hung || a.t.ID == ""
	conn, err := a.g.pool.Get(ctx, a.server.ID, a.server.Address, limit, newConn)
	if err != nil {
		if errors.Is(err, upstream.ErrConnectionLimit) {
			a.serverOutcome = outcomeRefused
		} else {
			a.serverOutcome = outcomeUnreachable
		}
		a.err = err
		return unsent
	}
	sentAt := clock.Now()
	if t := a.t.retryToken; t != nil && sentAt > t.SendBy {
		conn.Release(nil, false, 0, sentAt)
		a.err = errTokenExpired
		return unsent
	}
	a.conn = conn
	a.resp, err = conn.RoundTrip(ctx, a.outgoingRequest(), a.matches)
	if err != nil {
		return a.breakOff(err)
	}
	defer func() { _ = a.resp.Body.Close() }()
	a.watchdog.noteProgress()
	a.resp.Body = progressBody{a.resp.Body, a.watchdog}
	a.answer = platform.ReadAnswer(a.resp.StatusCode, a.resp.Header)
	if !a.answer.WrongServer {
		a.g.fleet.recordStatements(a.server.Server, a.answer, sentAt, clock.Now())
	}
	if a.answer.NotRun {
		return a.discardRefusal()
	}
	if a.resp.StatusCode < http.StatusMultipleChoices && !a.answer.Signed {
		return a.breakOff(errUnsigned)
	}
	if a.answer.Encoded && !platform.AsksForEncoding(a.t.header) {
		return a.breakOff(errUnaskedEncoding)
	}
	a.g.fleet.recordBegun(a.t.service, clock.Now()-sentAt)
	if a.t.route.Kind == routing.Stream && a.resp.StatusCode == http.StatusOK && isEventStream(a.resp.Header) {
		return a.passOnEvents(ctx)
	}
	return a.bufferAnswer(ctx)
}

// isEventStream reports whether an answer is a stream of events. On a route for streams, an answer
// without a content type counts as one.
func isEventStream(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return mediaType == "" || strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// breakOff ends an attempt that may have run and brought no whole answer.
func (a *attempt) breakOff(err error) attemptOutcome {
	a.serverOutcome = outcomeFailed
	a.err = err
	return broken
}

// outgoingRequest returns the request as the backend server gets it.
func (a *attempt) outgoingRequest() *http.Request {
	t := a.t
	resumeAfter := t.ResumeAfter
	if t.out.lastID != "" {
		resumeAfter = t.out.lastID
	}
	req := &http.Request{
		Method: t.method,
		// Opaque keeps the path as it was received, including its escapes.
		URL:  &url.URL{Opaque: t.uri},
		Host: t.host,
		Header: platform.OutgoingHeader(t.header, platform.BackendRequest{
			Server: a.server.ID, Team: t.team, TimeLeft: timeLeft(t.deadline, clock.Now()),
			Urgency: t.rank, ResumeAfter: resumeAfter,
		}),
		ContentLength: int64(len(t.body)),
	}
	if _, isSet := req.Header["User-Agent"]; !isSet {
		// Without this the library adds its own User-Agent.
		req.Header.Set("User-Agent", "")
	}
	if len(t.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(t.body))
	}
	return req
}

// matches reports whether an answer belongs to this request.
//
// A faulty backend server may answer a request twice, the second time where the next answer on the connection is
// expected. Without this check a caller would get another caller's answer, or a request would be sent to a
// second server as not run while the first runs it. Servers echo the ID in all answers to requests that they have
// read. Only the first answer on a connection needs none, as one that refuses the connection.
func (a *attempt) matches(resp *http.Response) bool {
	id := platform.ReadAnswer(resp.StatusCode, resp.Header).ID
	return id == a.t.ID || id == "" && !a.conn.IsReused()
}

// discardRefusal ends an attempt that the backend server refused.
//
// If the body is longer than what is read here, the connection is not used again: the rest would be
// read as the answer to the next request.
func (a *attempt) discardRefusal() attemptOutcome {
	a.serverOutcome = outcomeRefused
	if a.answer.WrongServer {
		a.serverOutcome = outcomeReplaced
	}
	a.isWhole = bounded.Discard(a.resp.Body, maxRefusalBytes, "a refusal") == nil
	return notRun
}

// bufferAnswer reads an answer whole before the caller gets any of it.
func (a *attempt) bufferAnswer(ctx context.Context) attemptOutcome {
	if a.resp.ContentLength > upstream.MaxResponseBytes {
		return a.breakOff(&bounded.TooLargeError{What: upstream.AnswerBody, Limit: upstream.MaxResponseBytes})
	}
	body, isWhole, err := a.g.buffers.Read(a.resp.Body, maxBufferedBytes)
	a.t.buffered = append(a.t.buffered, body)
	switch {
	case err != nil:
		return a.breakOff(err)
	case !isWhole && a.resp.StatusCode >= http.StatusInternalServerError:
		return a.breakOff(errLongError)
	case !isWhole:
		return a.passOnLong(ctx, body)
	}
	if a.isCutByEnd(ctx) {
		return a.breakOff(errCutByEnd)
	}
	a.isWhole = true
	a.serverOutcome = outcomeServed
	answer := &bufferedAnswer{status: a.resp.StatusCode, header: platform.IncomingHeader(a.resp.Header), body: body, server: a.server}
	if a.resp.StatusCode >= http.StatusInternalServerError {
		a.serverOutcome = outcomeFailed
		if a.t.route.Repeatable() && !a.t.out.begun {
			a.t.out.fallback = answer
			return serverError
		}
	}
	if a.t.out.begun {
		// Another backend server has begun the answer; this one cannot be appended to it.
		return broken
	}
	a.watchdog.beginDelivery()
	if err := a.t.out.deliver(answer); err != nil {
		return abandoned
	}
	return delivered
}

// passOnLong delivers an answer that is too long to be buffered.
func (a *attempt) passOnLong(ctx context.Context, head []byte) attemptOutcome {
	out := a.t.out
	if out.begun {
		return broken
	}
	out.begin(a.resp.StatusCode, platform.IncomingHeader(a.resp.Header))
	if a.resp.ContentLength >= 0 {
		out.w.Header().Set("Content-Length", strconv.FormatInt(a.resp.ContentLength, 10))
	}
	caller := deliveryWriter{out.w, a.watchdog}
	if _, err := caller.Write(head); err != nil {
		return abandoned
	}
	if _, err := io.CopyBuffer(caller, a.resp.Body, make([]byte, copyBufferBytes)); err != nil {
		return a.breakOff(err)
	}
	if a.isCutByEnd(ctx) {
		return a.breakOff(errCutByEnd)
	}
	a.isWhole = true
	a.serverOutcome = outcomeServed
	return delivered
}

// passOnEvents delivers the events of a stream as they arrive. Only whole events are passed on, so
// that another backend server can resume after the last one.
func (a *attempt) passOnEvents(ctx context.Context) attemptOutcome {
	out := a.t.out
	events := sse.NewReader(a.resp.Body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && (a.isEmpty() || a.isCutByEnd(ctx)) {
			return a.breakOff(errCutByEnd)
		}
		if errors.Is(err, io.EOF) {
			a.isWhole = true
			a.serverOutcome = outcomeServed
			if !out.begun {
				out.begin(a.resp.StatusCode, platform.IncomingHeader(a.resp.Header))
			}
			return delivered
		}
		if err != nil {
			return a.breakOff(err)
		}
		if !isNextEvent(event.ID, out.lastID) {
			return a.breakOff(errors.Errorf("event %q does not follow event %q", event.ID, out.lastID))
		}
		if !out.begun {
			out.begin(a.resp.StatusCode, platform.IncomingHeader(a.resp.Header))
		}
		a.watchdog.beginDelivery()
		if err := out.writeEvent(event); err != nil {
			return abandoned
		}
		a.watchdog.endDelivery(1)
		if a.events++; a.events == soundEvents {
			a.g.prompts.recordSound(a.t, false, clock.Now())
		}
	}
}

// errTokenExpired is the error of a retry that could not be sent before its token expired, as when the
// process was paused.
var errTokenExpired = errors.New("the token of the retry budget has expired")

// errUnsigned is the error of a success without the signature of a backend server: a proxy on the way or a faulty
// server may send one.
var errUnsigned = errors.New("the success has no signature of a backend server")

// errUnaskedEncoding is the error of an encoded body for a caller that has asked for none.
var errUnaskedEncoding = errors.New("the body is encoded, and the caller has asked for no encoding")

// errLongError is the error of an error answer that is too long to be kept while other servers are tried.
var errLongError = errors.New("the error of the backend server is too long")

// errCutByEnd is the error of an answer that ended with its connection, but not as a whole.
var errCutByEnd = errors.New("the connection ended before the answer was whole")

// isEmpty reports whether a stream that ends with its connection has brought nothing of the answer.
func (a *attempt) isEmpty() bool {
	return response.EndsWithConnection(a.resp) && a.events == 0 && !a.t.out.begun
}

// isCutByEnd reports whether an answer that ends with its connection may have ended because its server did. A server
// that leaves, or is registered no more, may be alive.
func (a *attempt) isCutByEnd(ctx context.Context) bool {
	return response.EndsWithConnection(a.resp) && !upstream.IsAlive(ctx, a.server.Address, connectTimeout)
}

// isNextEvent reports whether an event comes after the last one. Events without an ID are
// accepted in any order.
func isNextEvent(id, last string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return id == ""
	}
	previous, err := strconv.ParseInt(last, 10, 64)
	return err != nil || n > previous
}

// elapsed returns the time since a request arrived.
func (t *task) elapsed() time.Duration { return clock.Now() - t.arrivedAt }
