// Package response reads HTTP/1.1 responses strictly by RFC 9112. All readers of responses use it: [Reader] for
// connections of their own, [Transport] for those of net/http.
//
// The parser of net/http is lenient, and what it drops nobody can judge afterwards: a refusal whose field names have
// spaces would be believed, and a body whose length is lost would last until its reader gives up.
package response

import (
	"fmt"
	"net/http"
)

// maxStatus is the largest status code that HTTP defines a class for.
const maxStatus = 599

// InvalidStatusError is the error of a response whose status code HTTP does not define. Such bytes are
// no response, and the request may have been executed.
type InvalidStatusError struct{ Status int }

func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("the status %d of the response is not between %d and %d", e.Status, http.StatusOK, maxStatus)
}

// IsInterim reports whether a response with this status code is followed by the final one.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// CheckStatus returns an *InvalidStatusError unless status is one of a final response. http.ReadResponse
// accepts any three digits, and http.ResponseWriter panics at some of them. No request asks for another
// protocol, so a switch to one is invalid too.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return &InvalidStatusError{Status: status}
	}
	return nil
}

// EndsWithConnection reports whether a response has a body without a length and without chunks, so that its end is that
// of the connection.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead
}
