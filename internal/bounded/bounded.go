// Package bounded reads what other processes send within limits, so that none of them can fill the memory
// of this one, or keep it reading, by sending without end.
//
// The rule for all readers: a message is read whole up to a limit in bytes, and beyond it the read fails with
// a [TooLargeError]; nothing is cut off silently. The time is bounded by the deadline of the connection or
// the context of the call. A test of this package holds all code to the rule.
package bounded

import (
	"fmt"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// MaxHeaderBytes limits the status line and the header of an answer, with the interim answers before it.
const MaxHeaderBytes = 64 << 10

// TooLargeError is returned for a message that is longer than its limit.
type TooLargeError struct {
	// What names the message, such as "the header of an answer".
	What string
	// Limit is its limit in bytes.
	Limit int64
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s has more than %d bytes", e.What, e.Limit)
}

// IsTooLarge reports whether an error is or wraps a TooLargeError.
func IsTooLarge(err error) bool {
	var tooLarge *TooLargeError
	return errors.As(err, &tooLarge)
}

// Reader reads from another reader up to a limit, which can be set anew for each message.
type Reader struct {
	r    io.Reader
	what string
	// limit is the limit in bytes and left what is left of it.
	limit, left int64
}

// NewReader returns a Reader of r that may read limit bytes. what names the message in errors.
func NewReader(r io.Reader, limit int64, what string) *Reader {
	return &Reader{r: r, what: what, limit: limit, left: limit}
}

// Allow sets the limit of the bytes that are read from now on.
func (r *Reader) Allow(limit int64, what string) {
	r.what, r.limit, r.left = what, limit, limit
}

// Read implements io.Reader. A message that ends at its limit is read without an error.
func (r *Reader) Read(p []byte) (int, error) {
	if int64(len(p)) > r.left {
		// One byte more shows whether the message ends here.
		p = p[:r.left+1]
	}
	n, err := r.r.Read(p)
	if int64(n) > r.left {
		n, r.left = int(r.left), 0
		return n, &TooLargeError{What: r.what, Limit: r.limit}
	}
	r.left -= int64(n)
	return n, err
}

// ReadAll reads a message to its end.
func ReadAll(r io.Reader, limit int64, what string) ([]byte, error) {
	return io.ReadAll(NewReader(r, limit, what))
}

// Discard reads a message to its end and drops it.
func Discard(r io.Reader, limit int64, what string) error {
	_, err := io.Copy(io.Discard, NewReader(r, limit, what))
	return err
}

// Transport limits the headers of the answers that an HTTP transport reads, and returns it.
func Transport(t *http.Transport) *http.Transport {
	t.MaxResponseHeaderBytes = MaxHeaderBytes
	return t
}
