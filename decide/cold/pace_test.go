package cold

import (
	"testing"
	"time"
)

// observeGaps lets the streams that run give parts at one pace for a while.
func observeGaps(l *Limiter, now *time.Duration, parts int, gap time.Duration) {
	var pace Stream
	for range parts {
		*now += gap
		l.ObserveGap(*now, gap, &pace)
	}
}

// A warm backend server comes back cold, and two long answers run on it. Callers wait
// for places while first tokens are seconds apart. Their parts come faster and faster:
// the limit grows before either answer has ended, and by no more than a step for each
// change that a larger batch can't explain.
func TestFasterStreamsRaiseLimit(t *testing.T) {
	l, now := warmLimiter(t)
	l.AssumeCold()
	l.TryStart(now)
	l.TryStart(now)
	observeGaps(l, &now, 32, 100*ms)
	if l.Limit() != 2 {
		t.Fatalf("limit %d at a level pace", l.Limit())
	}
	observeGaps(l, &now, 32, 80*ms)
	if l.Limit() != 3 {
		t.Errorf("limit %d after the pace got better once, want 3", l.Limit())
	}
	observeGaps(l, &now, 32, 65*ms)
	if l.Limit() != 4 {
		t.Errorf("limit %d after it got better again, want 4", l.Limit())
	}
}

// A full backend server turns cold and the limit falls. What it held drains, and the
// rest runs faster for that alone. Callers' requests must not follow as if it had
// warmed up.
func TestDrainingAfterFallDoesNotRaiseLimit(t *testing.T) {
	l, now := warmLimiter(t)
	for l.TryStart(now) {
	}
	l.AssumeCold()
	for range 12 {
		observeGaps(l, &now, 32, 800*ms/time.Duration(17-l.Running()))
		l.Done(now, Outcome{Took: time.Second, Observed: true})
	}
	if l.Limit() != 2 {
		t.Errorf("limit %d while %d run", l.Limit(), l.Running())
	}
}

// A step makes the pace worse than a larger batch can: the backend server bears no
// more. The step is taken back, and the better pace that follows is not warmth.
func TestStepThatSlowsStreamsIsTakenBack(t *testing.T) {
	l, now := warmLimiter(t)
	l.AssumeCold()
	l.TryStart(now)
	l.TryStart(now)
	observeGaps(l, &now, 32, 100*ms)
	observeGaps(l, &now, 16, 80*ms)
	l.TryStart(now)
	for range 4 {
		observeGaps(l, &now, 32, 120*ms)
		if l.Limit() != 2 {
			t.Fatalf("limit %d after the step made the pace worse", l.Limit())
		}
		l.Done(now, Outcome{Took: time.Second, Observed: true})
		observeGaps(l, &now, 32, 80*ms)
		l.TryStart(now)
	}
}

// A warm backend server turns slow with streams under way and callers' requests coming
// in. One slow part of each of three streams holds the next request back, before any
// stream has shown three and before a first token is overdue. The first part at the usual
// pace lets it start: the limit was not touched.
func TestSlowStreamsBlockNewWork(t *testing.T) {
	l, now := warmLimiter(t)
	for range 4 {
		l.TryStart(now)
		l.Observe(now, 100*ms)
	}
	observeGaps(l, &now, 40, 20*ms)
	paces := make([]Stream, 3)
	for i := range paces {
		now += 25 * ms
		l.ObserveGap(now, 100*ms, &paces[i])
	}
	if l.TryStart(now) {
		t.Error("a request was started while all streams were slow")
	}
	observeGaps(l, &now, 1, 20*ms)
	if l.Limit() != 16 || !l.TryStart(now) {
		t.Errorf("limit %d, and no place at the usual pace", l.Limit())
	}
}

// A fresh backend server in cold start is asked long prompts and then some short ones.
// Their first tokens come early, but its streams run as slowly as before: it bears no
// more than it did, and one request more at a time is one too many.
func TestShortPromptsDoNotRaiseLimit(t *testing.T) {
	l, now := New(Config{ColdLimit: 2, FullLimit: 16}, 0), time.Duration(0)
	for _, latency := range []time.Duration{800 * ms, 800 * ms, 300 * ms, 300 * ms} {
		runRounds(l, &now, 2, latency)
		l.TryStart(now)
		l.Observe(now, latency)
		observeGaps(l, &now, 40, 100*ms)
		l.Done(now, Outcome{Took: time.Second, Observed: true})
	}
	if l.Limit() != 2 {
		t.Errorf("limit %d by short prompts at a level pace", l.Limit())
	}
}

// A busy VM hands on the first parts of a warm backend server's streams together, so that
// the gaps between them are short by chance. All later ones look worse. Callers must not be
// held to the cold limit for good by that: first tokens are level, and decide.
func TestFastFirstGapsDoNotBlockGrowth(t *testing.T) {
	l, now := New(Config{ColdLimit: 2, FullLimit: 16}, 0), time.Duration(0)
	gap := 11 * ms
	for range 40 {
		l.TryStart(now)
		now += 20 * ms
		l.Observe(now, 20*ms)
		observeGaps(l, &now, 20, gap)
		l.Done(now, Outcome{Took: 400 * ms, Observed: true})
		gap = 15 * ms
	}
	if l.Limit() <= 2 {
		t.Errorf("limit %d after 40 requests at one latency", l.Limit())
	}
}
