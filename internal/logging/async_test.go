package logging

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is an output that nobody reads until unblock is closed.
type blockedWriter struct {
	mu      sync.Mutex
	buf     bytes.Buffer
	unblock chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// Guards against requests that block on their log line while nobody reads the log. Dropped lines
// are counted, and reported when the log is read again.
func TestAsyncNeverWaits(t *testing.T) {
	const lines, capacity = 1000, 8
	// A few lines fill a batch, so that most lines are dropped.
	line := []byte(strings.Repeat("x", maxBatchBytes/4-1) + "\n")
	out := &blockedWriter{unblock: make(chan struct{})}
	a := newAsync(out, "", capacity)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range lines {
			_, _ = a.Write(line)
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("Write blocks until the log is read")
	}
	if a.Dropped() == 0 {
		t.Error("no line was dropped: the test shows nothing")
	}
	close(out.unblock)
	a.Close(20 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.buf.String()
	reported := int(a.Dropped())
	for _, match := range regexp.MustCompile(`unread=(\d+)`).FindAllStringSubmatch(text, -1) {
		n, err := strconv.Atoi(match[1])
		if err != nil {
			t.Fatal(err)
		}
		reported += n
	}
	if written := strings.Count(text, "x\n"); written+reported != lines {
		t.Errorf("%d lines written, %d reported as dropped, of %d", written, reported, lines)
	}
}

func TestAsyncCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	a := NewAsync(&out, "")
	for range 100 {
		_, _ = a.Write([]byte("line\n"))
	}
	a.Close(20 * time.Second)
	if n := strings.Count(out.String(), "line\n"); n != 100 {
		t.Errorf("%d of 100 lines", n)
	}
}

// Guards against a process that cannot exit because nobody reads its log.
func TestAsyncCloseTimesOut(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	defer close(out.unblock)
	a := newAsync(out, "", 8)
	_, _ = a.Write([]byte("line\n"))
	a.Close(time.Millisecond)
}
