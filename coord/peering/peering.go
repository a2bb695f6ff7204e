// Package peering keeps what entries tell each other in beats: who serves, and what each
// has at backend servers.
//
// A beat is sent to every entry that may live. Beats may be lost, repeated or overtaken.
// Time is an argument, counted since the process started. A Table holds no clock, socket or
// goroutine, and is not safe for use by several goroutines at once.
package peering

import (
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
)

// Config holds the times of a table. A zero field takes its default.
type Config struct {
	// SilentAfter is the silence after which an entry counts as gone. Default 1.2 s: several
	// beats in a row are not lost by chance, and callers are sent to a dead entry for no
	// longer.
	SilentAfter time.Duration
	// MaxMissedHeartbeats is the number of beats that an entry misses in a row before another one takes over
	// its duty of coordinating, if that is sooner than Silent. Default 4. Nothing is lost
	// when it still lives: engines refuse the lower fencing number.
	MaxMissedHeartbeats int
	// MinHeartbeatInterval is the shortest time between two beats to an entry. Default 150 ms, a tenth of
	// the time that a generation takes, so that what others have at backend servers is
	// known while it is still there.
	MinHeartbeatInterval time.Duration
	// MaxHeartbeatsPerSecond bounds the beats that a process sends a second. Default 60: as many
	// arrive, and both together stay far below a hundredth of a small VM's core.
	MaxHeartbeatsPerSecond float64
	// ProbeInterval is the time between two beats to an entry that is silent. Default 1 s.
	ProbeInterval time.Duration
	// StartupGrace is how long after the process's start an entry that was learned of and has never
	// been heard may be taken as living. Default 2 s: two probes, and time for their answers.
	StartupGrace time.Duration
	// ForgetAfter is the silence after which an entry is no longer sent to. Default 60 s. One
	// that comes back later makes itself known.
	ForgetAfter time.Duration
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&c.SilentAfter, 1200*time.Millisecond)
	set(&c.MinHeartbeatInterval, 150*time.Millisecond)
	set(&c.ProbeInterval, time.Second)
	set(&c.StartupGrace, 2*time.Second)
	set(&c.ForgetAfter, time.Minute)
	if c.MaxMissedHeartbeats == 0 {
		c.MaxMissedHeartbeats = 4
	}
	if c.MaxHeartbeatsPerSecond == 0 {
		c.MaxHeartbeatsPerSecond = 60
	}
	return c
}

// Table is what one entry knows of the others.
type Table struct {
	cfg   Config
	self  string
	peers map[string]*peer
}

// peer is another entry, by its IP.
type peer struct {
	ip            string
	lastHeartbeat *api.PeerBeat
	lastHeard     time.Duration
	// addedAt is when the IP was learned: until it is heard, silence counts from then.
	addedAt   time.Duration
	lastSent  time.Duration
	contacted bool
}

// New returns the table of the entry at an IP.
func New(self string, cfg Config) *Table {
	return &Table{cfg: cfg.withDefaults(), self: self, peers: make(map[string]*peer)}
}

// AddPeer notes an IP at which there may be an entry.
func (t *Table) AddPeer(ip string, now time.Duration) {
	if ip == "" || ip == t.self || t.peers[ip] != nil {
		return
	}
	t.peers[ip] = &peer{ip: ip, addedAt: now}
}

// HandleHeartbeat takes in a beat. It returns false for one that is older than what was heard.
//
// Load: beats that overtake each other. Harm prevented: an entry that has begun to leave
// is taken as serving again, and callers are sent to it.
func (t *Table) HandleHeartbeat(heartbeat *api.PeerBeat, now time.Duration) bool {
	ip := heartbeat.GetIp()
	if ip == "" || ip == t.self {
		return false
	}
	t.AddPeer(ip, now)
	p := t.peers[ip]
	if old := p.lastHeartbeat; old != nil && old.GetIncarnation() == heartbeat.GetIncarnation() && old.GetSequence() >= heartbeat.GetSequence() {
		return false
	}
	p.lastHeartbeat = heartbeat
	p.lastHeard = now
	for _, other := range heartbeat.GetOthers() {
		t.AddPeer(other, now)
	}
	return true
}

func (t *Table) isLive(p *peer, now time.Duration) bool { return p.heardWithin(t.cfg.SilentAfter, now) }

func (p *peer) heardWithin(maxAge, now time.Duration) bool {
	return p.lastHeartbeat != nil && now-p.lastHeard <= maxAge
}

// liveCount is the number of other entries that are not silent.
func (t *Table) liveCount(now time.Duration) int {
	live := 0
	for _, p := range t.peers {
		if t.isLive(p, now) {
			live++
		}
	}
	return live
}

// Live returns the last beats of the entries that are not silent, in the order of their
// IPs.
func (t *Table) Live(now time.Duration) []*api.PeerBeat {
	return t.heartbeatsWithin(t.cfg.SilentAfter, now)
}

// OnTime returns those of the live entries that have missed no more than a few beats.
//
// Load: the entry that coordinates stands still with a group held. Harm prevented: callers
// wait for it as long as for an entry that is to get no callers any more, and leave.
func (t *Table) OnTime(now time.Duration) []*api.PeerBeat {
	maxAge := time.Duration(t.cfg.MaxMissedHeartbeats) * t.heartbeatInterval(t.liveCount(now))
	return t.heartbeatsWithin(min(maxAge, t.cfg.SilentAfter), now)
}

func (t *Table) heartbeatsWithin(maxAge, now time.Duration) []*api.PeerBeat {
	var heartbeats []*api.PeerBeat
	for _, p := range t.peers {
		if p.heardWithin(maxAge, now) {
			heartbeats = append(heartbeats, p.lastHeartbeat)
		}
	}
	slices.SortFunc(heartbeats, func(a, b *api.PeerBeat) int {
		switch {
		case a.GetIp() < b.GetIp():
			return -1
		case a.GetIp() > b.GetIp():
			return 1
		}
		return 0
	})
	return heartbeats
}

// MaybeLiveCount returns the number of other entries that may be at work, by what is known: those
// that are heard, those that have gone silent without a word, until they are forgotten, and
// at the process's start those that were learned of and have not had the time to answer.
//
// Load: entries that are frozen, or are not heard for a while, and work on; entries that have
// all just started. Harm prevented: the others share out among themselves what a silent one
// still takes, and a server that bears little gets more than all together may send. An entry
// that says it is leaving and then goes silent is gone.
func (t *Table) MaybeLiveCount(now time.Duration) int {
	n := 0
	for _, p := range t.peers {
		switch {
		case t.isLive(p, now):
			n++
		case p.lastHeartbeat == nil && now <= t.cfg.StartupGrace:
			// Later on, who comes is heard first, and the list also has names of VMs that are
			// long gone.
			n++
		case p.lastHeartbeat != nil && !p.lastHeartbeat.GetLeaving() && now-p.lastHeard <= t.cfg.ForgetAfter:
			n++
		}
	}
	return n
}

// SelectCoordinator returns the IP of the entry that is to coordinate, out of this one and the
// live ones; empty when none serves. All entries that hear the same beats find the same one.
//
// Load: entries that are stopped and started in turn, each of which would be the first one
// again when it is back. Harm prevented: the duty changes hands with each of them, and
// nobody does it meanwhile. Whoever has it keeps it while it serves: the one with the
// highest fencing number, since one with a lower number has been followed by another.
func SelectCoordinator(self *api.PeerBeat, live []*api.PeerBeat) string {
	var best *api.PeerBeat
	for _, b := range append([]*api.PeerBeat{self}, live...) {
		if !b.GetServing() || b.GetLeaving() {
			continue
		}
		switch {
		case best == nil, b.GetFence() > best.GetFence():
			best = b
		case b.GetFence() == best.GetFence() && b.GetIp() < best.GetIp():
			best = b
		}
	}
	return best.GetIp()
}

// IsDomainReader says whether this entry is the one in its failure domain that reads the platform's
// store for the others: the first of those that serve, by IP. An entry that does not serve
// reads for itself.
//
// Load: hundreds of entries that each ask the store once or twice a second. Harm prevented:
// calls that grow with the entries, up to the store's rate. With one for each failure domain
// they stay the same however many there are, and a domain that is cut off still reads.
func IsDomainReader(self *api.PeerBeat, live []*api.PeerBeat) bool {
	for _, b := range live {
		if b.GetServing() && !b.GetLeaving() && b.GetFailureDomain() == self.GetFailureDomain() && b.GetIp() < self.GetIp() {
			return !self.GetServing()
		}
	}
	return true
}

// heartbeatInterval is the time between two beats to an entry that is heard.
//
// Load: hundreds of entries. Harm prevented: beats from all to all that grow with their
// square; each process sends BeatsPerSecond at most, so that with more entries each hears
// of the others less often.
func (t *Table) heartbeatInterval(live int) time.Duration {
	spread := time.Duration(float64(live) / t.cfg.MaxHeartbeatsPerSecond * float64(time.Second))
	return max(t.cfg.MinHeartbeatInterval, min(spread, t.cfg.SilentAfter/3))
}

// TakeDue returns the IPs that a beat is to be sent to now, counts it as sent, and forgets
// entries that have been silent for long. With all, as on a change that is not to wait, a
// beat is due to every entry that is heard.
func (t *Table) TakeDue(now time.Duration, allLive bool) []string {
	interval := t.heartbeatInterval(t.liveCount(now))
	var due []string
	for ip, p := range t.peers {
		if now-max(p.lastHeard, p.addedAt) > t.cfg.ForgetAfter {
			delete(t.peers, ip)
			continue
		}
		wait := t.cfg.ProbeInterval
		if t.isLive(p, now) {
			wait = interval
			if allLive {
				wait = 0
			}
		}
		if p.contacted && now-p.lastSent < wait {
			continue
		}
		p.contacted = true
		p.lastSent = now
		due = append(due, ip)
	}
	return due
}
