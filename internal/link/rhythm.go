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
func (r *heartbeatState) idleInterval() time.Duration {
	return max(r.cfg.HeartbeatInterval, min(r.cfg.IdleInterval, r.peerIdleInterval))
}

func (r *heartbeatState) hasRecentWork(now time.Duration) bool {
	return r.inFlight > 0 || now-r.workEndedAt < activeAfterWork
}

func (r *heartbeatState) isActive(now time.Duration) bool {
	return r.peerHasWork || r.hasRecentWork(now)
}

// beginWork counts a request on the link, and reports whether a heartbeat is due immediately.
func (r *heartbeatState) beginWork(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isActive(now) {
		r.activate(now)
	}
	r.inFlight++
	return r.dueNow
}

// activate makes an idle link active. Its silence is measured from now on instead of from the last
// heartbeat, which was sent at the idle interval. A link that is already suspect stays suspect
// until something is received; otherwise a process that resumes after a pause would trust the link
// again.
func (r *heartbeatState) activate(now time.Duration) {
	r.dueNow = true
	if r.silenceLocked(now) <= r.cfg.SuspectAfter {
		r.activeSince = now
	}
}

// endWork removes a request counted by beginWork.
func (r *heartbeatState) endWork(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	r.workEndedAt = now
}

// sendAtNextTick makes a heartbeat due at the next tick.
func (r *heartbeatState) sendAtNextTick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dueAtNextTick = true
}

// takeDue reports whether a heartbeat is due, at a tick or, if tick is false, immediately, and
// marks it as taken. After a heartbeat that announced work the next one is sent at the short
// interval, because the peer expects it then.
func (r *heartbeatState) takeDue(now time.Duration, tick bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	idleDue := now-r.lastSent >= r.idleInterval()-r.cfg.HeartbeatInterval/2
	if !r.dueNow && !(tick && (r.dueAtNextTick || r.announcedWork || idleDue || r.isActive(now))) {
		return false
	}
	r.dueNow, r.dueAtNextTick = false, false
	r.nextEcho, r.nextEchoHeld = r.receivedSeq, now-r.receivedAt
	return true
}

// complete numbers a heartbeat, records when it is sent and fills in the fields that belong to
// the link.
func (r *heartbeatState) complete(heartbeat *api.Heartbeat, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentSeq++
	r.sentTimes = append(r.sentTimes, now)
	r.lastSent = now
	r.announcedWork = r.hasRecentWork(now)
	heartbeat.Seq = r.sentSeq
	heartbeat.Echo = r.nextEcho
	heartbeat.HeldUs = r.nextEchoHeld.Microseconds()
	heartbeat.Brisk = r.announcedWork
	heartbeat.IdleMs = r.cfg.IdleInterval.Milliseconds()
}

// messageReceived records that a message was received.
func (r *heartbeatState) messageReceived(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastHeard = now
}

// heartbeatReceived handles a heartbeat. It returns a time before which the peer cannot have sent
// it, negative if unknown, and whether an answer is due immediately.
//
// That time is when the echoed heartbeat was sent from here, plus the time for which the peer held
// it: the peer received it after it was sent, and read its own state after holding it. Reading late
// on either side only makes the returned time earlier.
func (r *heartbeatState) heartbeatReceived(heartbeat *api.Heartbeat, now time.Duration) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receivedSeq, r.receivedAt = heartbeat.GetSeq(), now
	if heartbeat.GetBrisk() && !r.isActive(now) {
		r.activate(now)
	}
	r.peerHasWork = heartbeat.GetBrisk()
	r.peerIdleInterval = time.Duration(heartbeat.GetIdleMs()) * time.Millisecond
	echoed := min(heartbeat.GetEcho(), r.sentSeq)
	if echoed > r.echoedSeq {
		r.sentTimes = r.sentTimes[:copy(r.sentTimes, r.sentTimes[echoed-r.echoedSeq:])]
		r.echoedSeq = echoed
	}
	if echoed == 0 || echoed < r.echoedSeq {
		return -1, r.dueNow
	}
	held := max(0, time.Duration(heartbeat.GetHeldUs())*time.Microsecond)
	return min(r.sentTimes[0]+held, now), r.dueNow
}

// silence returns for how much longer the link has been silent, in either direction, than its
// interval allows. It covers both directions because a link may lose messages in only one.
func (r *heartbeatState) silence(now time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silenceLocked(now)
}

func (r *heartbeatState) silenceLocked(now time.Duration) time.Duration {
	if r.isActive(now) {
		return now - max(r.lastConfirmed(), r.activeSince)
	}
	return now - r.lastConfirmed() - (r.idleInterval() - r.cfg.HeartbeatInterval)
}

// lastConfirmed returns the latest time at which the link is known to have worked in both
// directions.
func (r *heartbeatState) lastConfirmed() time.Duration {
	if len(r.sentTimes) > 1 {
		return min(r.lastHeard, r.sentTimes[1])
	}
	return r.lastHeard
}

// sinceConfirmed returns the time since the link last worked in both directions, regardless of its
// interval.
func (r *heartbeatState) sinceConfirmed(now time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now - r.lastConfirmed()
}
