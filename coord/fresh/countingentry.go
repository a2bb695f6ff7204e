package fresh

import (
	"hash/fnv"
	"time"
)

// countingState is how an agent chooses the entry that counts it.
type countingState struct {
	entry     string
	lastNamed time.Duration // when it was last named
}

// countingEntry returns the entry that an agent has itself counted by, empty for none.
//
// It keeps to one entry, for a count has only numbers: an agent counted by two would be
// two members in the sum. When that entry is not heard any more, the agent names nobody
// until every count with its last word in it is past the limit, at all processes; a
// quarter more for clocks that run at unequal rates.
//
// A new process need not wait, though it does not know whom its predecessor named. It is
// counted only once it is initialized: on evidence that the predecessor's word came
// before, so that a change accepted by then is applied here, or after the same wait.
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

// pickEntry takes an entry that is heard, by a hash of both names: the agents of one entry
// spread over all when it is gone.
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
