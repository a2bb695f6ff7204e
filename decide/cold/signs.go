package cold

import "time"

// SetReportedCold sets what the backend server reports about itself, if it reports anything.
//
// An engine that warms up in one step after some completed work has a stable latency while cold.
// Without its report the limit would grow and give the cold engine one request too many. The report
// may be stale and does not show a sudden turn to cold, so that a report of being warm never raises
// the limit by itself: only latency does.
//
// After a change from cold to warm, the backend server has seen itself warm up, and fewer windows
// of stable latency are required. Without this, a backend server with long answers, which gives few
// latencies per second, needs half a minute and more to reach its full limit. A later turn to cold
// is detected by latency as usual.
func (l *Limiter) SetReportedCold(isCold bool) {
	if l.reportedCold && !isCold {
		l.warmConfirmed = true
	}
	l.reportedCold = isCold
	if isCold && l.limit > l.cfg.ColdLimit {
		l.resetToCold(signSlow)
	}
}

// recordFailure counts a failure of the backend server itself and starts a backoff after too many
// in a row.
//
// An engine that has fallen over answers every request at once with an error. It always has free
// slots and looks like the fastest server, so that it would attract all requests and fail them (a
// black hole). It gets no work during the backoff, which doubles each time, and is then probed with
// one request.
func (l *Limiter) recordFailure(now time.Duration) {
	l.consecutiveFailures++
	if l.consecutiveFailures < l.cfg.MinSlowRun {
		return
	}
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	l.backoffUntil = now + l.backoff
}

// minBackoff and maxBackoff limit the time for which a failing backend server gets no work.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// recordSuccess ends the backoff.
func (l *Limiter) recordSuccess() {
	l.consecutiveFailures = 0
	l.backoff = 0
}

// IsBackingOff reports whether the backend server gets no work after consecutive failures, or the
// single request that probes it is in flight.
func (l *Limiter) IsBackingOff(now time.Duration) bool {
	return now < l.backoffUntil || l.consecutiveFailures >= l.cfg.MinSlowRun && l.Running() > 0
}

// confirmedWarmWindows is the number of consecutive similar windows after which the limit grows,
// once the backend server is confirmed to have warmed up.
const confirmedWarmWindows = 1
