package fresh

import (
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
)

// State says whether a process may take new work.
type State int

const (
	// Starting: the process has not had the configuration since it started. No new
	// work.
	Starting State = iota
	// Fresh: the log, or a peer that reads it, shows the configuration to be current.
	Fresh
	// Outage: the log answers nobody, but a majority of members shows that no change
	// can have been accepted since. Service goes on.
	Outage
	// Isolated: the process cannot tell whether its configuration is current. No new
	// work.
	Isolated
)

func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Fresh:
		return "fresh"
	case Outage:
		return "outage"
	}
	return "isolated"
}

// Serves tells whether new work may be taken.
func (s State) Serves() bool { return s == Fresh || s == Outage }

const (
	// never stands for evidence that was never had. Evidence from before the process
	// started is older still and is treated alike.
	never = time.Duration(-1)
	// noAge is never in a message.
	noAge = int64(-1)
	// noOffset is the offset before the first record.
	noOffset = int64(-1)
	// settleMarginDivisor is the part of the freshness limit by which a new process waits
	// longer than an acknowledgement lasts, for clocks that run at unequal rates.
	settleMarginDivisor = 4
)

// peer is what was last heard from another member.
type peer struct {
	notBefore   time.Duration
	applied     int64
	initialized bool
	countedBy   string // the entry that counts it, of an agent
}

// Tracker weighs the evidence of one process. It is not safe for concurrent use.
type Tracker struct {
	self           string
	limit          time.Duration
	applied        int64
	tailEvidence   time.Duration
	quorumEvidence time.Duration
	entries        map[string]bool
	members        map[string]bool
	peers          map[string]peer
	isInitialized  bool
	counts         counts
	counting       countingState
}

// New returns the tracker of the process on a VM, which has just started at time
// zero and knows nothing. The limit is the age past which evidence does not count.
func New(self string, limit time.Duration) *Tracker {
	return &Tracker{
		self:           self,
		limit:          limit,
		applied:        noOffset,
		tailEvidence:   never,
		quorumEvidence: never,
		peers:          make(map[string]peer),
		counts: counts{
			entries:     make(map[string]countFront),
			members:     make(map[string]countFront),
			agentCounts: make(map[string]agentCount),
			minSlack:    minSlack,
		},
	}
}

// SetEntries gives the entries that the VM list shows live; a majority of them is
// quorum. A VM that leaves the list leaves the count, so that those that are left
// do not refuse work for ever. An empty list is taken for a fault of the platform
// and ignored.
func (t *Tracker) SetEntries(vms []string) {
	if len(vms) > 0 {
		t.entries = setOf(vms)
	}
	t.removeUnlisted()
}

// SetMembers gives entries and agents together, as the VM list shows them live. A
// majority of them is quorum as well: agents hold the configuration too, and when
// most entries die on a weekend while the log and its list are out, they keep the
// entries that are left at work. Not calling it leaves only the entries' majority.
func (t *Tracker) SetMembers(vms []string) {
	if len(vms) > 0 {
		t.members = setOf(vms)
	}
	t.removeUnlisted()
}

func setOf(vms []string) map[string]bool {
	set := make(map[string]bool, len(vms))
	for _, vm := range vms {
		set[vm] = true
	}
	return set
}

// removeUnlisted drops what was heard from VMs that no longer count.
func (t *Tracker) removeUnlisted() {
	t.counts.isStale = true
	for vm := range t.peers {
		if !t.entries[vm] && !t.members[vm] {
			delete(t.peers, vm)
		}
	}
}

// SetApplied says how far the process has applied the log. Call it after each change.
func (t *Tracker) SetApplied(applied int64) {
	t.applied = max(t.applied, applied)
}

// ConfirmTail says that the process's own fetch showed it to have applied all of the log.
// The time is when that request was SENT: an answer that was long on its way, or
// lay in a socket while the process was paused, tells of the past.
func (t *Tracker) ConfirmTail(sentAt time.Duration) {
	t.tailEvidence = max(t.tailEvidence, sentAt)
	t.updateInitialized()
}

// HandleKnowledge takes what another member says of itself in a heartbeat, an answer or a
// push. The time is one before which the member CANNOT have said it: when the
// newest of our heartbeats that it echoes was sent, or the request it answers. A
// message that echoes nothing yet is not to be given. Taking the time of arrival
// instead would make a process trust, after a pause, what lay in its sockets.
//
// Evidence of a member that has applied more than ownApplied does not count: it is
// evidence for changes that this process lacks.
func (t *Tracker) HandleKnowledge(vm string, notBefore time.Duration, k *api.Knowledge, ownApplied int64) {
	t.SetApplied(ownApplied)
	if k == nil || vm == t.self {
		return
	}
	if t.entries[vm] || t.members[vm] {
		if known, ok := t.peers[vm]; !ok || notBefore >= known.notBefore {
			t.peers[vm] = peer{notBefore: notBefore, applied: k.GetApplied(), initialized: k.GetInitialized(), countedBy: k.GetCountedBy()}
		}
	}
	if k.GetApplied() > t.applied {
		return
	}
	t.tailEvidence = max(t.tailEvidence, evidenceTime(notBefore, k.GetEvidenceAgeMs()))
	t.quorumEvidence = max(t.quorumEvidence, evidenceTime(notBefore, k.GetQuorumAgeMs()))
	t.updateInitialized()
}

// evidenceTime returns the time of evidence that was age old when a message was sent, at
// the earliest at the given time.
func evidenceTime(notBefore time.Duration, ageMs int64) time.Duration {
	if ageMs < 0 {
		return never
	}
	return notBefore - time.Duration(ageMs)*time.Millisecond
}

// newestQuorum returns the newest time as of which a majority is known to hold no more
// than this process, never if there is none. It counts this process itself as
// heard now. What others have counted is looked at when it has not heard enough itself.
func (t *Tracker) newestQuorum(now time.Duration) time.Duration {
	if t.isBehind(now) {
		return never
	}
	heard := max(t.majorityAt(t.entries, now), t.majorityAt(t.members, now))
	if heard != never && now-heard <= t.limit/4 {
		return heard
	}
	return max(heard, t.countedMajorityAt(now))
}

// isBehind tells whether a member that was heard lately has applied more. Such a
// change may not be accepted yet, but it is known: it gets applied first.
func (t *Tracker) isBehind(now time.Duration) bool {
	for _, p := range t.peers {
		if p.applied > t.applied && now-p.notBefore <= t.limit {
			return true
		}
	}
	return false
}

// majorityAt returns the oldest of the newest times at which each of a majority of
// the set was heard.
//
// Only initialized members count. One that was replaced may have forgotten an
// accepted change that it helped to accept; until it has learned of it again, its
// silence on that change proves nothing. Members that are isolated do count, or
// one moment in which all are isolated at once would last until the log is back.
func (t *Tracker) majorityAt(set map[string]bool, now time.Duration) time.Duration {
	needed := len(set)/2 + 1
	if len(set) == 0 || len(t.peers)+1 < needed {
		return never // Who hears few must not pay for all that are listed.
	}
	times := make([]time.Duration, 0, len(t.peers)+1)
	if set[t.self] && t.isInitialized {
		times = append(times, now)
	}
	for vm, p := range t.peers {
		if set[vm] && p.initialized && p.applied <= t.applied {
			times = append(times, p.notBefore)
		}
	}
	if len(times) < needed {
		return never
	}
	slices.Sort(times)
	return times[len(times)-needed]
}

// updateInitialized ends Starting once the evidence is newer than any acknowledgement that a
// predecessor on this VM may have given.
//
// The predecessor may have acknowledged a change and died. Its word counts towards
// acceptance for as long as the limit; should this process have declared itself
// initialized on what others knew before the acceptance, a majority without the
// change could go on. Tail evidence from after our updateInitialized covers it, as the change
// stood in the log before it was acknowledged. Quorum evidence covers it from the
// limit after our updateInitialized on: the change has been accepted by then, or never will be
// on the predecessor's word.
func (t *Tracker) updateInitialized() {
	if t.tailEvidence >= 0 || t.quorumEvidence >= t.settleTime() {
		t.isInitialized = true
	}
}

func (t *Tracker) settleTime() time.Duration { return t.limit + t.limit/settleMarginDivisor }

// State returns whether the process may take new work at a time.
func (t *Tracker) State(now time.Duration) State {
	t.updateQuorumEvidence(now)
	switch {
	case !t.isInitialized:
		return Starting
	case t.isCurrent(t.tailEvidence, now):
		return Fresh
	case t.isCurrent(t.quorumEvidence, now):
		return Outage
	}
	return Isolated
}

// updateQuorumEvidence takes the newest quorum evidence from what was heard, once other evidence
// grows old. It looks through all that was heard, which at thousands of members is
// too much for each heartbeat. It begins well before the tail evidence has run out:
// agents, which hear too few members themselves, need an entry's by then.
func (t *Tracker) updateQuorumEvidence(now time.Duration) {
	if t.isInitialized && (now-t.tailEvidence <= t.limit/2 || now-t.quorumEvidence <= t.limit/4) {
		return
	}
	t.quorumEvidence = max(t.quorumEvidence, t.newestQuorum(now))
	t.updateInitialized()
}

func (t *Tracker) isCurrent(evidence, now time.Duration) bool {
	return evidence != never && now-evidence <= t.limit
}

// Knowledge returns what to tell others. The caller fills in the echo of the same
// message BEFORE it calls this, so that the receiver cannot take it for newer than
// it is.
func (t *Tracker) Knowledge(now time.Duration, applied int64) *api.Knowledge {
	t.SetApplied(applied)
	serves := t.State(now).Serves()
	return &api.Knowledge{
		Applied:       applied,
		EvidenceAgeMs: evidenceAgeMs(t.tailEvidence, now),
		Ready:         serves,
		Initialized:   t.isInitialized,
		QuorumAgeMs:   evidenceAgeMs(t.quorumEvidence, now),
		CountedBy:     t.countingEntry(now),
	}
}

// evidenceAgeMs returns the evidenceAgeMs of evidence in milliseconds, rounded up.
func evidenceAgeMs(evidence, now time.Duration) int64 {
	if evidence == never {
		return noAge
	}
	return int64((now - evidence + time.Millisecond - 1) / time.Millisecond)
}

// TimeToStateChange returns the time after which the state changes if nothing more is heard,
// zero if it stays. For Starting it is the least time until an outage of the log
// could let the process begin.
func (t *Tracker) TimeToStateChange(now time.Duration) time.Duration {
	switch t.State(now) {
	case Starting:
		return max(t.settleTime()-now, 0)
	case Fresh:
		return t.tailEvidence + t.limit - now + 1
	case Outage:
		return t.quorumEvidence + t.limit - now + 1
	}
	return 0
}
