package agent

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/internal/response"
	"github.com/apricothub/apricothub/internal/upstream"
)

const (
	// maxEventBytes limits one event of a streamed answer.
	maxEventBytes = 1 << 20
	// partSize is the size in bytes of a part of an answer that is not a stream of events.
	partSize = 32 << 10
	// doneEvent is the last event of a streamed completion.
	doneEvent = "data: [DONE]"
	// dialTimeout is how long the backend server on the same VM may take to accept a connection.
	dialTimeout = 2 * time.Second
	// mapLoadTimeout limits the loading of one expert map through the rate-limited weight store.
	mapLoadTimeout = 5 * time.Minute
	// orderTimeout limits the loading of one version or adapter through the rate-limited weight
	// store. Large weights take most of an hour when several engines read at once.
	orderTimeout = time.Hour
)

// errIncompleteStream reports a stream that ended without its last event.
var errIncompleteStream = errors.New("the stream ended before [DONE]")

// backendError is a failure at the backend server.
type backendError struct {
	// Sent says that the request may have reached the backend server.
	Sent bool
	Err  error
}

func (e *backendError) Error() string { return e.Err.Error() }

func (e *backendError) Unwrap() error { return e.Err }

// backend sends requests to the backend server of the VM.
type backend struct {
	base string
	// address is the host and the port of base; empty if it is no URL.
	address string
	// oneshot sends work; nil if the connection uses TLS. Then transport does, which also sends orders.
	oneshot   *oneshot
	transport *http.Transport
	// queryTransport keeps its connections: a query may be sent twice.
	queryTransport *http.Transport
}

// newBackend returns a client that sends each request at most once.
//
// http.Transport repeats a request by itself when a kept connection turns out to be closed and the
// request looks idempotent, as one with an Idempotency-Key does, and http.Client repeats it on a
// redirect. A push would then run twice with one answer. Therefore every request has a connection
// of its own, on which Transport never retries, and RoundTrip, which follows no redirect, is
// called directly. Work is sent by oneshot where it can be, which does neither.
func newBackend(base string) *backend {
	base = strings.TrimSuffix(base, "/")
	scheme, address := splitURL(base)
	var plain *oneshot
	if scheme == "http" {
		plain = &oneshot{address: address}
	}
	return &backend{
		base:    base,
		address: address,
		oneshot: plain,
		transport: response.Transport(&http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
			Proxy:              nil,
		}),
		queryTransport: newQueryTransport(),
	}
}

// splitURL returns the scheme, and the host and port, of a URL; empty ones if it is none.
func splitURL(base string) (scheme, address string) {
	u, err := url.Parse(base)
	if err != nil {
		return "", ""
	}
	port := u.Port()
	if port == "" {
		// The names of the schemes are those of their ports.
		port = u.Scheme
	}
	return u.Scheme, net.JoinHostPort(u.Hostname(), port)
}

// send sends one piece of work and returns the answer's header and body.
func (b *backend) send(ctx context.Context, work *api.Work) (*http.Response, error) {
	// The wrapper hides the reader's type, so that the request has no GetBody and its body cannot
	// be rewound.
	body := struct{ io.Reader }{bytes.NewReader(work.GetBody())}
	req, err := http.NewRequestWithContext(ctx, work.GetMethod(), b.base+work.GetPath(), body)
	if err != nil {
		return nil, &backendError{Err: err}
	}
	req.ContentLength = int64(len(work.GetBody()))
	if req.ContentLength == 0 {
		req.Body = http.NoBody
	}
	for _, h := range work.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	req.Header.Set("X-Request-Id", work.GetRequestId())
	var connected atomic.Bool
	resp, err := b.roundTrip(req, func() { connected.Store(true) })
	if err != nil {
		return nil, &backendError{Sent: connected.Load(), Err: err}
	}
	// A stream of events is whole only after its last event.
	if response.EndsWithConnection(resp) && !isEventStream(resp) {
		resp.Body = &openBody{ReadCloser: resp.Body, isAlive: func() bool { return upstream.IsAlive(ctx, b.address, dialTimeout) }}
	}
	return resp, nil
}

// roundTrip sends a request over a connection of its own. It calls connected once the connection
// is established.
func (b *backend) roundTrip(req *http.Request, connected func()) (*http.Response, error) {
	if b.oneshot != nil {
		return b.oneshot.roundTrip(req, connected)
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected() }}
	return b.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}

const (
	// maxAnswerBytes limits the body of an answer.
	maxAnswerBytes = 64 << 20
	answerName     = "the body of an answer"
)

// readParts passes the parts of an answer to handle. It returns an error unless the answer is
// complete.
func readParts(resp *http.Response, handle func([]byte) error) error {
	body := bounded.NewReader(resp.Body, maxAnswerBytes, answerName)
	if isEventStream(resp) {
		return readEvents(body, handle)
	}
	return readPlain(body, handle)
}

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// readEvents passes each event as one part, so that a caller can resume after any event.
func readEvents(body io.Reader, handle func([]byte) error) error {
	reader := bufio.NewReader(body)
	var event []byte
	done := false
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return errors.New("an event of the answer exceeds the size limit")
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && done && len(event) == 0:
			return nil
		case err == io.EOF:
			return errIncompleteStream
		case err != nil:
			return err
		}
		if !bytes.HasSuffix(event, []byte("\n\n")) && !bytes.HasSuffix(event, []byte("\r\n\r\n")) {
			continue
		}
		done = done || bytes.HasPrefix(event, []byte(doneEvent))
		if err := handle(event); err != nil {
			return err
		}
		event = nil
	}
}

// readPlain passes parts of partSize bytes. It does not use io.ReadFull, which reports a body that
// ends in the middle of a part with the same error that net/http returns for a truncated body.
func readPlain(body io.Reader, handle func([]byte) error) error {
	for {
		part := make([]byte, partSize)
		n, err := readFull(body, part)
		if n < partSize {
			// The answer is kept, and the memory limit for answers counts its bytes: with full
			// buffers, thousands of short answers would take many times that limit.
			part = bytes.Clone(part[:n])
		}
		if n > 0 {
			if err := handle(part); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readFull reads until the part is full or the body ends, and returns the body's own error
// unchanged.
func readFull(body io.Reader, part []byte) (int, error) {
	n := 0
	for n < len(part) {
		read, err := body.Read(part[n:])
		n += read
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// queryRunning asks a model engine which requests it still runs. A backend server without this
// interface runs nothing that matters here.
func (b *backend) queryRunning(ctx context.Context) ([]string, error) {
	var answer struct {
		IDs []string `json:"ids"`
	}
	status, err := b.query(ctx, "/engine/running", &answer)
	if status == http.StatusNotFound {
		return nil, nil
	}
	return answer.IDs, err
}

// queryCold asks a model engine whether it is in cold start. The engine's own view lags.
func (b *backend) queryCold(ctx context.Context) (bool, error) {
	var answer struct {
		Cold bool `json:"cold"`
	}
	status, err := b.query(ctx, "/engine/load", &answer)
	return answer.Cold, mapNotFound(status, err)
}

// errUnsupported says that the engine does not have an interface.
var errUnsupported = errors.New("the engine does not have this interface")

// mapNotFound returns errUnsupported for status 404 and err otherwise.
func mapNotFound(status int, err error) error {
	if status == http.StatusNotFound {
		return errUnsupported
	}
	return err
}

// queryCacheEvents asks an engine for the prefixes added to its cache since an event. It also
// returns the number of the event to ask from next.
func (b *backend) queryCacheEvents(ctx context.Context, from uint64) ([]uint64, uint64, error) {
	var answer struct {
		Events []struct {
			Op     string `json:"op"`
			Prefix uint64 `json:"prefix"`
		} `json:"events"`
		Next uint64 `json:"next"`
	}
	status, err := b.query(ctx, fmt.Sprintf("/engine/events?from=%d", from), &answer)
	var added []uint64
	for _, event := range answer.Events {
		if event.Op == "add" {
			added = append(added, event.Prefix)
		}
	}
	return added, answer.Next, mapNotFound(status, err)
}

// loadedModel is what an engine reports that it has loaded.
type loadedModel struct {
	// Version is empty when the engine has what it was started with.
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// queryLoaded asks an engine what it has loaded.
func (b *backend) queryLoaded(ctx context.Context) (loadedModel, error) {
	var answer loadedModel
	status, err := b.query(ctx, "/engine/version", &answer)
	return answer, mapNotFound(status, err)
}

// Kinds of orders.
const (
	orderModel   = "load_model"
	orderAdapter = "load_adapter"
)

// engineOrder is the body of an order to an engine.
type engineOrder struct {
	Fence   int64  `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// Bytes is 0: the engine knows the size.
	Bytes int64 `json:"bytes"`
}

// errStaleFence says that the engine has had an order with a higher fence.
var errStaleFence = errors.New("the engine has had an order with a higher fence")

// sendOrder sends an order and waits until it has been carried out.
func (b *backend) sendOrder(ctx context.Context, order engineOrder) error {
	status, err := b.callControlWithin(ctx, orderTimeout, http.MethodPost, "/engine/orders", order, nil)
	if status == http.StatusConflict {
		return errStaleFence
	}
	return mapNotFound(status, err)
}

// expertCounts holds an engine's running counts of its experts and ranks.
type expertCounts struct {
	// Tokens is the number of tokens processed by each expert of the group.
	Tokens []float64 `json:"tokens"`
	// Ranks are those of this engine. Engines that do not measure them leave them out.
	Ranks []rankCount `json:"ranks"`
}

// rankCount is the number of tokens that a rank's experts have processed, and the time it took.
type rankCount struct {
	Tokens  float64 `json:"tokens"`
	Seconds float64 `json:"seconds"`
}

// queryExperts asks an engine for the counts of its experts and ranks.
func (b *backend) queryExperts(ctx context.Context) (expertCounts, error) {
	var answer expertCounts
	_, err := b.query(ctx, "/engine/experts", &answer)
	return answer, err
}

// cancel asks a model engine to cancel one request.
func (b *backend) cancel(ctx context.Context, id string) error {
	body := map[string]string{"id": id}
	_, err := b.callControl(ctx, http.MethodPost, "/engine/cancel", body, nil)
	return err
}

// loadMap makes an engine fetch the weights of an expert map, and waits for up to mapLoadTimeout.
func (b *backend) loadMap(ctx context.Context, body any) error {
	_, err := b.callControlWithin(ctx, mapLoadTimeout, http.MethodPost, "/engine/map/load", body, nil)
	return err
}

// callControl makes one short call of the engine's control interface.
func (b *backend) callControl(ctx context.Context, method, path string, body, answer any) (int, error) {
	return b.callControlWithin(ctx, dialTimeout, method, path, body, answer)
}

// callControlWithin makes one call of the engine's control interface, with JSON in both
// directions.
func (b *backend) callControlWithin(ctx context.Context, timeout time.Duration, method, path string, body, answer any) (int, error) {
	return b.callOver(ctx, b.transport, timeout, method, path, body, answer)
}
