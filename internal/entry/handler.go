package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/journal"
	"github.com/apricothub/apricothub/internal/member"
	"github.com/apricothub/apricothub/internal/result"
)

// handler returns the HTTP handler for callers.
func (e *entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/addresses", e.handleMethod(http.MethodGet, e.serveAddresses))
	mux.HandleFunc("/v1/completions", e.handleMethod(http.MethodPost, e.serveCompletion))
	mux.HandleFunc("/v1/chat/completions", e.handleMethod(http.MethodPost, e.serveCompletion))
	mux.HandleFunc("/v1/tickets", e.handleMethod(http.MethodPost, e.serveTicket))
	mux.HandleFunc("/v1/tickets/{ticket}", e.handleMethod(http.MethodGet, e.serveSettle))
	mux.HandleFunc("/services/{name}/{path...}", e.handle(e.serveService))
	mux.HandleFunc("/", e.handle(func(http.ResponseWriter, *http.Request) error {
		return result.New(api.ResultCode_UNKNOWN_ADDRESS)
	}))
	return mux
}

// handlerFunc serves a request or returns why it could not. It returns errAborted when the answer
// has started and cannot be completed.
type handlerFunc func(w http.ResponseWriter, r *http.Request) error

// errAborted means that the connection must be cut, so that a partial answer cannot pass for the
// whole.
var errAborted = errors.New("the answer was cut short")

// abortedError is errAborted with its cause, which the caller received as an event. The journal and
// the counters record the cause.
type abortedError struct{ cause error }

func (a *abortedError) Error() string { return errAborted.Error() + ": " + a.cause.Error() }

// Is makes abortedError match errAborted.
func (a *abortedError) Is(target error) bool { return target == errAborted }

// Unwrap returns the cause.
func (a *abortedError) Unwrap() error { return a.cause }

// requestIDBytes is the length of a request's id before hex encoding, enough to be unique among all
// entries.
const requestIDBytes = 12

// writeTimeout limits the writing of answers that have no deadline of their own.
const writeTimeout = time.Minute

// handle wraps a handler and writes its error as the answer.
func (e *entry) handle(h handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.counts.requests.Inc(1)
		state := e.node.State()
		if state.Draining {
			// A kept connection would bring its next request to a process that is about to end.
			w.Header().Set("Connection", "close")
		}
		// On a kept connection, the write deadline of the previous request would still apply.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
		ctx, record := journal.Begin(r.Context(), clock.Now())
		// The caller can give this id to operators, who find it in logs and dumps. It is set first
		// so that every refused request has one.
		record.Request = newID(requestIDBytes)
		w.Header().Set(headerRequest, record.Request)
		err := h(w, r.WithContext(ctx))
		e.journal.End(record, clock.Now(), err)
		e.logRequest(record, state, err)
		if err != nil {
			e.countResult(err)
		}
		switch {
		case err == nil:
			e.counts.whole.Inc(1)
		case errors.Is(err, errAborted):
			panic(http.ErrAbortHandler)
		default:
			e.counts.refused.Inc(1)
			result.WriteHTTP(w, err)
		}
	}
}

// countResult counts refusals by result code.
func (e *entry) countResult(err error) {
	name := result.Lookup(result.FromError(err).Code).Name
	metrics.GetOrRegisterCounter("entry.results."+name, e.registry).Inc(1)
}

func (e *entry) handleMethod(method string, h handlerFunc) http.HandlerFunc {
	return e.handle(func(w http.ResponseWriter, r *http.Request) error {
		if r.Method != method {
			w.Header().Set("Allow", method)
			return result.New(api.ResultCode_METHOD_NOT_ALLOWED)
		}
		return h(w, r)
	})
}

// caller is the sender of a request.
type caller struct {
	name     string
	customer *api.Customer
	plan     *api.Plan
	key      uint64
}

// authenticate finds the customer by its key in the configuration in force, unless too many wrong
// keys came from the caller's address.
func (e *entry) authenticate(state *member.State, r *http.Request) (*caller, error) {
	address, _, _ := net.SplitHostPort(r.RemoteAddr)
	now := time.Now()
	sender, err := identify(state, r)
	switch {
	case err != nil && e.guessLimiter.allowWrongKey(now, address):
		return nil, err
	case err == nil && e.guessLimiter.allowValidKey(now, address, sender.key):
		return sender, nil
	}
	return nil, result.Refuse(api.ResultCode_RATE_LIMITED, guessRetryAfter, "Too many wrong keys came from this address.")
}

func identify(state *member.State, r *http.Request) (*caller, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, result.New(api.ResultCode_UNKNOWN_KEY)
	}
	sum := sha256.Sum256([]byte(key))
	name, customer, ok := state.View.CustomerByKey(hex.EncodeToString(sum[:]))
	if !ok {
		return nil, result.New(api.ResultCode_UNKNOWN_KEY)
	}
	plan, ok := state.View.Plan(customer.GetPlan())
	if !ok {
		return nil, result.Newf(api.ResultCode_NOT_IN_PLAN, "The customer's plan %q does not exist.", customer.GetPlan())
	}
	return &caller{
		name:     name,
		customer: customer,
		plan:     plan,
		key:      binary.BigEndian.Uint64(sum[:8]),
	}, nil
}

// servingState returns the state to serve with, or why this entry accepts no work. An entry that is
// draining still serves, because callers keep its address for a while.
func (e *entry) servingState() (*member.State, error) {
	state := e.node.State()
	switch code := state.RefusalCode(clock.Now()); code {
	case api.ResultCode_OK, api.ResultCode_DRAINING:
		return state, nil
	default:
		return nil, result.New(code)
	}
}

// addressList is the body of the answer of /v1/addresses.
type addressList struct {
	Addresses []address `json:"addresses"`
	KeepMs    int64     `json:"keep_ms"`
}

type address struct {
	Address string  `json:"address"`
	Weight  float64 `json:"weight"`
}

// serveAddresses lists the entries that accept requests. It needs no key, because a caller must
// find an entry before it can present one.
func (e *entry) serveAddresses(w http.ResponseWriter, _ *http.Request) error {
	answer, err := e.listAddresses(e.node.State())
	if err != nil {
		return err
	}
	return writeJSON(w, answer)
}

// listAddresses lists the entries that accept requests according to a state.
func (e *entry) listAddresses(state *member.State) (addressList, error) {
	answer := addressList{KeepMs: e.settings.GetPolicy().GetAddressKeepMs()}
	unready := state.UnreadyCode(clock.Now())
	if unready == api.ResultCode_OK && !state.OutOfService {
		answer.Addresses = append(answer.Addresses, address{Address: e.self.GetPublicAddress(), Weight: 1})
	}
	for vm, peer := range state.Peers {
		hello := peer.Hello
		if hello.GetRole() != api.Role_ROLE_ENTRY || !peer.Ready || !peer.Usable() {
			continue
		}
		if state.View.VMOutOfService(vm, hello.GetFailureDomain()) {
			continue
		}
		answer.Addresses = append(answer.Addresses, address{Address: hello.GetPublicAddress(), Weight: 1})
	}
	if len(answer.Addresses) == 0 {
		if unready != api.ResultCode_OK && unready != api.ResultCode_DRAINING {
			// This entry would refuse the caller, which has other entries to ask.
			return addressList{}, result.New(unready)
		}
		// No entry is in service. Naming one that answers is better than naming none.
		answer.Addresses = []address{{Address: e.self.GetPublicAddress(), Weight: 1}}
	}
	return answer, nil
}

func writeJSON(w http.ResponseWriter, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "write an answer")
	}
	w.Header().Set("Content-Type", "application/json")
	result.SetHeader(w.Header(), api.ResultCode_OK)
	_, _ = w.Write(append(text, '\n'))
	return nil
}
