package httpguard

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/shed"
	"github.com/apricothub/apricothub/internal/result"
)

const (
	// bodyCopies is how often a body is held: it grows in a buffer that is copied when it is full.
	bodyCopies = 2
	// bodyStepBytes is the part of a body that is counted at a time.
	bodyStepBytes = 16 << 10
)

// countedBody is the body of a request, counted while it is read.
type countedBody struct {
	io.ReadCloser
	c *connection
	// uncounted are bytes that were read and not counted yet.
	uncounted int64
	// isRead means that the body was read to its end.
	isRead bool
}

// Read implements io.Reader. It returns a SATURATED [result.Error] if there is no room for the body, and net.ErrClosed if
// the connection has yielded.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.uncounted += int64(n)
	if b.uncounted >= bodyStepBytes {
		if !b.c.hold(bodyCopies * b.uncounted) {
			return n, noRoom()
		}
		b.uncounted = 0
	}
	if err == io.EOF && !b.isRead {
		b.isRead = true
		b.c.bodyDeadline = time.Time{}
		_ = b.c.Conn.SetReadDeadline(time.Time{})
		if !b.c.guard.move(b.c, shed.InFlight, 0) {
			// Its client can get no answer, so the request must not run.
			return n, net.ErrClosed
		}
	}
	return n, err
}

// ReadBody reads a whole body of at most limit bytes. If the Content-Length already exceeds the
// limit, nothing is read.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	tooLarge := result.Newf(api.ResultCode_BODY_TOO_LARGE, "The body is larger than %d bytes.", limit)
	if r.ContentLength > limit {
		return nil, tooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var maxBytesErr *http.MaxBytesError
	var refused *result.Error
	switch {
	case errors.As(err, &maxBytesErr):
		return nil, tooLarge
	case errors.As(err, &refused):
		return nil, refused
	case err != nil:
		// A truncated request must never run as if it were complete.
		return nil, result.New(api.ResultCode_BAD_REQUEST, "The body could not be read to its end.")
	}
	return body, nil
}
