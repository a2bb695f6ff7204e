// Package web holds what the HTTP servers of all stand-ins share.
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

// NoBody stands for no body.
type NoBody struct{}

// Refusal is an error that is answered with a status and a body.
type Refusal struct {
	Status int
	Body   any
}

func (r Refusal) Error() string { return http.StatusText(r.Status) }

// errorBody is the body of a refusal with a sentence.
type errorBody struct {
	Error string `json:"error"`
}

// Refuse returns a Refusal with a sentence.
func Refuse(status int, message string) error { return Refusal{status, errorBody{message}} }

// Serve answers requests on addr until SIGTERM or SIGINT, then lets open requests
// end within 5 s.
func Serve(addr string, srv *http.Server, logger log.Logger) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	_ = logger.Log("msg", "listening", "address", listener.Addr())
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), syscall.SIGTERM, syscall.SIGINT))
	group.Add(func() error { return srv.Serve(listener) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = srv.Shutdown(ctx)
	})
	if err = group.Run(); errors.Is(err, run.ErrSignal) {
		return logger.Log("msg", "stopped")
	}
	return err
}

// JSONHandler makes a handler of a function from a request and its body to an answer.
// Bodies are JSON; a body that the function takes as []byte is left as it is.
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

// SetHandler makes a handler that takes a body and has nothing to answer.
func SetHandler[In any](f func(In)) http.HandlerFunc {
	return JSONHandler(func(_ *http.Request, in In) (NoBody, error) {
		f(in)
		return NoBody{}, nil
	})
}

// GetHandler makes a handler that only answers.
func GetHandler[Out any](f func() Out) http.HandlerFunc {
	return JSONHandler(func(*http.Request, NoBody) (Out, error) { return f(), nil })
}

// Respond sends an answer, or an error in its place.
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

// QueryInt returns a number of the query, or otherwise.
func QueryInt(r *http.Request, name string, fallback int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

// NowMS is the wall clock in milliseconds since 1970.
func NowMS() int64 { return time.Now().UnixMilli() }

// Millis turns milliseconds into a duration.
func Millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Monitor is a lock for a state that others wait on. Its zero value is ready.
type Monitor struct {
	mu      sync.Mutex
	changed chan struct{}
}

// WithLock looks at the state or changes it, and lets those who wait look again.
func (w *Monitor) WithLock(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}

// WaitUntil looks at the state, once and again after each change, until f returns true.
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
