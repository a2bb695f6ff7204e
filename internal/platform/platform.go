// Package platform is the client of the platform's append-only log and of its list of VMs.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/internal/jsonlist"
	"github.com/apricothub/apricothub/internal/response"
)

// maxResponseBytes limits the size of one response.
const maxResponseBytes = 64 << 20

// ErrResponseTooLarge means that a response exceeds the size limit. A read that asks for fewer
// records may succeed.
var ErrResponseTooLarge = errors.New("the platform's answer is too large")

// ExpiredError means that the log no longer keeps the requested offset.
type ExpiredError struct {
	// Oldest is the oldest offset kept, NextOffset the offset of the next append.
	Oldest, NextOffset int64
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the log keeps offsets from %d on", e.Oldest)
}

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	baseURL string
	// recordsPath is the path of the log records: those of the configuration, or those of another
	// stream.
	recordsPath string
	http        *http.Client
	timeout     time.Duration
	// maxResponseBytes is the constant of the same name except in tests.
	maxResponseBytes int64
}

// New returns a client of the platform at a base URL. Each request may take up to timeout, in
// addition to the time that it asks the platform to wait.
func New(baseURL string, timeout time.Duration) *Client {
	transport := response.Transport(&http.Transport{
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
	})
	return &Client{
		baseURL:          strings.TrimSuffix(baseURL, "/"),
		recordsPath:      "/log/records",
		http:             &http.Client{Transport: transport},
		timeout:          timeout,
		maxResponseBytes: maxResponseBytes,
	}
}

// Stream returns a client whose Append and Read use a separate stream of the log, with offsets of
// its own. It has separate connections, so that reads that wait on a busy stream do not use up
// those for the configuration.
func (c *Client) Stream(name string) *Client {
	stream := New(c.baseURL, c.timeout)
	stream.recordsPath = "/log/streams/" + url.PathEscape(name) + "/records"
	stream.maxResponseBytes = c.maxResponseBytes
	return stream
}

// Append appends one record and returns its offset. After an error the record may still have been
// appended, as the response may have been lost.
func (c *Client) Append(ctx context.Context, record []byte) (int64, error) {
	var response struct {
		Offset int64 `json:"offset"`
	}
	err := c.doJSON(ctx, http.MethodPost, c.recordsPath, record, 0, &response)
	if err != nil {
		return 0, errors.Wrap(err, "append to the log")
	}
	return response.Offset, nil
}

// Batch is the response to a read of the log.
type Batch struct {
	// Oldest is the oldest offset kept, NextOffset the offset of the next append.
	Oldest     int64 `json:"first"`
	NextOffset int64 `json:"next"`
	// Records are in order. A record whose data cannot be decoded has none.
	Records []LogRecord `json:"-"`
}

// LogRecord is a record of the log.
type LogRecord struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// LogRecords returns the records in the form in which processes exchange them.
func (b *Batch) LogRecords() []*api.LogRecord {
	records := make([]*api.LogRecord, 0, len(b.Records))
	for _, r := range b.Records {
		records = append(records, &api.LogRecord{Offset: r.Offset, Data: r.Data})
	}
	return records
}

// Read returns up to limit records starting at an offset, and waits up to wait for the first one.
// It returns an *ExpiredError for an offset that is no longer kept.
func (c *Client) Read(ctx context.Context, from int64, limit int, wait time.Duration) (*Batch, error) {
	path := fmt.Sprintf("%s?from=%d&limit=%d&wait_ms=%d", c.recordsPath, from, limit, wait.Milliseconds())
	resp, err := c.do(ctx, http.MethodGet, path, nil, wait, "")
	if err != nil {
		return nil, errors.Wrap(err, "read the log")
	}
	batch := &Batch{}
	records, err := decodeList(resp, "records", batch)
	if err != nil {
		return nil, errors.Wrap(err, "read the log")
	}
	for _, raw := range records {
		record := decodeRecord(raw, from)
		from = record.Offset + 1
		batch.Records = append(batch.Records, record)
	}
	return batch, nil
}

// decodeRecord decodes the record that is expected at an offset. What cannot be decoded has no data: each process must
// come to the same verdict on the record, and go on after it.
func decodeRecord(raw []byte, expected int64) LogRecord {
	record := LogRecord{Offset: -1}
	if err := json.Unmarshal(raw, &record); err != nil || record.Offset < 0 {
		return LogRecord{Offset: expected}
	}
	return record
}

func (c *Client) doJSON(ctx context.Context, method, path string, body []byte, wait time.Duration, response any) error {
	resp, err := c.do(ctx, method, path, body, wait, "")
	if err != nil {
		return err
	}
	return decodeResponse(resp.status, resp.body, response)
}

// storeResponse is a response of the platform.
type storeResponse struct {
	status int
	body   []byte
	etag   string // of the content, empty if the platform sends none
}

// do sends one request. With an etag, it asks for the content only if it has changed.
func (c *Client) do(ctx context.Context, method, path string, body []byte, wait time.Duration, etag string) (*storeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	// With a body that is not a *bytes.Reader the request has no GetBody, so net/http cannot resend
	// an append on its own.
	var reader io.Reader
	if body != nil {
		reader = struct{ io.Reader }{bytes.NewReader(body)}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return nil, err
	}
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := bounded.ReadAll(resp.Body, c.maxResponseBytes, "the answer of the platform")
	if bounded.IsTooLarge(err) {
		return nil, ErrResponseTooLarge
	}
	if err != nil {
		return nil, err
	}
	return &storeResponse{status: resp.StatusCode, body: data, etag: resp.Header.Get("ETag")}, nil
}

// decodeList decodes a response with a list in a field. It returns the elements of the list, and decodes the rest of the
// response into rest.
func decodeList(resp *storeResponse, field string, rest any) ([]json.RawMessage, error) {
	if resp.status != http.StatusOK {
		return nil, decodeResponse(resp.status, resp.body, rest)
	}
	others, elements, err := jsonlist.Cut(resp.body, field)
	if err != nil {
		return nil, errors.Wrap(err, "the platform's answer cannot be read")
	}
	return elements, decodeResponse(resp.status, others, rest)
}

func decodeResponse(status int, data []byte, into any) error {
	if status == http.StatusGone {
		var expired struct {
			First int64 `json:"first"`
			Next  int64 `json:"next"`
		}
		if err := json.Unmarshal(data, &expired); err != nil {
			return errors.Wrap(err, "the platform's answer cannot be read")
		}
		return &ExpiredError{Oldest: expired.First, NextOffset: expired.Next}
	}
	if status != http.StatusOK {
		return errors.Errorf("the platform answered with status %d", status)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Wrap(err, "the platform's answer cannot be read")
	}
	return nil
}
