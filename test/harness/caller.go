package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Values of Reply.Ran: whether the request ran, as the answer states it.
const (
	RanYes     = "yes"
	RanNo      = "no"
	RanUnknown = "unknown"
)

// Reply is a complete answer to a caller.
type Reply struct {
	Status int
	// Code and Name are those of the Apricothub-Result header; 0 and "" without one.
	Code int
	Name string
	// Ran is the value stated in a refusal, or RanYes for an answer of the backend server.
	Ran        string
	Message    string
	RetryAfter time.Duration
	Header     http.Header
	Body       []byte
}

// refusal is the JSON body of an answer that apricothub itself generates.
type refusal struct {
	Error struct {
		Code         int    `json:"code"`
		Name         string `json:"name"`
		Message      string `json:"message"`
		Ran          string `json:"ran"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// Caller is a customer's client. It never retries a request by itself.
type Caller struct {
	Key    string
	client *http.Client
}

// callTimeout limits one request of a caller.
const callTimeout = 60 * time.Second

// NewCaller returns a caller that opens a connection for each request, so that the HTTP transport
// cannot retry a request.
func NewCaller(key string) *Caller {
	return newCaller(key, &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext})
}

// NewKeepAliveCaller returns a caller that reuses its connections, like most HTTP clients.
func NewKeepAliveCaller(key string) *Caller {
	return newCaller(key, &http.Transport{MaxIdleConnsPerHost: 1000})
}

func newCaller(key string, transport *http.Transport) *Caller {
	return &Caller{Key: key, client: &http.Client{
		Timeout:       callTimeout,
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Request is a request of a caller.
type Request struct {
	Method string
	Path   string
	Header map[string]string
	Body   string
}

// Send sends a request to an address and returns the response with its body unread.
func (c *Caller) Send(ctx context.Context, address string, r Request) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	request.GetBody = nil // Without GetBody the transport cannot send the body again.
	if c.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.Key)
	}
	for name, value := range r.Header {
		request.Header.Set(name, value)
	}
	response, err := c.client.Do(request)
	return response, wrap(err, "send")
}

// Do sends a request and reads the whole answer. It returns an error if the answer is missing or
// incomplete.
func (c *Caller) Do(ctx context.Context, address string, r Request) (Reply, error) {
	response, err := c.Send(ctx, address, r)
	if err != nil {
		return Reply{}, err
	}
	return readReply(response)
}

func readReply(response *http.Response) (Reply, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Reply{}, errors.Wrap(err, "answer")
	}
	reply := Reply{Status: response.StatusCode, Header: response.Header, Body: body, Ran: RanYes}
	code, name, _ := strings.Cut(response.Header.Get("Apricothub-Result"), " ")
	reply.Name = name
	reply.Code, _ = strconv.Atoi(code)
	if reply.Code == 0 {
		return reply, nil
	}
	var parsed refusal
	if err := json.Unmarshal(body, &parsed); err != nil {
		return reply, errors.Wrapf(err, "result %d %s has a body that is not a refusal: %q", reply.Code, name, body)
	}
	reply.Ran = parsed.Error.Ran
	reply.Message = parsed.Error.Message
	reply.RetryAfter = time.Duration(parsed.Error.RetryAfterMS) * time.Millisecond
	return reply, nil
}

// AddressList is an entry's answer about which entries callers should use.
type AddressList struct {
	Addresses []struct {
		Address string  `json:"address"`
		Weight  float64 `json:"weight"`
	} `json:"addresses"`
	KeepMS int64 `json:"keep_ms"`
}

// Addresses asks an entry which entries to use.
func (c *Caller) Addresses(ctx context.Context, address string) (AddressList, error) {
	var list AddressList
	reply, err := c.Do(ctx, address, Request{Method: http.MethodGet, Path: "/v1/addresses"})
	if err != nil {
		return list, err
	}
	if reply.Status != http.StatusOK {
		return list, errors.Errorf("addresses: %d %s %s", reply.Code, reply.Name, reply.Message)
	}
	return list, wrap(json.Unmarshal(reply.Body, &list), "addresses")
}

// Ticket permits one run of a request.
type Ticket struct {
	Ticket      string `json:"ticket"`
	ExpiresInMS int64  `json:"expires_in_ms"`
}

// RequestTicket asks an entry for a ticket for a service.
func (c *Caller) RequestTicket(ctx context.Context, address, service string) (Ticket, error) {
	var ticket Ticket
	body, err := json.Marshal(map[string]string{"service": service})
	if err != nil {
		return ticket, errors.Wrap(err, "ticket")
	}
	reply, err := c.Do(ctx, address, Request{Method: http.MethodPost, Path: "/v1/tickets", Body: string(body)})
	if err != nil {
		return ticket, err
	}
	if reply.Status != http.StatusOK {
		return ticket, errors.Errorf("ticket: %d %s %s", reply.Code, reply.Name, reply.Message)
	}
	return ticket, wrap(json.Unmarshal(reply.Body, &ticket), "ticket")
}

// Push sends a price update under a ticket. The service's ledger records it under the name call.
func (c *Caller) Push(ctx context.Context, address, ticket, call string) (Reply, error) {
	return c.Do(ctx, address, PushRequest(ticket, call))
}

// PushRequest returns a request for a price update, which must not run twice.
func PushRequest(ticket, call string) Request {
	r := Request{
		Method: http.MethodPost,
		Path:   "/services/" + Service + "/push",
		Header: map[string]string{"X-Call": call, "Content-Type": "application/json"},
		Body:   `{"label":"` + call + `","price":"1.99"}`,
	}
	if ticket != "" {
		r.Header["Idempotency-Key"] = ticket
	}
	return r
}

// LookUp looks a label up. The request is repeatable.
func (c *Caller) LookUp(ctx context.Context, address, label, call string) (Reply, error) {
	return c.Do(ctx, address, Request{
		Method: http.MethodGet,
		Path:   "/services/" + Service + "/labels/" + label,
		Header: map[string]string{"X-Call": call},
	})
}

// trimmed returns data without the white space around it.
func trimmed(data []byte) string { return string(bytes.TrimSpace(data)) }
