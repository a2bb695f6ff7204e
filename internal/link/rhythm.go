package link

import (
	"sync"
	"time"

	"github.com/apricothub/apricothub/api"
)

// activeAfterWork is how long a link stays brisk after its last work: requests that follow each
// other would otherwise begin with two more heartbeats each.
const activeAfterWork = time.Second

// heartbeatState knows when a link's heartbeats are due and how long the link has been silent.
//
// A link with work beats at the short interval, since its callers wait for what is
// lost; one without beats at the long interval, which is most of what control costs a
// node. The side that has work says so, and both are brisk until it says otherwise, so
// that neither expects what the other does not send.
type heartbeatState struct {
	cfg Config

	mu               sync.Mutex
	inFlight         int           // pieces of work on the link
	workEndedAt      time.Duration // when the last one ended
	peerHasWork      bool          // the other side has work
	peerIdleInterval time.Duration // the long interval that the other side reckons with
	activeSince      time.Duration // when the link last became brisk

	lastHeard     time.Duration   // when the newest message came
	receivedSeq   uint64          // the newest heartbeat received
	receivedAt    time.Duration   // when it came
	sentSeq       uint64          // the newest heartbeat sent
	echoedSeq     uint64          // the newest one echoed
	sentTimes     []time.Duration // when those from acked on were sent
	lastSent      time.Duration   // when the newest was sent
	announcedWork bool            // it said that this side has work
	dueNow        bool            // one is due at once
	dueAtNextTick bool            // one is due with the next tick
	// What the heartbeat that is due echoes, read before the knowledge that it carries.
	nextEcho     uint64
	nextEchoHeld time.Duration
}

func newHeartbeatState(cfg Config, now time.Duration) *heartbeatState {
	cfg.IdleInterval = max(cfg.IdleInterval, cfg.HeartbeatInterval)
	// A new link is brisk for a while: the first echoes are waited for.
	return &heartbeatState{cfg: cfg, lastHeard: now, workEndedAt: now, activeSince: now, dueNow: true, sentTimes: []time.Duration{now}}
}

// idleInterval is the long interval: the shorter one of both sides, so that one which knows
// another or none, as in a rolling update, takes nothing for silence.
func (r *heartbeatState) idleInterval() time.Duration {
	return max(r.cfg.HeartbeatInterval, min(r.cfg.IdleInterval, r.peerIdleInterval))
}

func (r *heartbeatState) hasRecentWork(now time.Duration) bool {
	return r.inFlight > 0 || now-r.workEndedAt < activeAfterWork
}

func (r *heartbeatState) isActive(now time.Duration) bool {
	return r.peerHasWork || r.hasRecentWork(now)
}

// beginWork counts a piece of work on the link, and says whether a heartbeat is due at once.
func (r *heartbeatState) beginWork(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isActive(now) {
		r.activate(now)
	}
	r.inFlight++
	return r.dueNow
}

// activate makes an idle link brisk. From now on its silence counts, and not from the last
// heartbeat, which came at the long interval. A link that is suspect already stays so
// until it is heard: a process that wakes from a pause would believe in it again.
func (r *heartbeatState) activate(now time.Duration) {
	r.dueNow = true
	if r.silenceLocked(now) <= r.cfg.SuspectAfter {
		r.activeSince = now
	}
}

// endWork takes back the count of begin.
func (r *heartbeatState) endWork(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	r.workEndedAt = now
}

// sendAtNextTick makes a heartbeat due with the next tick.
func (r *heartbeatState) sendAtNextTick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dueAtNextTick = true
}

// takeDue says whether a heartbeat is takeDue at a tick, or at once between two ticks. After one
// that told of work the next comes at the short interval: the other side expects it.
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

// complete completes the heartbeat that is due.
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

// messageReceived notes that a message came.
func (r *heartbeatState) messageReceived(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastHeard = now
}

// heartbeatReceived takes in a heartbeat. It returns a time before which the other side cannot have
// made it, negative when unknown, and whether an answer is due at once.
//
// That time is when the heartbeat that is echoed was sent from here, and as much later as
// the other side held it: it was received after it was sent, and what the other side knew
// was looked up after it was held. Late reading on either side only makes the time
// earlier than it was.
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

// silence is how much longer the link has been silent, in either direction, than it may
// be at its interval: a link may lose messages in one direction only.
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

// lastConfirmed is the newest time at which the link worked in both directions.
func (r *heartbeatState) lastConfirmed() time.Duration {
	if len(r.sentTimes) > 1 {
		return min(r.lastHeard, r.sentTimes[1])
	}
	return r.lastHeard
}

// sinceConfirmed is the time since the link was proven, whatever its interval.
func (r *heartbeatState) sinceConfirmed(now time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now - r.lastConfirmed()
}
