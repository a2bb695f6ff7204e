package keybind

import "time"

// checkpointsPerLifetime is how finely ages are kept: a binding may live a thirty-second of
// the lifetime longer than it must.
const checkpointsPerLifetime = 32

// MaxReleaseDelay is by how much longer than a lifetime a binding may be held, while records
// come.
func MaxReleaseDelay(lifetime time.Duration) time.Duration { return lifetime / checkpointsPerLifetime }

// AgeTracker tells how long records have stood in the stream at least, from when this process
// saw them on its own monotonic clock. Wall clocks play no part: one that is a day fast
// would release every binding at once, and each key would run again.
type AgeTracker struct {
	lifetime       time.Duration
	checkpoints    []checkpoint
	expiredThrough int64
}

// checkpoint says that all records up to an offset stood in the stream at a time.
type checkpoint struct {
	through   int64
	firstSeen time.Duration
	lastSeen  time.Duration
}

// NewAgeTracker returns the ages for a lifetime of bindings.
func NewAgeTracker(lifetime time.Duration) *AgeTracker {
	return &AgeTracker{lifetime: lifetime, expiredThrough: -1}
}

// Observe says that the records up to an offset stood in the stream at a time.
func (t *AgeTracker) Observe(now time.Duration, through int64) {
	n := len(t.checkpoints)
	if n > 0 && through <= t.checkpoints[n-1].through {
		return
	}
	if n > 0 && now-t.checkpoints[n-1].firstSeen < MaxReleaseDelay(t.lifetime) {
		// The older records of the mark are made younger than they are, never older.
		t.checkpoints[n-1].through, t.checkpoints[n-1].lastSeen = through, now
		return
	}
	t.checkpoints = append(t.checkpoints, checkpoint{through: through, firstSeen: now, lastSeen: now})
}

// ExpiredThrough returns the newest offset whose records have been seen for a lifetime; -1
// for none.
func (t *AgeTracker) ExpiredThrough(now time.Duration) int64 {
	n := 0
	for n < len(t.checkpoints) && now-t.checkpoints[n].lastSeen >= t.lifetime {
		t.expiredThrough = t.checkpoints[n].through
		n++
	}
	t.checkpoints = t.checkpoints[n:]
	return t.expiredThrough
}
