package peering

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apricothub/apricothub/api"
)

const (
	// lateMargin is how much older than usual an entry's last heartbeat is when digests tell its age: two
	// ticks.
	lateMargin = 100 * time.Millisecond
	// maxRecords limits the records of one digest, so that it fits into few packets. A larger one is
	// split.
	maxRecords = 96
	// minRoundInterval is the least time between two digests, also if something is urgent.
	minRoundInterval = 50 * time.Millisecond
	// maxRounds is the number of digests after which a reader that has lost one is sent everything again.
	// It is also how often an entry is told to be gone: a reader that loses as many digests in a row takes
	// all for gone anyway.
	maxRounds = 16
	// resendInterval is the least time between two repeats of what a reader has lost.
	resendInterval = 250 * time.Millisecond
	// welcomeInterval is the least time between two digests to an entry that has just started.
	welcomeInterval = 300 * time.Millisecond
	// maxProbes is the number of silent entries that an entry probes in each ProbeInterval. An entry
	// without a relay probes maxStartProbes in each startProbeInterval.
	maxProbes          = 2
	maxStartProbes     = 8
	startProbeInterval = 100 * time.Millisecond
)

// Message is a heartbeat to be sent to some entries, and the digest that it carries; nil for none.
type Message struct {
	IPs    []string
	Digest *api.PeerDigest
}

// channel is a sequence of digests that are the same for all its readers.
type channel struct {
	// round is the number of the last digest, sentAt when it was sent.
	round  uint64
	sentAt time.Duration
	// versions are the versions of the Table at the last digests, by number.
	versions map[uint64]uint64
	// told are the peers that the readers have been told of, gone those of which they are told no more,
	// with the number of the first digest without them.
	told map[*peer]bool
	gone map[*peer]uint64
	// readers are the IPs of those that were sent the last digest.
	readers map[string]bool
}

// TakeMessages returns the heartbeats to send now, and records them as sent. urgent means that this
// entry's own heartbeat must be sent at once.
func (t *Table) TakeMessages(isLeaving, urgent bool, now time.Duration) []Message {
	t.isLeaving = isLeaving
	t.updateTopology(now)
	if !t.isRelayed {
		t.mustRelay = false
		return t.takeMesh(urgent, now)
	}
	t.attach(now)
	messages := t.takeOwn(urgent, now)
	messages = append(messages, t.takeWelcomes(now)...)
	if !t.isRelay {
		t.mustRelay = false
		return messages
	}
	return append(messages, t.takeDigests(urgent, now)...)
}

// takeMesh returns the heartbeats where they go from all to all. An entry that has just started is told
// the others, so that it need not ask the store.
func (t *Table) takeMesh(urgent bool, now time.Duration) []Message {
	var messages []Message
	if due := t.TakeDue(now, urgent); len(due) > 0 {
		messages = append(messages, Message{IPs: due})
	}
	if !t.knowsMembers {
		return messages
	}
	for _, p := range t.takeNewcomers(now) {
		messages = append(messages, Message{IPs: []string{p.ip}, Digest: &api.PeerDigest{ListedIps: t.packedPeers(p)}})
	}
	return messages
}

// takeNewcomers returns the entries that have just been heard, do not know the list of entries, and have
// not been told of others for a while. It records that they are.
func (t *Table) takeNewcomers(now time.Duration) []*peer {
	var due []*peer
	for p := range t.newcomers {
		if p.lastHeartbeat.GetMembersKnown() || now-p.directAt > welcomeInterval {
			delete(t.newcomers, p)
			continue
		}
		if p.welcomedAt == 0 || now-p.welcomedAt >= welcomeInterval {
			p.welcomedAt = now
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b *peer) int { return strings.Compare(a.ip, b.ip) })
	return due
}

// packedPeers returns the IPs of all peers but one.
func (t *Table) packedPeers(except *peer) []uint32 {
	var ips []uint32
	for _, p := range t.sorted {
		if n := packIP(p.ip); p != except && n != 0 {
			ips = append(ips, n)
		}
	}
	return ips
}

// takeOwn returns this entry's heartbeats that carry no digest: to its relays, to the successor, and to
// silent entries in turn.
func (t *Table) takeOwn(urgent bool, now time.Duration) []Message {
	var due, lost []string
	for _, p := range t.ownRelays() {
		wait := t.cfg.RelayInterval
		if urgent {
			wait = 0
		}
		switch {
		case !p.takeTurn(wait, now):
		case p.ip == t.attached && p.reading.isLost:
			lost = append(lost, p.ip)
		default:
			due = append(due, p.ip)
		}
	}
	if p := t.peers[t.successor]; p != nil && t.isLive(p, now) && p.takeTurn(t.cfg.SuccessorInterval, now) {
		due = append(due, p.ip)
	}
	due = append(due, t.takeProbes(now)...)
	var messages []Message
	if len(due) > 0 {
		messages = append(messages, Message{IPs: due})
	}
	if len(lost) > 0 {
		known := t.peers[t.attached].reading.known
		messages = append(messages, Message{IPs: lost, Digest: &api.PeerDigest{Lost: true, Known: known, Relayed: t.isMany}})
	}
	return messages
}

// ownRelays returns the relays that this entry sends its heartbeats to. A relay sends them with its
// digests.
func (t *Table) ownRelays() []*peer {
	if t.isRelay {
		return nil
	}
	var relays []*peer
	for _, ip := range t.home {
		if p := t.peers[ip]; p != nil {
			relays = append(relays, p)
		}
	}
	if p := t.peers[t.attached]; p != nil && !slices.Contains(t.home, t.attached) {
		relays = append(relays, p)
	}
	return relays
}

// takeProbes returns some of the silent entries, in turn. Two groups of entries that have lost sight of
// each other find each other again by them, and an entry that has just started finds a relay.
func (t *Table) takeProbes(now time.Duration) []string {
	interval, count := t.cfg.ProbeInterval, maxProbes
	if !t.isRelay && t.attached == "" || t.isRelay && len(t.toMembers.readers)+len(t.toRelays.readers) == 0 {
		interval, count = startProbeInterval, maxStartProbes
	}
	if now-t.probedAt < interval {
		return nil
	}
	t.probedAt = now
	if t.nextProbe == 0 {
		// So that not all entries begin at the same one.
		t.nextProbe = int(rendezvousScore(t.self, "") % uint64(len(t.sorted)+1))
	}
	var due []string
	for range t.sorted {
		t.nextProbe++
		p := t.sorted[t.nextProbe%len(t.sorted)]
		if len(due) < count && !t.isLive(p, now) && !p.lastHeartbeat.GetLeaving() && p.takeTurn(t.cfg.ProbeInterval, now) {
			due = append(due, p.ip)
		}
		if len(due) == count {
			break
		}
	}
	return due
}

// takeWelcomes returns the digests to entries that have just started and read no relay yet: the relays of their
// failure domain, or all if it has none yet.
func (t *Table) takeWelcomes(now time.Duration) []Message {
	var messages []Message
	byDomain := make(map[string]*api.PeerDigest)
	for _, p := range t.takeNewcomers(now) {
		if p.lastHeartbeat.GetRelay() != 0 || t.isReader(p, now) || t.isOtherRelay(p, now) {
			continue
		}
		domain := p.lastHeartbeat.GetFailureDomain()
		if byDomain[domain] == nil {
			byDomain[domain] = t.welcome(domain, now)
		}
		messages = append(messages, Message{IPs: []string{p.ip}, Digest: byDomain[domain]})
	}
	return messages
}

// welcome returns the digest to entries of a failure domain that have just started.
func (t *Table) welcome(domain string, now time.Duration) *api.PeerDigest {
	d := &api.PeerDigest{Relayed: t.isMany}
	relays := t.relays[domain]
	if len(relays) == 0 {
		relays = t.allRelays()
	}
	for _, ip := range relays {
		if relay := t.peers[ip]; relay != nil && now-relay.lastHeard <= 2*t.cfg.RelayInterval+lateMargin {
			d.Records = append(d.Records, recordOf(relay, 0))
		}
	}
	return d
}

// isReader reports whether this entry, a relay, sends its digests to a peer.
func (t *Table) isReader(p *peer, now time.Duration) bool {
	if !t.isRelay || !t.isDirectlyLive(p, now) {
		return false
	}
	if t.isAttached(p) {
		return true
	}
	b := p.lastHeartbeat
	// One that has just started.
	return b.GetRelay() == 0 && !t.isOtherRelay(p, now) && slices.Contains(t.homeOf(p.ip, b.GetFailureDomain()), t.self)
}

// isAttached reports whether a peer reads this entry's digests.
func (t *Table) isAttached(p *peer) bool {
	return p.lastHeartbeat.GetRelay() != 0 && p.lastHeartbeat.GetRelay() == packIP(t.self)
}

// isOtherRelay reports whether a peer is a relay that this one exchanges digests with: a chosen one, or
// one that sends digests to this relay.
func (t *Table) isOtherRelay(p *peer, now time.Duration) bool {
	if !t.isLive(p, now) || p.lastHeartbeat.GetLeaving() || t.isAttached(p) {
		return false
	}
	return t.isChosenRelay(p) || p.reading.round != 0 && now-p.reading.at <= t.cfg.SilentAfter
}

// takeDigests returns the digests of a relay that are due: to the other relays what it hears itself, to
// the entries that read its digests all that it knows.
func (t *Table) takeDigests(urgent bool, now time.Duration) []Message {
	wait := t.cfg.RelayInterval
	if urgent || t.mustRelay {
		wait = minRoundInterval
	}
	if t.toRelays.round > 0 && now-t.toRelays.sentAt < wait {
		return nil
	}
	t.mustRelay = false
	var relays, members []*peer
	isOther := make(map[*peer]bool)
	for _, p := range t.sorted {
		switch {
		case t.isOtherRelay(p, now):
			relays = append(relays, p)
			isOther[p] = true
		case t.isReader(p, now):
			members = append(members, p)
		}
	}
	direct := scope{
		tells:     func(p *peer) (time.Duration, bool) { return now - p.directAt, t.isDirectlyLive(p, now) },
		lateAfter: t.cfg.RelayInterval + lateMargin,
		toRelays:  true,
		// Each relay hears the changes of the others from themselves.
		tellsChanges: func(p *peer) bool { return !isOther[p] },
	}
	all := scope{
		tells:        func(p *peer) (time.Duration, bool) { return now - p.lastHeard, t.isLive(p, now) },
		lateAfter:    2*t.cfg.RelayInterval + lateMargin,
		tellsChanges: func(*peer) bool { return true },
	}
	return append(t.takeRound(&t.toRelays, relays, direct, now), t.takeRound(&t.toMembers, members, all, now)...)
}

// scope is what a channel tells.
type scope struct {
	// tells returns the age of the last heartbeat of a peer, and whether the channel tells of the peer.
	tells func(*peer) (age time.Duration, ok bool)
	// lateAfter is the age from which a digest tells it.
	lateAfter time.Duration
	// toRelays means that the channel is to other relays.
	toRelays bool
	// tellsChanges reports whether the channel tells of the changes of a peer that has been told of.
	tellsChanges func(*peer) bool
}

// takeRound returns the next digest of a channel for each of its readers.
func (t *Table) takeRound(c *channel, readers []*peer, s scope, now time.Duration) []Message {
	c.round++
	c.sentAt = now
	lists := t.updateTold(c, s)
	if c.versions == nil {
		c.versions = make(map[uint64]uint64)
	}
	c.versions[c.round] = t.version
	delete(c.versions, c.round-maxRounds)
	bySince := make(map[uint64][]*peer)
	for _, p := range readers {
		since := c.knownBy(p, now)
		bySince[since] = append(bySince[since], p)
	}
	c.readers = make(map[string]bool, len(readers))
	var messages []Message
	for _, since := range slices.Sorted(maps.Keys(bySince)) {
		d := t.digestSince(c, since, lists, s)
		for _, p := range bySince[since] {
			c.readers[p.ip] = true
			p.lastSent, p.contacted = now, true
		}
		messages = append(messages, address(d, bySince[since])...)
	}
	return messages
}

// knownBy returns the digest up to which a reader knows all; zero for none.
func (c *channel) knownBy(p *peer, now time.Duration) uint64 {
	r := &p.reading
	if !c.readers[p.ip] {
		r.hasPeerLost, r.resentAt = false, now
		return 0
	}
	since := c.round - 1
	if r.hasPeerLost && now-r.resentAt >= resendInterval {
		since = min(since, r.peerKnown)
		r.resentAt = now
	}
	r.hasPeerLost = false
	if _, ok := c.versions[since]; !ok {
		return 0
	}
	return since
}

// updateTold updates the peers that a channel tells of, and returns the digest's lists of addresses.
func (t *Table) updateTold(c *channel, s scope) *api.PeerDigest {
	lists := &api.PeerDigest{Number: c.round, Relayed: t.isMany, ToRelays: s.toRelays}
	if c.gone == nil {
		c.gone = make(map[*peer]uint64)
	}
	told := make(map[*peer]bool, len(c.told))
	for _, p := range t.sorted {
		age, ok := s.tells(p)
		if !ok {
			continue
		}
		told[p] = true
		delete(c.gone, p)
		if !c.told[p] {
			t.version++
			p.version, p.stateVersion = t.version, t.version
		}
		if n := packIP(p.ip); age > s.lateAfter && n != 0 {
			lists.LateIps = append(lists.LateIps, n)
			lists.LateMs = append(lists.LateMs, uint32(age.Milliseconds()))
		}
	}
	for p := range c.told {
		if !told[p] {
			c.gone[p] = c.round
		}
	}
	for p, round := range c.gone {
		if c.round-round >= maxRounds {
			delete(c.gone, p)
		} else if n := packIP(p.ip); n != 0 {
			lists.GoneIps = append(lists.GoneIps, n)
		}
	}
	slices.Sort(lists.GoneIps)
	c.told = told
	return lists
}

// digestSince returns what a channel tells those that know all up to an earlier digest; zero for nothing.
func (t *Table) digestSince(c *channel, since uint64, lists *api.PeerDigest, s scope) *api.PeerDigest {
	d := &api.PeerDigest{
		Number: lists.GetNumber(), Since: since, Relayed: lists.GetRelayed(), ToRelays: s.toRelays,
		LateIps: lists.GetLateIps(), LateMs: lists.GetLateMs(), GoneIps: lists.GetGoneIps(),
	}
	known := c.versions[since]
	for _, p := range t.sorted {
		if !c.told[p] || p.version <= known || p.stateVersion <= known && !s.tellsChanges(p) {
			continue
		}
		d.Records = append(d.Records, recordOf(p, known))
	}
	if since == 0 && t.knowsMembers {
		d.ListedIps = t.unheardPeers()
	}
	return d
}

// address returns the messages with a digest to some readers. One that has lost digests itself says so.
func address(d *api.PeerDigest, readers []*peer) []Message {
	var ips []string
	var messages []Message
	parts := split(d)
	for _, p := range readers {
		if !p.reading.isLost {
			ips = append(ips, p.ip)
			continue
		}
		first := withLost(parts[0], p.reading.known)
		for _, part := range append([]*api.PeerDigest{first}, parts[1:]...) {
			messages = append(messages, Message{IPs: []string{p.ip}, Digest: part})
		}
	}
	if len(ips) > 0 {
		for _, part := range parts {
			messages = append(messages, Message{IPs: ips, Digest: part})
		}
	}
	return messages
}

// withLost returns a digest that also tells that its sender has lost one of the receiver's.
func withLost(d *api.PeerDigest, known uint64) *api.PeerDigest {
	return &api.PeerDigest{
		Number: d.GetNumber(), Since: d.GetSince(), Part: d.GetPart(), Parts: d.GetParts(), Lost: true, Known: known, Relayed: d.GetRelayed(), ToRelays: d.GetToRelays(),
		Records: d.GetRecords(), LateIps: d.GetLateIps(), LateMs: d.GetLateMs(), GoneIps: d.GetGoneIps(), ListedIps: d.GetListedIps(),
	}
}

// unheardPeers returns the IPs of the peers that have never been heard: the store lists them.
func (t *Table) unheardPeers() []uint32 {
	var ips []uint32
	for _, p := range t.sorted {
		if n := packIP(p.ip); p.lastHeartbeat == nil && n != 0 {
			ips = append(ips, n)
		}
	}
	return ips
}

// split splits the records of a digest, if there are many.
func split(d *api.PeerDigest) []*api.PeerDigest {
	parts := []*api.PeerDigest{d}
	records := d.GetRecords()
	d.Records = records[:min(maxRecords, len(records))]
	for rest := records[len(d.GetRecords()):]; len(rest) > 0; {
		n := min(maxRecords, len(rest))
		parts = append(parts, &api.PeerDigest{Number: d.GetNumber(), Since: d.GetSince(), Part: uint32(len(parts)), Relayed: d.GetRelayed(), ToRelays: d.GetToRelays(), Records: rest[:n]})
		rest = rest[n:]
	}
	for _, part := range parts {
		part.Parts = uint32(len(parts))
	}
	return parts
}
