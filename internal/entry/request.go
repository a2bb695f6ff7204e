package entry

import (
	"encoding/json"
	"hash/fnv"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/ticket"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/httpguard"
	"github.com/apricothub/apricothub/internal/journal"
	"github.com/apricothub/apricothub/internal/member"
	"github.com/apricothub/apricothub/internal/result"
)

// Headers of the interface for callers.
const (
	headerDeadline   = "Apricothub-Deadline"    // RFC 3339, with fractions of a second
	headerDeadlineMs = "Apricothub-Deadline-Ms" // milliseconds from now
	headerPriority   = "Apricothub-Priority"    // -10 to 10, higher first
	headerVersion    = "Apricothub-Version"     // of the model
	headerAdapter    = "Apricothub-Adapter"
	headerTicket     = "Idempotency-Key"
	headerRequest    = "Apricothub-Request" // in answers: the id of the request
	headerLastEvent  = "Last-Event-ID"
)

// request is a caller's request until a backend server has answered it.
type request struct {
	caller       *caller
	offer        string
	adapter      string
	prefix       uint64
	relativeSize float64       // expected ratio of the work to the average; 0 for unknown
	arrived      time.Duration // time since process start, as the deadline
	deadline     time.Duration
	work         *api.Work
	// once says that the request runs at most once. callerTicket is the ticket that the caller
	// sent; without it a ticket is minted for each attempt.
	once         bool
	callerTicket *api.Ticket
	// ownKey is the caller's own key. callerTicket is the ticket that it is bound to, once known.
	ownKey *ownKey
}

// newRequest reads the parts that completions and calls have in common.
func (e *entry) newRequest(w http.ResponseWriter, r *http.Request, state *member.State) (*request, error) {
	sender, err := e.authenticate(state, r)
	if err != nil {
		return nil, err
	}
	limits := e.settings.GetLimits()
	timeLeft := time.Duration(limits.GetDefaultDeadlineMs()) * time.Millisecond
	timeLeft, err = readDeadline(r.Header, timeLeft)
	if err != nil {
		return nil, err
	}
	arrived := clock.Now()
	deadline := arrived + timeLeft
	priority, err := readPriority(r.Header, sender.plan)
	if err != nil {
		return nil, err
	}
	body, err := httpguard.ReadBody(w, r, limits.GetBodyBytes())
	if err != nil {
		return nil, err
	}
	record := journal.From(r.Context())
	record.Customer = sender.name
	return &request{
		caller:   sender,
		arrived:  arrived,
		deadline: deadline,
		work: &api.Work{
			RequestId: record.Request,
			Customer:  sender.name,
			Method:    r.Method,
			Headers:   forwardedHeaders(r.Header),
			Body:      body,
			Priority:  priority,
			Applied:   state.View.Applied(),
		},
	}, nil
}

// readDeadline returns the time left until the caller's deadline, or the fallback if the caller
// sets none.
func readDeadline(h http.Header, fallback time.Duration) (time.Duration, error) {
	timeLeft := fallback
	if text := h.Get(headerDeadlineMs); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms > maxTimeLeft.Milliseconds() {
			return 0, result.Newf(api.ResultCode_BAD_REQUEST, "%s is not a number of milliseconds up to %d.", headerDeadlineMs, maxTimeLeft.Milliseconds())
		}
		timeLeft = time.Duration(ms) * time.Millisecond
	}
	if text := h.Get(headerDeadline); text != "" {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return 0, result.Newf(api.ResultCode_BAD_REQUEST, "%s is not a time by RFC 3339.", headerDeadline)
		}
		timeLeft = min(timeLeft, time.Until(at))
	}
	if timeLeft <= 0 {
		return 0, result.New(api.ResultCode_DEADLINE_PAST)
	}
	return timeLeft, nil
}

// maxTimeLeft limits the deadline that a caller may set.
const maxTimeLeft = time.Hour

func readPriority(h http.Header, plan *api.Plan) (int32, error) {
	text := h.Get(headerPriority)
	if text == "" {
		return int32(min(0, plan.GetPriority())), nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < -10 || n > 10 {
		return 0, result.Newf(api.ResultCode_BAD_REQUEST, "%s is not a number from -10 to 10.", headerPriority)
	}
	return int32(min(int64(n), plan.GetPriority())), nil
}

// notForwarded are the headers that are not passed on: hop-by-hop headers, and those meant for the
// entry. A backend server must not act on the Idempotency-Key or see the caller's key.
var notForwarded = map[string]bool{
	"Authorization":     true,
	"Connection":        true,
	"Content-Length":    true,
	"Host":              true,
	"Idempotency-Key":   true,
	"Keep-Alive":        true,
	"Last-Event-Id":     true,
	"Proxy-Connection":  true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
	"Accept-Encoding":   true,
	"Expect":            true,
}

func forwardedHeaders(h http.Header) []*api.Header {
	connectionHeaders := make(map[string]bool)
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			connectionHeaders[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var headers []*api.Header
	for name, values := range h {
		if notForwarded[name] || connectionHeaders[name] || strings.HasPrefix(name, "Apricothub-") {
			continue
		}
		for _, value := range values {
			headers = append(headers, &api.Header{Name: name, Value: value})
		}
	}
	return headers
}

// completionBody is the part of a completion request that the entry reads. The engine gets the body
// unchanged.
type completionBody struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
	// MaxTokens and MaxCompletionTokens are two names of the same limit.
	MaxTokens           float64 `json:"max_tokens"`
	MaxCompletionTokens float64 `json:"max_completion_tokens"`
}

// prefixBytes is the length of a prompt's prefix. Prompts that begin with the same system text
// share it.
const prefixBytes = 256

func (e *entry) readCompletion(req *request, r *http.Request, state *member.State) error {
	var body completionBody
	if err := json.Unmarshal(req.work.GetBody(), &body); err != nil {
		return result.Newf(api.ResultCode_BAD_REQUEST, "The body is not the JSON of a completion: %v.", err)
	}
	if body.Model == "" {
		return result.New(api.ResultCode_BAD_REQUEST, "The body names no model.")
	}
	if len(body.Prompt) == 0 && len(body.Messages) == 0 {
		return result.New(api.ResultCode_BAD_REQUEST, "The body has neither prompt nor messages.")
	}
	if err := e.chooseModel(req, r.Header, body.Model, state); err != nil {
		return err
	}
	req.prefix = prefixHash(body)
	if e.directory.hasCapacity(req.offer) { // Callers may make up versions; no average is kept for those.
		req.relativeSize = e.sizes.relativeSize(req.offer, max(body.MaxTokens, body.MaxCompletionTokens))
	}
	work := req.work
	work.Kind = api.WorkKind_WORK_COMPLETION
	work.Path = r.URL.Path
	work.Model = body.Model
	work.Adapter = req.adapter
	work.Prefix = req.prefix
	// A client library may send an Idempotency-Key of its own. A completion may be repeated, so
	// only a ticket matters.
	if t, err := ticket.Decode(r.Header.Get(headerTicket)); err == nil {
		req.once = true
		req.callerTicket = t
	}
	return nil
}

// chooseModel checks the model, version and adapter against the plan and the lists.
func (e *entry) chooseModel(req *request, h http.Header, name string, state *member.State) error {
	plan := req.caller.plan
	model, ok := state.View.Model(name)
	if !ok {
		return result.Newf(api.ResultCode_UNKNOWN_MODEL, "No list names the model %q.", name)
	}
	if !contains(plan.GetModels(), name) {
		return result.Newf(api.ResultCode_NOT_IN_PLAN, "The plan does not include the model %q.", name)
	}
	version := h.Get(headerVersion)
	if version != "" && len(plan.GetVersions()) > 0 && !contains(plan.GetVersions(), version) {
		return result.Newf(api.ResultCode_NOT_IN_PLAN, "The plan does not include the version %q.", version)
	}
	if version == "" {
		req.offer, version = e.directory.offerInForce(name)
	} else {
		req.offer = modelOffer(name + "@" + version)
	}
	req.work.ModelVersion = version
	adapter := h.Get(headerAdapter)
	if adapter == "" {
		return nil
	}
	if !contains(plan.GetAdapters(), adapter) || !contains(model.GetAdapters(), adapter) {
		return result.Newf(api.ResultCode_NOT_IN_PLAN, "The plan or the model does not include the adapter %q.", adapter)
	}
	req.adapter = adapterOffer(adapter)
	return nil
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// prefixHash returns the hash under which engines publish a cached prompt prefix: FNV-1a of its
// first bytes.
func prefixHash(body completionBody) uint64 {
	text := []byte(body.Messages)
	var prompt string
	if json.Unmarshal(body.Prompt, &prompt) == nil && prompt != "" {
		text = []byte(prompt)
	}
	if len(text) > prefixBytes {
		text = text[:prefixBytes]
	}
	h := fnv.New64a()
	_, _ = h.Write(text)
	return h.Sum64()
}
