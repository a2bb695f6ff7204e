package peering

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
)

const (
	// homeRelays is the number of relays that an entry sends its heartbeats to, so that the loss of one
	// hides no entry.
	homeRelays = 2
	// minRelays is the number of relays of a small failure domain.
	minRelays = 2
	// topologyInterval is the time between two choices of the relays.
	topologyInterval = 400 * time.Millisecond
	// relayBackoff is how long an entry does not return to a relay that sent it no digest.
	relayBackoff = 5 * time.Second
	// moveAfter is how long an entry stays with a relay that is not one of its own any more, until the
	// choice of relays is stable.
	moveAfter = 10 * time.Second
	// welcomeValidity is how long an entry believes another one that heartbeats are relayed.
	welcomeValidity = 3 * time.Second
)

// relayState is the part of a Table for many entries.
//
// Heartbeats from all to all take time and bytes in proportion to the number of entries at each of them,
// and to its square in all. With relays an entry sends two heartbeats at a time and receives one digest,
// which holds changes only; a relay serves a bounded number of entries and exchanges digests with the
// other relays. Nobody agrees on the relays: each entry chooses them from the live entries that it knows,
// and an entry that is asked for digests sends them. Where two entries know different ones for a moment,
// a heartbeat takes a longer way or arrives twice.
type relayState struct {
	// isRelayed means that heartbeats go through relays: isMany, because this entry knows many others,
	// or until welcomedUntil, because another entry does.
	isRelayed, isMany bool
	welcomedUntil     time.Duration
	// relays are the chosen relays by failure domain, this entry included; chosenAt is when they were
	// chosen, hasChosen that they have been.
	relays    map[string][]string
	byDomain  map[string][]*api.PeerBeat // reused by updateRelays
	chosenAt  time.Duration
	hasChosen bool
	// isRelay means that this entry is one of them, or that another entry reads its digests.
	isRelay bool
	// isLeaving means that this entry shuts down.
	isLeaving bool
	// home are the relays to which this entry sends its heartbeats. attached is the relay whose digests
	// it reads, since attachedAt; "" for none.
	home       []string
	attached   string
	attachedAt time.Duration
	// toMembers are the digests to entries that read them, toRelays those to other relays.
	toMembers, toRelays channel
	// mustRelay means that something must be passed on at once.
	mustRelay bool
	// knowsMembers means that this entry knows the store's list of entries.
	knowsMembers bool
	// newcomers are the entries that have been heard and do not know the store's list of entries.
	newcomers map[*peer]bool
	// nextProbe is the position of the next silent peer to probe, probedAt when one was probed.
	nextProbe int
	probedAt  time.Duration
}

// SetMembersKnown records that this entry has read the store's list of entries and added them as peers.
func (t *Table) SetMembersKnown() { t.knowsMembers = true }

// MembersKnown reports whether this entry knows the store's list of entries, from the store or from
// another entry.
func (t *Table) MembersKnown() bool { return t.knowsMembers }

// IsRelayed reports whether heartbeats go through relays.
func (t *Table) IsRelayed() bool { return t.isRelayed }

// Relay returns the IPv4 address of the relay whose digests this entry reads, as heartbeats tell it; zero
// for none.
func (t *Table) Relay() uint32 { return packIP(t.attached) }

// updateTopology decides whether heartbeats go through relays, and which.
func (t *Table) updateTopology(now time.Duration) {
	if t.hasChosen && now-t.chosenAt < topologyInterval && !t.isSettling(now) {
		return
	}
	t.chosenAt, t.hasChosen = now, true
	t.forget(now)
	t.updateMode(now)
	if t.isRelayed {
		t.updateRelays(now)
	} else {
		t.attached, t.isRelay = "", false
	}
}

// isSettling reports whether the choice cannot wait: this entry has just learned of many others, or has no relay
// yet.
func (t *Table) isSettling(now time.Duration) bool {
	if !t.isRelayed {
		return now < t.welcomedUntil || len(t.sorted) > t.cfg.MaxMesh
	}
	return !t.isRelay && t.attached == ""
}

// updateMode decides whether heartbeats go through relays. Hysteresis keeps the mode while the number of
// entries is near the limit.
func (t *Table) updateMode(now time.Duration) {
	others, areReaders := 0, true
	for _, p := range t.sorted {
		if t.mayBeLive(p, now) {
			others++
		}
		areReaders = areReaders && (!t.isLive(p, now) || p.lastHeartbeat.GetReadsDigests())
	}
	t.isMany = areReaders && (others > t.cfg.MaxMesh || t.isMany && others > t.cfg.MaxMesh*3/4)
	t.isRelayed = t.isMany || areReaders && now < t.welcomedUntil
}

// updateRelays chooses the relays of all failure domains, and those of this entry.
func (t *Table) updateRelays(now time.Duration) {
	byDomain := t.byDomain
	for domain := range byDomain {
		byDomain[domain] = byDomain[domain][:0]
	}
	for _, p := range t.sorted {
		if b := p.lastHeartbeat; t.isLive(p, now) && !b.GetLeaving() {
			byDomain[b.GetFailureDomain()] = append(byDomain[b.GetFailureDomain()], b)
		}
	}
	if !t.isLeaving {
		self := &api.PeerBeat{Ip: t.self, FailureDomain: t.cfg.FailureDomain, Capacity: t.cfg.Capacity}
		byDomain[t.cfg.FailureDomain] = append(byDomain[t.cfg.FailureDomain], self)
	}
	t.relays = make(map[string][]string, len(byDomain))
	for domain, entries := range byDomain {
		if len(entries) == 0 {
			continue
		}
		t.relays[domain] = selectRelays(entries, t.cfg.EntriesPerRelay)
	}
	t.isRelay = slices.Contains(t.relays[t.cfg.FailureDomain], t.self) || t.hasReader(now)
	t.home = t.homeOf(t.self, t.cfg.FailureDomain)
}

// selectRelays returns the IPs of the relays of a failure domain: the entries with the largest capacity.
func selectRelays(entries []*api.PeerBeat, entriesPerRelay int) []string {
	slices.SortFunc(entries, func(a, b *api.PeerBeat) int {
		if isStronger(a, b) {
			return -1
		}
		return 1
	})
	n := max(minRelays, (len(entries)+entriesPerRelay-1)/entriesPerRelay)
	var relays []string
	for _, b := range entries[:min(n, len(entries))] {
		relays = append(relays, b.GetIp())
	}
	return relays
}

// homeOf returns the relays of an entry by rendezvous hashing, so that few entries move when a relay comes
// or goes. They are in its own failure domain if that has any.
func (t *Table) homeOf(ip, domain string) []string {
	relays := slices.Clone(t.relays[domain])
	if len(relays) == 0 {
		relays = t.allRelays()
	}
	relays = slices.DeleteFunc(relays, func(relay string) bool { return relay == ip })
	slices.SortFunc(relays, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousScore(ip, b), rendezvousScore(ip, a)), cmp.Compare(a, b))
	})
	return relays[:min(homeRelays, len(relays))]
}

// rendezvousScore returns the hash, FNV-1a with 64 bits, of an entry and a relay.
func rendezvousScore(ip, relay string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	x := uint64(offset)
	for _, text := range [...]string{ip, "|", relay} {
		for i := range len(text) {
			x = (x ^ uint64(text[i])) * prime
		}
	}
	// The hash of similar texts differs mostly in its lower bits.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// allRelays returns the relays of all failure domains, in ascending order.
func (t *Table) allRelays() []string {
	var all []string
	for _, relays := range t.relays {
		all = append(all, relays...)
	}
	slices.Sort(all)
	return all
}

// isChosenRelay reports whether an entry is among the chosen relays.
func (t *Table) isChosenRelay(p *peer) bool {
	return slices.Contains(t.relays[p.lastHeartbeat.GetFailureDomain()], p.ip)
}

// hasReader reports whether another entry reads the digests of this one.
func (t *Table) hasReader(now time.Duration) bool {
	for _, p := range t.sorted {
		if t.isDirectlyLive(p, now) && t.isAttached(p) {
			return true
		}
	}
	return false
}

func (t *Table) isDirectlyLive(p *peer, now time.Duration) bool {
	return p.isDirect && now-p.directAt <= t.cfg.SilentAfter
}

// attach chooses the relay whose digests this entry reads. It keeps the current one while that is a relay
// and sends digests.
func (t *Table) attach(now time.Duration) {
	if t.isRelay {
		t.attached = ""
		return
	}
	if p := t.peers[t.attached]; p != nil {
		isSending := now-max(p.reading.at, t.attachedAt) <= t.cfg.RelaySilence
		isOwn := slices.Contains(t.home, t.attached) || now-t.attachedAt <= moveAfter
		if isSending && isOwn && t.isLive(p, now) && t.isChosenRelay(p) && !p.lastHeartbeat.GetLeaving() {
			return
		}
		if !isSending {
			p.reading.failedAt, p.reading.hasFailed = now, true
		}
	}
	t.attached = t.nextRelay(now)
	t.attachedAt = now
	if p := t.peers[t.attached]; p != nil {
		// What it told before is outdated.
		p.reading.known, p.reading.isLost = 0, true
	}
}

// nextRelay returns the home relay to read digests of, "" for none: the first one that has not failed
// lately, or else the one whose failure is longest ago.
func (t *Table) nextRelay(now time.Duration) string {
	best, bestFailedAt := "", time.Duration(0)
	for _, ip := range t.home {
		p := t.peers[ip]
		if p == nil || !t.isLive(p, now) {
			continue
		}
		if !p.reading.hasFailed || now-p.reading.failedAt > relayBackoff {
			return ip
		}
		if best == "" || p.reading.failedAt < bestFailedAt {
			best, bestFailedAt = ip, p.reading.failedAt
		}
	}
	return best
}
