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

const shutdownTime = 5 * time.Second

// None stands for no body.
type None struct{}

// Refusal is an error that is answered with a status and a body.
type Refusal struct {
	Status int
	Body   any
}

func (r Refusal) Error() string { return http.StatusText(r.Status) }

// text is the body of a refusal with a sentence.
type text struct {
	Error string `json:"error"`
}

// Refuse returns a Refusal with a sentence.
func Refuse(status int, sentence string) error { return Refusal{status, text{sentence}} }

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
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
		defer cancel()
		_ = srv.Shutdown(ctx)
	})
	if err = group.Run(); errors.Is(err, run.ErrSignal) {
		return logger.Log("msg", "stopped")
	}
	return err
}

// Call makes a handler of a function from a request and its body to an answer.
// Bodies are JSON; a body that the function takes as []byte is left as it is.
func Call[In, Out any](f func(*http.Request, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		data, err := io.ReadAll(r.Body)
		if raw, ok := any(&in).(*[]byte); ok {
			*raw = data
		} else if len(data) > 0 && err == nil {
			err = json.Unmarshal(data, &in)
		}
		if err != nil {
			Answer(w, nil, Refuse(http.StatusBadRequest, err.Error()))
			return
		}
		out, err := f(r, in)
		Answer(w, out, err)
	}
}

// Set makes a handler that takes a body and has nothing to answer.
func Set[In any](f func(In)) http.HandlerFunc {
	return Call(func(_ *http.Request, in In) (None, error) {
		f(in)
		return None{}, nil
	})
}

// Get makes a handler that only answers.
func Get[Out any](f func() Out) http.HandlerFunc {
	return Call(func(*http.Request, None) (Out, error) { return f(), nil })
}

// Answer sends an answer, or an error in its place.
func Answer(w http.ResponseWriter, out any, err error) {
	status := http.StatusOK
	if refusal := (Refusal{}); errors.As(err, &refusal) {
		status, out = refusal.Status, refusal.Body
	} else if err != nil {
		status, out = http.StatusBadGateway, text{err.Error()}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

// Number returns a number of the query, or otherwise.
func Number(r *http.Request, name string, otherwise int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

// NowMS is the wall clock in milliseconds since 1970.
func NowMS() int64 { return time.Now().UnixMilli() }

// Millis turns milliseconds into a duration.
func Millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Watched is a lock for a state that others wait on. Its zero value is ready.
type Watched struct {
	mu      sync.Mutex
	changed chan struct{}
}

// Do looks at the state or changes it, and lets those who wait look again.
func (w *Watched) Do(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}

// Until looks at the state, once and again after each change, until f returns true.
func (w *Watched) Until(ctx context.Context, f func() bool) error {
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
