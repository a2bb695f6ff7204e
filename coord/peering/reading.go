package peering

import (
	"time"

	"github.com/apricothub/apricothub/api"
)

// reading is the state of the digests that a peer sends to this entry, and of those sent to it.
type reading struct {
	// incarnation is the sender's, toRelays says which of its two sequences of digests is read. round is the number of its last digest, and at is when that came.
	incarnation, round uint64
	toRelays           bool
	at                 time.Duration
	// parts is the number of parts of that digest, received which of them have come. late is what it
	// tells of late heartbeats; hasLists means that the part with these has come.
	parts    int
	received map[uint32]bool
	late     map[*peer]time.Duration
	hasLists bool
	// known is the number of the last digest up to which nothing is missing. isLost means that a later
	// one is.
	known  uint64
	isLost bool
	// covered are the peers that the sender tells of. Unless they are late, they are alive whenever a
	// digest comes.
	covered map[*peer]bool
	// hasPeerLost means that the peer has lost a digest of this entry, and knows all up to peerKnown.
	// resentAt is when it was last sent what it lacks.
	hasPeerLost bool
	peerKnown   uint64
	resentAt    time.Duration
	// failedAt is when the peer last sent no digest for too long; hasFailed means that it has.
	failedAt  time.Duration
	hasFailed bool
}

// HandleDigest processes the digest of a heartbeat, after HandleHeartbeat. It returns the heartbeats of
// other entries in it that are new.
func (t *Table) HandleDigest(sender *api.PeerBeat, now time.Duration) []*api.PeerBeat {
	d := sender.GetDigest()
	p := t.peers[sender.GetIp()]
	if d == nil || p == nil || p.lastHeartbeat.GetIncarnation() != sender.GetIncarnation() {
		return nil
	}
	r := &p.reading
	if d.GetLost() {
		r.hasPeerLost, r.peerKnown = true, d.GetKnown()
	}
	if d.GetRelayed() {
		t.welcomedUntil = now + welcomeValidity
	}
	for _, ip := range d.GetListedIps() {
		t.AddPeer(unpackIP(ip), now)
	}
	isCurrent := d.GetNumber() != 0 && r.begin(sender, now)
	if isCurrent && d.GetPart() == 0 {
		t.readLists(r, d)
	}
	heartbeats := t.acceptRecords(r, d, now)
	if isCurrent {
		t.finish(r, d, now)
	}
	t.readMembersKnown(sender, r)
	return heartbeats
}

// readMembersKnown notes whether a digest tells the store's list of entries. A complete one does, if its sender knows
// the list; one who has come to know it since is asked for all again.
func (t *Table) readMembersKnown(sender *api.PeerBeat, r *reading) {
	if t.knowsMembers || !sender.GetMembersKnown() {
		return
	}
	d := sender.GetDigest()
	switch {
	case d.GetNumber() == 0:
		t.knowsMembers = !d.GetRelayed() || len(d.GetListedIps()) > 0
	case d.GetSince() == 0:
		t.knowsMembers = d.GetPart() == 0
	default:
		r.known, r.isLost = 0, true
	}
}

// begin notes that a digest has come, and reports whether it is not older than the last one.
func (r *reading) begin(sender *api.PeerBeat, now time.Duration) bool {
	d := sender.GetDigest()
	if sender.GetIncarnation() != r.incarnation || d.GetToRelays() != r.toRelays {
		*r = reading{incarnation: sender.GetIncarnation(), toRelays: d.GetToRelays(), hasPeerLost: r.hasPeerLost, peerKnown: r.peerKnown}
	}
	if d.GetNumber() < r.round {
		return false
	}
	if d.GetNumber() > r.round {
		r.round, r.parts, r.received = d.GetNumber(), int(max(1, d.GetParts())), make(map[uint32]bool)
		r.late, r.hasLists = nil, false
	}
	if r.covered == nil {
		r.covered = make(map[*peer]bool)
	}
	r.received[d.GetPart()] = true
	r.at = now
	return true
}

// readLists reads which entries are heard late, or not at all any more.
func (t *Table) readLists(r *reading, d *api.PeerDigest) {
	r.hasLists = true
	r.late = make(map[*peer]time.Duration, len(d.GetLateIps()))
	for i, ip := range d.GetLateIps()[:min(len(d.GetLateIps()), len(d.GetLateMs()))] {
		if late := t.peers[unpackIP(ip)]; late != nil {
			r.late[late] = time.Duration(d.GetLateMs()[i]) * time.Millisecond
		}
	}
	for _, ip := range d.GetGoneIps() {
		delete(r.covered, t.peers[unpackIP(ip)])
	}
}

// ageOf returns the age of the last heartbeat of a peer by the sender of a digest.
func (t *Table) ageOf(p *peer, r *reading) time.Duration {
	if r.round != 0 && !r.hasLists {
		// Whether it is late stands in a part that is missing.
		return t.cfg.SilentAfter
	}
	if age, isLate := r.late[p]; isLate {
		return age
	}
	// About as old is what a relay hears itself, and twice as old what it knows from other relays.
	// Otherwise their delays would add up to the time in which a dead entry is noticed.
	if t.isRelay {
		return t.cfg.RelayInterval
	}
	return 2 * t.cfg.RelayInterval
}

// acceptRecords records the heartbeats that a digest passes on, and returns those that are new.
func (t *Table) acceptRecords(r *reading, d *api.PeerDigest, now time.Duration) []*api.PeerBeat {
	var heartbeats []*api.PeerBeat
	for _, record := range d.GetRecords() {
		if record.GetIpv4() != 0 && record.GetIpv4() == packIP(t.self) {
			continue
		}
		b := t.heartbeatOf(record)
		if b == nil {
			// It changes a heartbeat that came in a digest that is lost.
			r.known, r.isLost = 0, true
			continue
		}
		t.AddPeer(b.GetIp(), now)
		other := t.peers[b.GetIp()]
		if other == nil {
			continue
		}
		if t.isPredecessor(other, b, now) {
			// Until it is known which of the two is alive, the sender's word does not count.
			delete(r.covered, other)
			r.known, r.isLost = 0, true
			continue
		}
		if t.accept(b, now-t.ageOf(other, r), now) {
			heartbeats = append(heartbeats, b)
		}
		if r.covered != nil {
			r.covered[other] = true
		}
	}
	return heartbeats
}

// finish records which entries are alive by a digest, and whether one is missing.
func (t *Table) finish(r *reading, d *api.PeerDigest, now time.Duration) {
	switch {
	case len(r.received) < r.parts || r.known == d.GetNumber():
	case d.GetSince() == 0 || d.GetSince() <= r.known:
		r.known, r.isLost = d.GetNumber(), false
	default:
		r.isLost = true
	}
	if !r.hasLists {
		return
	}
	for other := range r.covered {
		if other.lastHeartbeat != nil {
			other.lastHeard = max(other.lastHeard, now-t.ageOf(other, r))
		}
	}
}
