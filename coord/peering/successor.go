package peering

import (
	"time"

	"github.com/apricothub/apricothub/api"
)

// SelectSuccessor returns the IP of the entry that takes over first if this one, the coordinator,
// falls silent; "" for none. It keeps the current successor while that one serves, and prefers an
// entry in another failure domain, which may be lost as a whole.
//
// Where heartbeats from all to all are rare, a coordinator that stalls is missed after a second, and a
// group that it holds stands still for as long. The successor hears from it more often.
func SelectSuccessor(self *api.PeerBeat, live []*api.PeerBeat, current string) string {
	var best *api.PeerBeat
	for _, b := range live {
		if !b.GetServing() || b.GetLeaving() || b.GetIp() == self.GetIp() {
			continue
		}
		if b.GetIp() == current {
			return current
		}
		if best == nil || isBetterSuccessor(self, b, best) {
			best = b
		}
	}
	return best.GetIp()
}

func isBetterSuccessor(self, b, other *api.PeerBeat) bool {
	isElsewhere := b.GetFailureDomain() != self.GetFailureDomain()
	if isElsewhere != (other.GetFailureDomain() != self.GetFailureDomain()) {
		return isElsewhere
	}
	return isStronger(b, other)
}

// SetSuccessor sets the IP of the entry that is sent heartbeats every SuccessorInterval; "" for none.
func (t *Table) SetSuccessor(ip string) { t.successor = ip }

// IsSuccessor reports whether an entry that coordinates names this one as its successor.
func (t *Table) IsSuccessor() bool {
	p := t.peers[t.coordinator]
	return p != nil && p.lastHeartbeat.GetFence() != 0 && p.lastHeartbeat.GetSuccessor() == t.self
}

// maxOnTimeAge returns the age of the last heartbeat of a peer up to which it is on time, given that
// age for peers that do not name this entry as their successor.
func (t *Table) maxOnTimeAge(p *peer, usual time.Duration) time.Duration {
	if p.lastHeartbeat.GetFence() != 0 && p.lastHeartbeat.GetSuccessor() == t.self {
		return min(usual, t.cfg.SuccessorSilence)
	}
	return usual
}

// Coordinates reports whether this entry is to coordinate. Where engines compare fences, a coordinator
// that misses heartbeats is replaced before it counts as silent, and first by its successor: if it is
// still alive, its orders are refused.
func (t *Table) Coordinates(self *api.PeerBeat, enginesCompareFences bool, now time.Duration) bool {
	candidates := t.Live(now)
	if enginesCompareFences {
		if t.succeeds(self, candidates, now) {
			return true
		}
		candidates = t.OnTime(now)
	}
	return SelectCoordinator(self, candidates) == self.GetIp()
}

// succeeds reports whether the coordinator among the live entries has named this one its successor and
// misses heartbeats.
func (t *Table) succeeds(self *api.PeerBeat, live []*api.PeerBeat, now time.Duration) bool {
	var coordinator *api.PeerBeat
	for _, b := range live {
		if b.GetFence() > coordinator.GetFence() {
			coordinator = b
		}
	}
	if coordinator.GetSuccessor() != t.self || !self.GetServing() || self.GetLeaving() || self.GetFence() > coordinator.GetFence() {
		return false
	}
	return !t.peers[coordinator.GetIp()].heardWithin(t.cfg.SuccessorSilence, now)
}
