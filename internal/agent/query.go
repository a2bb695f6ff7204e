package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/internal/response"
)

const (
	// queryTimeout is how long a query over a kept connection may take.
	queryTimeout = time.Second
	// maxControlAnswerBytes limits an answer of the engine's control interface.
	maxControlAnswerBytes = 4 << 20
)

// newQueryTransport returns the transport for queries. A query may be sent twice, so connections
// may be kept: one for each polling goroutine.
func newQueryTransport() *http.Transport {
	return response.Transport(&http.Transport{
		DisableCompression:  true,
		Proxy:               nil,
		MaxIdleConnsPerHost: 3,
		IdleConnTimeout:     30 * time.Second,
	})
}

// query sends one query to the engine's control interface over a kept connection. A new connection
// for each query would make up most of the processor time of an idle agent.
//
// A kept connection may be dead while new ones work, which would make a warm engine look cold
// again and again. A query that gets no answer over a kept connection is therefore repeated over a
// new one, and only the failure of the second counts.
func (b *backend) query(ctx context.Context, path string, answer any) (int, error) {
	status, err := b.callOver(ctx, b.queryTransport, queryTimeout, http.MethodGet, path, nil, answer)
	if status != 0 || err == nil || ctx.Err() != nil {
		return status, err
	}
	return b.callControl(ctx, http.MethodGet, path, nil, answer)
}

// callOver makes one call of the engine's control interface over a transport.
func (b *backend) callOver(ctx context.Context, transport *http.Transport, timeout time.Duration, method, path string, body, answer any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		// The wrapper hides the reader's type, so that the body cannot be sent again.
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
	// A connection is kept only if its answer was read to the end, and only a whole answer counts.
	data, err := bounded.ReadAll(resp.Body, maxControlAnswerBytes, "the answer of the engine")
	switch {
	case err != nil:
		return 0, err
	case resp.StatusCode != http.StatusOK:
		return resp.StatusCode, errors.Errorf("status %d from %s", resp.StatusCode, path)
	case answer == nil:
		return resp.StatusCode, nil
	}
	return resp.StatusCode, json.Unmarshal(data, answer)
}
