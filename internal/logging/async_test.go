package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is an output that nobody reads until it is let go.
type stuck struct {
	mu  sync.Mutex
	buf bytes.Buffer
	let chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Nobody reads the log. A request that logs goes on at once all the same; what could not be
// kept is counted, and told of when the log is read again.
func TestAsyncNeverWaits(t *testing.T) {
	out := &stuck{let: make(chan struct{})}
	a := newAsync(out, 8)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 1000 {
			_, _ = a.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("a writer waits for the reader")
	}
	if n := a.Dropped(); n < 900 || n > 992 {
		t.Errorf("%d lines left out", n)
	}
	close(out.let)
	a.Close(20 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	if text := out.buf.String(); !strings.Contains(text, "dropped=") || strings.Count(text, "line\n") < 8 {
		t.Errorf("written:\n%s", text)
	}
}

func TestAsyncCloseWritesWhatWaits(t *testing.T) {
	var out bytes.Buffer
	a := NewAsync(&out)
	for range 100 {
		_, _ = a.Write([]byte("line\n"))
	}
	a.Close(20 * time.Second)
	if n := strings.Count(out.String(), "line\n"); n != 100 {
		t.Errorf("%d of 100 lines", n)
	}
}

// A process that ends does not wait for a log that nobody reads.
func TestAsyncCloseGivesUp(t *testing.T) {
	out := &stuck{let: make(chan struct{})}
	defer close(out.let)
	a := newAsync(out, 8)
	_, _ = a.Write([]byte("line\n"))
	a.Close(time.Millisecond)
}
