package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/internal/platform"
)

// earlyReadFraction: others read when their evidence has this part of the freshness limit left.
// It must cover an answer of the log, and is more than the readers' evidence ever lacks
// while they are heard: two polls and a heartbeat.
const earlyReadFraction = 4

// isReader tells whether this process reads the log all the time: the first live entries
// of each failure domain, by name. Nobody has to agree on it. While lists differ, more or
// fewer read, and who misses them reads by itself. Two of a domain are enough: with one,
// each replacement of it would make the others wait.
func (n *Node) isReader() bool {
	if n.options.LogReaders == 0 {
		return true
	}
	self := n.options.Self
	var entries []string
	for _, vm := range n.vms {
		if vm.Role == platform.RoleEntry && vm.FailureDomain == self.GetFailureDomain() && vm.State != platform.StateLeaving {
			entries = append(entries, vm.ID)
		}
	}
	slices.SortFunc(entries, cmp.Compare[string])
	return slices.Contains(entries[:min(len(entries), n.options.LogReaders)], self.GetVm())
}

// readDelay returns how long the log need not be read, 0 for not at all.
//
// Each process that polls costs the platform two reads a second, thousands in all at the
// size designed for, where a few dozen say as much: their evidence goes with heartbeats,
// and what they find with pushes. A process reads by itself while it is behind, and when
// the evidence of others grows old: the loss of all readers costs nobody the service.
func (n *Node) readDelay(fetch config.Fetch, now time.Duration) time.Duration {
	applied := n.fold.Applied()
	if n.readsLog || n.logFailingSince != 0 || fetch.From != applied+1 || n.isBehind(applied) {
		return 0
	}
	age := n.fresh.Knowledge(now, applied).GetEvidenceAgeMs()
	limit := millis(n.options.Links.GetFreshnessMs())
	if age < 0 {
		return 0
	}
	return min(max(limit-limit/earlyReadFraction-millis(age), 0), n.options.LogPollInterval)
}

// isBehind tells whether a peer has said that it has applied more.
func (n *Node) isBehind(applied int64) bool {
	for _, p := range n.byVM {
		if p.hasReported && p.applied > applied {
			return true
		}
	}
	return false
}

// maxReadWait is how long the log may hold its answer back. A reader is told of a change at
// once by that. For the others the answer must be in time for evidence that is old.
func (n *Node) maxReadWait() time.Duration {
	if n.readsLog {
		return n.options.LogPollInterval
	}
	return 0
}
