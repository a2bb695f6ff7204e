package peering

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

const (
	// lateMargin is how much older than usual an entry's last heartbeat is when digests tell its age: two
	// ticks.
	lateMargin = 100 * time.Millisecond
	// maxRecords limits the records of one digest, so that it fits into few packets. A larger one is
	// split.
	maxRecords = 96
	// maxRounds is the number of digests after which a reader that has lost one is sent everything again.
	// It is also how often an entry is told to be gone: a reader that loses as many digests in a row takes
	// all for gone anyway.
	maxRounds = 16
	// resendInterval is the least time between two repeats of what a reader has lost.
	resendInterval = 250 * time.Millisecond
)

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
			p.takeTurn(0, now)
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
		first := proto.CloneOf(parts[0])
		first.Lost, first.Known = true, p.reading.known
		messages = append(messages, Message{IPs: []string{p.ip}, Digest: first})
		for _, part := range parts[1:] {
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
