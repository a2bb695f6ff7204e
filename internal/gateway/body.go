package gateway

import (
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
)

// defaultMaxBody limits a body in bytes if the configuration sets no limit.
const defaultMaxBody = 4 << 20

const (
	// maxBodyTime limits the time for which the body of a request is read.
	maxBodyTime = 30 * time.Second
	// maxRequestTime limits a request for which neither the caller nor the route states a time.
	maxRequestTime = time.Hour
)

// readBody reads the whole body before anything is sent: a backend server never waits for a slow
// caller, and the request can be sent again.
func (g *Gateway) readBody(t *task, r *http.Request, limit int) *result.Error {
	if r.Body == http.NoBody {
		return nil
	}
	if limit <= 0 {
		limit = defaultMaxBody
	}
	_ = t.out.rc.SetReadDeadline(time.Now().Add(min(maxBodyTime, timeLeft(t.deadline, clock.Now()))))
	body, isWhole, err := g.bodies.Read(http.MaxBytesReader(t.out.w, r.Body, int64(limit)), limit)
	t.body = body
	// The library would take a deadline that passes later for the end of the caller's connection.
	_ = t.out.rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	var refused *result.Error
	switch {
	case errors.As(err, &refused):
		return refused
	case errors.As(err, &tooLarge):
		return result.New(api.ResultCode_BODY_TOO_LARGE)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.New(api.ResultCode_DEADLINE_UNREACHABLE)
	case err != nil:
		return result.New(api.ResultCode_BAD_REQUEST)
	case !isWhole:
		return result.New(api.ResultCode_SATURATED)
	}
	return nil
}

// releaseBuffers releases what is held of a request and its answers.
func (g *Gateway) releaseBuffers(t *task) {
	g.bodies.Release(t.body)
	for _, answer := range t.buffered {
		g.buffers.Release(answer)
	}
}
