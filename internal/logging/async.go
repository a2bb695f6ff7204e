package logging

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// asyncLines is the number of lines that wait to be written: some seconds of a busy
	// process.
	asyncLines = 4096
	// asyncBatch is the most bytes written at once.
	asyncBatch = 64 << 10
)

// Async is a writer that never keeps its caller waiting: lines are written by a goroutine of
// their own, and left out when it falls behind.
//
// Load: a collector that reads slowly or not at all, while requests come at full rate. Harm
// prevented: each request waits for its log line, and in the end all of them for nobody.
// How many lines were left out is told in a line once there is room again.
type Async struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// unread counts the lines left out since the process started.
	unread  metrics.Counter
	closing chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewAsync returns a writer that passes lines on to w.
func NewAsync(w io.Writer) *Async { return newAsync(w, asyncLines) }

func newAsync(w io.Writer, lines int) *Async {
	a := &Async{
		w: w, lines: make(chan []byte, lines), closing: make(chan struct{}), done: make(chan struct{}),
		unread: metrics.GetOrRegisterCounter("log.dropped.unread", metrics.DefaultRegistry),
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
		a.unread.Inc(1)
	}
	return len(line), nil
}

// Busy says that more than half of the room for lines is taken: the reader falls back.
func (a *Async) Busy() bool { return len(a.lines) > cap(a.lines)/2 }

// Dropped is the number of lines left out of which no line has told yet.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes what waits, for as long as patience.
func (a *Async) Close(patience time.Duration) {
	a.once.Do(func() { close(a.closing) })
	select {
	case <-a.done:
	case <-time.After(patience):
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

// write writes a line with those that wait behind it, at one go.
func (a *Async) write(line []byte) {
	if n := a.dropped.Swap(0); n > 0 {
		line = append(line, "part=logging level=warn msg=\"Lines were left out, since nobody read them.\" dropped="+strconv.FormatInt(n, 10)+"\n"...)
	}
	for len(line) < asyncBatch {
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
