package cold

import (
	"testing"
	"time"
)

// observeGaps records a number of equal gaps of one stream.
func observeGaps(l *Limiter, now *time.Duration, parts int, gap time.Duration) {
	var stream Stream
	for range parts {
		*now += gap
		l.ObserveGap(*now, gap, &stream)
	}
}

// A warm backend server returns cold and runs two long answers, while callers wait and first tokens
// are seconds apart. Its parts come faster and faster: the limit must grow before either answer
// ends, by one step for each change that a larger batch can't explain.
func TestFasterStreamsRaiseLimit(t *testing.T) {
	l, now := warmLimiter(t)
	l.AssumeCold()
	l.TryStart(now)
	l.TryStart(now)
	observeGaps(l, &now, 32, 100*ms)
	if l.Limit() != 2 {
		t.Fatalf("limit %d with equal gaps", l.Limit())
	}
	observeGaps(l, &now, 32, 80*ms)
	if l.Limit() != 3 {
		t.Errorf("limit %d after the gaps got shorter once, want 3", l.Limit())
	}
	observeGaps(l, &now, 32, 65*ms)
	if l.Limit() != 4 {
		t.Errorf("limit %d after they got shorter again, want 4", l.Limit())
	}
}

// A full backend server turns cold and the limit is reset. As its requests end, the remaining
// streams run faster for that reason alone. The limit must not grow as if the server had warmed up.
func TestDrainingAfterResetDoesNotRaiseLimit(t *testing.T) {
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

// A step lengthens the gaps by more than a larger batch explains: the backend server is at its
// limit. The step is reverted, and the shorter gaps that follow do not count as warming up.
func TestStepThatSlowsStreamsIsReverted(t *testing.T) {
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
			t.Fatalf("limit %d after the step made the gaps longer", l.Limit())
		}
		l.Done(now, Outcome{Took: time.Second, Observed: true})
		observeGaps(l, &now, 32, 80*ms)
		l.TryStart(now)
	}
}

// A warm backend server turns slow while streams run and requests arrive. One slow gap in each of
// three streams must hold back the next request, before one stream has shown three and before a
// first token is overdue. The first usual gap lets it start, with the limit unchanged.
func TestSlowStreamsBlockNewWork(t *testing.T) {
	l, now := warmLimiter(t)
	for range 4 {
		l.TryStart(now)
		l.Observe(now, 100*ms)
	}
	observeGaps(l, &now, 40, 20*ms)
	streams := make([]Stream, 3)
	for i := range streams {
		now += 25 * ms
		l.ObserveGap(now, 100*ms, &streams[i])
	}
	if l.TryStart(now) {
		t.Error("a request was started while all streams were slow")
	}
	observeGaps(l, &now, 1, 20*ms)
	if l.Limit() != 16 || !l.TryStart(now) {
		t.Errorf("limit %d, and no slot with usual gaps", l.Limit())
	}
}

// A backend server in cold start gets long prompts and then short ones, whose first tokens come
// early. Its gaps do not change, so it can serve no more than before, and the limit must not grow.
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
		t.Errorf("limit %d after short prompts with equal gaps", l.Limit())
	}
}

// A busy VM delivers the first parts of a warm backend server's streams together, so that their
// gaps are short by chance and all later ones look worse. The stable first tokens must decide, so
// that the server does not stay at its cold limit.
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
