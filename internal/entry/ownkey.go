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
	// headerFirst is the caller's word that it has sent no request under this key yet,
	// and sends no other one at the same time.
	headerFirst = "Apricothub-First-Try"
	// headerKeyLifetime tells callers for how long a key is bound, in milliseconds.
	headerKeyLifetime = "Apricothub-Key-Lifetime-Ms"
	// ticketPrefix marks what looks like a ticket: it is one, or nothing.
	ticketPrefix = "t1."
)

// ownKey is a caller's own key on its way to a ticket.
type ownKey struct {
	key      keybind.Key
	customer keybind.Customer
	request  keybind.Request
	arrived  time.Duration
	// appended says that a binding may stand in the log.
	appended bool
}

// readOwnKey takes a key of the caller's own making for a request that runs at most
// once.
func readOwnKey(req *request, h http.Header) error {
	values := h.Values(headerTicket)
	if len(values) != 1 || !keybind.IsValidKey(values[0]) {
		return result.New(api.ResultCode_KEY_INVALID)
	}
	work := req.work
	req.own = &ownKey{
		arrived:  req.arrived,
		key:      keybind.KeyOf(req.caller.name, values[0]),
		customer: keybind.CustomerFromDigest(ticket.CustomerDigest(req.caller.name)),
		request:  keybind.RequestOf(work.GetService(), work.GetMethod(), work.GetPath(), string(work.GetBody())),
	}
	return nil
}

// looksLikeTicket says that a key is a ticket or a spoilt one.
func looksLikeTicket(text string) bool { return strings.HasPrefix(text, ticketPrefix) }

// carriesOwnKey says that a request to a service has a key of the caller's own, whose
// earlier copies may have run.
func carriesOwnKey(r *http.Request) bool {
	text := r.Header.Get(headerTicket)
	if text == "" || !strings.HasPrefix(r.URL.Path, "/services/") {
		return false
	}
	_, err := ticket.Decode(text)
	return err != nil && !looksLikeTicket(text) && keybind.IsValidKey(text)
}

// firstTry says that the caller vouches for no earlier copy.
func firstTry(h http.Header) bool { return h.Get(headerFirst) == "yes" }

// findKey takes the ticket that a key is bound to, as far as this entry has read.
func (e *entry) findKey(w http.ResponseWriter, req *request) error {
	if req.own == nil {
		return nil
	}
	w.Header().Set(headerKeyLifetime, strconv.FormatInt(e.keys.lifetime.Milliseconds(), 10))
	b, ok, err := e.keys.lookUp(req.own.key)
	if err != nil {
		return err
	}
	if !ok {
		// Said now, a caller is not kept at the gate for a refusal.
		return plain(e.keys.ready(req.own.customer))
	}
	e.keys.counts.found.Inc(1)
	return plain(req.useBinding(b))
}

// useBinding makes a request one that came with the ticket of a binding.
func (r *request) useBinding(b keybind.Binding) *result.Error {
	if b.Request != r.own.request {
		return result.New(api.ResultCode_KEY_REUSED)
	}
	t, err := b.DecodeTicket()
	if err != nil {
		return result.New(api.ResultCode_INTERNAL, err.Error()+".")
	}
	r.given = t
	return nil
}

// bindKey binds a key that is bound to nothing yet, with the gate's leave: an append
// for a request that the gate would refuse would be for nothing.
func (e *entry) bindKey(ctx context.Context, req *request) error {
	if req.own == nil || req.given != nil {
		return nil
	}
	if err := e.keys.ready(req.own.customer); err != nil {
		return err
	}
	t, err := e.newTicket(ctx, req)
	if err != nil {
		return err
	}
	// Blocks are minted from in the first half of their lifetime.
	if 2*e.directory.lifetime(t) > e.keys.hold {
		// When its key is let go of the ticket could still run, beside the one that the
		// key is bound to next.
		return result.New(api.ResultCode_INTERNAL, "A ticket lives longer than its key is bound: ticket-lifetime-ms of the agent is more than twice the lifetime-ms of [keys].")
	}
	b, refused := e.keys.bind(ctx, req.own, t)
	if refused != nil {
		return refused
	}
	e.keys.counts.bound.Inc(1)
	return plain(req.useBinding(b))
}

// unknownIfKey keeps "not run" from being said of a request whose key this entry could
// not resolve. An earlier copy may have bound it and run through another entry: the
// store would push again under a new key. When the caller vouches that there is none,
// and nothing was appended, it is true.
func unknownIfKey(req *request, first bool, err error) error {
	if err == nil || req.own == nil || req.given != nil {
		return err
	}
	if first && !req.own.appended {
		return err
	}
	return unknown(err)
}

// unknown is an error that does not say "not run".
func unknown(err error) error {
	told := *result.FromError(err)
	if told.Ran != api.Ran_RAN_NO {
		return err
	}
	told.Ran = api.Ran_RAN_UNKNOWN
	return &told
}
