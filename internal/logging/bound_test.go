package logging

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// loggerWithClock is a rate-limited logger with a fake clock. It records the times of its lines.
type loggerWithClock struct {
	*RateLimited
	now       time.Time
	busy      bool
	out       bytes.Buffer
	lineTimes []time.Time
}

func newLoggerWithClock(lines int) *loggerWithClock {
	w := &loggerWithClock{now: time.Unix(0, 0)}
	sink := log.NewLogfmtLogger(&w.out)
	counted := log.LoggerFunc(func(keyvals ...any) error {
		w.lineTimes = append(w.lineTimes, w.now)
		return sink.Log(keyvals...)
	})
	w.RateLimited = newRateLimited(counted, lines, func() bool { return w.busy }, func() time.Time { return w.now })
	return w
}

func (l *loggerWithClock) logServed() {
	_ = level.Info(l).Log("msg", "A request was served.", "request", "a")
}

func (l *loggerWithClock) logRefused() {
	_ = level.Warn(l).Log("msg", "A request was refused.", "request", "b", "result", "201 SATURATED")
}

func (l *loggerWithClock) logMarked(n int) {
	_ = level.Info(l).Log("msg", "A domain was marked.", "n", n)
}

func (l *loggerWithClock) count(text string) int { return strings.Count(l.out.String(), text) }

// Requests come at four times the full load, and most are refused. Guards against more lines than
// the setting allows in any second, whenever it begins.
func TestNoSecondHasMoreLinesThanTheSetting(t *testing.T) {
	for _, setting := range []int{MinLinesPerSecond, DefaultLinesPerSecond, 1000} {
		w := newLoggerWithClock(setting)
		rng := rand.New(rand.NewPCG(1, uint64(setting)))
		for range 60_000 {
			w.now = w.now.Add(time.Duration(rng.ExpFloat64() * float64(100*time.Microsecond)))
			switch n := rng.IntN(100); {
			case n < 25:
				w.logServed()
			case n < 98:
				w.logRefused()
			default:
				_ = level.Warn(w).Log("msg", fmt.Sprintf("State %d.", n), "result", "1 X")
			}
		}
		first, most := 0, 0
		for i, at := range w.lineTimes {
			for at.Sub(w.lineTimes[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
		if most > setting || most < setting/4 {
			t.Errorf("setting %d: %d lines in one second", setting, most)
		}
	}
}

// A failure domain is marked out while thousands of requests per second are refused and as many
// are served. Guards against a log without the line about the mark, which explains the refusals,
// and without lines of one of the kinds.
func TestNoKindCrowdsOutAnother(t *testing.T) {
	w := newLoggerWithClock(MinLinesPerSecond)
	for i := range 20_000 {
		w.now = w.now.Add(100 * time.Microsecond)
		w.logRefused()
		w.logServed()
		if i%5_000 == 2_500 {
			w.logMarked(i)
		}
	}
	if w.count("marked") != 4 || w.count("refused") < 5 || w.count("A request was served") < 4 {
		t.Errorf("got:\n%s", &w.out)
	}
}

// All requests hit the same fault, and one in a thousand another. Both must be logged. Each line
// says how many lines with its sentence were dropped before it, and there is at least one each
// second.
func TestNoSentenceCrowdsOutAnother(t *testing.T) {
	w := newLoggerWithClock(MinLinesPerSecond)
	for i := range 5_000 {
		w.now = w.now.Add(time.Millisecond)
		w.logRefused()
		if i%1_000 == 500 {
			_ = level.Warn(w).Log("msg", "An attempt came to nothing.", "request", "c", "result", "302 OUTCOME_UNKNOWN")
		}
	}
	if w.count("came to nothing") != 5 {
		t.Errorf("the rare fault was logged %d times of 5", w.count("came to nothing"))
	}
	dropped := 0
	for line := range strings.Lines(w.out.String()) {
		var n int
		if _, after, ok := strings.Cut(line, "dropped_before="); ok && strings.Contains(line, "refused") {
			if _, err := fmt.Sscan(after, &n); err != nil {
				t.Fatal(err)
			}
			dropped += n
		}
	}
	if kept := w.count("refused"); kept+dropped < 4_000 || kept+dropped > 5_000 {
		t.Errorf("%d lines written and %d reported as dropped, of 5000", kept, dropped)
	}
}

// Lines were dropped for a while, and now there are few. The next line of any kind must be
// accompanied by a report of the dropped lines, or a reader would take the gap for normal
// operation.
func TestDroppedLinesAreReported(t *testing.T) {
	w := newLoggerWithClock(MinLinesPerSecond)
	for range 1_000 {
		w.logRefused()
	}
	kept := w.count("refused")
	w.now = w.now.Add(dropReportInterval)
	w.logMarked(1)
	if want := fmt.Sprintf("served=0 failed=%d state=0", 1_000-kept); w.count(want) != 1 {
		t.Errorf("no line with %q in:\n%s", want, &w.out)
	}
	w.now = w.now.Add(dropReportInterval)
	w.logMarked(2)
	if w.count("were dropped") != 1 {
		t.Errorf("not reported exactly once:\n%s", &w.out)
	}
}

// The collector reads too slowly. The space left in the queue must go to lines about refusals and
// about the process.
func TestServedLinesAreDroppedFirstForASlowReader(t *testing.T) {
	w := newLoggerWithClock(MinLinesPerSecond)
	w.busy = true
	w.logServed()
	w.logRefused()
	w.logMarked(1)
	if w.count("was served") != 0 || w.count("refused") != 1 || w.count("marked") != 1 {
		t.Errorf("got:\n%s", &w.out)
	}
}

func TestKinds(t *testing.T) {
	for _, c := range []struct {
		keyvals []any
		want    Kind
	}{
		{[]any{"level", "info", "msg", "x", "request", "a"}, Served},
		{[]any{"level", "warn", "msg", "x", "request", "a"}, Failed},
		{[]any{"msg", "x", "request", "a", "result", "201 SATURATED"}, Failed},
		{[]any{"level", "warn", "msg", "x", "result", "201 SATURATED"}, State},
		{[]any{"msg", "x"}, State},
	} {
		if kind, sentence := kindOf(c.keyvals); kind != c.want || sentence != "x" {
			t.Errorf("%v: %v %q", c.keyvals, kind, sentence)
		}
	}
}
