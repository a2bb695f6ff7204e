package logging

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/internal/ratelimit"
)

// Kind is what a line is about, by which its room is kept.
type Kind uint8

const (
	// Served lines tell of a request that went as it should.
	Served Kind = iota
	// Failed lines tell of a request that was refused, failed, late, or tried once more.
	Failed
	// State lines tell of the process: what it believes, starts, stops and faults.
	State
	numKinds
)

// String names the kind, as lines and metrics show it.
func (k Kind) String() string { return [...]string{"served", "failed", "state"}[k] }

const (
	// DefaultLinesPerSecond is the most lines a second that a process writes unless it is told
	// otherwise: of some hundred bytes each, about what one person's collector takes from
	// hundreds of processes.
	DefaultLinesPerSecond = 200
	// MinLinesPerSecond is the least that it can be told: below it a kind would have no room for
	// one burst of a few lines.
	MinLinesPerSecond = 40
	// burstFraction is the part of the lines of a second that may come at once. The rate is the
	// other half, so that in no second there are more than both together.
	burstFraction = 0.5
	// sentenceFraction is the part of its kind's room that one sentence may take: a fault that
	// strikes every request fills the log with one sentence, and other faults must still
	// show.
	sentenceFraction = 0.5
	// dropReportInterval is the least time between two lines on what was left out.
	dropReportInterval = 10 * time.Second
	// maxSentences bounds the sentences whose rate is followed; they are literals of the
	// code, so that there are far fewer.
	maxSentences = 512
)

// droppedPrefix begins the names of the counters of lines left out.
const droppedPrefix = "log.dropped."

// kindFractions divides the lines of a second among the kinds. What went well is a sample, and has
// the least; no kind can take another's room, however many lines it has.
var kindFractions = [numKinds]float64{Served: 0.2, Failed: 0.5, State: 0.3}

// RateLimited is a logger with a bound on the lines of a second.
//
// Load: each of thousands of requests a second brings a line or more, and in a fault all of
// them the same. Harm prevented: the process spends its time on lines that no collector
// takes; refusals crowd out the change of belief that explains them, or answers that went
// well both. What is left out is counted, by kind in the metrics log.dropped.KIND and in a
// line of its own, and by sentence in dropped_before of the next line of that sentence.
type RateLimited struct {
	next           log.Logger
	isBusy         func() bool
	now            func() time.Time
	linesPerSecond int
	limiter        *ratelimit.Keyed
	counters       [numKinds]metrics.Counter

	mu sync.Mutex
	// droppedBySentence counts the lines left out since the last one of a sentence.
	droppedBySentence map[string]int64
	// unreported counts those left out since the last line that told of them, by kind.
	unreported [numKinds]int64
	reportedAt time.Time
}

// LimitRate bounds the lines of a second. busy says that the writer behind falls back, and may
// be nil: what went well is left out then, so that the room behind is there for the rest.
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

// allow says whether there is room for a line.
func (r *RateLimited) allow(kind Kind, sentence string, now time.Time) bool {
	if kind == Served && r.isBusy != nil && r.isBusy() {
		return false
	}
	// Of a kind with one sentence in the main, that one may take all.
	if kind != Served && !r.allowFraction(sentence, sentenceFraction*kindFractions[kind], now) {
		return false
	}
	return r.allowFraction(kind.String(), kindFractions[kind], now)
}

// allowFraction takes one line out of the room that a part of all lines has.
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

// reportDropped writes how many lines were left out, when it is time.
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
		_ = level.Warn(r.next).Log(PartKey, "logging", MessageKey, "Lines were left out, to keep to the bound.",
			Served.String(), unreported[Served], Failed.String(), unreported[Failed], State.String(), unreported[State])
	}
}

// kindOf finds the kind and the sentence of a line.
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
