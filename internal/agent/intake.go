package agent

import (
	"bytes"
	"net/http"
	"strings"
	"time"

	"github.com/apricothub/apricothub/decide/cold"
	"github.com/apricothub/apricothub/internal/clock"
)

// intake takes in one answer and tells the limiter how fast it comes.
type intake struct {
	executor *executor
	job      *job
	stream   bool
	started  time.Duration
	last     time.Duration // when the last part came; 0 before the first
	pace     cold.Stream
	observed bool
}

func newIntake(e *executor, j *job, resp *http.Response, started time.Duration) *intake {
	return &intake{
		executor: e,
		job:      j,
		stream:   strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"),
		started:  started,
	}
}

// part takes one part of the answer.
func (in *intake) part(data []byte) error {
	e, now := in.executor, clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if in.stream {
		in.observe(now)
	}
	if _, err := e.answers.Append(in.job.buffer, data); err != nil {
		return err
	}
	if in.wanted(data) {
		in.job.wake()
	}
	return nil
}

// wanted says that a caller can use a part before what follows at once. The mark of a
// stream's end goes out with the end itself, and an answer that is no stream when it is
// whole or a part is full: the entry passes neither on before that. Each wake-up costs
// two switches between goroutines and a packet here, and a packet and a switch there.
func (in *intake) wanted(data []byte) bool {
	if in.stream {
		return !bytes.HasPrefix(data, []byte(doneEvent))
	}
	return len(data) == partSize
}

// observe tells the limiter of a first token or of the pace at once: a backend server
// that turned cold shows in them long before the answer ends.
func (in *intake) observe(now time.Duration) {
	e := in.executor
	if in.last == 0 {
		in.observed = true
		e.streamed = now
		e.limiter.Observe(now, now-in.started)
	} else {
		e.limiter.ObserveGap(now, now-in.last, &in.pace)
	}
	in.last = now
}

// streamsTell is how long after a stream's first token whole answers teach nothing.
const streamsTell = 5 * time.Second

// outcome is what the whole answer teaches. The time of an answer that is not a stream
// is that of all its tokens, many times that of a first one; among streams it would
// look like a cold backend server, so it counts only where there are no streams.
func (in *intake) outcome() cold.Outcome {
	e, now := in.executor, clock.Now()
	outcome := cold.Outcome{Took: now - in.started, Observed: in.observed}
	e.mu.Lock()
	defer e.mu.Unlock()
	alone := e.streamed == 0 || now-e.streamed > streamsTell
	if !in.stream && alone {
		outcome.Latency = outcome.Took
	}
	return outcome
}
