package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/internal/platform"
)

// earlyReadDivisor divides the freshness limit to get the time that is left to the evidence of a
// process when it reads the log although it is not a reader. It must allow for a response of the
// log. While readers can be reached, evidence does not get that old: its age is at most two polls
// and a heartbeat.
const earlyReadDivisor = 4

// isReader reports whether this process reads the log continuously: the first live entries of each
// failure domain, by name. No agreement is needed. While lists of VMs differ, more or fewer
// processes read, and a process that gets no evidence from readers reads by itself. Two readers in
// each domain are enough. With one, each replacement of it would make the others wait.
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

// readDelay returns how long this process can wait until it reads the log; 0 if it must read now.
//
// Each process that polls costs the platform two reads a second, thousands in all in the largest
// supported system, while a few dozen readers provide the same evidence: it is passed on with
// heartbeats, and records are pushed. A process reads by itself while it is behind, and when the
// evidence from others becomes old, so that the loss of all readers does not interrupt service.
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
	return min(max(limit-limit/earlyReadDivisor-millis(age), 0), n.options.LogPollInterval)
}

// isBehind reports whether a peer has applied more, according to its heartbeats.
func (n *Node) isBehind(applied int64) bool {
	for _, p := range n.byVM {
		if p.hasReported && p.applied > applied {
			return true
		}
	}
	return false
}

// maxReadWait returns how long the log may hold back its response until there is a new record. By
// this wait, readers learn of a change at once. Other processes need the response before their
// evidence is stale, so they do not wait.
func (n *Node) maxReadWait() time.Duration {
	if n.readsLog {
		return n.options.LogPollInterval
	}
	return 0
}
