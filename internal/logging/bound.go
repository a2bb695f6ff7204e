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
	kinds
)

// String names the kind, as lines and metrics show it.
func (k Kind) String() string { return [...]string{"served", "failed", "state"}[k] }

const (
	// DefaultLines is the most lines a second that a process writes unless it is told
	// otherwise: of some hundred bytes each, about what one person's collector takes from
	// hundreds of processes.
	DefaultLines = 200
	// LeastLines is the least that it can be told: below it a kind would have no room for
	// one burst of a few lines.
	LeastLines = 40
	// burstPart is the part of the lines of a second that may come at once. The rate is the
	// other half, so that in no second there are more than both together.
	burstPart = 0.5
	// sentencePart is the part of its kind's room that one sentence may take: a fault that
	// strikes every request fills the log with one sentence, and other faults must still
	// show.
	sentencePart = 0.5
	// tellEach is the least time between two lines on what was left out.
	tellEach = 10 * time.Second
	// maxSentences bounds the sentences whose rate is followed; they are literals of the
	// code, so that there are far fewer.
	maxSentences = 512
)

// droppedPrefix begins the names of the counters of lines left out.
const droppedPrefix = "log.dropped."

// parts divides the lines of a second among the kinds. What went well is a sample, and has
// the least; no kind can take another's room, however many lines it has.
var parts = [kinds]float64{Served: 0.2, Failed: 0.5, State: 0.3}

// Bounded is a logger with a bound on the lines of a second.
//
// Load: each of thousands of requests a second brings a line or more, and in a fault all of
// them the same. Harm prevented: the process spends its time on lines that no collector
// takes; refusals crowd out the change of belief that explains them, or answers that went
// well both. What is left out is counted, by kind in the metrics log.dropped.KIND and in a
// line of its own, and by sentence in dropped_before of the next line of that sentence.
type Bounded struct {
	next   log.Logger
	busy   func() bool
	now    func() time.Time
	lines  int
	rates  *ratelimit.Keyed
	counts [kinds]metrics.Counter

	mu sync.Mutex
	// dropped counts the lines left out since the last one of a sentence.
	dropped map[string]int64
	// untold counts those left out since the last line that told of them, by kind.
	untold [kinds]int64
	toldAt time.Time
}

// Bound bounds the lines of a second. busy says that the writer behind falls back, and may
// be nil: what went well is left out then, so that the room behind is there for the rest.
func Bound(logger log.Logger, linesPerSecond int, busy func() bool) *Bounded {
	return newBounded(logger, linesPerSecond, busy, time.Now)
}

func newBounded(logger log.Logger, linesPerSecond int, busy func() bool, now func() time.Time) *Bounded {
	b := &Bounded{
		next: logger, busy: busy, now: now, lines: max(linesPerSecond, LeastLines),
		rates: ratelimit.New(maxSentences), dropped: make(map[string]int64), toldAt: now(),
	}
	for k := range kinds {
		b.counts[k] = metrics.GetOrRegisterCounter(droppedPrefix+k.String(), metrics.DefaultRegistry)
	}
	return b
}

// Log implements log.Logger.
func (b *Bounded) Log(keyvals ...any) error {
	kind, sentence := kindOf(keyvals)
	now := b.now()
	b.tell(now)
	if !b.room(kind, sentence, now) {
		b.leaveOut(kind, sentence)
		return nil
	}
	b.mu.Lock()
	dropped := b.dropped[sentence]
	delete(b.dropped, sentence)
	b.mu.Unlock()
	if dropped > 0 {
		keyvals = append(keyvals[:len(keyvals):len(keyvals)], DroppedKey, dropped)
	}
	return b.next.Log(keyvals...)
}

// room says whether there is room for a line.
func (b *Bounded) room(kind Kind, sentence string, now time.Time) bool {
	if kind == Served && b.busy != nil && b.busy() {
		return false
	}
	// Of a kind with one sentence in the main, that one may take all.
	if kind != Served && !b.take(sentence, sentencePart*parts[kind], now) {
		return false
	}
	return b.take(kind.String(), parts[kind], now)
}

// take takes one line out of the room that a part of all lines has.
func (b *Bounded) take(key string, part float64, now time.Time) bool {
	each := part * float64(b.lines)
	burst := int(burstPart * each)
	ok, _ := b.rates.Allow(now, key, (1-burstPart)*each, burst)
	return ok
}

func (b *Bounded) leaveOut(kind Kind, sentence string) {
	b.counts[kind].Inc(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.untold[kind]++
	if len(b.dropped) < maxSentences || b.dropped[sentence] > 0 {
		b.dropped[sentence]++
	}
}

// tell writes how many lines were left out, when it is time.
func (b *Bounded) tell(now time.Time) {
	b.mu.Lock()
	due := now.Sub(b.toldAt) >= tellEach && b.untold != [kinds]int64{}
	untold := b.untold
	if due = due && b.take(State.String(), parts[State], now); due {
		b.untold = [kinds]int64{}
		b.toldAt = now
	}
	b.mu.Unlock()
	if due {
		_ = level.Warn(b.next).Log(PartKey, "logging", MessageKey, "Lines were left out, to keep to the bound.",
			Served.String(), untold[Served], Failed.String(), untold[Failed], State.String(), untold[State])
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
	if kind == Served && (failed || rankOf(keyvals) >= rankWarn) {
		kind = Failed
	}
	return kind, sentence
}
