package peering

import (
	"slices"
	"strings"
	"time"

	"github.com/apricothub/apricothub/api"
)

const (
	// welcomeInterval is the least time between two digests to an entry that has just started.
	welcomeInterval = 300 * time.Millisecond
	// maxProbes is the number of silent entries that an entry among many probes in each ProbeInterval. One
	// without a relay probes maxStartProbes in each startProbeInterval, one that has heard nobody all.
	maxProbes          = 2
	maxStartProbes     = 8
	startProbeInterval = 100 * time.Millisecond
)

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

// takeWelcomes returns the digests to entries that have just started and read no relay yet: the relays of their
// failure domain, or all if it has none yet. A relay that does not know the list of entries is told all of them,
// by one that knows the list and does not relay.
func (t *Table) takeWelcomes(now time.Duration) []Message {
	var messages []Message
	byDomain := make(map[string]*api.PeerDigest)
	for _, p := range t.takeNewcomers(now) {
		if t.knowsMembers && !t.isRelay && t.isChosenRelay(p) {
			messages = append(messages, Message{IPs: []string{p.ip}, Digest: &api.PeerDigest{Relayed: t.isMany, ListedIps: t.packedPeers(p)}})
			continue
		}
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
