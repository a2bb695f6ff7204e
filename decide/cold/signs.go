package cold

import "time"

// SetReportedCold takes what the backend server says of itself, where it says anything.
//
// Load: an engine whose first tokens come at a level pace although it is cold, since
// it warms up in one step by work completed. Harm prevented: taking level for warm,
// and giving a cold engine one more than it bears. The report comes late and says
// nothing of the moments after a silent turn, so that "warm" never lifts the limit:
// latency alone does that.
//
// The change from "cold" to "warm" is another thing: the backend server has seen itself
// warm up, and a level latency then need not be doubted for as long. Without it a
// backend server with long answers, which gives few latencies a second, takes half a
// minute and more to its full limit. What it turns to later without a word, latency
// shows as ever.
func (l *Limiter) SetReportedCold(isCold bool) {
	if l.reportedCold && !isCold {
		l.warmConfirmed = true
	}
	l.reportedCold = isCold
	if isCold && l.limit > l.cfg.ColdLimit {
		l.resetToCold(signSlow)
	}
}

// recordFailure counts a failure of the backend server's own, and lets it rest when there
// were too many in a row.
//
// Load: an engine that has fallen over and answers every request at once with an
// error. Harm prevented: a black hole. It always has room, looks the fastest of all,
// and fails everything that is sent to it. It rests, longer each time, and is then
// tried with one request.
func (l *Limiter) recordFailure(now time.Duration) {
	l.consecutiveFailures++
	if l.consecutiveFailures < l.cfg.MinSlowRun {
		return
	}
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	l.backoffUntil = now + l.backoff
}

// minBackoff and maxBackoff bound the time for which a backend server that only fails
// gets no work.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// recordSuccess ends the rest.
func (l *Limiter) recordSuccess() {
	l.consecutiveFailures = 0
	l.backoff = 0
}

// IsBackingOff says that the backend server has only failed of late and is given no work,
// or that the one request that tries it is under way.
func (l *Limiter) IsBackingOff(now time.Duration) bool {
	return now < l.backoffUntil || l.consecutiveFailures >= l.cfg.MinSlowRun && l.Running() > 0
}

// confirmedWarmWindows is the number of windows in a row that must agree before the limit grows,
// once the backend server has said that it has warmed up.
const confirmedWarmWindows = 1
