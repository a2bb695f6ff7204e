package logging

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/internal/ratelimit"
)

// Kind is the subject of a line. Each kind has its own share of the rate limit.
type Kind uint8

const (
	// Served lines are about a request that was served normally.
	Served Kind = iota
	// Failed lines are about a request that was refused, failed, late or retried.
	Failed
	// State lines are about the process: changes of its knowledge, start, stop and faults.
	State
	numKinds
)

// String returns the name of the kind in lines and metrics.
func (k Kind) String() string { return [...]string{"served", "failed", "state"}[k] }

const (
	// DefaultLinesPerSecond is the default rate limit of a process. At some hundred bytes per
	// line, this is about what a single collector accepts from hundreds of processes.
	DefaultLinesPerSecond = 200
	// MinLinesPerSecond is the lowest configurable rate limit. Below it, the share of a kind would
	// not allow a burst of a few lines.
	MinLinesPerSecond = 40
	// burstFraction is the fraction of the lines per second that may be written in one burst. The
	// sustained rate is the other half, so that burst and rate together never exceed the limit
	// in any second.
	burstFraction = 0.5
	// sentenceFraction is the fraction of its kind's share that one sentence may use. A fault that
	// affects every request fills the log with one sentence; other faults must still be logged.
	sentenceFraction = 0.5
	// dropReportInterval is the minimum time between two lines that report dropped lines.
	dropReportInterval = 10 * time.Second
	// maxSentences limits the number of sentences whose rate is tracked. Sentences are literals in
	// the code, so there are far fewer.
	maxSentences = 512
)

// droppedPrefix is the prefix of the names of the counters of dropped lines.
const droppedPrefix = "log.dropped."

// kindFractions divides the rate limit among the kinds. Served lines are only a sample and have the
// smallest share. A kind cannot use the share of another, however many lines it has.
var kindFractions = [numKinds]float64{Served: 0.2, Failed: 0.5, State: 0.3}

// RateLimited is a logger that limits the lines per second.
//
// Each of thousands of requests per second logs at least one line; during a fault, all of them log
// the same. Without the limit, the process would spend its time on lines that no collector
// accepts. Without shares for the kinds, lines about refusals would crowd out the line that
// explains them, or lines about served requests would crowd out both.
//
// Dropped lines are counted: by kind in the metrics log.dropped.KIND and in a separate line, and
// by sentence in dropped_before of the next line with that sentence.
type RateLimited struct {
	next           log.Logger
	isBusy         func() bool
	now            func() time.Time
	linesPerSecond int
	limiter        *ratelimit.Keyed
	counters       [numKinds]metrics.Counter

	mu sync.Mutex
	// droppedBySentence counts the lines dropped since the last written line with a sentence.
	droppedBySentence map[string]int64
	// unreported counts the lines dropped since the last line that reported them, by kind.
	unreported [numKinds]int64
	reportedAt time.Time
}

// LimitRate returns a logger that limits the lines per second. isBusy reports that the writer of
// the lines is falling behind, and may be nil; Served lines are dropped then, to keep its queue
// free for the other kinds.
func LimitRate(logger log.Logger, linesPerSecond int, isBusy func() bool) *RateLimited {
	return newRateLimited(logger, linesPerSecond, isBusy, time.Now)
}

func newRateLimited(logger log.Logger, linesPerSecond int, isBusy func() bool, now func() time.Time) *RateLimited {
	r := &RateLimited{
		next: logger, isBusy: isBusy, now: now, linesPerSecond: max(linesPerSecond, MinLinesPerSecond),
		limiter: ratelimit.New(maxSentences), droppedBySentence: make(map[string]int64), reportedAt: now(),
	}
	for k := range numKinds {
		r.counters[k] = metrics.GetOrRegisterCounter(droppedPrefix+k.String(), metrics.DefaultRegistry)
	}
	return r
}

// Log implements log.Logger.
func (r *RateLimited) Log(keyvals ...any) error {
	kind, sentence := kindOf(keyvals)
	now := r.now()
	r.reportDropped(now)
	if !r.allow(kind, sentence, now) {
		r.drop(kind, sentence)
		return nil
	}
	r.mu.Lock()
	dropped := r.droppedBySentence[sentence]
	delete(r.droppedBySentence, sentence)
	r.mu.Unlock()
	if dropped > 0 {
		keyvals = append(keyvals[:len(keyvals):len(keyvals)], DroppedKey, dropped)
	}
	return r.next.Log(keyvals...)
}

// allow returns true if the limits permit a line.
func (r *RateLimited) allow(kind Kind, sentence string, now time.Time) bool {
	if kind == Served && r.isBusy != nil && r.isBusy() {
		return false
	}
	// Served lines mostly have the same sentence, which may use the whole share.
	if kind != Served && !r.allowFraction(sentence, sentenceFraction*kindFractions[kind], now) {
		return false
	}
	return r.allowFraction(kind.String(), kindFractions[kind], now)
}

// allowFraction returns true if a line is within a fraction of the rate limit, and counts it.
func (r *RateLimited) allowFraction(key string, fraction float64, now time.Time) bool {
	rate := fraction * float64(r.linesPerSecond)
	burst := int(burstFraction * rate)
	ok, _ := r.limiter.Allow(now, key, (1-burstFraction)*rate, burst)
	return ok
}

func (r *RateLimited) drop(kind Kind, sentence string) {
	r.counters[kind].Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreported[kind]++
	if len(r.droppedBySentence) < maxSentences || r.droppedBySentence[sentence] > 0 {
		r.droppedBySentence[sentence]++
	}
}

// reportDropped writes a line with the number of dropped lines, if one is due.
func (r *RateLimited) reportDropped(now time.Time) {
	r.mu.Lock()
	due := now.Sub(r.reportedAt) >= dropReportInterval && r.unreported != [numKinds]int64{}
	unreported := r.unreported
	if due = due && r.allowFraction(State.String(), kindFractions[State], now); due {
		r.unreported = [numKinds]int64{}
		r.reportedAt = now
	}
	r.mu.Unlock()
	if due {
		_ = level.Warn(r.next).Log(PartKey, "logging", MessageKey, "Log lines were dropped to keep to the rate limit.",
			Served.String(), unreported[Served], Failed.String(), unreported[Failed], State.String(), unreported[State])
	}
}

// kindOf returns the kind and the sentence of a line.
func kindOf(keyvals []any) (kind Kind, sentence string) {
	kind = State
	failed := false
	for i := 0; i+1 < len(keyvals); i += 2 {
		switch keyvals[i] {
		case RequestKey:
			kind = Served
		case ResultKey:
			failed = true
		case MessageKey:
			sentence = textOf(keyvals[i+1])
		}
	}
	if kind == Served && (failed || severityOf(keyvals) >= severityWarn) {
		kind = Failed
	}
	return kind, sentence
}
