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
	"github.com/apricothub/apricothub/internal/result"
)

// errLink says that a stream broke before its end.
var errLink = errors.New("the link broke")

// maxStatus is the largest status of an answer. net/http panics at those that HTTP does
// not have, and the request would stay counted as in flight for ever.
const maxStatus = 599

// doneGrace bounds how long a request goes on to tell its agent that the answer is
// delivered.
const doneGrace = time.Second

// errNoHead says that an answer began without its status.
var errNoHead = result.New(api.ResultCode_ANSWER_BROKEN, "The answer came without its status.")

// following is an answer on its way over one link after another.
type following struct {
	entry     *entry
	attempt   *attempt
	out       *output
	assembler *answer.Assembler
	answerID  string
}

// follow has the attempt's agent run the work and takes its answer to the end. When
// the link breaks, it goes on over the next one: at the next part once the work was
// accepted; with the same ticket before that, since the agent knows whether it has
// begun. Work without a ticket that was not accepted has nothing to go back to.
func (e *entry) follow(ctx context.Context, a *attempt, out *output) *result.Error {
	out.restart()
	f := &following{entry: e, attempt: a, out: out, assembler: answer.NewAssembler(1)}
	return f.run(ctx, a.peer)
}

// run takes the answer over one link after another, to its end.
func (f *following) run(ctx context.Context, peer *member.Peer) *result.Error {
	for {
		err := f.over(ctx, peer.Session)
		if !errors.Is(err, errLink) {
			return resultOf(err)
		}
		if ctx.Err() != nil {
			return f.interrupted(ctx)
		}
		if f.answerID == "" && f.attempt.work.GetTicket() == nil {
			return result.New(api.ResultCode_BACKEND_FAILED, "The link to the backend server broke.")
		}
		next, ok := f.entry.awaitAgent(ctx, f.attempt.vm, peer.Hello.GetIncarnation(), peer.Session)
		if !ok {
			return f.lost()
		}
		f.entry.counts.reattached.Inc(1)
		f.entry.logReattached(f.attempt)
		peer = next
	}
}

func resultOf(err error) *result.Error {
	if err == nil {
		return nil
	}
	return result.FromError(err)
}

// lost says what an answer is worth whose agent is gone.
func (f *following) lost() *result.Error {
	if f.attempt.work.GetTicket() != nil {
		return result.New(api.ResultCode_OUTCOME_UNKNOWN)
	}
	return result.New(api.ResultCode_ANSWER_BROKEN, "The backend server went away before the answer was whole.")
}

// interrupted says why a request ended early that was under way.
func (f *following) interrupted(ctx context.Context) *result.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(api.ResultCode_DEADLINE_EXCEEDED)
	}
	return result.New(api.ResultCode_ANSWER_BROKEN, "The caller has gone.")
}

// opening is the first message over a link.
func (f *following) opening() *api.Open {
	if f.answerID == "" {
		work := f.attempt.work
		work.DeadlineMs = max(1, (f.attempt.req.deadline - clock.Now()).Milliseconds())
		return &api.Open{Body: &api.Open_Work{Work: work}}
	}
	attach := &api.Attach{
		AnswerId: f.answerID,
		From:     f.assembler.NextPart(),
		Customer: f.attempt.req.caller.name,
	}
	return &api.Open{Body: &api.Open_Attach{Attach: attach}}
}

// over takes the answer as far as one link carries it.
func (f *following) over(ctx context.Context, s *link.Session) error {
	stream, err := s.Open(f.opening())
	if err != nil {
		return errLink
	}
	stop := context.AfterFunc(ctx, func() { f.interrupt(ctx, stream) })
	defer stop()
	ended := false
	defer func() {
		if !ended {
			_ = stream.Close()
		}
	}()
	// Receiving empties it first; what it carried stays with whoever kept it.
	event := &api.WorkEvent{}
	for {
		if err := stream.Receive(event); err != nil {
			if ctx.Err() != nil {
				return f.interrupted(ctx)
			}
			return errLink
		}
		if event.GetEnd() != nil {
			// A caller may hang up the moment it reads the mark of the end, before the
			// agent has been told that it has the answer whole. The agent would keep the
			// answer for somebody to come back, and a planned stop would wait for it. From
			// here on only the write's own deadline ends what follows.
			stop()
		}
		whole, err := f.take(event)
		if err != nil {
			return err
		}
		if whole {
			ended = true
			return f.end(ctx, stream)
		}
		if stream.Waiting() {
			continue
		}
		if err := f.out.flush(); err != nil {
			return err
		}
	}
}

// end ends the stream of a whole answer, and tells the agent that the caller has it, once
// it is written. The agent is told after the caller, whom a slow link must not hold up.
func (f *following) end(ctx context.Context, stream *link.Stream) error {
	f.entry.telling.Add(1)
	tell := func(sent bool) {
		defer f.entry.telling.Done()
		defer func() { _ = stream.Close() }()
		if sent {
			_ = stream.SetDeadline(time.Now().Add(doneGrace))
			_ = stream.Send(&api.WorkSignal{Done: true})
		}
	}
	if httpguard.AfterAnswer(ctx, tell) {
		return nil
	}
	err := f.out.flush()
	tell(err == nil)
	return err
}

// interrupt ends a stream whose caller has gone or whose time is over. The work is
// cancelled only if the caller cannot come back for the answer: one that had a part of
// a stream may go on with Last-Event-ID, and the agent waits a while for that.
func (f *following) interrupt(ctx context.Context, stream *link.Stream) {
	if errors.Is(ctx.Err(), context.Canceled) && !f.out.begun() {
		_ = stream.SetDeadline(time.Now().Add(time.Second))
		_ = stream.Send(&api.WorkSignal{Cancel: true})
	}
	_ = stream.Close()
}

// take takes one event, and says whether it was the end of a whole answer.
func (f *following) take(event *api.WorkEvent) (bool, error) {
	switch body := event.GetBody().(type) {
	case *api.WorkEvent_Accepted:
		f.answerID = body.Accepted.GetAnswerId()
	case *api.WorkEvent_Head:
		if status := body.Head.GetStatus(); status < http.StatusOK || status > maxStatus {
			return false, result.Newf(api.ResultCode_ANSWER_BROKEN, "The backend server answered with the status %d.", status)
		}
		f.out.head(body.Head)
	case *api.WorkEvent_Part:
		if !f.out.headed() {
			return false, errNoHead
		}
		fresh, err := f.assembler.AddPart(body.Part)
		if err != nil {
			return false, result.New(api.ResultCode_ANSWER_BROKEN, err.Error()+".")
		}
		if fresh {
			return false, f.out.part(f.answerID, body.Part)
		}
	case *api.WorkEvent_End:
		if !f.out.headed() {
			return false, errNoHead
		}
		if err := f.assembler.CheckEnd(body.End); err != nil {
			return false, result.New(api.ResultCode_ANSWER_BROKEN, err.Error()+".")
		}
		return true, f.out.end(body.End)
	case *api.WorkEvent_Refusal:
		return false, result.FromRefusal(body.Refusal)
	}
	return false, nil
}

// resume goes on with an answer that the caller has had in part, from any entry.
func (e *entry) resume(w http.ResponseWriter, r *http.Request, req *request, id string) error {
	vm, incarnation, answerID, part, ok := splitEventID(id)
	had, err := strconv.ParseUint(part, 10, 63)
	if !ok || err != nil {
		return result.New(api.ResultCode_BAD_REQUEST, "Last-Event-ID is not an id that this system gave.")
	}
	ctx, cancel := context.WithTimeout(r.Context(), req.deadline-clock.Now())
	defer cancel()
	defer e.hold(vm)()
	peer, ok := e.awaitAgent(ctx, vm, incarnation, nil)
	if !ok {
		return result.New(api.ResultCode_ANSWER_UNKNOWN)
	}
	out := newOutput(w, req.deadline-clock.Now())
	f := &following{
		entry:     e,
		attempt:   &attempt{req: req, peer: peer, vm: vm, work: req.work},
		out:       out,
		assembler: answer.NewAssembler(had + 1),
		answerID:  answerID,
	}
	return out.finish(plain(f.run(ctx, peer)))
}
