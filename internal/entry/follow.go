package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/answer"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/httpguard"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/member"
	"github.com/apricothub/apricothub/internal/response"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/shutdown"
)

// errLinkBroken is returned when a stream ends before the answer does.
var errLinkBroken = errors.New("the link broke before the end of the answer")

// doneTimeout limits the time to tell the agent that the answer is delivered.
const doneTimeout = time.Second

// errNoHead reports an answer that starts without its status.
var errNoHead = result.New(api.ResultCode_ANSWER_BROKEN, "The answer came without its status.")

// answerRelay passes one answer to the caller, over as many links as it takes.
type answerRelay struct {
	entry     *entry
	attempt   *attempt
	out       *output
	assembler *answer.Assembler
	answerID  string
}

// relayAnswer has the agent run the work and relays its answer to the end. When the link breaks, it
// continues over the next one: with the next part if the work was accepted, otherwise with the same
// ticket, because the agent knows whether that has started. Work that was not accepted and has no
// ticket cannot be continued.
func (e *entry) relayAnswer(ctx context.Context, a *attempt, out *output) *result.Error {
	out.reset()
	relay := &answerRelay{entry: e, attempt: a, out: out, assembler: answer.NewAssembler(1)}
	return relay.run(ctx, a.peer)
}

// run relays the answer over one link after another.
func (r *answerRelay) run(ctx context.Context, peer *member.Peer) *result.Error {
	for {
		err := r.relayOverLink(ctx, peer.Session)
		if !errors.Is(err, errLinkBroken) {
			return asResult(err)
		}
		if ctx.Err() != nil {
			return r.interruptedError(ctx)
		}
		if r.answerID == "" && r.attempt.work.GetTicket() == nil {
			return result.New(api.ResultCode_BACKEND_FAILED, "The link to the backend server broke.")
		}
		next, ok := r.entry.awaitAgent(ctx, r.attempt.vm, peer.Hello.GetIncarnation(), peer.Session)
		if !ok {
			return r.lostError()
		}
		r.entry.counts.reattached.Inc(1)
		r.entry.logReattached(r.attempt)
		peer = next
	}
}

func asResult(err error) *result.Error {
	if err == nil {
		return nil
	}
	return result.FromError(err)
}

// lostError is the error for an answer whose agent is gone.
func (r *answerRelay) lostError() *result.Error {
	if r.attempt.work.GetTicket() != nil {
		return result.New(api.ResultCode_OUTCOME_UNKNOWN)
	}
	return result.New(api.ResultCode_ANSWER_BROKEN, "The backend server went away before the answer was whole.")
}

// interruptedError says why a request in flight ended early.
func (r *answerRelay) interruptedError(ctx context.Context) *result.Error {
	switch {
	case errors.Is(context.Cause(ctx), shutdown.ErrOver):
		return result.New(api.ResultCode_ANSWER_BROKEN, "The entry has stopped before the answer was whole.")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.New(api.ResultCode_DEADLINE_EXCEEDED)
	}
	return result.New(api.ResultCode_ANSWER_BROKEN, "The caller has gone.")
}

// openMessage is the first message on a stream.
func (r *answerRelay) openMessage() *api.Open {
	if r.answerID == "" {
		work := r.attempt.work
		work.DeadlineMs = max(1, (r.attempt.req.deadline - clock.Now()).Milliseconds())
		return &api.Open{Body: &api.Open_Work{Work: work}}
	}
	attach := &api.Attach{
		AnswerId: r.answerID,
		From:     r.assembler.NextPart(),
		Customer: r.attempt.req.caller.name,
	}
	return &api.Open{Body: &api.Open_Attach{Attach: attach}}
}

// relayOverLink relays the answer until it ends or the link breaks.
func (r *answerRelay) relayOverLink(ctx context.Context, s *link.Session) error {
	stream, err := s.Open(r.openMessage())
	if err != nil {
		return errLinkBroken
	}
	stop := context.AfterFunc(ctx, func() { r.interrupt(ctx, stream) })
	defer stop()
	ended := false
	defer func() {
		if !ended {
			_ = stream.Close()
		}
	}()
	// Receive resets the event first; data that was kept from it stays valid.
	event := &api.WorkEvent{}
	for {
		if err := stream.Receive(event); err != nil {
			if ctx.Err() != nil {
				return r.interruptedError(ctx)
			}
			return errLinkBroken
		}
		if event.GetEnd() != nil {
			// A caller may hang up as soon as it reads the end of the stream, before the agent is
			// told that the answer is delivered. The agent would then keep the answer for the
			// caller to come back, and its graceful shutdown would wait for that. From here on only
			// the write deadline ends the request.
			stop()
		}
		whole, err := r.handleEvent(event)
		if err != nil {
			return err
		}
		if whole {
			ended = true
			return r.finishStream(ctx, stream)
		}
		if stream.HasBuffered() {
			continue
		}
		if err := r.out.flush(); err != nil {
			return err
		}
	}
}

// finishStream ends the stream of a complete answer and tells the agent that it is delivered, after
// it is written to the caller. The caller comes first so that a slow link does not delay it.
func (r *answerRelay) finishStream(ctx context.Context, stream *link.Stream) error {
	r.entry.pendingDone.Add(1)
	notifyAgent := func(delivered bool) {
		defer r.entry.pendingDone.Done()
		defer func() { _ = stream.Close() }()
		if delivered {
			_ = stream.SetDeadline(time.Now().Add(doneTimeout))
			_ = stream.Send(&api.WorkSignal{Done: true})
		}
	}
	if httpguard.AfterAnswer(ctx, notifyAgent) {
		return nil
	}
	err := r.out.flush()
	notifyAgent(err == nil)
	return err
}

// interrupt ends the stream of a caller that is gone or of a request past its deadline. The work is
// canceled only if the caller cannot come back for the answer: with part of a stream it may resume
// with Last-Event-ID, and the agent keeps the answer for a while. A caller of an entry that stops may
// come back with its ticket or key.
func (r *answerRelay) interrupt(ctx context.Context, stream *link.Stream) {
	isStopped := errors.Is(context.Cause(ctx), shutdown.ErrOver)
	if errors.Is(ctx.Err(), context.Canceled) && !isStopped && !r.out.hasBegun() {
		_ = stream.SetDeadline(time.Now().Add(time.Second))
		_ = stream.Send(&api.WorkSignal{Cancel: true})
	}
	_ = stream.Close()
}

// handleEvent handles one event and returns true at the end of a complete answer.
func (r *answerRelay) handleEvent(event *api.WorkEvent) (bool, error) {
	switch body := event.GetBody().(type) {
	case *api.WorkEvent_Accepted:
		r.answerID = body.Accepted.GetAnswerId()
	case *api.WorkEvent_Head:
		if err := response.CheckStatus(int(body.Head.GetStatus())); err != nil {
			return false, result.Newf(api.ResultCode_ANSWER_BROKEN, "The backend server answered with the status %d.", body.Head.GetStatus())
		}
		r.out.setHead(body.Head)
	case *api.WorkEvent_Part:
		if !r.out.hasHead() {
			return false, errNoHead
		}
		isNew, err := r.assembler.AddPart(body.Part)
		if err != nil {
			return false, result.New(api.ResultCode_ANSWER_BROKEN, err.Error()+".")
		}
		if isNew {
			return false, r.out.writePart(r.answerID, body.Part)
		}
	case *api.WorkEvent_End:
		if !r.out.hasHead() {
			return false, errNoHead
		}
		if err := r.assembler.CheckEnd(body.End); err != nil {
			return false, result.New(api.ResultCode_ANSWER_BROKEN, err.Error()+".")
		}
		return true, r.out.writeEnd(body.End)
	case *api.WorkEvent_Refusal:
		return false, result.FromRefusal(body.Refusal)
	}
	return false, nil
}

// resume continues an answer that the caller has received in part, through this or any other entry.
func (e *entry) resume(w http.ResponseWriter, r *http.Request, req *request, id string) error {
	vm, incarnation, answerID, part, ok := parseEventID(id)
	lastPart, err := strconv.ParseUint(part, 10, 63)
	if !ok || err != nil {
		return result.New(api.ResultCode_BAD_REQUEST, "Last-Event-ID is not an id that this system gave.")
	}
	ctx, cancel := context.WithTimeout(r.Context(), req.deadline-clock.Now())
	defer cancel()
	defer e.retainLink(vm)()
	peer, ok := e.awaitAgent(ctx, vm, incarnation, nil)
	if !ok {
		return result.New(api.ResultCode_ANSWER_UNKNOWN)
	}
	out := newOutput(w, req.deadline-clock.Now())
	relay := &answerRelay{
		entry:     e,
		attempt:   &attempt{req: req, peer: peer, vm: vm, work: req.work},
		out:       out,
		assembler: answer.NewAssembler(lastPart + 1),
		answerID:  answerID,
	}
	return out.finish(asError(relay.run(ctx, peer)))
}
