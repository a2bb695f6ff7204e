package fresh

import "time"

// ServesUntil returns the last time at which the process may take new work if it
// hears nothing more; it is before now when the process may not even now. Traffic
// compares it with the clock at the moment of use, so that a process that was paused
// refuses before any of its own goroutines has noticed.
func (t *Tracker) ServesUntil(now time.Duration) time.Duration {
	if !t.State(now).Serves() {
		return now - 1
	}
	return max(t.tailEvidence, t.quorumEvidence) + t.limit
}
