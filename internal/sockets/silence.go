package sockets

import "time"

const (
	// ackTimeout is how long a peer may acknowledge nothing of what was sent to it. It is above any delay of
	// a healthy network and below the deadlines of short requests.
	ackTimeout = 1500 * time.Millisecond
	// replyTime is how long the last transmission is given to be acknowledged. The kernel repeats it at
	// growing intervals, which may exceed ackTimeout.
	replyTime = 300 * time.Millisecond
	// minProbes is the number of unanswered probes of a closed window from which on a peer may be silent. The
	// first may have been sent just now.
	minProbes = 2
)

// sendState is what the kernel knows of the sending side of a connection.
type sendState struct {
	// unackedSegments were sent and not acknowledged, unsentBytes are queued: the peer's window is closed,
	// or the network is slow. ackedBytes counts what was acknowledged.
	unackedSegments, unsentBytes uint32
	ackedBytes                   uint64
	// unansweredProbes counts the probes of a closed window since the last segment from the peer.
	unansweredProbes uint8
	// sinceSent and sinceHeard are the times since data was sent and since anything came from the peer.
	sinceSent, sinceHeard time.Duration
	// hasTimes is false if the kernel does not report these times.
	hasTimes bool
}

// isDelivered reports whether the peer has acknowledged everything.
func (s sendState) isDelivered() bool { return s.unackedSegments == 0 && s.unsentBytes == 0 }

// awaitsPeer reports whether the peer owes an acknowledgement, or the answer to a probe.
func (s sendState) awaitsPeer() bool { return s.unackedSegments > 0 || s.unansweredProbes >= minProbes }

// isUnanswered reports whether the last transmission or the last probes have got no answer. A peer whose window
// shrinks below what was sent acknowledges nothing more, but answers.
func (s sendState) isUnanswered() bool {
	return s.unansweredProbes >= minProbes || s.sinceHeard > s.sinceSent && s.sinceSent >= replyTime
}

// silence finds out whether a peer is silent, from states of the connection at intervals. Times are since
// any fixed point.
type silence struct {
	// since is since when the peer has owed an acknowledgement and sent none; isWaiting means that it does.
	since      time.Duration
	isWaiting  bool
	ackedBytes uint64
}

// observe returns whether the peer is silent, given the state of the connection now.
func (s *silence) observe(now time.Duration, state sendState) bool {
	if !state.awaitsPeer() {
		s.isWaiting = false
		return false
	}
	if !s.isWaiting || state.ackedBytes != s.ackedBytes {
		s.since, s.isWaiting, s.ackedBytes = now, true, state.ackedBytes
		return false
	}
	if now-s.since < ackTimeout {
		return false
	}
	return !state.hasTimes || state.sinceHeard >= ackTimeout && state.isUnanswered()
}
