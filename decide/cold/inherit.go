package cold

import "time"

// Usual is what a Limiter has learned of a warm backend server. The zero value says
// nothing.
type Usual struct {
	// Latency is the usual time to a first token, or of a whole call.
	Latency time.Duration
	// Gap is the usual time between two parts of a stream; zero for unknown.
	Gap time.Duration
	// Work is the usual time that one request is held; zero for unknown.
	Work time.Duration
}

// Usual returns what was learned at the full limit, or the zero value when the limit
// was never the full one.
func (l *Limiter) Usual() Usual {
	if !l.proven || l.usual == 0 {
		return Usual{}
	}
	return Usual{Latency: l.usual, Gap: l.warmGap, Work: l.work}
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
func (l *Limiter) Inherit(u Usual) {
	if l.usual > 0 || u.Latency <= 0 {
		return
	}
	l.usual = u.Latency
	l.warmGap = u.Gap
	if u.Work > 0 {
		l.work = u.Work
	}
}
