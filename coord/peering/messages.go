package peering

import (
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
)

// minRoundInterval is the least time between two digests, also if something is urgent.
const minRoundInterval = 50 * time.Millisecond

// Message is a heartbeat to be sent to some entries, and the digest that it carries; nil for none.
type Message struct {
	IPs    []string
	Digest *api.PeerDigest
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
