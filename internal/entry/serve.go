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

// serveCompletion serves a model's completion, streamed or whole.
func (e *entry) serveCompletion(w http.ResponseWriter, r *http.Request) error {
	return e.serveWork(w, r, func(req *request, state *member.State) (bool, error) {
		if id := r.Header.Get(headerLastEvent); id != "" {
			return true, e.resume(w, r, req, id)
		}
		return false, e.readCompletion(req, r, state)
	})
}

// serveService passes a call through to a plain service.
func (e *entry) serveService(w http.ResponseWriter, r *http.Request) error {
	return e.serveWork(w, r, func(req *request, state *member.State) (bool, error) {
		return false, readCall(req, r, state)
	})
}

// serveWork reads a request, lets read take in what is its own, and has it run unless
// read has answered it.
func (e *entry) serveWork(w http.ResponseWriter, r *http.Request, read func(*request, *member.State) (bool, error)) error {
	state, err := e.serving()
	if err != nil {
		return unknownIfTicket(r, err)
	}
	req, err := e.newRequest(w, r, state)
	if err != nil {
		return unknownIfTicket(r, err)
	}
	answered, err := read(req, state)
	if answered || err != nil {
		return unknownIfTicket(r, err)
	}
	if err := e.findKey(w, req); err != nil {
		return unknownIfTicket(r, err)
	}
	return unknownIfKey(req, firstTry(r.Header), e.admitted(w, r, req))
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
	at := "/" + r.PathValue("path")
	req.offer = serviceOffer(name)
	req.once = !repeatable(service, r.Method, at)
	work := req.work
	work.Kind = api.WorkKind_WORK_CALL
	work.Service = name
	work.Path = (&urlPath{path: at, query: r.URL.RawQuery}).String()
	if r.Header.Get(headerDeadlineMs) == "" && r.Header.Get(headerDeadline) == "" && service.GetTimeoutMs() > 0 {
		req.deadline = clock.Now() + time.Duration(service.GetTimeoutMs())*time.Millisecond
	}
	return readTicket(req, r.Header)
}

// readTicket takes the caller's ticket. A key that is no ticket is the caller's own
// where it has to keep the call from running twice, and means nothing elsewhere.
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
	req.given = t
	return nil
}

// repeatable says whether the lists allow a call to be sent again.
func repeatable(service *api.Service, method, at string) bool {
	// A path with dots in it could name a call other than the one matched.
	if path.Clean(at) != strings.TrimSuffix(at, "/") && at != "/" {
		return false
	}
	for _, call := range service.GetRepeatable() {
		m, pattern, ok := strings.Cut(call, " ")
		if !ok || m != method {
			continue
		}
		prefix, below := strings.CutSuffix(pattern, "*")
		if pattern == at || below && strings.HasPrefix(at, prefix) {
			return true
		}
	}
	return false
}

// awaitBackend waits a moment for a backend server when all that offer what the request
// needs are linked and none may get work now.
//
// Load: an entry VM so busy that all its links were silent for longer than suspect-ms at
// once, or agents that have just started. Harm prevented: a refusal for want of backend
// servers that are all there; suspicion ends with the next heartbeat. A link that is
// truly silent is dead after dead-ms, and its backend server is then not waited for.
func (e *entry) awaitBackend(ctx context.Context, req *request) {
	if req.given != nil || e.directory.known(req.offer) {
		return
	}
	limit := clock.Now() + time.Duration(e.settings.GetLink().GetDeadMs())*time.Millisecond
	for clock.Now() < limit && ctx.Err() == nil {
		if e.directory.known(req.offer) || !e.directory.offered(req.offer) {
			return
		}
		pause(ctx, waitStep)
	}
}

// admitted asks the gate, then dispatches.
func (e *entry) admitted(w http.ResponseWriter, r *http.Request, req *request) error {
	record := journal.From(r.Context())
	record.Offer, record.Once, record.Ticket = req.offer, req.once, req.given != nil
	ctx, cancel := context.WithTimeout(r.Context(), req.deadline-clock.Now())
	defer cancel()
	out := newOutput(w, req.deadline-clock.Now())
	req.work.Weight = req.caller.plan.GetShare() * req.caller.customer.GetWeight()
	arrived := clock.Now()
	e.awaitBackend(ctx, req)
	if !e.directory.known(req.offer) || e.directory.draining(req.given) {
		return out.finish(e.dispatchPast(ctx, req, out))
	}
	waitCtx, endWait := e.directory.untilDraining(ctx, req.given)
	pass, refused := e.gate.enter(waitCtx, admit.Request{
		Customer: req.caller.name,
		Key:      req.caller.key,
		Offer:    req.offer,
		Deadline: req.deadline,
		Priority: int(req.work.GetPriority()),
	})
	endWait()
	record.WaitMs = (clock.Now() - arrived).Milliseconds()
	if refused != nil && e.directory.draining(req.given) {
		return out.finish(e.dispatchPast(ctx, req, out))
	}
	if refused != nil {
		return out.finish(e.refuseTicket(ctx, req, refused, out))
	}
	started := clock.Now()
	err := e.bindKey(ctx, req)
	if err == nil {
		err = e.dispatch(ctx, req, pass, out)
	}
	took := clock.Now() - started
	if err != nil {
		took = 0
	}
	pass.leave(took)
	return out.finish(err)
}

// dispatchPast serves a request past the gate. There is no room to share out for what no
// backend server offers as far as this entry knows, and the gate would keep its name,
// which may be invented: only the agent that a ticket names can say what became of the
// ticket, and the link to it may be on its way. Nor for a ticket of an agent that is
// stopping, which starts nothing, and would be gone after a wait for the others' room.
func (e *entry) dispatchPast(ctx context.Context, req *request, out *output) error {
	if req.given == nil {
		return result.Refuse(api.ResultCode_NO_BACKEND, time.Second)
	}
	return e.dispatchGiven(ctx, req, out)
}

// refuseTicket makes a refusal by the gate of a request with a ticket true: the ticket
// may have been used before, or a copy of the request may still be under way. The agent
// says what became of it, and voids it if nothing did. A run that has begun takes no
// room that the gate could refuse: its answer is joined.
func (e *entry) refuseTicket(ctx context.Context, req *request, refused *result.Error, out *output) error {
	if req.given == nil {
		return refused
	}
	settled := e.settle(ctx, req.given, req.caller.name)
	switch {
	case settled.begun:
		return e.dispatchGiven(ctx, req, out)
	case settled.err.Ran == api.Ran_RAN_NO:
		return refused
	}
	return settled.err
}

// unknownIfTicket keeps a refusal that the entry makes by itself from saying "not run"
// of a request with a ticket or a key. An earlier copy may have run through another entry: the
// store would take a new ticket and push a second time.
func unknownIfTicket(r *http.Request, err error) error {
	if err == nil || errors.Is(err, errAborted) {
		return err
	}
	_, none := ticket.Decode(r.Header.Get(headerTicket))
	if none == nil || carriesOwnKey(r) && !firstTry(r.Header) {
		return unknown(err)
	}
	return err
}

// ticketAsk is the body of a request for a ticket.
type ticketAsk struct {
	Service string `json:"service"`
	Model   string `json:"model"`
}

// ticketAnswer is a new ticket.
type ticketAnswer struct {
	Ticket      string `json:"ticket"`
	ExpiresInMs int64  `json:"expires_in_ms"`
}

// mintWait is how long a request for a ticket waits for an agent's first block.
const mintWait = time.Second

// serveTicket gives a caller the right to have one request run at most once.
func (e *entry) serveTicket(w http.ResponseWriter, r *http.Request) error {
	state, err := e.serving()
	if err != nil {
		return err
	}
	req, err := e.newRequest(w, r, state)
	if err != nil {
		return err
	}
	if err := e.readTicketAsk(req, state); err != nil {
		return err
	}
	t, err := e.newTicket(r.Context(), req)
	if err != nil {
		return err
	}
	return writeJSON(w, ticketAnswer{
		Ticket:      ticket.Encode(t),
		ExpiresInMs: e.directory.lifetime(t).Milliseconds(),
	})
}

func (e *entry) readTicketAsk(req *request, state *member.State) error {
	var ask ticketAsk
	if err := json.Unmarshal(req.work.GetBody(), &ask); err != nil {
		return result.New(api.ResultCode_BAD_REQUEST, `The body is not {"service": "NAME"} or {"model": "NAME"}.`)
	}
	plan := req.caller.plan
	switch {
	case ask.Service != "" && ask.Model == "":
		if _, ok := state.View.Service(ask.Service); !ok {
			return result.New(api.ResultCode_UNKNOWN_SERVICE)
		}
		if !contains(plan.GetServices(), ask.Service) {
			return result.New(api.ResultCode_NOT_IN_PLAN)
		}
		req.offer = serviceOffer(ask.Service)
	case ask.Model != "" && ask.Service == "":
		return e.chooseModel(req, http.Header{}, ask.Model, state)
	default:
		return result.New(api.ResultCode_BAD_REQUEST, "The body must name one service or one model.")
	}
	return nil
}

func (e *entry) newTicket(ctx context.Context, req *request) (*api.Ticket, error) {
	limit := clock.Now() + mintWait
	code := api.ResultCode_NO_BACKEND
	for {
		peer, picked := e.directory.pick(place.Request{Offer: req.offer})
		code = picked
		if code == api.ResultCode_OK {
			vm := peer.Hello.GetVm()
			t, ok := e.directory.mint(vm, req.caller.name)
			e.directory.ended(vm, req.offer, place.Outcome{})
			if ok {
				return t, nil
			}
			code = api.ResultCode_NO_BACKEND
		}
		if clock.Now() > limit || ctx.Err() != nil {
			return nil, result.Refuse(code, time.Second)
		}
		pause(ctx, 10*time.Millisecond)
	}
}

// settledAnswer says what became of a ticket.
type settledAnswer struct {
	Ran  string `json:"ran"`
	Code int32  `json:"code"`
	Name string `json:"name"`
	Text string `json:"text"`
}

// serveSettle answers what became of a ticket. Asking settles it: a ticket that has
// not run by then never will.
func (e *entry) serveSettle(w http.ResponseWriter, r *http.Request) error {
	state := e.node.State()
	who, err := e.authenticate(state, r)
	if err != nil {
		return err
	}
	t, err := ticket.Decode(r.PathValue("ticket"))
	if err != nil {
		return result.New(api.ResultCode_TICKET_INVALID)
	}
	settled := e.settle(r.Context(), t, who.name).err
	info := result.Lookup(settled.Code)
	return writeJSON(w, settledAnswer{
		Ran:  result.RanName(settled.Ran),
		Code: info.Number,
		Name: info.Name,
		Text: settled.Text,
	})
}

// urlPath is a path with a query, as it goes on to a service.
type urlPath struct{ path, query string }

func (u *urlPath) String() string {
	if u.query == "" {
		return escapePath(u.path)
	}
	return escapePath(u.path) + "?" + u.query
}
