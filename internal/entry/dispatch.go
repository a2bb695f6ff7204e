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
	// reattachTimeout is how long to wait for a new link to an agent that holds an answer. It
	// covers the time until a silent link is closed and dialed again, with a margin.
	reattachTimeout = 4 * time.Second
	// pollInterval is the interval of checks while waiting for a link, a ticket block or capacity.
	pollInterval = 10 * time.Millisecond
	// maxAttempts limits the attempts of one request.
	maxAttempts = 4
)

// attempt is one attempt to run a request at one agent.
type attempt struct {
	req  *request
	peer *member.Peer
	work *api.Work
	vm   string
}

// dispatch sends a request to agents until one gives the complete answer or the request fails for
// good. An answer that the caller has received in part is never started over.
func (e *entry) dispatch(ctx context.Context, req *request, adm *admission, out *output) error {
	if req.callerTicket != nil {
		return e.dispatchToTicketAgent(ctx, req, out)
	}
	e.directory.countRequest()
	var tried []string
	mayHaveRun := false // by any attempt so far
	for n := 1; ; n++ {
		a, refused := e.placeAttempt(ctx, req, adm, tried, n)
		if refused != nil {
			return withEarlierAttempts(refused, mayHaveRun)
		}
		err := e.runAttempt(ctx, a, out)
		if err == nil || !canRetry(ctx, req, out, err) || n >= maxAttempts {
			return asError(withEarlierAttempts(err, mayHaveRun))
		}
		mayHaveRun = mayHaveRun || err.Ran != api.Ran_RAN_NO
		tried = append(tried, a.vm)
		if !e.directory.spendRetry() {
			// The retry budget is spent. A request that has not run may still be queued at the gate
			// like any other.
			if err.Ran != api.Ran_RAN_NO {
				return err
			}
			if refused := e.requeue(ctx, req, adm, err.Code); refused != nil {
				return withEarlierAttempts(refused, mayHaveRun)
			}
			tried = nil
		}
		e.counts.retried.Inc(1)
	}
}

// withEarlierAttempts adjusts the last attempt's error to all attempts: a request that an earlier
// attempt may have run must not be reported as "not run".
func withEarlierAttempts(err *result.Error, mayHaveRun bool) *result.Error {
	if err == nil || !mayHaveRun || err.Ran != api.Ran_RAN_NO {
		return err
	}
	unknown := *err
	unknown.Ran = api.Ran_RAN_UNKNOWN
	return &unknown
}

// asError converts a nil *result.Error to a nil error.
func asError(err *result.Error) error {
	if err == nil {
		return nil
	}
	return err
}

// canRetry says whether a failed attempt may be followed by another. The caller must not have
// received any part of the answer, and a request that runs at most once must be known not to have
// run.
func canRetry(ctx context.Context, req *request, out *output, err *result.Error) bool {
	if ctx.Err() != nil || out.hasBegun() {
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

// placeAttempt selects the agent, and mints a ticket of it for a request that runs at most once. A
// request for which no slot is free after all is queued at the gate again.
func (e *entry) placeAttempt(ctx context.Context, req *request, adm *admission, tried []string, n int) (*attempt, *result.Error) {
	deadline := clock.Now() + mintTimeout
	for {
		peer, code := e.directory.pick(place.Request{
			Offer:        req.offer,
			Prefix:       req.prefix,
			Adapter:      req.adapter,
			Avoid:        tried,
			TimeLeft:     req.deadline - clock.Now(),
			RelativeSize: req.relativeSize,
			WithinShare:  adm.withinShare,
		})
		if code != api.ResultCode_OK {
			if refused := e.requeue(ctx, req, adm, code); refused != nil {
				return nil, refused
			}
			tried = nil
			continue
		}
		if a, ok := e.newAttempt(req, peer, n); ok {
			return a, nil
		}
		// The agent's first ticket block has not arrived yet.
		e.directory.recordEnd(peer.Hello.GetVm(), req.offer, place.Outcome{})
		if clock.Now() > deadline || ctx.Err() != nil {
			return nil, result.Refuse(api.ResultCode_NO_BACKEND, time.Second)
		}
		sleep(ctx, pollInterval)
	}
}

// requeue queues a request at the gate again until a backend server has a free slot.
func (e *entry) requeue(ctx context.Context, req *request, adm *admission, code api.ResultCode) *result.Error {
	return adm.requeue(ctx, code, !e.directory.hasCapacity(req.offer))
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
	t, ok := e.directory.mintTicket(a.vm, req.caller.name)
	a.work.Ticket = t
	return a, ok
}

// runAttempt has one agent run the request and passes the answer to the output.
func (e *entry) runAttempt(ctx context.Context, a *attempt, out *output) *result.Error {
	started := clock.Now()
	outcome := place.Outcome{}
	// A panic must not leave the request in flight for good.
	defer func() { e.directory.recordEnd(a.vm, a.req.offer, outcome) }()
	err := e.checkLink(ctx, a)
	if err == nil {
		err = e.relayAnswer(ctx, a, out)
	}
	journal.From(ctx).AddAttempt(a.vm, clock.Now()-started, err)
	if err != nil {
		e.logAttempt(a, err)
	}
	switch {
	case err == nil:
		outcome.Latency = clock.Now() - started
	case ctx.Err() != nil:
	case err.Ran == api.Ran_RAN_NO:
		outcome.Refused = true
		outcome.RefusesAll = refusesAllWork(err.Code)
	default:
		outcome.Failed = true
	}
	return err
}

// refusesAllWork says whether an agent's refusal means that it refuses all new work until it
// reports otherwise.
func refusesAllWork(code api.ResultCode) bool {
	return code == api.ResultCode_DRAINING || code == api.ResultCode_OUT_OF_SERVICE
}

// dispatchToTicketAgent sends a request to the agent that its ticket names. It is sent there again
// whenever the link breaks, because the agent recognizes the ticket.
func (e *entry) dispatchToTicketAgent(ctx context.Context, req *request, out *output) error {
	vm := req.callerTicket.GetAgentVm()
	e.directory.recordStart(vm, req.offer)
	a := &attempt{req: req, vm: vm, work: proto.CloneOf(req.work)}
	a.work.Ticket = req.callerTicket
	peer, err := e.ticketAgentPeer(ctx, req.callerTicket)
	if err != nil {
		e.directory.recordEnd(vm, req.offer, place.Outcome{})
		return err
	}
	a.peer = peer
	return asError(e.runAttempt(ctx, a, out))
}

// ticketAgentPeer finds the agent process that a ticket names. If that process cannot be reached,
// the outcome of the ticket is unknown: it may have been used through another entry.
func (e *entry) ticketAgentPeer(ctx context.Context, t *api.Ticket) (*member.Peer, error) {
	peer, ok := e.awaitAgent(ctx, t.GetAgentVm(), t.GetIncarnation(), nil)
	if !ok {
		return nil, result.New(api.ResultCode_OUTCOME_UNKNOWN, "The backend server that the ticket names cannot be reached.")
	}
	return peer, nil
}

// awaitAgent waits for a link to an incarnation of an agent, other than a given link that has
// failed, and has the agent dialed if there is none. It gives up at once if another incarnation
// has replaced it. The caller must hold the link with retainLink or a request in flight.
func (e *entry) awaitAgent(ctx context.Context, vm, incarnation string, failed *link.Session) (*member.Peer, bool) {
	deadline := clock.Now() + reattachTimeout
	for {
		peer, ok := e.directory.agentPeer(vm)
		if ok && peer.Session != failed {
			return peer, peer.Hello.GetIncarnation() == incarnation
		}
		if clock.Now() > deadline || ctx.Err() != nil {
			return nil, false
		}
		e.requestLink(vm)
		sleep(ctx, pollInterval)
	}
}

// settlement is what an agent reports about a ticket.
type settlement struct {
	// begun says that the request runs or has run, and that its answer can be joined.
	begun bool
	err   *result.Error
}

// settle asks the agent what became of a ticket.
func (e *entry) settle(ctx context.Context, t *api.Ticket, customer string) settlement {
	s := e.settleAtAgent(ctx, t, customer)
	e.logSettled(ctx, t, s)
	return s
}

func (e *entry) settleAtAgent(ctx context.Context, t *api.Ticket, customer string) settlement {
	defer e.retainLink(t.GetAgentVm())()
	peer, err := e.ticketAgentPeer(ctx, t)
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

// parseEventID splits an event id into the VM, the incarnation, the answer's id, which includes
// both, and the number of the part.
func parseEventID(id string) (vm, incarnation, answerID, part string, ok bool) {
	fields := strings.Split(id, ":")
	if len(fields) != 4 {
		return "", "", "", "", false
	}
	return fields[0], fields[1], strings.Join(fields[:3], ":"), fields[3], true
}
