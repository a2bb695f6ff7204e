package fresh

import (
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
)

const (
	ms    = time.Millisecond
	limit = 2000 * ms
)

var (
	entries = []string{"e1", "e2", "e3", "e4", "e5"}
	members = append([]string{"a1", "a2", "a3", "a4", "a5", "a6"}, entries...)
)

// running returns a tracker that confirmed the tail at time zero, with offset 5 applied.
func running() *Tracker {
	t := New("e1", limit)
	t.SetEntries(entries)
	t.SetMembers(members)
	t.SetApplied(5)
	t.ConfirmTail(0)
	return t
}

// knowledgeWithoutEvidence returns the knowledge of an initialized member that has had no evidence
// for long.
func knowledgeWithoutEvidence(applied int64) *api.Knowledge {
	return &api.Knowledge{Applied: applied, EvidenceAgeMs: noAge, QuorumAgeMs: noAge, Initialized: true}
}

func hearAll(t *Tracker, at time.Duration, applied int64, vms ...string) {
	for _, vm := range vms {
		t.HandleKnowledge(vm, at, knowledgeWithoutEvidence(applied), t.applied)
	}
}

func checkState(t *testing.T, tracker *Tracker, now time.Duration, want State) {
	t.Helper()
	if got := tracker.State(now); got != want {
		t.Errorf("at %v: %v, want %v", now, got, want)
	}
}

func TestStateOfARunningProcess(t *testing.T) {
	const now = 10 * time.Second
	for _, test := range []struct {
		name    string
		receive func(*Tracker)
		want    State
	}{
		{"no news", func(*Tracker) {}, Isolated},
		{"own fetch", func(f *Tracker) { f.ConfirmTail(now - limit) }, Fresh},
		{"own fetch sent too long ago", func(f *Tracker) { f.ConfirmTail(now - limit - 1) }, Isolated},
		{"a peer's fetch and its age", func(f *Tracker) {
			f.HandleKnowledge("a1", now-500*ms, &api.Knowledge{Applied: 5, EvidenceAgeMs: 1500, QuorumAgeMs: noAge}, 5)
		}, Fresh},
		{"a peer's fetch, too old with its age", func(f *Tracker) {
			f.HandleKnowledge("a1", now-500*ms, &api.Knowledge{Applied: 5, EvidenceAgeMs: 1501, QuorumAgeMs: noAge}, 5)
		}, Isolated},
		{"a peer's fetch of changes not applied here", func(f *Tracker) {
			f.HandleKnowledge("a1", now, &api.Knowledge{Applied: 6, EvidenceAgeMs: 0, QuorumAgeMs: 0}, 5)
		}, Isolated},
		{"a majority of entries, itself counted", func(f *Tracker) { hearAll(f, now-limit, 5, "e2", "e3") }, Outage},
		{"a minority of entries", func(f *Tracker) { hearAll(f, now, 5, "e2") }, Isolated},
		{"a majority, one of them too long ago", func(f *Tracker) {
			hearAll(f, now, 5, "e2")
			hearAll(f, now-limit-1, 5, "e3")
		}, Isolated},
		{"a majority that lags", func(f *Tracker) { hearAll(f, now, 4, "e2", "e3") }, Outage},
		{"a majority, and one that is ahead", func(f *Tracker) {
			hearAll(f, now, 6, "e4")
			hearAll(f, now, 5, "e2", "e3")
		}, Isolated},
		{"a majority, caught up with the one ahead", func(f *Tracker) {
			hearAll(f, now, 6, "e4")
			f.SetApplied(6)
			hearAll(f, now, 5, "e2")
		}, Outage},
		{"a majority of members, few entries", func(f *Tracker) { hearAll(f, now, 5, "a1", "a2", "a3", "a4", "e2") }, Outage},
		{"replaced members do not count", func(f *Tracker) {
			replaced := knowledgeWithoutEvidence(5)
			replaced.Initialized = false
			f.HandleKnowledge("e2", now, replaced, 5)
			f.HandleKnowledge("e3", now, replaced, 5)
		}, Isolated},
		{"strangers do not count", func(f *Tracker) { hearAll(f, now, 5, "x1", "x2", "x3", "x4", "x5", "x6") }, Isolated},
		{"a peer's majority and its age", func(f *Tracker) {
			k := knowledgeWithoutEvidence(5)
			k.QuorumAgeMs = 1999
			f.HandleKnowledge("x1", now, k, 5)
		}, Outage},
		{"most VMs have left the list", func(f *Tracker) {
			f.SetEntries([]string{"e1", "e2"})
			hearAll(f, now, 5, "e2")
		}, Outage},
		{"the list came empty", func(f *Tracker) {
			f.SetEntries(nil)
			hearAll(f, now, 5, "e2")
		}, Isolated},
		{"alone in the list", func(f *Tracker) { f.SetEntries([]string{"e1"}) }, Outage},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker := running()
			test.receive(tracker)
			checkState(t, tracker, now, test.want)
		})
	}
}

// The log, the VM list and all entries but one are out for a weekend. The remaining entry must
// serve as long as the agents live. If only entries counted, it would refuse all work until the
// operators return.
func TestLastEntryServesWithAMajorityOfMembers(t *testing.T) {
	tracker := running()
	for now := time.Duration(0); now < 48*time.Hour; now += 10 * time.Minute {
		hearAll(tracker, now, 5, "a1", "a2", "a3", "a4", "a5")
		checkState(t, tracker, now+limit, map[bool]State{true: Fresh, false: Outage}[now == 0])
	}
}

// A process is paused while a change is made. It must refuse requests as not run when it resumes.
// It first reads messages from before the pause in its sockets, each of which echoes a heartbeat
// sent before the pause.
func TestPausedProcessIsIsolated(t *testing.T) {
	const resumed = 60 * time.Second
	tracker := running()
	checkState(t, tracker, resumed, Isolated)
	hearAll(tracker, 100*ms, 5, "e2", "e3", "e4", "e5")
	checkState(t, tracker, resumed, Isolated)
	tracker.ConfirmTail(200 * ms)
	checkState(t, tracker, resumed, Isolated)
	hearAll(tracker, resumed, 6, "e2", "e3", "e4")
	checkState(t, tracker, resumed, Isolated)
}

// A new process must serve at once when the log answers, and in an outage once a majority has shown
// it the newest state. In an outage it must wait until the acknowledgements of its predecessor on
// this VM have expired: an operator may be told "accepted" on these, for a change that none of the
// heard members holds yet.
func TestNewProcessWaitsForTheConfiguration(t *testing.T) {
	start := func() *Tracker {
		tracker := New("e1", limit)
		tracker.SetEntries(entries)
		return tracker
	}
	fetched := start()
	checkState(t, fetched, 0, Starting)
	fetched.ConfirmTail(0)
	checkState(t, fetched, 0, Fresh)

	informed := start()
	informed.HandleKnowledge("e2", 10*ms, &api.Knowledge{Applied: 5, EvidenceAgeMs: 11, QuorumAgeMs: noAge}, 5)
	checkState(t, informed, 10*ms, Starting) // evidence from before the start
	informed.HandleKnowledge("e2", 20*ms, &api.Knowledge{Applied: 5, EvidenceAgeMs: 11, QuorumAgeMs: noAge}, 5)
	checkState(t, informed, 20*ms, Fresh)

	outage := start()
	settled := outage.TimeToStateChange(0)
	hearAll(outage, settled, 5, "e2", "e3", "e4")
	checkState(t, outage, settled, Starting) // their changes are not applied yet
	outage = start()
	outage.SetApplied(5)
	hearAll(outage, settled-1, 5, "e2", "e3", "e4")
	checkState(t, outage, settled, Starting)
	hearAll(outage, settled, 5, "e2", "e3")
	checkState(t, outage, settled, Starting) // two are too few; it does not count itself yet
	hearAll(outage, settled, 5, "e4")
	checkState(t, outage, settled, Outage)
}

func TestKnowledgeAndTimeToStateChange(t *testing.T) {
	tracker := running()
	hearAll(tracker, 700*ms, 5, "e2", "e3")
	got := tracker.Knowledge(1000*ms+1, 5)
	if got.GetEvidenceAgeMs() != 1001 || got.GetQuorumAgeMs() != 301 || !got.GetReady() || !got.GetInitialized() {
		t.Errorf("knowledge %v", got)
	}
	for _, want := range []State{Fresh, Outage, Isolated} {
		checkState(t, tracker, 0, Fresh)
		now := map[State]time.Duration{Fresh: 0, Outage: limit + 1, Isolated: limit + 700*ms + 1}[want]
		checkState(t, tracker, now, want)
		if left := tracker.TimeToStateChange(now); want != Isolated {
			checkState(t, tracker, now+left-1, want)
			checkState(t, tracker, now+left, want+1)
		} else if left != 0 {
			t.Errorf("isolated, but TimeToStateChange is %v", left)
		}
	}
	got = tracker.Knowledge(9*time.Second, 5)
	if got.GetReady() || !got.GetInitialized() {
		t.Errorf("knowledge of an isolated process: %v", got)
	}
}
