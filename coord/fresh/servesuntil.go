package fresh

import "time"

// ServesUntil returns the last time at which the process may take new work if it hears nothing
// more. If it may not take work now, the result is before now. The request path compares the result
// with the clock, so that a process that was paused refuses work before any of its own goroutines
// has noticed the pause.
func (t *Tracker) ServesUntil(now time.Duration) time.Duration {
	if !t.State(now).Serves() {
		return now - 1
	}
	return max(t.tailEvidence, t.quorumEvidence) + t.limit
}
