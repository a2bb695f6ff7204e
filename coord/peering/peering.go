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
	// Silent is the silence after which an entry counts as gone. Default 1.2 s: several
	// beats in a row are not lost by chance, and callers are sent to a dead entry for no
	// longer.
	Silent time.Duration
	// Missed is the number of beats that an entry misses in a row before another one takes over
	// its duty of coordinating, if that is sooner than Silent. Default 4. Nothing is lost
	// when it still lives: engines refuse the lower fencing number.
	Missed int
	// Beat is the shortest time between two beats to an entry. Default 150 ms, a tenth of
	// the time that a generation takes, so that what others have at backend servers is
	// known while it is still there.
	Beat time.Duration
	// BeatsPerSecond bounds the beats that a process sends a second. Default 60: as many
	// arrive, and both together stay far below a hundredth of a small VM's core.
	BeatsPerSecond float64
	// Probe is the time between two beats to an entry that is silent. Default 1 s.
	Probe time.Duration
	// Unheard is how long after the process's start an entry that was learned of and has never
	// been heard may be taken as living. Default 2 s: two probes, and time for their answers.
	Unheard time.Duration
	// Forget is the silence after which an entry is no longer sent to. Default 60 s. One
	// that comes back later makes itself known.
	Forget time.Duration
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&c.Silent, 1200*time.Millisecond)
	set(&c.Beat, 150*time.Millisecond)
	set(&c.Probe, time.Second)
	set(&c.Unheard, 2*time.Second)
	set(&c.Forget, time.Minute)
	if c.Missed == 0 {
		c.Missed = 4
	}
	if c.BeatsPerSecond == 0 {
		c.BeatsPerSecond = 60
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
	ip    string
	beat  *api.PeerBeat
	heard time.Duration
	// known is when the IP was learned: until it is heard, silence counts from then.
	known time.Duration
	sent  time.Duration
	began bool
}

// New returns the table of the entry at an IP.
func New(self string, cfg Config) *Table {
	return &Table{cfg: cfg.withDefaults(), self: self, peers: make(map[string]*peer)}
}

// Learn notes an IP at which there may be an entry.
func (t *Table) Learn(ip string, now time.Duration) {
	if ip == "" || ip == t.self || t.peers[ip] != nil {
		return
	}
	t.peers[ip] = &peer{ip: ip, known: now}
}

// Heard takes in a beat. It returns false for one that is older than what was heard.
//
// Load: beats that overtake each other. Harm prevented: an entry that has begun to leave
// is taken as serving again, and callers are sent to it.
func (t *Table) Heard(beat *api.PeerBeat, now time.Duration) bool {
	ip := beat.GetIp()
	if ip == "" || ip == t.self {
		return false
	}
	t.Learn(ip, now)
	p := t.peers[ip]
	if old := p.beat; old != nil && old.GetIncarnation() == beat.GetIncarnation() && old.GetSequence() >= beat.GetSequence() {
		return false
	}
	p.beat = beat
	p.heard = now
	for _, other := range beat.GetOthers() {
		t.Learn(other, now)
	}
	return true
}

func (t *Table) live(p *peer, now time.Duration) bool { return p.heardWithin(t.cfg.Silent, now) }

func (p *peer) heardWithin(most, now time.Duration) bool { return p.beat != nil && now-p.heard <= most }

// count is the number of other entries that are not silent.
func (t *Table) count(now time.Duration) int {
	live := 0
	for _, p := range t.peers {
		if t.live(p, now) {
			live++
		}
	}
	return live
}

// Live returns the last beats of the entries that are not silent, in the order of their
// IPs.
func (t *Table) Live(now time.Duration) []*api.PeerBeat { return t.heardWithin(t.cfg.Silent, now) }

// Prompt returns those of the live entries that have missed no more than a few beats.
//
// Load: the entry that coordinates stands still with a group held. Harm prevented: callers
// wait for it as long as for an entry that is to get no callers any more, and leave.
func (t *Table) Prompt(now time.Duration) []*api.PeerBeat {
	late := time.Duration(t.cfg.Missed) * t.interval(t.count(now))
	return t.heardWithin(min(late, t.cfg.Silent), now)
}

func (t *Table) heardWithin(most, now time.Duration) []*api.PeerBeat {
	var beats []*api.PeerBeat
	for _, p := range t.peers {
		if p.heardWithin(most, now) {
			beats = append(beats, p.beat)
		}
	}
	slices.SortFunc(beats, func(a, b *api.PeerBeat) int {
		switch {
		case a.GetIp() < b.GetIp():
			return -1
		case a.GetIp() > b.GetIp():
			return 1
		}
		return 0
	})
	return beats
}

// MayLive returns the number of other entries that may be at work, by what is known: those
// that are heard, those that have gone silent without a word, until they are forgotten, and
// at the process's start those that were learned of and have not had the time to answer.
//
// Load: entries that are frozen, or are not heard for a while, and work on; entries that have
// all just started. Harm prevented: the others share out among themselves what a silent one
// still takes, and a server that bears little gets more than all together may send. An entry
// that says it is leaving and then goes silent is gone.
func (t *Table) MayLive(now time.Duration) int {
	n := 0
	for _, p := range t.peers {
		switch {
		case t.live(p, now):
			n++
		case p.beat == nil && now <= t.cfg.Unheard:
			// Later on, who comes is heard first, and the list also has names of VMs that are
			// long gone.
			n++
		case p.beat != nil && !p.beat.GetLeaving() && now-p.heard <= t.cfg.Forget:
			n++
		}
	}
	return n
}

// Coordinator returns the IP of the entry that is to coordinate, out of this one and the
// live ones; empty when none serves. All entries that hear the same beats find the same one.
//
// Load: entries that are stopped and started in turn, each of which would be the first one
// again when it is back. Harm prevented: the duty changes hands with each of them, and
// nobody does it meanwhile. Whoever has it keeps it while it serves: the one with the
// highest fencing number, since one with a lower number has been followed by another.
func Coordinator(self *api.PeerBeat, live []*api.PeerBeat) string {
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

// Reads says whether this entry is the one in its failure domain that reads the platform's
// store for the others: the first of those that serve, by IP. An entry that does not serve
// reads for itself.
//
// Load: hundreds of entries that each ask the store once or twice a second. Harm prevented:
// calls that grow with the entries, up to the store's rate. With one for each failure domain
// they stay the same however many there are, and a domain that is cut off still reads.
func Reads(self *api.PeerBeat, live []*api.PeerBeat) bool {
	for _, b := range live {
		if b.GetServing() && !b.GetLeaving() && b.GetFailureDomain() == self.GetFailureDomain() && b.GetIp() < self.GetIp() {
			return !self.GetServing()
		}
	}
	return true
}

// interval is the time between two beats to an entry that is heard.
//
// Load: hundreds of entries. Harm prevented: beats from all to all that grow with their
// square; each process sends BeatsPerSecond at most, so that with more entries each hears
// of the others less often.
func (t *Table) interval(live int) time.Duration {
	spread := time.Duration(float64(live) / t.cfg.BeatsPerSecond * float64(time.Second))
	return max(t.cfg.Beat, min(spread, t.cfg.Silent/3))
}

// Due returns the IPs that a beat is to be sent to now, counts it as sent, and forgets
// entries that have been silent for long. With all, as on a change that is not to wait, a
// beat is due to every entry that is heard.
func (t *Table) Due(now time.Duration, all bool) []string {
	interval := t.interval(t.count(now))
	var due []string
	for ip, p := range t.peers {
		if now-max(p.heard, p.known) > t.cfg.Forget {
			delete(t.peers, ip)
			continue
		}
		wait := t.cfg.Probe
		if t.live(p, now) {
			wait = interval
			if all {
				wait = 0
			}
		}
		if p.began && now-p.sent < wait {
			continue
		}
		p.began = true
		p.sent = now
		due = append(due, ip)
	}
	return due
}
