package cold

import "time"

// WarmBaseline is what a Limiter has learned of a warm backend server. The zero value says
// nothing.
type WarmBaseline struct {
	// Latency is the usual time to a first token, or of a whole call.
	Latency time.Duration
	// Gap is the usual time between two parts of a stream; zero for unknown.
	Gap time.Duration
	// WorkTime is the usual time that one request is held; zero for unknown.
	WorkTime time.Duration
}

// WarmBaseline returns what was learned at the full limit, or the zero value when the limit
// was never the full one.
func (l *Limiter) WarmBaseline() WarmBaseline {
	if !l.reachedFull || l.warmLatency == 0 {
		return WarmBaseline{}
	}
	return WarmBaseline{Latency: l.warmLatency, Gap: l.warmGap, WorkTime: l.avgWorkTime}
}

// Inherit takes what another Limiter learned of the same backend server before this
// one was made. It changes nothing once this one has a usual latency of its own.
//
// Load: an agent that is replaced before a warm backend server with callers waiting.
// Harm prevented: the time that it takes to tell a level warm latency from a level cold
// one, levelFirst windows at the cold limit, in which most of the callers are refused;
// and refusing all that would wait, since nobody knows how long.
//
// The limit stays the cold one: latency near the usual lets it grow, window by window.
// A latency far from it counts as cold for levelKnown windows, so that a backend server
// that turned cold meanwhile is safer with it than without. The caller must be sure that
// it is the same backend server: another one, slower when warm, would lend its latency to
// the cold start of a faster one.
func (l *Limiter) Inherit(b WarmBaseline) {
	if l.warmLatency > 0 || b.Latency <= 0 {
		return
	}
	l.warmLatency = b.Latency
	l.warmGap = b.Gap
	if b.WorkTime > 0 {
		l.avgWorkTime = b.WorkTime
	}
}
