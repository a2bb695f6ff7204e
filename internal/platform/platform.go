// Package platform talks to the platform's append-only log and its list of VMs.
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
)

// maxAnswer bounds what is read of one answer, bytes.
const maxAnswer = 64 << 20

// ErrTooLarge says that an answer has more bytes than are taken. A read that asks for
// fewer records may pass.
var ErrTooLarge = errors.New("the platform's answer is too large")

// ExpiredError says that the log no longer keeps the offset asked for.
type ExpiredError struct {
	// First is the oldest offset kept, Next the offset of the next append.
	First, Next int64
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the log keeps offsets from %d on", e.First)
}

// Client is a client of the platform. It is safe for use by many goroutines.
type Client struct {
	base string
	// records is the path of the log's records: those of the configuration, or of a
	// stream beside it.
	records string
	http    *http.Client
	timeout time.Duration
	// maxAnswer is the constant, but for tests.
	maxAnswer int64
}

// New returns a client of the platform at a base URL. Each request may take as
// long as timeout, beyond the time it asks the platform to wait.
func New(base string, timeout time.Duration) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{
		base:      strings.TrimSuffix(base, "/"),
		records:   "/log/records",
		http:      &http.Client{Transport: transport},
		timeout:   timeout,
		maxAnswer: maxAnswer,
	}
}

// Stream returns a client whose Append and Read use a stream of its own in the log, with
// its own offsets. It has connections of its own too: reads that wait on a busy stream
// must not take those of the configuration.
func (c *Client) Stream(name string) *Client {
	stream := New(c.base, c.timeout)
	stream.records = "/log/streams/" + url.PathEscape(name) + "/records"
	stream.maxAnswer = c.maxAnswer
	return stream
}

// Append appends one record and returns its offset. An error does not say that
// the record was not appended: the answer may be what was lost.
func (c *Client) Append(ctx context.Context, record []byte) (int64, error) {
	var answer struct {
		Offset int64 `json:"offset"`
	}
	err := c.call(ctx, http.MethodPost, c.records, record, 0, &answer)
	if err != nil {
		return 0, errors.Wrap(err, "append to the log")
	}
	return answer.Offset, nil
}

// Batch is the answer to a read of the log.
type Batch struct {
	// First is the oldest offset kept, Next the offset of the next append.
	First   int64 `json:"first"`
	Next    int64 `json:"next"`
	Records []struct {
		Offset int64  `json:"offset"`
		Data   []byte `json:"data"`
	} `json:"records"`
}

// LogRecords returns the records in the form in which they travel between
// processes.
func (b *Batch) LogRecords() []*api.LogRecord {
	records := make([]*api.LogRecord, 0, len(b.Records))
	for _, r := range b.Records {
		records = append(records, &api.LogRecord{Offset: r.Offset, Data: r.Data})
	}
	return records
}

// Read returns up to limit records from an offset on, waiting for the first as
// long as wait. It returns an *ExpiredError for an offset no longer kept.
func (c *Client) Read(ctx context.Context, from int64, limit int, wait time.Duration) (*Batch, error) {
	path := fmt.Sprintf("%s?from=%d&limit=%d&wait_ms=%d", c.records, from, limit, wait.Milliseconds())
	var batch Batch
	err := c.call(ctx, http.MethodGet, path, nil, wait, &batch)
	if err != nil {
		return nil, errors.Wrap(err, "read the log")
	}
	return &batch, nil
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, wait time.Duration, answer any) error {
	got, err := c.do(ctx, method, path, body, wait, "")
	if err != nil {
		return err
	}
	return decode(got.status, got.data, answer)
}

// answered is an answer of the platform.
type answered struct {
	status int
	data   []byte
	tag    string // of the contents, if the platform gives one
}

// do makes one request. With a tag it asks only for contents that have another.
func (c *Client) do(ctx context.Context, method, path string, body []byte, wait time.Duration, tag string) (*answered, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	// A body that is not a *bytes.Reader gives the request no GetBody, so that
	// net/http cannot send an append a second time by itself.
	var reader io.Reader
	if body != nil {
		reader = struct{ io.Reader }{bytes.NewReader(body)}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, err
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > c.maxAnswer {
		return nil, ErrTooLarge
	}
	return &answered{status: resp.StatusCode, data: data, tag: resp.Header.Get("ETag")}, nil
}

func decode(status int, data []byte, answer any) error {
	if status == http.StatusGone {
		var gone struct {
			First int64 `json:"first"`
			Next  int64 `json:"next"`
		}
		if err := json.Unmarshal(data, &gone); err != nil {
			return errors.Wrap(err, "the platform's answer cannot be read")
		}
		return &ExpiredError{First: gone.First, Next: gone.Next}
	}
	if status != http.StatusOK {
		return errors.Errorf("the platform answered with status %d", status)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return errors.Wrap(err, "the platform's answer cannot be read")
	}
	return nil
}
