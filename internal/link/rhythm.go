package link

import (
	"sync"
	"time"

	"github.com/apricothub/apricothub/api"
)

// linger is how long a link stays brisk after its last work: requests that follow each
// other would otherwise begin with two more heartbeats each.
const linger = time.Second

// rhythm knows when a link's heartbeats are due and how long the link has been silent.
//
// A link with work beats at the short interval, since its callers wait for what is
// lost; one without beats at the long interval, which is most of what control costs a
// node. The side that has work says so, and both are brisk until it says otherwise, so
// that neither expects what the other does not send.
type rhythm struct {
	cfg Config

	mu      sync.Mutex
	flights int           // pieces of work on the link
	ended   time.Duration // when the last one ended
	asked   bool          // the other side has work
	theirs  time.Duration // the long interval that the other side reckons with
	since   time.Duration // when the link last became brisk

	heard   time.Duration   // when the newest message came
	echo    uint64          // the newest heartbeat received
	echoAt  time.Duration   // when it came
	sent    uint64          // the newest heartbeat sent
	acked   uint64          // the newest one echoed
	times   []time.Duration // when those from acked on were sent
	beatAt  time.Duration   // when the newest was sent
	told    bool            // it said that this side has work
	urgent  bool            // one is due at once
	hurried bool            // one is due with the next tick
	// What the heartbeat that is due echoes, read before the knowledge that it carries.
	nextEcho uint64
	nextHeld time.Duration
}

func newRhythm(cfg Config, now time.Duration) *rhythm {
	cfg.Idle = max(cfg.Idle, cfg.Heartbeat)
	// A new link is brisk for a while: the first echoes are waited for.
	return &rhythm{cfg: cfg, heard: now, ended: now, since: now, urgent: true, times: []time.Duration{now}}
}

// idle is the long interval: the shorter one of both sides, so that one which knows
// another or none, as in a rolling update, takes nothing for silence.
func (r *rhythm) idle() time.Duration {
	return max(r.cfg.Heartbeat, min(r.cfg.Idle, r.theirs))
}

func (r *rhythm) needed(now time.Duration) bool { return r.flights > 0 || now-r.ended < linger }

func (r *rhythm) brisk(now time.Duration) bool { return r.asked || r.needed(now) }

// begin counts a piece of work on the link, and says whether a heartbeat is due at once.
func (r *rhythm) begin(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.brisk(now) {
		r.quicken(now)
	}
	r.flights++
	return r.urgent
}

// quicken makes an idle link brisk. From now on its silence counts, and not from the last
// heartbeat, which came at the long interval. A link that is suspect already stays so
// until it is heard: a process that wakes from a pause would believe in it again.
func (r *rhythm) quicken(now time.Duration) {
	r.urgent = true
	if r.silent(now) <= r.cfg.Suspect {
		r.since = now
	}
}

// end takes back the count of begin.
func (r *rhythm) end(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flights--
	r.ended = now
}

// hurry makes a heartbeat due with the next tick.
func (r *rhythm) hurry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hurried = true
}

// due says whether a heartbeat is due at a tick, or at once between two ticks. After one
// that told of work the next comes at the short interval: the other side expects it.
func (r *rhythm) due(now time.Duration, tick bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	slow := now-r.beatAt >= r.idle()-r.cfg.Heartbeat/2
	if !r.urgent && !(tick && (r.hurried || r.told || slow || r.brisk(now))) {
		return false
	}
	r.urgent, r.hurried = false, false
	r.nextEcho, r.nextHeld = r.echo, now-r.echoAt
	return true
}

// stamp completes the heartbeat that is due.
func (r *rhythm) stamp(beat *api.Heartbeat, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.times = append(r.times, now)
	r.beatAt = now
	r.told = r.needed(now)
	beat.Seq = r.sent
	beat.Echo = r.nextEcho
	beat.HeldUs = r.nextHeld.Microseconds()
	beat.Brisk = r.told
	beat.IdleMs = r.cfg.Idle.Milliseconds()
}

// received notes that a message came.
func (r *rhythm) received(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = now
}

// noted takes in a heartbeat. It returns a time before which the other side cannot have
// made it, negative when unknown, and whether an answer is due at once.
//
// That time is when the heartbeat that is echoed was sent from here, and as much later as
// the other side held it: it was received after it was sent, and what the other side knew
// was looked up after it was held. Late reading on either side only makes the time
// earlier than it was.
func (r *rhythm) noted(beat *api.Heartbeat, now time.Duration) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.echo, r.echoAt = beat.GetSeq(), now
	if beat.GetBrisk() && !r.brisk(now) {
		r.quicken(now)
	}
	r.asked = beat.GetBrisk()
	r.theirs = time.Duration(beat.GetIdleMs()) * time.Millisecond
	echoed := min(beat.GetEcho(), r.sent)
	if echoed > r.acked {
		r.times = r.times[:copy(r.times, r.times[echoed-r.acked:])]
		r.acked = echoed
	}
	if echoed == 0 || echoed < r.acked {
		return -1, r.urgent
	}
	held := max(0, time.Duration(beat.GetHeldUs())*time.Microsecond)
	return min(r.times[0]+held, now), r.urgent
}

// silence is how much longer the link has been silent, in either direction, than it may
// be at its interval: a link may lose messages in one direction only.
func (r *rhythm) silence(now time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent(now)
}

func (r *rhythm) silent(now time.Duration) time.Duration {
	if r.brisk(now) {
		return now - max(r.proven(), r.since)
	}
	return now - r.proven() - (r.idle() - r.cfg.Heartbeat)
}

// proven is the newest time at which the link worked in both directions.
func (r *rhythm) proven() time.Duration {
	if len(r.times) > 1 {
		return min(r.heard, r.times[1])
	}
	return r.heard
}

// quiet is the time since the link was proven, whatever its interval.
func (r *rhythm) quiet(now time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now - r.proven()
}
