// Package peering tracks the other entries through the heartbeats that entries send each other. A
// heartbeat tells which entry serves and what it has in flight at backend servers.
//
// Among few entries, heartbeats are sent to every entry that may be live. Among many, each entry sends
// them to two relays of its failure domain, and reads the digests of one of them. Heartbeats and digests
// may be lost, repeated or reordered.
//
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

// Table is what one entry knows of the others.
type Table struct {
	cfg   Config
	self  string
	peers map[string]*peer
	// sorted are the peers in the order of their IPs.
	sorted []*peer
	// successor is the IP of the entry that takes over first if this one coordinates; "" for none.
	successor string
	// coordinator is the IP of the entry that last named this one as its successor.
	coordinator string
	// hasHeard means that a heartbeat of any peer has come.
	hasHeard bool
	// version counts the changes of what the peers report.
	version uint64
	// newestOperators and newestServers are the highest offsets that a peer has reported.
	newestOperators, newestServers int64
	// hasUrgent means that a heartbeat has changed what must be acted on at once.
	hasUrgent bool
	relayState
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
	// directAt is when a heartbeat last came from the entry itself; isDirect means that one has.
	directAt time.Duration
	isDirect bool
	// version is the version of the Table at the last change of what the entry reports, stateVersion
	// the one at the last change of anything but its load.
	version, stateVersion uint64
	// welcomedAt is when it was last sent a digest as one that has just started; zero for never.
	welcomedAt time.Duration
	reading    reading
}

// New returns the table of the entry with IP self.
func New(self string, cfg Config) *Table {
	return &Table{cfg: cfg.withDefaults(), self: self, peers: make(map[string]*peer), relayState: relayState{newcomers: make(map[*peer]bool), byDomain: make(map[string][]*api.PeerBeat)}}
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

// HandleHeartbeat processes a heartbeat that came from the entry itself. It returns false for one that is
// older than the last one received. Otherwise a reordered heartbeat could make an entry that has begun to
// leave look serving again, and callers would be sent to it.
func (t *Table) HandleHeartbeat(heartbeat *api.PeerBeat, now time.Duration) bool {
	if !t.accept(heartbeat, now, now) {
		return false
	}
	p := t.peers[heartbeat.GetIp()]
	p.directAt, p.isDirect = now, true
	if !heartbeat.GetMembersKnown() {
		t.newcomers[p] = true
	}
	if t.isAttached(p) && !t.toMembers.readers[p.ip] {
		// Its last relay may have ended; without a digest it soon takes all for silent.
		t.mustRelay = true
	}
	for _, other := range heartbeat.GetOthers() {
		t.AddPeer(other, now)
	}
	for _, other := range heartbeat.GetOtherIps() {
		t.AddPeer(unpackIP(other), now)
	}
	return true
}

// accept records a heartbeat that came from the entry itself or from a relay, and was heard by either at
// heardAt. It returns false for one that is not newer than the last one.
func (t *Table) accept(heartbeat *api.PeerBeat, heardAt, now time.Duration) bool {
	ip := heartbeat.GetIp()
	if ip == "" || ip == t.self {
		return false
	}
	t.AddPeer(ip, now)
	p := t.peers[ip]
	old := p.lastHeartbeat
	if old != nil && old.GetIncarnation() == heartbeat.GetIncarnation() && old.GetSequence() >= heartbeat.GetSequence() {
		return false
	}
	if t.isPredecessor(p, heartbeat, now) {
		return false
	}
	t.hasHeard = true
	p.lastHeartbeat = heartbeat
	p.lastHeard = max(p.lastHeard, heardAt)
	t.recordChange(p, old)
	return true
}

// isPredecessor reports whether a heartbeat is that of an earlier process at the IP of a peer. One that relays
// still pass on for a moment would make its successor look like it. Incarnations begin with the time of day;
// a process that starts with its clock set back is heard once its predecessor is silent.
func (t *Table) isPredecessor(p *peer, heartbeat *api.PeerBeat, now time.Duration) bool {
	return heartbeat.GetIncarnation() < p.lastHeartbeat.GetIncarnation() && t.isLive(p, now)
}

// recordChange notes what has changed since the last heartbeat of a peer.
func (t *Table) recordChange(p *peer, old *api.PeerBeat) {
	b := p.lastHeartbeat
	switch {
	case old == nil || hasStateChanged(old, b):
		t.version++
		p.version, p.stateVersion = t.version, t.version
	case hasLoadChanged(old, b):
		t.version++
		p.version = t.version
	}
	if b.GetSuccessor() == t.self {
		t.coordinator = p.ip
	}
	isUrgent := IsUrgent(old, b)
	t.hasUrgent = t.hasUrgent || isUrgent
	isNewer := b.GetOperatorsChanged() > t.newestOperators || b.GetServersChanged() > t.newestServers
	t.newestOperators = max(t.newestOperators, b.GetOperatorsChanged())
	t.newestServers = max(t.newestServers, b.GetServersChanged())
	t.mustRelay = t.mustRelay || isNewer || isUrgent
}

// TakeUrgent reports whether a heartbeat since the last call has changed what must be acted on at once.
func (t *Table) TakeUrgent() bool {
	hasUrgent := t.hasUrgent
	t.hasUrgent = false
	return hasUrgent
}

// PackIPs returns IPv4 addresses as numbers, as heartbeats tell them. Other texts are left out.
func PackIPs(ips []string) []uint32 {
	packed := make([]uint32, 0, len(ips))
	for _, ip := range ips {
		if n := packIP(ip); n != 0 {
			packed = append(packed, n)
		}
	}
	return packed
}

// packIP returns an IPv4 address as a number, or zero for another text.
func packIP(ip string) uint32 {
	addr, err := netip.ParseAddr(ip)
	if err != nil || !addr.Is4() {
		return 0
	}
	b := addr.As4()
	return binary.BigEndian.Uint32(b[:])
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
	maxAge := t.cfg.SilentAfter
	if !t.isRelayed {
		maxAge = min(maxAge, time.Duration(t.cfg.MaxMissedHeartbeats)*t.heartbeatInterval(t.liveCount(now)))
	}
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

// heartbeatInterval returns the time between two heartbeats to a live entry. Heartbeats from all to
// all would grow with the square of the number of entries. Each process therefore keeps to
// MaxHeartbeatsPerSecond, so with more entries each hears less often from the others. The interval
// grows to at most a third of SilentAfter, even if that exceeds the rate: with a longer one, a few
// lost heartbeats would make a live entry look silent.
func (t *Table) heartbeatInterval(live int) time.Duration {
	spread := time.Duration(float64(live) / t.cfg.MaxHeartbeatsPerSecond * float64(time.Second))
	return max(t.cfg.MinHeartbeatInterval, min(spread, t.cfg.SilentAfter/3))
}

// TakeDue returns the IPs to send a heartbeat to now where heartbeats go from all to all, and records it
// as sent. With allLive, used for urgent changes, a heartbeat is due to every live entry.
func (t *Table) TakeDue(now time.Duration, allLive bool) []string {
	t.forget(now)
	interval := t.heartbeatInterval(t.liveCount(now))
	var due []string
	for _, p := range t.sorted {
		wait := t.probeWait(p, now)
		if t.isLive(p, now) {
			wait = interval
			switch {
			case allLive:
				wait = 0
			case p.ip == t.successor:
				wait = min(interval, t.cfg.SuccessorInterval)
			}
		}
		if p.takeTurn(wait, now) {
			due = append(due, p.ip)
		}
	}
	return due
}

// probeWait returns the time between two heartbeats to a silent peer. An entry that has just started and has
// heard nobody does not wait long: the others may have started a moment later, and have missed its first one.
func (t *Table) probeWait(p *peer, now time.Duration) time.Duration {
	if !t.hasHeard && now-p.addedAt <= t.cfg.StartupGrace {
		return startProbeInterval
	}
	return t.cfg.ProbeInterval
}

// takeTurn reports whether nothing has been sent to a peer for the given time, and records it as sent then.
func (p *peer) takeTurn(wait, now time.Duration) bool {
	if p.contacted && now-p.lastSent < wait {
		return false
	}
	p.contacted = true
	p.lastSent = now
	return true
}

// forget removes the entries that have been silent for long.
func (t *Table) forget(now time.Duration) {
	t.sorted = slices.DeleteFunc(t.sorted, func(p *peer) bool {
		isForgotten := now-max(p.lastHeard, p.addedAt) > t.cfg.ForgetAfter
		if isForgotten {
			delete(t.peers, p.ip)
		}
		return isForgotten
	})
}
