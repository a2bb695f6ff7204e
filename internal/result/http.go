package result

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/bounded"
)

// Header is the response header with the result, set on every answer that apricothub itself makes.
const Header = "Apricothub-Result"

// defaultRetryAfter is used where no wait was computed and the code requires Retry-After.
const defaultRetryAfter = time.Second

// Body is the JSON body of an error answer.
type Body struct {
	Error Detail `json:"error"`
}

// Detail describes the error in a [Body].
type Detail struct {
	Code    int32  `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
	// Ran is no, yes or unknown.
	Ran string `json:"ran"`
	// RetryAfterMs is the time to wait before a retry; absent if none is given.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// Detail returns the error as it appears in a body.
func (e *Error) Detail() Detail {
	info := Lookup(e.Code)
	return Detail{
		Code: info.Number, Name: info.Name, Message: e.Text, Ran: RanName(e.Ran),
		RetryAfterMs: milliseconds(e.retryAfter()),
	}
}

// retryAfter is the wait that the answer tells the caller.
func (e *Error) retryAfter() time.Duration {
	if e.RetryAfter <= 0 && Lookup(e.Code).RetryAfter {
		return defaultRetryAfter
	}
	return max(e.RetryAfter, 0)
}

// SetHeader sets the result's number and name, and Retry-After where the caller should retry.
func (e *Error) SetHeader(h http.Header) {
	SetHeader(h, e.Code)
	if wait := e.retryAfter(); wait > 0 {
		// HTTP has whole seconds here; rounded up, so that no caller retries too early.
		seconds := (wait + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
}

// SetHeader sets the number and name of a result; use it for OK.
func SetHeader(h http.Header, code api.ResultCode) {
	info := Lookup(code)
	h.Set(Header, fmt.Sprintf("%d %s", info.Number, info.Name))
}

// WriteHTTP answers with the error. It must be called before the header is written.
func WriteHTTP(w http.ResponseWriter, err error) {
	e := FromError(err)
	e.SetHeader(w.Header())
	w.Header().Set("Content-Type", "application/json")
	w.Header().Del("Content-Length")
	w.WriteHeader(Lookup(e.Code).HTTP)
	_ = json.NewEncoder(w).Encode(Body{Error: e.Detail()})
}

// maxBodyBytes limits how much of an answer ReadHTTP reads.
const maxBodyBytes = 64 << 10

// ReadHTTP returns the error of an answer whose result is not OK, and nil for any other answer. It
// reads the body only for an error.
func ReadHTTP(r *http.Response) *Error {
	number, _, _ := strings.Cut(r.Header.Get(Header), " ")
	code, err := strconv.ParseInt(number, 10, 32)
	if err != nil || code == int64(api.ResultCode_OK) {
		return nil
	}
	e := New(api.ResultCode(code))
	var body Body
	text, err := bounded.ReadAll(r.Body, maxBodyBytes, "the body of a result")
	if err != nil || json.Unmarshal(text, &body) != nil {
		return e
	}
	if body.Error.Message != "" {
		e.Text = body.Error.Message
	}
	e.Ran = parseRan(body.Error.Ran)
	e.RetryAfter = time.Duration(body.Error.RetryAfterMs) * time.Millisecond
	return e
}

func parseRan(name string) api.Ran {
	switch name {
	case "no":
		return api.Ran_RAN_NO
	case "yes":
		return api.Ran_RAN_YES
	}
	return api.Ran_RAN_UNKNOWN
}

// milliseconds rounds up, so that a short wait does not become 0.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
