package peering

import (
	"cmp"

	"github.com/apricothub/apricothub/api"
)

// SelectCoordinator returns the IP of the entry that coordinates, out of this one and the live
// ones, or "" when none serves. All entries that receive the same heartbeats select the same one.
//
// The current coordinator keeps the role while it serves: it is the entry with the highest fence,
// since one with a lower fence was replaced by another. If the lowest IP always won, the role would
// change with every entry that is restarted, and nobody would coordinate in between. A new one is an
// entry with the largest processor: the work grows with the ranks and experts of all groups.
func SelectCoordinator(self *api.PeerBeat, live []*api.PeerBeat) string {
	var best *api.PeerBeat
	for _, b := range append([]*api.PeerBeat{self}, live...) {
		if !b.GetServing() || b.GetLeaving() {
			continue
		}
		switch {
		case best == nil, b.GetFence() > best.GetFence():
			best = b
		case b.GetFence() == best.GetFence() && isStronger(b, best):
			best = b
		}
	}
	return best.GetIp()
}

// isStronger reports whether one entry comes before another where the larger processor is preferred.
func isStronger(a, b *api.PeerBeat) bool {
	return cmp.Or(cmp.Compare(b.GetCapacity(), a.GetCapacity()), cmp.Compare(a.GetIp(), b.GetIp())) < 0
}

// SelectStoreReaders returns the IPs of the entries that read the platform's store for all: the serving
// entry with the lowest IP, and the first one in another failure domain. Entries that do not serve yet
// come after those that do.
//
// If each entry read the store, or one in each failure domain, the calls would grow with the size of the
// fleet. Two readers cover the loss of an entry and of a failure domain, and each side of a partition has
// its own.
func SelectStoreReaders(self *api.PeerBeat, live []*api.PeerBeat) []string {
	var first, second *api.PeerBeat
	entries := append([]*api.PeerBeat{self}, live...)
	for _, b := range entries {
		if !b.GetLeaving() && (first == nil || readsBefore(b, first)) {
			first = b
		}
	}
	if first == nil {
		return nil
	}
	for _, b := range entries {
		if !b.GetLeaving() && b != first && (second == nil || isBetterSecondReader(first, b, second)) {
			second = b
		}
	}
	if second == nil {
		return []string{first.GetIp()}
	}
	return []string{first.GetIp(), second.GetIp()}
}

func readsBefore(a, b *api.PeerBeat) bool {
	if a.GetServing() != b.GetServing() {
		return a.GetServing()
	}
	return a.GetIp() < b.GetIp()
}

func isBetterSecondReader(first, a, b *api.PeerBeat) bool {
	isElsewhere := a.GetFailureDomain() != first.GetFailureDomain()
	if a.GetServing() == b.GetServing() && isElsewhere != (b.GetFailureDomain() != first.GetFailureDomain()) {
		return isElsewhere
	}
	return readsBefore(a, b)
}
