// Package web holds the HTTP server code that all stand-ins share.
package web

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/oklog/run"
)

const shutdownTimeout = 5 * time.Second

// NoBody is the type of an empty request or response body.
type NoBody struct{}

// Refusal is an error that is sent to the caller with an HTTP status and a body.
type Refusal struct {
	Status int
	Body   any
}

func (r Refusal) Error() string { return http.StatusText(r.Status) }

// errorBody is the body of a refusal that has only a message.
type errorBody struct {
	Error string `json:"error"`
}

// Refuse returns a Refusal with a message.
func Refuse(status int, message string) error { return Refusal{status, errorBody{message}} }

// Serve answers requests on addr until SIGTERM or SIGINT, then waits up to 5 s for open requests to
// end.
func Serve(addr string, srv *http.Server, logger log.Logger) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	_ = logger.Log("msg", "The stand-in is listening.", "address", listener.Addr())
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), syscall.SIGTERM, syscall.SIGINT))
	group.Add(func() error { return srv.Serve(listener) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = srv.Shutdown(ctx)
	})
	if err = group.Run(); errors.Is(err, run.ErrSignal) {
		return logger.Log("msg", "The stand-in has stopped.")
	}
	return err
}

// JSONHandler returns an HTTP handler that calls f with the request and its decoded JSON body and
// sends the result as JSON. If In is []byte, f gets the body undecoded.
func JSONHandler[In, Out any](f func(*http.Request, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		data, err := io.ReadAll(r.Body)
		if raw, ok := any(&in).(*[]byte); ok {
			*raw = data
		} else if len(data) > 0 && err == nil {
			err = json.Unmarshal(data, &in)
		}
		if err != nil {
			Respond(w, nil, Refuse(http.StatusBadRequest, err.Error()))
			return
		}
		out, err := f(r, in)
		Respond(w, out, err)
	}
}

// SetHandler returns an HTTP handler that passes the request body to f and sends an empty response.
func SetHandler[In any](f func(In)) http.HandlerFunc {
	return JSONHandler(func(_ *http.Request, in In) (NoBody, error) {
		f(in)
		return NoBody{}, nil
	})
}

// GetHandler returns an HTTP handler that sends the result of f and ignores the request body.
func GetHandler[Out any](f func() Out) http.HandlerFunc {
	return JSONHandler(func(*http.Request, NoBody) (Out, error) { return f(), nil })
}

// Respond sends body as JSON, or err in its place: a Refusal with its own status, any other error
// with 502.
func Respond(w http.ResponseWriter, body any, err error) {
	status := http.StatusOK
	if refusal := (Refusal{}); errors.As(err, &refusal) {
		status, body = refusal.Status, refusal.Body
	} else if err != nil {
		status, body = http.StatusBadGateway, errorBody{err.Error()}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// QueryInt returns an integer query parameter, or fallback if it is missing or malformed.
func QueryInt(r *http.Request, name string, fallback int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

// NowMS returns the wall-clock time in milliseconds since 1970.
func NowMS() int64 { return time.Now().UnixMilli() }

// Millis converts milliseconds to a duration.
func Millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Monitor is a mutex whose state others can wait on. The zero value is ready to use.
type Monitor struct {
	mu      sync.Mutex
	changed chan struct{}
}

// WithLock runs f under the lock, then wakes all waiters to check their condition again.
func (w *Monitor) WithLock(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}

// WaitUntil evaluates f under the lock, now and after each WithLock, until it returns true or ctx
// ends.
func (w *Monitor) WaitUntil(ctx context.Context, f func() bool) error {
	for {
		w.mu.Lock()
		done := f()
		if w.changed == nil {
			w.changed = make(chan struct{})
		}
		changed := w.changed
		w.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
