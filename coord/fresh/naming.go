package fresh

import (
	"hash/fnv"
	"time"
)

// countingState is the entry that an agent has chosen to be counted by.
type countingState struct {
	entry     string
	lastNamed time.Duration
}

// countingEntry returns the entry that an agent is to be counted by, empty for none.
//
// The agent keeps to one entry, because counts are mere numbers: an agent counted by two entries
// would be two members in the sum. When the entry is no longer heard, the agent names none until
// every count that includes it by that entry is past the limit in all processes. The wait is a
// quarter longer than the limit, for clocks that run at unequal rates.
//
// A new process doesn't know which entry its predecessor named, but need not wait. It is counted
// only once it is initialized: either on evidence newer than the predecessor's last message, so
// that a change accepted by then is applied here, or after the same wait.
func (t *Tracker) countingEntry(now time.Duration) string {
	if t.entries[t.self] || !t.members[t.self] || !t.isInitialized || !t.NeedsCounts(now) {
		return ""
	}
	if t.counting.entry != "" && t.hearsEntry(t.counting.entry, now) {
		t.counting.lastNamed = now
		return t.counting.entry
	}
	if t.counting.entry != "" && now-t.counting.lastNamed <= t.settleTime() {
		return ""
	}
	t.counting.entry = t.pickEntry(now)
	if t.counting.entry != "" {
		t.counting.lastNamed = now
	}
	return t.counting.entry
}

func (t *Tracker) hearsEntry(entry string, now time.Duration) bool {
	p, ok := t.peers[entry]
	return ok && t.entries[entry] && now-p.notBefore <= t.limit/2
}

// pickEntry picks an entry that is heard, by a hash of both names. When an entry fails, its agents
// thus spread over all others.
func (t *Tracker) pickEntry(now time.Duration) string {
	var bestEntry string
	var bestScore uint64
	for entry := range t.peers {
		if !t.hearsEntry(entry, now) {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(t.self + "\x00" + entry))
		if score := h.Sum64(); bestEntry == "" || score > bestScore || score == bestScore && entry < bestEntry {
			bestEntry, bestScore = entry, score
		}
	}
	return bestEntry
}
