package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/ticket"
	"github.com/apricothub/apricothub/decide/admit"
	"github.com/apricothub/apricothub/decide/place"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/journal"
	"github.com/apricothub/apricothub/internal/member"
	"github.com/apricothub/apricothub/internal/result"
)

// serveCompletion serves a completion of a model, streamed or not.
func (e *entry) serveCompletion(w http.ResponseWriter, r *http.Request) error {
	return e.serveWork(w, r, func(req *request, state *member.State) (bool, error) {
		if id := r.Header.Get(headerLastEvent); id != "" {
			return true, e.resume(w, r, req, id)
		}
		return false, e.readCompletion(req, r, state)
	})
}

// serveService passes a call on to a plain service.
func (e *entry) serveService(w http.ResponseWriter, r *http.Request) error {
	return e.serveWork(w, r, func(req *request, state *member.State) (bool, error) {
		return false, readCall(req, r, state)
	})
}

// serveWork reads a request, completes it with read, and has it run unless read has answered it.
func (e *entry) serveWork(w http.ResponseWriter, r *http.Request, read func(*request, *member.State) (bool, error)) error {
	state, err := e.servingState()
	if err != nil {
		return unknownOutcomeIfTicket(r, err)
	}
	req, err := e.newRequest(w, r, state)
	if err != nil {
		return unknownOutcomeIfTicket(r, err)
	}
	answered, err := read(req, state)
	if answered || err != nil {
		return unknownOutcomeIfTicket(r, err)
	}
	if err := e.resolveKey(w, req); err != nil {
		return unknownOutcomeIfTicket(r, err)
	}
	return unknownOutcomeIfKey(req, isFirstTry(r.Header), e.admitAndDispatch(w, r, req))
}

func readCall(req *request, r *http.Request, state *member.State) error {
	name := r.PathValue("name")
	service, ok := state.View.Service(name)
	if !ok {
		return result.Newf(api.ResultCode_UNKNOWN_SERVICE, "No list names the service %q.", name)
	}
	if !contains(req.caller.plan.GetServices(), name) {
		return result.Newf(api.ResultCode_NOT_IN_PLAN, "The plan does not include the service %q.", name)
	}
	callPath := "/" + r.PathValue("path")
	req.offer = serviceOffer(name)
	req.once = !isRepeatable(service, r.Method, callPath)
	work := req.work
	work.Kind = api.WorkKind_WORK_CALL
	work.Service = name
	work.Path = (&urlPath{path: callPath, query: r.URL.RawQuery}).String()
	if r.Header.Get(headerDeadlineMs) == "" && r.Header.Get(headerDeadline) == "" && service.GetTimeoutMs() > 0 {
		req.deadline = clock.Now() + time.Duration(service.GetTimeoutMs())*time.Millisecond
	}
	return readTicket(req, r.Header)
}

// readTicket reads the caller's ticket. A key that is no ticket is the caller's own key if the call
// runs at most once, and is ignored otherwise.
func readTicket(req *request, h http.Header) error {
	text := h.Get(headerTicket)
	if text == "" {
		return nil
	}
	t, err := ticket.Decode(text)
	switch {
	case err != nil && !req.once:
		return nil
	case err != nil && looksLikeTicket(text):
		return result.New(api.ResultCode_TICKET_INVALID)
	case err != nil:
		return readOwnKey(req, h)
	}
	req.once = true
	req.callerTicket = t
	return nil
}

// isRepeatable says whether the lists allow a call to be sent again.
func isRepeatable(service *api.Service, method, callPath string) bool {
	// A path with dot segments could name a call other than the one matched.
	if path.Clean(callPath) != strings.TrimSuffix(callPath, "/") && callPath != "/" {
		return false
	}
	for _, call := range service.GetRepeatable() {
		m, pattern, ok := strings.Cut(call, " ")
		if !ok || m != method {
			continue
		}
		prefix, isPrefix := strings.CutSuffix(pattern, "*")
		if pattern == callPath || isPrefix && strings.HasPrefix(callPath, prefix) {
			return true
		}
	}
	return false
}

// awaitBackend waits up to dead-ms for a backend server if servers with the offer are linked but
// none can get work now.
//
// On an overloaded entry VM all links may be silent for longer than suspect-ms at once, and agents
// that have just started have not reported. Without the wait, requests would be refused for lack of
// backend servers that are all there: the suspicion ends with the next heartbeat. A link that stays
// silent is closed after dead-ms, and its backend server is then not waited for.
func (e *entry) awaitBackend(ctx context.Context, req *request) {
	if req.callerTicket != nil || e.directory.hasCapacity(req.offer) {
		return
	}
	deadline := clock.Now() + time.Duration(e.settings.GetLink().GetDeadMs())*time.Millisecond
	for clock.Now() < deadline && ctx.Err() == nil {
		if e.directory.hasCapacity(req.offer) || !e.directory.expectsOffer(req.offer) {
			return
		}
		sleep(ctx, pollInterval)
	}
}

// admitAndDispatch admits the request and dispatches it.
func (e *entry) admitAndDispatch(w http.ResponseWriter, r *http.Request, req *request) error {
	record := journal.From(r.Context())
	record.Offer, record.AtMostOnce, record.HasTicket = req.offer, req.once, req.callerTicket != nil
	ctx, cancel := context.WithTimeout(r.Context(), req.deadline-clock.Now())
	defer cancel()
	out := newOutput(w, req.deadline-clock.Now())
	req.work.Weight = req.caller.plan.GetShare() * req.caller.customer.GetWeight()
	arrived := clock.Now()
	e.awaitBackend(ctx, req)
	if !e.directory.hasCapacity(req.offer) || e.directory.agentDraining(req.callerTicket) {
		return out.finish(e.dispatchWithoutGate(ctx, req, out))
	}
	if refused := e.shutdown.Refuse(req.offer, req.deadline); refused != nil {
		return out.finish(e.settleRefusal(ctx, req, refused, out))
	}
	waitCtx, endWait := e.directory.withAgentDraining(ctx, req.callerTicket)
	adm, refused := e.gate.admit(waitCtx, admit.Request{
		Customer: req.caller.name,
		Key:      req.caller.key,
		Offer:    req.offer,
		Deadline: req.deadline,
		Priority: int(req.work.GetPriority()),
	})
	endWait()
	record.WaitMs = (clock.Now() - arrived).Milliseconds()
	if refused != nil && e.directory.agentDraining(req.callerTicket) {
		return out.finish(e.dispatchWithoutGate(ctx, req, out))
	}
	if refused != nil {
		return out.finish(e.settleRefusal(ctx, req, refused, out))
	}
	return out.finish(e.dispatchAdmitted(ctx, req, adm, out))
}

// dispatchAdmitted dispatches a request that the gate has admitted, and ends its admission.
func (e *entry) dispatchAdmitted(ctx context.Context, req *request, adm *admission, out *output) error {
	started, took := clock.Now(), time.Duration(0)
	// A panic must not leave the slot taken for good.
	defer func() { adm.done(took) }()
	if refused := e.shutdown.Refuse(req.offer, req.deadline); refused != nil {
		return e.settleRefusal(ctx, req, refused, out)
	}
	if err := e.bindKey(ctx, req); err != nil {
		return err
	}
	if err := e.dispatch(ctx, req, adm, out); err != nil {
		return err
	}
	took = clock.Now() - started
	e.shutdown.Record(req.offer, took)
	return nil
}

// dispatchWithoutGate handles a request that the gate must not queue. If no backend server is known
// for the offer there is no capacity to share, and the gate would keep the offer's name, which the
// caller may have made up. Such a request can only be sent with a ticket, to the agent that it
// names, whose link may still be coming up. A request with a ticket of an agent that is shutting
// down does not need a slot, because the agent starts nothing new, and the agent would be gone
// after a wait for other servers' slots.
func (e *entry) dispatchWithoutGate(ctx context.Context, req *request, out *output) error {
	if req.callerTicket == nil {
		return result.Refuse(api.ResultCode_NO_BACKEND, time.Second)
	}
	return e.dispatchToTicketAgent(ctx, req, out)
}

// settleRefusal keeps a refusal by the gate from being wrong for a request with a ticket: the
// ticket may have been used before, or a copy of the request may be in flight. The agent says what
// became of the ticket, and voids it if it was not used. A request that has begun needs no slot,
// and its answer is joined.
func (e *entry) settleRefusal(ctx context.Context, req *request, refused *result.Error, out *output) error {
	if req.callerTicket == nil {
		return refused
	}
	settled := e.settle(ctx, req.callerTicket, req.caller.name)
	switch {
	case settled.begun:
		return e.dispatchToTicketAgent(ctx, req, out)
	case settled.err.Ran == api.Ran_RAN_NO:
		return refused
	}
	return settled.err
}

// unknownOutcomeIfTicket keeps the entry's own refusal of a request with a ticket or a key from
// saying "not run". An earlier copy may have run through another entry, and the store would take a
// new ticket and push a second time.
func unknownOutcomeIfTicket(r *http.Request, err error) error {
	if err == nil || errors.Is(err, errAborted) {
		return err
	}
	_, decodeErr := ticket.Decode(r.Header.Get(headerTicket))
	if decodeErr == nil || hasOwnKey(r) && !isFirstTry(r.Header) {
		return withUnknownOutcome(err)
	}
	return err
}

// ticketRequest is the body of a request for a ticket.
type ticketRequest struct {
	Service string `json:"service"`
	Model   string `json:"model"`
}

// ticketResponse is the body of the answer with a new ticket.
type ticketResponse struct {
	Ticket      string `json:"ticket"`
	ExpiresInMs int64  `json:"expires_in_ms"`
}

// mintTimeout is how long a request for a ticket waits for an agent's first ticket block.
const mintTimeout = time.Second

// serveTicket gives a caller a ticket, with which one request runs at most once.
func (e *entry) serveTicket(w http.ResponseWriter, r *http.Request) error {
	state, err := e.servingState()
	if err != nil {
		return err
	}
	req, err := e.newRequest(w, r, state)
	if err != nil {
		return err
	}
	if err := e.readTicketRequest(req, state); err != nil {
		return err
	}
	t, err := e.newTicket(r.Context(), req)
	if err != nil {
		return err
	}
	return writeJSON(w, ticketResponse{
		Ticket:      ticket.Encode(t),
		ExpiresInMs: e.directory.ticketLifetime(t).Milliseconds(),
	})
}

func (e *entry) readTicketRequest(req *request, state *member.State) error {
	var body ticketRequest
	if err := json.Unmarshal(req.work.GetBody(), &body); err != nil {
		return result.New(api.ResultCode_BAD_REQUEST, `The body is not {"service": "NAME"} or {"model": "NAME"}.`)
	}
	plan := req.caller.plan
	switch {
	case body.Service != "" && body.Model == "":
		if _, ok := state.View.Service(body.Service); !ok {
			return result.New(api.ResultCode_UNKNOWN_SERVICE)
		}
		if !contains(plan.GetServices(), body.Service) {
			return result.New(api.ResultCode_NOT_IN_PLAN)
		}
		req.offer = serviceOffer(body.Service)
	case body.Model != "" && body.Service == "":
		return e.chooseModel(req, http.Header{}, body.Model, state)
	default:
		return result.New(api.ResultCode_BAD_REQUEST, "The body must name one service or one model.")
	}
	return nil
}

func (e *entry) newTicket(ctx context.Context, req *request) (*api.Ticket, error) {
	deadline := clock.Now() + mintTimeout
	code := api.ResultCode_NO_BACKEND
	for {
		peer, picked := e.directory.pick(place.Request{Offer: req.offer})
		code = picked
		if code == api.ResultCode_OK {
			vm := peer.Hello.GetVm()
			t, ok := e.directory.mintTicket(vm, req.caller.name)
			e.directory.recordEnd(vm, req.offer, place.Outcome{})
			if ok {
				return t, nil
			}
			code = api.ResultCode_NO_BACKEND
		}
		if clock.Now() > deadline || ctx.Err() != nil {
			return nil, result.Refuse(code, time.Second)
		}
		sleep(ctx, 10*time.Millisecond)
	}
}

// settleResponse is the body of the answer about a ticket's outcome.
type settleResponse struct {
	Ran  string `json:"ran"`
	Code int32  `json:"code"`
	Name string `json:"name"`
	Text string `json:"text"`
}

// serveSettle answers what became of a ticket. Asking settles it: a ticket that has not run by then
// is void.
func (e *entry) serveSettle(w http.ResponseWriter, r *http.Request) error {
	state := e.node.State()
	sender, err := e.authenticate(state, r)
	if err != nil {
		return err
	}
	t, err := ticket.Decode(r.PathValue("ticket"))
	if err != nil {
		return result.New(api.ResultCode_TICKET_INVALID)
	}
	settled := e.settle(r.Context(), t, sender.name).err
	info := result.Lookup(settled.Code)
	return writeJSON(w, settleResponse{
		Ran:  result.RanName(settled.Ran),
		Code: info.Number,
		Name: info.Name,
		Text: settled.Text,
	})
}

// urlPath is a path with a query, as it is passed on to a service.
type urlPath struct{ path, query string }

func (u *urlPath) String() string {
	if u.query == "" {
		return escapePath(u.path)
	}
	return escapePath(u.path) + "?" + u.query
}
