package link

import (
	"sync"
	"time"

	"github.com/apricothub/apricothub/api"
)

// activeAfterWork is how long a link stays active after its last request. Otherwise each of several
// consecutive requests would start with two additional heartbeats.
const activeAfterWork = time.Second

// heartbeatState determines when the heartbeats of a link are due and how long the link has been
// silent.
//
// A link with work is active and sends heartbeats at the short interval, because callers wait for
// what is lost on it. A link without work sends them at the idle interval, since the heartbeats of
// idle links are most of the cost of control traffic. The side that has work announces it, and both
// sides stay active until it withdraws that, so that neither expects heartbeats that the other does
// not send.
type heartbeatState struct {
	cfg Config

	mu               sync.Mutex
	inFlight         int           // requests on the link
	workEndedAt      time.Duration // when the last one ended
	peerHasWork      bool          // the peer has announced work
	peerIdleInterval time.Duration // idle interval announced by the peer
	activeSince      time.Duration // when the link last became active

	lastHeard     time.Duration   // when the newest message was received
	receivedSeq   uint64          // number of the newest heartbeat received
	receivedAt    time.Duration   // when it was received
	sentSeq       uint64          // number of the newest heartbeat sent
	echoedSeq     uint64          // number of the newest one echoed by the peer
	sentTimes     []time.Duration // send times of the heartbeats from echoedSeq on
	lastSent      time.Duration   // when the newest heartbeat was sent
	announcedWork bool            // whether the newest heartbeat announced work
	dueNow        bool            // a heartbeat is due immediately
	dueAtNextTick bool            // a heartbeat is due at the next tick
	// The echo of the heartbeat that is due, read before the knowledge that it carries.
	nextEcho     uint64
	nextEchoHeld time.Duration
}

func newHeartbeatState(cfg Config, now time.Duration) *heartbeatState {
	cfg.IdleInterval = max(cfg.IdleInterval, cfg.HeartbeatInterval)
	// A new link starts active, to get the first echoes early.
	return &heartbeatState{cfg: cfg, lastHeard: now, workEndedAt: now, activeSince: now, dueNow: true, sentTimes: []time.Duration{now}}
}

// idleInterval returns the shorter of the idle intervals of both sides. A process that uses a
// shorter one or none, as during a rolling update, would otherwise mistake the longer one for
// silence.
func (h *heartbeatState) idleInterval() time.Duration {
	return max(h.cfg.HeartbeatInterval, min(h.cfg.IdleInterval, h.peerIdleInterval))
}

func (h *heartbeatState) hasRecentWork(now time.Duration) bool {
	return h.inFlight > 0 || now-h.workEndedAt < activeAfterWork
}

func (h *heartbeatState) isActive(now time.Duration) bool {
	return h.peerHasWork || h.hasRecentWork(now)
}

// beginWork counts a request on the link, and reports whether a heartbeat is due immediately.
func (h *heartbeatState) beginWork(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isActive(now) {
		h.activate(now)
	}
	h.inFlight++
	return h.dueNow
}

// activate makes an idle link active. Its silence is measured from now on instead of from the last
// heartbeat, which was sent at the idle interval. A link that is already suspect stays suspect
// until something is received; otherwise a process that resumes after a pause would trust the link
// again.
func (h *heartbeatState) activate(now time.Duration) {
	h.dueNow = true
	if h.silenceLocked(now) <= h.cfg.SuspectAfter {
		h.activeSince = now
	}
}

// endWork removes a request counted by beginWork.
func (h *heartbeatState) endWork(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	h.workEndedAt = now
}

// sendAtNextTick makes a heartbeat due at the next tick.
func (h *heartbeatState) sendAtNextTick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dueAtNextTick = true
}

// takeDue reports whether a heartbeat is due, at a tick or, if tick is false, immediately, and
// marks it as taken. After a heartbeat that announced work the next one is sent at the short
// interval, because the peer expects it then.
func (h *heartbeatState) takeDue(now time.Duration, tick bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	idleDue := now-h.lastSent >= h.idleInterval()-h.cfg.HeartbeatInterval/2
	if !h.dueNow && !(tick && (h.dueAtNextTick || h.announcedWork || idleDue || h.isActive(now))) {
		return false
	}
	h.dueNow, h.dueAtNextTick = false, false
	h.nextEcho, h.nextEchoHeld = h.receivedSeq, now-h.receivedAt
	return true
}

// complete numbers a heartbeat, records when it is sent and fills in the fields that belong to
// the link.
func (h *heartbeatState) complete(heartbeat *api.Heartbeat, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sentSeq++
	h.sentTimes = append(h.sentTimes, now)
	h.lastSent = now
	h.announcedWork = h.hasRecentWork(now)
	heartbeat.Seq = h.sentSeq
	heartbeat.Echo = h.nextEcho
	heartbeat.HeldUs = h.nextEchoHeld.Microseconds()
	heartbeat.Brisk = h.announcedWork
	heartbeat.IdleMs = h.cfg.IdleInterval.Milliseconds()
}

// messageReceived records that a message was received.
func (h *heartbeatState) messageReceived(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastHeard = now
}

// heartbeatReceived handles a heartbeat. It returns a time before which the peer cannot have sent
// it, negative if unknown, and whether an answer is due immediately.
//
// That time is when the echoed heartbeat was sent from here, plus the time for which the peer held
// it: the peer received it after it was sent, and read its own state after holding it. Reading late
// on either side only makes the returned time earlier.
func (h *heartbeatState) heartbeatReceived(heartbeat *api.Heartbeat, now time.Duration) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.receivedSeq, h.receivedAt = heartbeat.GetSeq(), now
	if heartbeat.GetBrisk() && !h.isActive(now) {
		h.activate(now)
	}
	h.peerHasWork = heartbeat.GetBrisk()
	h.peerIdleInterval = time.Duration(heartbeat.GetIdleMs()) * time.Millisecond
	echoed := min(heartbeat.GetEcho(), h.sentSeq)
	if echoed > h.echoedSeq {
		h.sentTimes = h.sentTimes[:copy(h.sentTimes, h.sentTimes[echoed-h.echoedSeq:])]
		h.echoedSeq = echoed
	}
	if echoed == 0 || echoed < h.echoedSeq {
		return -1, h.dueNow
	}
	held := max(0, time.Duration(heartbeat.GetHeldUs())*time.Microsecond)
	return min(h.sentTimes[0]+held, now), h.dueNow
}

// silence returns for how much longer the link has been silent, in either direction, than its
// interval allows. It covers both directions because a link may lose messages in only one.
func (h *heartbeatState) silence(now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.silenceLocked(now)
}

func (h *heartbeatState) silenceLocked(now time.Duration) time.Duration {
	if h.isActive(now) {
		return now - max(h.lastConfirmed(), h.activeSince)
	}
	return now - h.lastConfirmed() - (h.idleInterval() - h.cfg.HeartbeatInterval)
}

// lastConfirmed returns the latest time at which the link is known to have worked in both
// directions.
func (h *heartbeatState) lastConfirmed() time.Duration {
	if len(h.sentTimes) > 1 {
		return min(h.lastHeard, h.sentTimes[1])
	}
	return h.lastHeard
}

// sinceConfirmed returns the time since the link last worked in both directions, regardless of its
// interval.
func (h *heartbeatState) sinceConfirmed(now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now - h.lastConfirmed()
}
