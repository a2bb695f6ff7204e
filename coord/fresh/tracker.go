package fresh

import (
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
)

// State is whether a process may take new work, and on what evidence.
type State int

const (
	// Starting means that the process has not yet had the configuration since it started. It takes
	// no new work.
	Starting State = iota
	// Fresh means that the log, or a peer that reads it, shows the configuration to be current.
	Fresh
	// Outage means that no process can read the log, but a majority of members shows that no change
	// can have been accepted since. The process takes new work.
	Outage
	// Isolated means that the process cannot tell whether its configuration is current. It takes no
	// new work.
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

// Serves reports whether the process may take new work.
func (s State) Serves() bool { return s == Fresh || s == Outage }

const (
	// never is the time of evidence that does not exist. Evidence from before the process started
	// has a negative time too and is treated the same way.
	never = time.Duration(-1)
	// noAge is the age of evidence that does not exist, in messages.
	noAge = int64(-1)
	// noOffset is the offset before the first record.
	noOffset = int64(-1)
	// settleMarginDivisor sets how much longer than the freshness limit a new process waits, for
	// clocks that run at unequal rates: by 1/settleMarginDivisor of the limit.
	settleMarginDivisor = 4
)

// peer is the newest knowledge received from another member.
type peer struct {
	notBefore   time.Duration
	applied     int64
	initialized bool
	countedBy   string // for an agent, the entry that counts it
}

// Tracker holds the evidence of one process. It is not safe for concurrent use.
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

// New returns the tracker of a process that has just started on the VM self, at time zero, and has
// no evidence. Evidence older than limit doesn't count.
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

// SetEntries sets the live entries of the VM list, of which a majority is a quorum. A VM that
// leaves the list is no longer counted, so that the remaining entries don't refuse work forever. An
// empty list is taken for a fault of the platform and ignored.
func (t *Tracker) SetEntries(vms []string) {
	if len(vms) > 0 {
		t.entries = setOf(vms)
	}
	t.removeUnlisted()
}

// SetMembers sets the live entries and agents of the VM list together. A majority of them is a
// quorum too: agents hold the configuration as well. When most entries die while the log and the VM
// list are out, they let the remaining entries serve. Without SetMembers, only a majority of the
// entries counts.
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

// removeUnlisted removes peers that are no longer on the VM list.
func (t *Tracker) removeUnlisted() {
	t.counts.isStale = true
	for vm := range t.peers {
		if !t.entries[vm] && !t.members[vm] {
			delete(t.peers, vm)
		}
	}
}

// SetApplied records how far the process has applied the log. It must be called after each change.
func (t *Tracker) SetApplied(applied int64) {
	t.applied = max(t.applied, applied)
}

// ConfirmTail records that a fetch of this process showed that it has applied the whole log. The
// evidence is as of sentAt, the time of the request: a response that was delayed on the network, or
// waited in a socket while the process was paused, shows the state of an earlier time.
func (t *Tracker) ConfirmTail(sentAt time.Duration) {
	t.tailEvidence = max(t.tailEvidence, sentAt)
	t.updateInitialized()
}

// HandleKnowledge records what another member reports about itself in a heartbeat, a response or a
// push. The member cannot have sent it before notBefore, the time at which this process sent the
// request that the message answers or the newest heartbeat that it echoes. Messages that echo
// nothing yet must not be passed. With the time of arrival instead, a process would trust old
// messages from its sockets after a pause.
//
// Evidence of a member that has applied more than ownApplied does not count, because it covers
// changes that this process lacks.
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

// evidenceTime returns the earliest possible time of evidence that had the given age when a message
// was sent, at notBefore or later.
func evidenceTime(notBefore time.Duration, ageMs int64) time.Duration {
	if ageMs < 0 {
		return never
	}
	return notBefore - time.Duration(ageMs)*time.Millisecond
}

// newestQuorum returns the newest time as of which a majority is known to hold no more than this
// process, never if there is none. It counts this process as heard now. Counts of other processes
// are used only when this process hasn't heard enough members itself.
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

// isBehind reports whether a recently heard member has applied more than this process. That change
// may not be accepted yet, but it must be applied before quorum evidence can count.
func (t *Tracker) isBehind(now time.Duration) bool {
	for _, p := range t.peers {
		if p.applied > t.applied && now-p.notBefore <= t.limit {
			return true
		}
	}
	return false
}

// majorityAt returns the newest time such that a majority of the set was heard at that time or
// later, never if there is none.
//
// Only initialized members count. A replaced member may lack an accepted change that its
// predecessor helped to accept. Until it has received the change again, its lack of the change
// proves nothing. Isolated members do count. Otherwise a moment in which all members are isolated
// at once would last until the log is back.
func (t *Tracker) majorityAt(set map[string]bool, now time.Duration) time.Duration {
	needed := len(set)/2 + 1
	if len(set) == 0 || len(t.peers)+1 < needed {
		return never // avoids work for all listed members when few are heard
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

// updateInitialized leaves Starting once the evidence is newer than any acknowledgement that a
// predecessor on this VM may have given.
//
// The predecessor may have acknowledged a change and died. Its acknowledgement counts towards
// acceptance until the limit has passed. If this process declared itself initialized on what others
// knew before the acceptance, a majority without the change could continue to serve.
//
// Tail evidence from after the start covers this, because the change was in the log before it was
// acknowledged. Quorum evidence covers it from the limit after the start on: by then the change has
// been accepted, or it never will be by the predecessor's acknowledgement.
func (t *Tracker) updateInitialized() {
	if t.tailEvidence >= 0 || t.quorumEvidence >= t.settleTime() {
		t.isInitialized = true
	}
}

// settleTime returns how long after its start a process waits before quorum evidence may initialize
// it.
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

// updateQuorumEvidence takes the newest quorum evidence from the peers once other evidence is
// getting old. It looks at all peers, which is too expensive for each heartbeat with thousands of
// members. It begins well before the tail evidence expires, because agents hear too few members
// themselves and need the evidence of an entry by then.
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

// Knowledge returns what to report to others. The caller must fill in the echo of the same message
// before the call, so that the receiver doesn't date it later than it is.
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

// evidenceAgeMs returns the age of evidence in milliseconds, rounded up.
func evidenceAgeMs(evidence, now time.Duration) int64 {
	if evidence == never {
		return noAge
	}
	return int64((now - evidence + time.Millisecond - 1) / time.Millisecond)
}

// TimeToStateChange returns the time after which the state changes if nothing more is heard, zero
// if it stays. For Starting it is the least time until the process could start to serve in an
// outage of the log.
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
