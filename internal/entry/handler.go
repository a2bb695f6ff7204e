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

// handler returns the callers' interface.
func (e *entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/addresses", e.only(http.MethodGet, e.serveAddresses))
	mux.HandleFunc("/v1/completions", e.only(http.MethodPost, e.serveCompletion))
	mux.HandleFunc("/v1/chat/completions", e.only(http.MethodPost, e.serveCompletion))
	mux.HandleFunc("/v1/tickets", e.only(http.MethodPost, e.serveTicket))
	mux.HandleFunc("/v1/tickets/{ticket}", e.only(http.MethodGet, e.serveSettle))
	mux.HandleFunc("/services/{name}/{path...}", e.serve(e.serveService))
	mux.HandleFunc("/", e.serve(func(http.ResponseWriter, *http.Request) error {
		return result.New(api.ResultCode_UNKNOWN_ADDRESS)
	}))
	return mux
}

// handlerFunc serves a request or returns why it did not. It returns errAborted when
// the answer has begun and cannot be made whole.
type handlerFunc func(w http.ResponseWriter, r *http.Request) error

// errAborted says that the connection must be cut, so that what was written of the
// answer cannot pass for the whole.
var errAborted = errors.New("the answer was cut short")

// abortedError is errAborted with the failure that cut the answer, which the caller was
// told in an event; journal and counters tell it too.
type abortedError struct{ cause error }

func (a *abortedError) Error() string { return errAborted.Error() + ": " + a.cause.Error() }

// Is makes it an errAborted.
func (a *abortedError) Is(target error) bool { return target == errAborted }

// Unwrap gives the cause.
func (a *abortedError) Unwrap() error { return a.cause }

// requestBytes is the length of a request's id, bytes, shown as twice as many digits: enough
// that no two of all entries are alike.
const requestBytes = 12

// writeLimit bounds the writing of answers that have no deadline of their own.
const writeLimit = time.Minute

// serve turns a handler's error into the answer.
func (e *entry) serve(h handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.counts.requests.Inc(1)
		state := e.node.State()
		if state.Draining {
			// A kept connection would bring its next request to a process that
			// is about to end.
			w.Header().Set("Connection", "close")
		}
		// A deadline of the request before would hold on a kept connection.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeLimit))
		ctx, record := journal.Begin(r.Context(), clock.Now())
		// The caller can name the request to operators, who find it in logs and dumps; also one
		// that is refused before anything is known of it.
		record.Request = newID(requestBytes)
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

// countResult counts the refusals by their code.
func (e *entry) countResult(err error) {
	name := result.Lookup(result.FromError(err).Code).Name
	metrics.GetOrRegisterCounter("entry.results."+name, e.registry).Inc(1)
}

func (e *entry) only(method string, h handlerFunc) http.HandlerFunc {
	return e.serve(func(w http.ResponseWriter, r *http.Request) error {
		if r.Method != method {
			w.Header().Set("Allow", method)
			return result.New(api.ResultCode_METHOD_NOT_ALLOWED)
		}
		return h(w, r)
	})
}

// caller is who sent a request.
type caller struct {
	name     string
	customer *api.Customer
	plan     *api.Plan
	key      uint64
}

// authenticate finds the customer by the key, in the configuration in force, unless too
// many wrong keys came from the caller's address.
func (e *entry) authenticate(state *member.State, r *http.Request) (*caller, error) {
	address, _, _ := net.SplitHostPort(r.RemoteAddr)
	now := time.Now()
	who, err := identify(state, r)
	switch {
	case err != nil && e.guesses.wrong(now, address):
		return nil, err
	case err == nil && e.guesses.good(now, address, who.key):
		return who, nil
	}
	return nil, result.Refuse(api.ResultCode_RATE_LIMITED, guessWait, "Too many wrong keys came from this address.")
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

// serving returns the state to serve by, or why this entry takes no work. An entry
// that is stopping serves on: callers keep its address for a while.
func (e *entry) serving() (*member.State, error) {
	state := e.node.State()
	switch code := state.Refusing(clock.Now()); code {
	case api.ResultCode_OK, api.ResultCode_DRAINING:
		return state, nil
	default:
		return nil, result.New(code)
	}
}

// addresses is the answer to "which address to use".
type addresses struct {
	Addresses []address `json:"addresses"`
	KeepMs    int64     `json:"keep_ms"`
}

type address struct {
	Address string  `json:"address"`
	Weight  float64 `json:"weight"`
}

// serveAddresses lists the entries that take requests. No key is needed: a caller
// must find an entry before it can show one.
func (e *entry) serveAddresses(w http.ResponseWriter, _ *http.Request) error {
	answer, err := e.addresses(e.node.State())
	if err != nil {
		return err
	}
	return writeJSON(w, answer)
}

// addresses lists the entries that take requests, as far as a state shows.
func (e *entry) addresses(state *member.State) (addresses, error) {
	answer := addresses{KeepMs: e.settings.GetPolicy().GetAddressKeepMs()}
	unready := state.Unready(clock.Now())
	if unready == api.ResultCode_OK && !state.Out {
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
			// A caller that is sent here would be refused; it has other entries to ask.
			return addresses{}, result.New(unready)
		}
		// Nothing is in service. An entry that answers is of more use than none.
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
