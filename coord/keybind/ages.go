package keybind

import "time"

// checkpointsPerLifetime is the resolution of ages: a binding may be held for up to 1/32 of
// the lifetime longer than necessary.
const checkpointsPerLifetime = 32

// MaxReleaseDelay returns how much longer than a lifetime a binding may be held while new
// records arrive.
func MaxReleaseDelay(lifetime time.Duration) time.Duration { return lifetime / checkpointsPerLifetime }

// AgeTracker tracks the minimum age of the stream's records, counted from when this process
// read them on its own monotonic clock. Wall clocks aren't used: one that is a day fast would
// release all bindings at once, and each key could run a second time.
type AgeTracker struct {
	lifetime       time.Duration
	checkpoints    []checkpoint
	expiredThrough int64
}

// checkpoint covers the records after the previous checkpoint, up to an offset. The first of
// them were read at firstSeen and the last at lastSeen.
type checkpoint struct {
	through   int64
	firstSeen time.Duration
	lastSeen  time.Duration
}

// NewAgeTracker returns a tracker for bindings with this lifetime.
func NewAgeTracker(lifetime time.Duration) *AgeTracker {
	return &AgeTracker{lifetime: lifetime, expiredThrough: -1}
}

// Observe records that the records up to an offset have been read by now.
func (t *AgeTracker) Observe(now time.Duration, through int64) {
	n := len(t.checkpoints)
	if n > 0 && through <= t.checkpoints[n-1].through {
		return
	}
	if n > 0 && now-t.checkpoints[n-1].firstSeen < MaxReleaseDelay(t.lifetime) {
		// This underestimates the age of the checkpoint's older records, and never
		// overestimates any.
		t.checkpoints[n-1].through, t.checkpoints[n-1].lastSeen = through, now
		return
	}
	t.checkpoints = append(t.checkpoints, checkpoint{through: through, firstSeen: now, lastSeen: now})
}

// ExpiredThrough returns the newest offset whose record was read at least a lifetime ago, or
// -1 if there is none.
func (t *AgeTracker) ExpiredThrough(now time.Duration) int64 {
	n := 0
	for n < len(t.checkpoints) && now-t.checkpoints[n].lastSeen >= t.lifetime {
		t.expiredThrough = t.checkpoints[n].through
		n++
	}
	t.checkpoints = t.checkpoints[n:]
	return t.expiredThrough
}
