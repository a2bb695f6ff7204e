package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/keybind"
	"github.com/apricothub/apricothub/coord/ticket"
	"github.com/apricothub/apricothub/internal/result"
)

const (
	// headerFirstTry is the caller's statement that it has sent no request with this key before and
	// sends no other at the same time.
	headerFirstTry = "Apricothub-First-Try"
	// headerKeyLifetime tells callers how long a key is bound, in milliseconds.
	headerKeyLifetime = "Apricothub-Key-Lifetime-Ms"
	// ticketPrefix is the prefix of all tickets. A key that starts with it and is no valid ticket
	// is refused.
	ticketPrefix = "t1."
)

// ownKey is a key that the caller made, until it is resolved to a ticket.
type ownKey struct {
	key      keybind.Key
	customer keybind.Customer
	request  keybind.Request
	arrived  time.Duration
	// appended says that a binding may be in the log.
	appended bool
}

// readOwnKey reads a caller's own key for a request that runs at most once.
func readOwnKey(req *request, h http.Header) error {
	values := h.Values(headerTicket)
	if len(values) != 1 || !keybind.IsValidKey(values[0]) {
		return result.New(api.ResultCode_KEY_INVALID)
	}
	work := req.work
	req.ownKey = &ownKey{
		arrived:  req.arrived,
		key:      keybind.KeyOf(req.caller.name, values[0]),
		customer: keybind.CustomerFromDigest(ticket.CustomerDigest(req.caller.name)),
		request:  keybind.RequestOf(work.GetService(), work.GetMethod(), work.GetPath(), string(work.GetBody())),
	}
	return nil
}

// looksLikeTicket says whether a key is a ticket, valid or not.
func looksLikeTicket(text string) bool { return strings.HasPrefix(text, ticketPrefix) }

// hasOwnKey says whether a request to a service has a caller's own key, so that earlier copies of
// it may have run.
func hasOwnKey(r *http.Request) bool {
	text := r.Header.Get(headerTicket)
	if text == "" || !strings.HasPrefix(r.URL.Path, "/services/") {
		return false
	}
	_, err := ticket.Decode(text)
	return err != nil && !looksLikeTicket(text) && keybind.IsValidKey(text)
}

// isFirstTry says whether the caller states that there is no earlier copy of the request.
func isFirstTry(h http.Header) bool { return h.Get(headerFirstTry) == "yes" }

// resolveKey sets the ticket that a key is bound to, as far as this entry has read.
func (e *entry) resolveKey(w http.ResponseWriter, req *request) error {
	if req.ownKey == nil {
		return nil
	}
	w.Header().Set(headerKeyLifetime, strconv.FormatInt(e.keys.lifetime.Milliseconds(), 10))
	b, ok, err := e.keys.lookUp(req.ownKey.key)
	if err != nil {
		return err
	}
	if !ok {
		// A request that would be refused later is refused now instead of waiting at the gate
		// first.
		return asError(e.keys.checkReady(req.ownKey.customer))
	}
	e.keys.counts.found.Inc(1)
	return asError(req.useBinding(b))
}

// useBinding gives the request the ticket that its key is bound to.
func (r *request) useBinding(b keybind.Binding) *result.Error {
	if b.Request != r.ownKey.request {
		return result.New(api.ResultCode_KEY_REUSED)
	}
	t, err := b.DecodeTicket()
	if err != nil {
		return result.New(api.ResultCode_INTERNAL, err.Error()+".")
	}
	r.callerTicket = t
	return nil
}

// bindKey binds a key that is not bound yet. It is called after admission, so that nothing is
// appended for a request that the gate refuses.
func (e *entry) bindKey(ctx context.Context, req *request) error {
	if req.ownKey == nil || req.callerTicket != nil {
		return nil
	}
	if err := e.keys.checkReady(req.ownKey.customer); err != nil {
		return err
	}
	t, err := e.newTicket(ctx, req)
	if err != nil {
		return err
	}
	// Tickets are minted only in the first half of their block's lifetime.
	if 2*e.directory.ticketLifetime(t) > e.keys.retention {
		// After the key is released, the ticket could still run, in addition to the one that the
		// key is bound to next.
		return result.New(api.ResultCode_INTERNAL, "A ticket lives longer than its key is bound: ticket-lifetime-ms of the agent is more than twice the lifetime-ms of [keys].")
	}
	b, refused := e.keys.bind(ctx, req.ownKey, t)
	if refused != nil {
		return refused
	}
	e.keys.counts.bound.Inc(1)
	return asError(req.useBinding(b))
}

// unknownOutcomeIfKey keeps a request whose key could not be resolved from being reported as "not
// run". An earlier copy may have bound the key and run through another entry, and the store would
// push again with a new key. If the caller states that this is its first try and nothing was
// appended, "not run" is true.
func unknownOutcomeIfKey(req *request, firstTry bool, err error) error {
	if err == nil || req.ownKey == nil || req.callerTicket != nil {
		return err
	}
	if firstTry && !req.ownKey.appended {
		return err
	}
	return withUnknownOutcome(err)
}

// withUnknownOutcome returns the error without the statement that the request was not run.
func withUnknownOutcome(err error) error {
	changed := *result.FromError(err)
	if changed.Ran != api.Ran_RAN_NO {
		return err
	}
	changed.Ran = api.Ran_RAN_UNKNOWN
	return &changed
}
