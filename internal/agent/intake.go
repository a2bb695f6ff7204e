package agent

import (
	"bytes"
	"net/http"
	"strings"
	"time"

	"github.com/apricothub/apricothub/decide/cold"
	"github.com/apricothub/apricothub/internal/clock"
)

// answerRecorder takes in one answer and tells the limiter how fast it comes.
type answerRecorder struct {
	executor *executor
	job      *job
	isStream bool
	started  time.Duration
	lastPart time.Duration // when the last part came; 0 before the first
	gaps     cold.Stream
	observed bool
}

func newAnswerRecorder(e *executor, j *job, resp *http.Response, started time.Duration) *answerRecorder {
	return &answerRecorder{
		executor: e,
		job:      j,
		isStream: strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"),
		started:  started,
	}
}

// addPart takes one addPart of the answer.
func (r *answerRecorder) addPart(data []byte) error {
	e, now := r.executor, clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.isStream {
		r.observeTiming(now)
	}
	if _, err := e.answers.Append(r.job.buffer, data); err != nil {
		return err
	}
	if r.shouldNotify(data) {
		r.job.notifyReaders()
	}
	return nil
}

// shouldNotify says that a caller can use a part before what follows at once. The mark of a
// stream's end goes out with the end itself, and an answer that is no stream when it is
// whole or a part is full: the entry passes neither on before that. Each wake-up costs
// two switches between goroutines and a packet here, and a packet and a switch there.
func (r *answerRecorder) shouldNotify(data []byte) bool {
	if r.isStream {
		return !bytes.HasPrefix(data, []byte(doneEvent))
	}
	return len(data) == partSize
}

// observeTiming tells the limiter of a first token or of the pace at once: a backend server
// that turned cold shows in them long before the answer ends.
func (r *answerRecorder) observeTiming(now time.Duration) {
	e := r.executor
	if r.lastPart == 0 {
		r.observed = true
		e.lastFirstToken = now
		e.limiter.Observe(now, now-r.started)
	} else {
		e.limiter.ObserveGap(now, now-r.lastPart, &r.gaps)
	}
	r.lastPart = now
}

// streamEvidenceTime is how long after a stream's first token whole answers teach nothing.
const streamEvidenceTime = 5 * time.Second

// outcome is what the whole answer teaches. The time of an answer that is not a stream
// is that of all its tokens, many times that of a first one; among streams it would
// look like a cold backend server, so it counts only where there are no streams.
func (r *answerRecorder) outcome() cold.Outcome {
	e, now := r.executor, clock.Now()
	outcome := cold.Outcome{Took: now - r.started, Observed: r.observed}
	e.mu.Lock()
	defer e.mu.Unlock()
	noStreams := e.lastFirstToken == 0 || now-e.lastFirstToken > streamEvidenceTime
	if !r.isStream && noStreams {
		outcome.Latency = outcome.Took
	}
	return outcome
}
