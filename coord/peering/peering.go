// Package peering tracks the other entries through the heartbeats that entries send each other. A
// heartbeat tells which entry serves and what it has in flight at backend servers.
//
// Heartbeats are sent to every entry that may be live. They may be lost, repeated or reordered.
// Times are durations since process start, passed as arguments. A Table has no clock, socket or
// goroutine, and is not safe for concurrent use.
package peering

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/apricothub/apricothub/api"
)

// Config holds the time and rate limits of a Table. A zero field takes its default.
type Config struct {
	// SilentAfter is the time without a heartbeat after which an entry is no longer live. Default
	// 1.2 s: long enough that heartbeats lost by chance do not remove a live entry, and callers are
	// sent to a dead one for no longer than that.
	SilentAfter time.Duration
	// MaxMissedHeartbeats is the number of consecutive heartbeats that an entry may miss before
	// another one takes over as coordinator, if that is sooner than SilentAfter. Default 4. A
	// takeover from a live entry is safe: engines refuse its lower fence.
	MaxMissedHeartbeats int
	// SuccessorInterval is the time between two heartbeats to the successor. Default 100 ms.
	SuccessorInterval time.Duration
	// SuccessorSilence is the time without a heartbeat after which the successor of a coordinator takes
	// over. Default 350 ms: three lost heartbeats.
	SuccessorSilence time.Duration
	// MinHeartbeatInterval is the minimum time between two heartbeats to an entry. Default 150 ms,
	// a tenth of the time of a typical generation, so that others learn of requests in flight at
	// backend servers before they end.
	MinHeartbeatInterval time.Duration
	// MaxHeartbeatsPerSecond limits the heartbeats that a process sends per second to live entries,
	// as long as each gets one every third of SilentAfter. Default 60: as many arrive, and sending
	// and receiving them takes far less than 1% of one core of a small VM.
	MaxHeartbeatsPerSecond float64
	// ProbeInterval is the time between two heartbeats to a silent entry. Default 1 s.
	ProbeInterval time.Duration
	// StartupGrace is the time after process start during which an entry that has never been heard
	// may count as possibly live. Default 2 s: two probes, and time for their answers.
	StartupGrace time.Duration
	// ForgetAfter is the time without a heartbeat after which nothing is sent to an entry any more.
	// Default 60 s. If it comes back later, its own heartbeat adds it again.
	ForgetAfter time.Duration
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&c.SilentAfter, 1200*time.Millisecond)
	set(&c.SuccessorInterval, 100*time.Millisecond)
	set(&c.SuccessorSilence, 350*time.Millisecond)
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
	// sorted are the peers in the order of their IPs.
	sorted []*peer
	// successor is the IP of the entry that takes over first if this one coordinates; "" for none.
	successor string
}

// peer is another entry, identified by its IP.
type peer struct {
	ip            string
	lastHeartbeat *api.PeerBeat
	lastHeard     time.Duration
	// addedAt is when the IP was added. Until the entry is heard, its silence counts from then.
	addedAt   time.Duration
	lastSent  time.Duration
	contacted bool
}

// New returns the table of the entry with IP self.
func New(self string, cfg Config) *Table {
	return &Table{cfg: cfg.withDefaults(), self: self, peers: make(map[string]*peer)}
}

// AddPeer adds an IP at which there may be an entry.
func (t *Table) AddPeer(ip string, now time.Duration) {
	if ip == "" || ip == t.self || t.peers[ip] != nil {
		return
	}
	p := &peer{ip: ip, addedAt: now}
	t.peers[ip] = p
	t.sorted = slices.Insert(t.sorted, t.position(ip), p)
}

// position returns the index in sorted that a peer has or would have.
func (t *Table) position(ip string) int {
	i, _ := slices.BinarySearchFunc(t.sorted, ip, func(p *peer, ip string) int { return strings.Compare(p.ip, ip) })
	return i
}

// LastHeartbeat returns the last heartbeat of the entry at ip; nil for none.
func (t *Table) LastHeartbeat(ip string) *api.PeerBeat {
	if p := t.peers[ip]; p != nil {
		return p.lastHeartbeat
	}
	return nil
}

// IsUrgent reports whether a heartbeat changes what must be acted on at once: the entry begins to
// leave, has another fence, or reports other impairments of backend servers. old is the entry's
// previous heartbeat; nil for none.
func IsUrgent(old, heartbeat *api.PeerBeat) bool {
	return heartbeat.GetLeaving() != old.GetLeaving() || heartbeat.GetFence() != old.GetFence() ||
		!slices.EqualFunc(heartbeat.GetPaces(), old.GetPaces(), func(a, b *api.ServerPace) bool {
			return a.GetId() == b.GetId() && a.GetPace() == b.GetPace() && a.GetClosed() == b.GetClosed()
		})
}

// HandleHeartbeat processes a heartbeat. It returns false for one that is older than the last one
// received. Otherwise a reordered heartbeat could make an entry that has begun to leave look
// serving again, and callers would be sent to it.
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
	for _, other := range heartbeat.GetOtherIps() {
		t.AddPeer(unpackIP(other), now)
	}
	return true
}

// PackIPs returns IPv4 addresses as numbers, as heartbeats tell them. Other texts are left out.
func PackIPs(ips []string) []uint32 {
	packed := make([]uint32, 0, len(ips))
	for _, ip := range ips {
		if addr, err := netip.ParseAddr(ip); err == nil && addr.Is4() {
			b := addr.As4()
			packed = append(packed, binary.BigEndian.Uint32(b[:]))
		}
	}
	return packed
}

func unpackIP(packed uint32) string {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], packed)
	return netip.AddrFrom4(b).String()
}

func (t *Table) isLive(p *peer, now time.Duration) bool { return p.heardWithin(t.cfg.SilentAfter, now) }

func (p *peer) heardWithin(maxAge, now time.Duration) bool {
	return p.lastHeartbeat != nil && now-p.lastHeard <= maxAge
}

// liveCount returns the number of other live entries.
func (t *Table) liveCount(now time.Duration) int {
	live := 0
	for _, p := range t.sorted {
		if t.isLive(p, now) {
			live++
		}
	}
	return live
}

// Live returns the last heartbeats of the live entries, sorted by IP.
func (t *Table) Live(now time.Duration) []*api.PeerBeat {
	return t.heartbeatsWithin(func(*peer) time.Duration { return t.cfg.SilentAfter }, now)
}

// OnTime returns the live entries that have missed at most MaxMissedHeartbeats heartbeats. A
// coordinator whose successor this entry is, is on time for SuccessorSilence.
//
// If the coordinator stalls while it holds a group, callers are waiting in that group. Without this
// shorter limit they would wait SilentAfter for a takeover, and hang up.
func (t *Table) OnTime(now time.Duration) []*api.PeerBeat {
	maxAge := time.Duration(t.cfg.MaxMissedHeartbeats) * t.heartbeatInterval(t.liveCount(now))
	maxAge = min(maxAge, t.cfg.SilentAfter)
	return t.heartbeatsWithin(func(p *peer) time.Duration { return t.maxOnTimeAge(p, maxAge) }, now)
}

// heartbeatsWithin returns the last heartbeats of the peers that were heard within the given time,
// sorted by IP.
func (t *Table) heartbeatsWithin(maxAge func(*peer) time.Duration, now time.Duration) []*api.PeerBeat {
	heartbeats := make([]*api.PeerBeat, 0, len(t.sorted))
	for _, p := range t.sorted {
		if p.heardWithin(maxAge(p), now) {
			heartbeats = append(heartbeats, p.lastHeartbeat)
		}
	}
	return heartbeats
}

// MaybeLive returns the IPs of the other entries that may be running, in ascending order: the live
// ones, those that fell silent without announcing that they leave, until they are forgotten, and during
// startup those that were added and have not had time to answer.
//
// An entry may be frozen or unreachable for a while and continue to send requests, and many entries
// may start at the same time. If such entries did not count, the others would divide their shares
// of a server's capacity among themselves, and a server that can take little, such as a cold one,
// would get more requests than all entries together may send. An entry that announced that it
// leaves and then falls silent is gone.
func (t *Table) MaybeLive(now time.Duration) []string {
	var ips []string
	for _, p := range t.sorted {
		if t.mayBeLive(p, now) {
			ips = append(ips, p.ip)
		}
	}
	return ips
}

func (t *Table) mayBeLive(p *peer, now time.Duration) bool {
	if p.lastHeartbeat == nil {
		// After StartupGrace a new entry is heard before it sends requests, and the list also holds VMs
		// that are long gone.
		return now <= t.cfg.StartupGrace
	}
	return t.isLive(p, now) || !p.lastHeartbeat.GetLeaving() && now-p.lastHeard <= t.cfg.ForgetAfter
}

// SelectCoordinator returns the IP of the entry that coordinates, out of this one and the live
// ones, or "" when none serves. All entries that receive the same heartbeats select the same one.
//
// The current coordinator keeps the role while it serves: it is the entry with the highest fence,
// since one with a lower fence was replaced by another. If the lowest IP always won, the role would
// change with every entry that is restarted, and nobody would coordinate in between.
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

// IsDomainReader reports whether this entry reads the platform's store on behalf of its failure
// domain: it is the serving entry with the lowest IP there. An entry that does not serve reads for
// itself.
//
// If hundreds of entries each read the store once or twice a second, the calls would grow with the
// number of entries up to the store's rate limit. With one reader per failure domain their number
// stays constant, and a domain that is cut off still reads.
func IsDomainReader(self *api.PeerBeat, live []*api.PeerBeat) bool {
	for _, b := range live {
		if b.GetServing() && !b.GetLeaving() && b.GetFailureDomain() == self.GetFailureDomain() && b.GetIp() < self.GetIp() {
			return !self.GetServing()
		}
	}
	return true
}

// heartbeatInterval returns the time between two heartbeats to a live entry. Heartbeats from all to
// all would grow with the square of the number of entries. Each process therefore keeps to
// MaxHeartbeatsPerSecond, so with more entries each hears less often from the others. The interval
// grows to at most a third of SilentAfter, even if that exceeds the rate: with a longer one, a few
// lost heartbeats would make a live entry look silent.
func (t *Table) heartbeatInterval(live int) time.Duration {
	spread := time.Duration(float64(live) / t.cfg.MaxHeartbeatsPerSecond * float64(time.Second))
	return max(t.cfg.MinHeartbeatInterval, min(spread, t.cfg.SilentAfter/3))
}

// TakeDue returns the IPs to send a heartbeat to now, records it as sent, and forgets entries that
// have been silent for long. With allLive, used for urgent changes, a heartbeat is due to every
// live entry.
func (t *Table) TakeDue(now time.Duration, allLive bool) []string {
	interval := t.heartbeatInterval(t.liveCount(now))
	t.sorted = slices.DeleteFunc(t.sorted, func(p *peer) bool {
		isForgotten := now-max(p.lastHeard, p.addedAt) > t.cfg.ForgetAfter
		if isForgotten {
			delete(t.peers, p.ip)
		}
		return isForgotten
	})
	var due []string
	for _, p := range t.sorted {
		wait := t.cfg.ProbeInterval
		if t.isLive(p, now) {
			wait = interval
			switch {
			case allLive:
				wait = 0
			case p.ip == t.successor:
				wait = min(interval, t.cfg.SuccessorInterval)
			}
		}
		if p.contacted && now-p.lastSent < wait {
			continue
		}
		p.contacted = true
		p.lastSent = now
		due = append(due, p.ip)
	}
	return due
}
