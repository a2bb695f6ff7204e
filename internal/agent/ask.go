package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// queryTimeout is how long a question over a kept connection may take.
	queryTimeout = time.Second
	// maxControlAnswerBytes bounds an answer of the engine's own interface, bytes.
	maxControlAnswerBytes = 4 << 20
)

// newQueryTransport returns the transport of questions. A question may be asked twice, so that
// connections may be kept, one for each of the watchers.
func newQueryTransport() *http.Transport {
	return &http.Transport{
		DisableCompression:  true,
		Proxy:               nil,
		MaxIdleConnsPerHost: 3,
		IdleConnTimeout:     30 * time.Second,
	}
}

// query puts one question to the engine's own interface, over a connection kept from the
// last one: most of what an agent without work spent was a connection for each question.
//
// A kept connection may have gone silent for good while new ones work: an engine that is
// warm would be taken for cold again and again. So no answer over a kept one is followed
// by the same question over a new one, and only that one's failure counts.
func (b *backend) query(ctx context.Context, path string, answer any) (int, error) {
	status, err := b.callOver(ctx, b.queryTransport, queryTimeout, http.MethodGet, path, nil, answer)
	if status != 0 || err == nil || ctx.Err() != nil {
		return status, err
	}
	return b.callControl(ctx, http.MethodGet, path, nil, answer)
}

// callOver makes one callOver of the engine's own interface over a transport.
func (b *backend) callOver(ctx context.Context, transport *http.Transport, timeout time.Duration, method, path string, body, answer any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		// The reader hides its type, so that the body cannot be sent again.
		reader = struct{ io.Reader }{bytes.NewReader(text)}
	}
	req, err := http.NewRequestWithContext(ctx, method, b.base+path, reader)
	if err != nil {
		return 0, err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, errors.Errorf("status %d from %s", resp.StatusCode, path)
	}
	if answer == nil {
		return resp.StatusCode, nil
	}
	// Only a connection whose answer was read to its end is kept.
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlAnswerBytes))
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, json.Unmarshal(data, answer)
}
