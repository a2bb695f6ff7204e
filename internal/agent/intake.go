package agent

import (
	"bytes"
	"net/http"
	"strings"
	"time"

	"github.com/apricothub/apricothub/decide/cold"
	"github.com/apricothub/apricothub/internal/clock"
)

// answerRecorder stores one answer as it arrives and reports its timing to the limiter.
type answerRecorder struct {
	executor *executor
	job      *job
	isStream bool
	started  time.Duration
	lastPart time.Duration // when the last part arrived; 0 before the first
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

// addPart stores one part of the answer.
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

// shouldNotify reports whether a reader can use a part before the next one. The last event of a
// stream is sent together with the stream's end. An answer that is not a stream is sent when it is
// complete or a part is full. The entry passes on neither before that, and each wake-up of readers
// costs two goroutine switches and a packet here, and a packet and a switch at the entry.
func (r *answerRecorder) shouldNotify(data []byte) bool {
	if r.isStream {
		return !bytes.HasPrefix(data, []byte(doneEvent))
	}
	return len(data) == partSize
}

// observeTiming reports a first token or the gap between tokens to the limiter at once: they show
// that a backend server turned cold long before the answer ends.
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

// streamEvidenceTime is how long after a stream's first token the time of whole answers is
// ignored.
const streamEvidenceTime = 5 * time.Second

// outcome returns what the limiter learns from the whole answer. The time of an answer that is not
// a stream covers all its tokens and is many times that of a first token. Among streams it would
// look like a cold backend server, so it counts only while there are no streams.
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
