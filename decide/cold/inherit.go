package cold

import "time"

// WarmBaseline holds what a Limiter has learned about a warm backend server. The zero value means
// that nothing is known.
type WarmBaseline struct {
	// Latency is the usual time to the first token, or of a whole call.
	Latency time.Duration
	// Gap is the usual time between two parts of a stream; zero if unknown.
	Gap time.Duration
	// WorkTime is the usual time for which a request is held; zero if unknown.
	WorkTime time.Duration
}

// WarmBaseline returns what was learned at the full limit, or the zero value if the limit was never
// full.
func (l *Limiter) WarmBaseline() WarmBaseline {
	if !l.reachedFull || l.warmLatency == 0 {
		return WarmBaseline{}
	}
	return WarmBaseline{Latency: l.warmLatency, Gap: l.warmGap, WorkTime: l.avgWorkTime}
}

// Inherit takes over what another Limiter learned earlier about the same backend server. It has no
// effect if this Limiter already knows a warm latency.
//
// When the agent of a warm backend server is replaced while callers wait, the new Limiter needs
// minFirstStepWindows windows at the cold limit to tell a stable warm latency from a stable cold
// one. Without a baseline most callers are refused during that time, and requests that could wait
// are refused as well, since the wait is unknown.
//
// The limit stays at the cold limit and grows window by window while latency is near the warm one.
// A latency far from it counts as cold for changedLatencyWindows windows, so that a backend server
// that turned cold in the meantime is safer with a baseline than without. The caller must make sure
// that it is the same backend server: the warm latency of a slower one would make the cold latency
// of a faster one look warm.
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
