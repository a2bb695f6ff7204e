package logging

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
)

const (
	// MaxQueuedLines is the maximum number of lines queued for writing: some seconds of a busy
	// process.
	MaxQueuedLines = 4096
	// maxBatchBytes is the size at which a batch of queued lines is written.
	maxBatchBytes = 64 << 10
)

// Async is a writer that never blocks its caller: a separate goroutine writes the lines, and
// lines are dropped when its queue is full. If writes blocked, a collector that reads slowly or
// not at all would stall every request that logs. Once there is room in the queue again, a line
// reports how many lines were dropped.
type Async struct {
	w io.Writer
	// vm is the VM of the process, empty if unknown.
	vm      string
	lines   chan []byte
	dropped atomic.Int64
	// droppedCounter counts the lines dropped since the process started.
	droppedCounter metrics.Counter
	closing        chan struct{}
	closeOnce      sync.Once
	done           chan struct{}
}

// NewAsync returns a writer that forwards the lines of the process on vm to w.
func NewAsync(w io.Writer, vm string) *Async { return newAsync(w, vm, MaxQueuedLines) }

func newAsync(w io.Writer, vm string, maxLines int) *Async {
	a := &Async{
		w: w, vm: vm, lines: make(chan []byte, maxLines), closing: make(chan struct{}), done: make(chan struct{}),
		droppedCounter: metrics.GetOrRegisterCounter("log.dropped.unread", metrics.DefaultRegistry),
	}
	go a.run()
	return a
}

// Write queues one line, or drops it if the queue is full. It never fails and never blocks.
func (a *Async) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case a.lines <- kept:
	default:
		a.dropped.Add(1)
		a.droppedCounter.Inc(1)
	}
	return len(line), nil
}

// Busy returns true if more than half of the queue is used: the reader is falling behind.
func (a *Async) Busy() bool { return len(a.lines) > cap(a.lines)/2 }

// Dropped returns the number of dropped lines that have not been reported in a line yet.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines, for at most the timeout.
func (a *Async) Close(timeout time.Duration) {
	a.closeOnce.Do(func() { close(a.closing) })
	select {
	case <-a.done:
	case <-time.After(timeout):
	}
}

func (a *Async) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.write(line)
		case <-a.closing:
			for {
				select {
				case line := <-a.lines:
					a.write(line)
				default:
					return
				}
			}
		}
	}
}

// droppedLine returns the line that reports n dropped lines. It bypasses the rate limit and the
// queue, which have no room for it when lines are dropped.
func (a *Async) droppedLine(n int64) []byte {
	var line bytes.Buffer
	// Writing to a buffer cannot fail.
	_ = level.Warn(newSink(&line)).Log(PartKey, "logging", SelfKey, a.vm,
		MessageKey, "Log lines were dropped because standard output was not read.", UnreadKey, n)
	return line.Bytes()
}

// write writes a line together with the lines queued after it, in one batch.
func (a *Async) write(line []byte) {
	if n := a.dropped.Swap(0); n > 0 {
		line = append(line, a.droppedLine(n)...)
	}
	for len(line) < maxBatchBytes {
		select {
		case next := <-a.lines:
			line = append(line, next...)
			continue
		default:
		}
		break
	}
	// There is nowhere to report that the log cannot be written.
	_, _ = a.w.Write(line)
}
