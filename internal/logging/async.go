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
	// MaxQueuedLines is the number of lines that wait to be written at most: some seconds of a busy
	// process.
	MaxQueuedLines = 4096
	// maxBatchBytes is the most bytes written at once.
	maxBatchBytes = 64 << 10
)

// Async is a writer that never keeps its caller waiting: lines are written by a goroutine of
// their own, and left out when it falls behind.
//
// Load: a collector that reads slowly or not at all, while requests come at full rate. Harm
// prevented: each request waits for its log line, and in the end all of them for nobody.
// How many lines were left out is told in a line once there is room again.
type Async struct {
	w io.Writer
	// vm is the VM whose process writes; empty for one that does not say.
	vm      string
	lines   chan []byte
	dropped atomic.Int64
	// droppedCounter counts the lines left out since the process started.
	droppedCounter metrics.Counter
	closing        chan struct{}
	closeOnce      sync.Once
	done           chan struct{}
}

// NewAsync returns a writer that passes the lines of the process on a VM on to w.
func NewAsync(w io.Writer, vm string) *Async { return newAsync(w, vm, MaxQueuedLines) }

func newAsync(w io.Writer, vm string, maxLines int) *Async {
	a := &Async{
		w: w, vm: vm, lines: make(chan []byte, maxLines), closing: make(chan struct{}), done: make(chan struct{}),
		droppedCounter: metrics.GetOrRegisterCounter("log.dropped.unread", metrics.DefaultRegistry),
	}
	go a.run()
	return a
}

// Write takes one line. It never fails and never waits.
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

// Busy says that more than half of the room for lines is taken: the reader falls back.
func (a *Async) Busy() bool { return len(a.lines) > cap(a.lines)/2 }

// Dropped is the number of lines left out of which no line has told yet.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes what waits, for as long as patience.
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

// droppedLine is the line that tells how many were left out. It goes past the bound and the ring,
// which have no room for it when it matters.
func (a *Async) droppedLine(n int64) []byte {
	var line bytes.Buffer
	// A buffer takes all that is written to it.
	_ = level.Warn(newSink(&line)).Log(PartKey, "logging", SelfKey, a.vm,
		MessageKey, "Lines were left out, since nobody read them.", UnreadKey, n)
	return line.Bytes()
}

// write writes a line with those that wait behind it, at one go.
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
	// There is nobody to tell that the log cannot be written.
	_, _ = a.w.Write(line)
}
