// Package adminclient sends the operators' commands to the admin address of a process.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/internal/response"
	"github.com/apricothub/apricothub/internal/result"
)

const (
	// maxResponseBytes limits how much of a response is read; a dump has at most 8 MiB.
	maxResponseBytes = 32 << 20
	// responseMargin is added to the time that the server may wait, for the deadline of the
	// request.
	responseMargin = 10 * time.Second
)

// Client sends requests to one process.
type Client struct {
	baseURL    string
	token      string
	httpClient *http.Client
}

// New returns a client for an admin address, IP:port.
func New(address, token string) (*Client, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, result.Newf(api.ResultCode_BAD_REQUEST, "%q is not an admin address, IP:port.", address)
	}
	return &Client{
		baseURL: "http://" + address, token: token,
		httpClient: &http.Client{
			// Proxies from the environment are ignored: the token is sent to this address only.
			Transport:     response.Transport(&http.Transport{DisableKeepAlives: true}),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// ResponseError is an error response, with the details that the process gives.
type ResponseError struct {
	Result  *result.Error
	Details adminapi.Failure
}

// Error returns the text of the result.
func (f *ResponseError) Error() string { return f.Result.Error() }

// Unwrap returns the result.
func (f *ResponseError) Unwrap() error { return f.Result }

// List fetches a list in force; list is plans or uses.
func (c *Client) List(ctx context.Context, list string) (*adminapi.List, error) {
	into := &adminapi.List{}
	return into, c.get(ctx, adminapi.PathLists+list, into)
}

// Status fetches the state of the system as the process knows it.
func (c *Client) Status(ctx context.Context) (*adminapi.Status, error) {
	into := &adminapi.Status{}
	return into, c.get(ctx, adminapi.PathStatus, into)
}

// Publish sends a list and waits until the change reaches the wanted state.
func (c *Client) Publish(ctx context.Context, list string, request adminapi.PublishRequest, wanted adminapi.State, timeout time.Duration) (*adminapi.Change, error) {
	return c.change(ctx, http.MethodPost, adminapi.PathLists+list, request, wanted, timeout)
}

// Mark sends a mark and waits until the change reaches the wanted state.
func (c *Client) Mark(ctx context.Context, request adminapi.MarkRequest, wanted adminapi.State, timeout time.Duration) (*adminapi.Change, error) {
	return c.change(ctx, http.MethodPost, adminapi.PathMarks, request, wanted, timeout)
}

// Change fetches the progress of a change, after waiting for it to reach the wanted state.
func (c *Client) Change(ctx context.Context, id string, wanted adminapi.State, timeout time.Duration) (*adminapi.Change, error) {
	return c.change(ctx, http.MethodGet, adminapi.PathChanges+url.PathEscape(id), nil, wanted, timeout)
}

// Fetch returns the raw body of a path: the dump, metrics or readiness.
func (c *Client) Fetch(ctx context.Context, path string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, path, nil)
}

func (c *Client) change(ctx context.Context, method, path string, body any, wanted adminapi.State, timeout time.Duration) (*adminapi.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout+responseMargin)
	defer cancel()
	query := url.Values{}
	query.Set("wait", string(wanted))
	query.Set("timeout_ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	text, err := c.do(ctx, method, path+"?"+query.Encode(), body)
	if err != nil {
		return nil, err
	}
	into := &adminapi.Change{}
	return into, decode(text, into)
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	text, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return decode(text, into)
}

func decode(text []byte, into any) error {
	if err := json.Unmarshal(text, into); err != nil {
		return result.Newf(api.ResultCode_UNREACHABLE, "The answer is not one of apricothub: %v.", err)
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, path string, body any) ([]byte, error) {
	var bodyReader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		bodyReader = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bodyReader)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, result.Newf(api.ResultCode_UNREACHABLE, "No answer from %s: %v.", c.baseURL, errors.Unwrap(err))
	}
	defer response.Body.Close()
	text, err := bounded.ReadAll(response.Body, maxResponseBytes, "the answer")
	if err != nil {
		return nil, result.Newf(api.ResultCode_UNREACHABLE, "The answer of %s broke off: %v.", c.baseURL, err)
	}
	return text, errorFromResponse(response, text)
}

// errorFromResponse returns the error that a response carries, or nil.
func errorFromResponse(response *http.Response, text []byte) error {
	response.Body = io.NopCloser(bytes.NewReader(text))
	e := result.ReadHTTP(response)
	if e == nil && response.StatusCode == http.StatusOK {
		return nil
	}
	if e == nil {
		return result.New(api.ResultCode_UNREACHABLE, fmt.Sprintf("The answer is not one of apricothub: %s.", response.Status))
	}
	responseErr := &ResponseError{Result: e}
	_ = json.Unmarshal(text, &responseErr.Details)
	return responseErr
}
