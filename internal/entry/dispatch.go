package entry

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/place"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/journal"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/member"
	"github.com/apricothub/apricothub/internal/result"
)

const (
	// reattachWait is how long the link to an agent that holds an answer is waited
	// for: the time in which a silent link is closed and dialled anew, and some.
	reattachWait = 4 * time.Second
	// waitStep is the time between looks while waiting for one of the above.
	waitStep = 10 * time.Millisecond
	// maxAttempts bounds the agents that one request is sent to.
	maxAttempts = 4
)

// attempt is one try to have a request run by one agent.
type attempt struct {
	req  *request
	peer *member.Peer
	work *api.Work
	vm   string
}

// dispatch sends a request to agents until one gives the whole answer, or the request
// has failed for good. What the caller has had of an answer is never begun anew.
func (e *entry) dispatch(ctx context.Context, req *request, pass *pass, out *output) error {
	if req.given != nil {
		return e.dispatchGiven(ctx, req, out)
	}
	e.directory.firstAttempt()
	var tried []string
	begun := false // An attempt may have run.
	for n := 1; ; n++ {
		a, refused := e.place(ctx, req, pass, tried, n)
		if refused != nil {
			return ofAll(refused, begun)
		}
		err := e.try(ctx, a, out)
		if err == nil || !movable(ctx, req, out, err) || n >= maxAttempts {
			return plain(ofAll(err, begun))
		}
		begun = begun || err.Ran != api.Ran_RAN_NO
		tried = append(tried, a.vm)
		if !e.directory.mayRetry() {
			// The budget for second attempts is spent. What has not run may still
			// wait at the gate like any other.
			if err.Ran != api.Ran_RAN_NO {
				return err
			}
			if refused := e.postpone(ctx, req, pass, err.Code); refused != nil {
				return ofAll(refused, begun)
			}
			tried = nil
		}
		e.counts.retried.Inc(1)
	}
}

// ofAll makes the last attempt's failure true of all attempts: "not run" is not said of
// a request of which an earlier attempt may have run.
func ofAll(err *result.Error, begun bool) *result.Error {
	if err == nil || !begun || err.Ran != api.Ran_RAN_NO {
		return err
	}
	unknown := *err
	unknown.Ran = api.Ran_RAN_UNKNOWN
	return &unknown
}

// plain keeps a nil *result.Error from becoming an error that is not nil.
func plain(err *result.Error) error {
	if err == nil {
		return nil
	}
	return err
}

// movable says whether a failed attempt may be followed by another: always only while
// the caller has had nothing; and for a request that runs at most once only when it
// certainly has not run.
func movable(ctx context.Context, req *request, out *output, err *result.Error) bool {
	if ctx.Err() != nil || out.begun() {
		return false
	}
	if req.once && err.Ran != api.Ran_RAN_NO {
		return false
	}
	switch err.Code {
	case api.ResultCode_BAD_REQUEST, api.ResultCode_DEADLINE_EXCEEDED, api.ResultCode_DEADLINE_UNREACHABLE:
		return false
	}
	return true
}

// place chooses the agent, and makes a ticket of it for a request that runs at most
// once. A request for which there is no room after all goes back to the gate.
func (e *entry) place(ctx context.Context, req *request, pass *pass, tried []string, n int) (*attempt, *result.Error) {
	limit := clock.Now() + mintWait
	for {
		peer, code := e.directory.pick(place.Request{
			Offer:        req.offer,
			Prefix:       req.prefix,
			Adapter:      req.adapter,
			Avoid:        tried,
			TimeLeft:     req.deadline - clock.Now(),
			RelativeSize: req.size,
			WithinShare:  pass.guaranteed,
		})
		if code != api.ResultCode_OK {
			if refused := e.postpone(ctx, req, pass, code); refused != nil {
				return nil, refused
			}
			tried = nil
			continue
		}
		if a, ok := e.newAttempt(req, peer, n); ok {
			return a, nil
		}
		// The agent's first block of tickets is still on its way.
		e.directory.ended(peer.Hello.GetVm(), req.offer, place.Outcome{})
		if clock.Now() > limit || ctx.Err() != nil {
			return nil, result.Refuse(api.ResultCode_NO_BACKEND, time.Second)
		}
		pause(ctx, waitStep)
	}
}

// postpone lets a request wait at the gate for a backend server.
func (e *entry) postpone(ctx context.Context, req *request, pass *pass, code api.ResultCode) *result.Error {
	return pass.postpone(ctx, code, !e.directory.known(req.offer))
}

func (e *entry) newAttempt(req *request, peer *member.Peer, n int) (*attempt, bool) {
	a := &attempt{
		req:  req,
		peer: peer,
		vm:   peer.Hello.GetVm(),
		work: proto.CloneOf(req.work),
	}
	a.work.Attempt = uint32(n)
	if !req.once {
		return a, true
	}
	t, ok := e.directory.mint(a.vm, req.caller.name)
	a.work.Ticket = t
	return a, ok
}

// try has one agent run the request and takes the answer to the output.
func (e *entry) try(ctx context.Context, a *attempt, out *output) *result.Error {
	started := clock.Now()
	err := e.proved(ctx, a)
	if err == nil {
		err = e.follow(ctx, a, out)
	}
	journal.From(ctx).Tried(a.vm, clock.Now()-started, err)
	if err != nil {
		e.logAttempt(a, err)
	}
	outcome := place.Outcome{}
	switch {
	case err == nil:
		outcome.Latency = clock.Now() - started
	case ctx.Err() != nil:
	case err.Ran == api.Ran_RAN_NO:
		outcome.Refused = true
		outcome.RefusesAll = closed(err.Code)
	default:
		outcome.Failed = true
	}
	e.directory.ended(a.vm, a.req.offer, outcome)
	return err
}

// closed says that an agent's refusal means that it takes no new work from anybody until
// it says otherwise in a report.
func closed(code api.ResultCode) bool {
	return code == api.ResultCode_DRAINING || code == api.ResultCode_OUT_OF_SERVICE
}

// dispatchGiven sends a request to the one agent that its ticket names. It is sent
// again there as often as links break: the agent knows the ticket.
func (e *entry) dispatchGiven(ctx context.Context, req *request, out *output) error {
	vm := req.given.GetAgentVm()
	e.directory.started(vm, req.offer)
	a := &attempt{req: req, vm: vm, work: proto.CloneOf(req.work)}
	a.work.Ticket = req.given
	peer, err := e.ticketAgent(ctx, req.given)
	if err != nil {
		e.directory.ended(vm, req.offer, place.Outcome{})
		return err
	}
	a.peer = peer
	return plain(e.try(ctx, a, out))
}

// ticketAgent finds the incarnation that a ticket names. When it cannot be reached
// nobody can say what became of the ticket: it may have been used through another
// entry.
func (e *entry) ticketAgent(ctx context.Context, t *api.Ticket) (*member.Peer, error) {
	peer, ok := e.awaitAgent(ctx, t.GetAgentVm(), t.GetIncarnation(), nil)
	if !ok {
		return nil, result.New(api.ResultCode_OUTCOME_UNKNOWN, "The backend server that the ticket names cannot be reached.")
	}
	return peer, nil
}

// awaitAgent waits for a link to an incarnation of an agent, other than a given one
// that has failed, and has the agent dialled if this entry is not linked to it. It gives
// up at once when another incarnation has taken its place. The caller holds the agent.
func (e *entry) awaitAgent(ctx context.Context, vm, incarnation string, failed *link.Session) (*member.Peer, bool) {
	limit := clock.Now() + reattachWait
	for {
		peer, ok := e.directory.agent(vm)
		if ok && peer.Session != failed {
			return peer, peer.Hello.GetIncarnation() == incarnation
		}
		if clock.Now() > limit || ctx.Err() != nil {
			return nil, false
		}
		e.reach(vm)
		pause(ctx, waitStep)
	}
}

// settlement is what an agent says of a ticket.
type settlement struct {
	// begun says that the run has begun, and its answer can be joined.
	begun bool
	err   *result.Error
}

// settle asks the agent what became of a ticket.
func (e *entry) settle(ctx context.Context, t *api.Ticket, customer string) settlement {
	s := e.askSettle(ctx, t, customer)
	e.logSettled(ctx, t, s)
	return s
}

func (e *entry) askSettle(ctx context.Context, t *api.Ticket, customer string) settlement {
	defer e.hold(t.GetAgentVm())()
	peer, err := e.ticketAgent(ctx, t)
	if err != nil {
		return settlement{err: result.FromError(err)}
	}
	open := &api.Open{Body: &api.Open_Settle{Settle: &api.Settle{Ticket: t, Customer: customer}}}
	unknown := settlement{err: result.New(api.ResultCode_OUTCOME_UNKNOWN)}
	stream, err := peer.Session.Open(open)
	if err != nil {
		return unknown
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	event := &api.WorkEvent{}
	if err := stream.Receive(event); err != nil {
		return unknown
	}
	if event.GetAccepted() != nil {
		begun := result.New(api.ResultCode_RAN_ANSWER_GONE, "The request has begun to run. Send it again with the same ticket for its answer.")
		return settlement{begun: true, err: begun}
	}
	return settlement{err: result.FromRefusal(event.GetRefusal())}
}

// splitEventID splits an event id: VM, incarnation and number of the answer, and the
// number of the part.
func splitEventID(id string) (vm, incarnation, answerID, part string, ok bool) {
	fields := strings.Split(id, ":")
	if len(fields) != 4 {
		return "", "", "", "", false
	}
	return fields[0], fields[1], strings.Join(fields[:3], ":"), fields[3], true
}
