package fresh

import (
	"hash/fnv"
	"time"
)

// naming is how an agent chooses the entry that counts it.
type naming struct {
	entry string
	said  time.Duration // when it was last named
}

// name returns the entry that an agent has itself counted by, empty for none.
//
// It keeps to one entry, for a count has only numbers: an agent counted by two would be
// two members in the sum. When that entry is not heard any more, the agent names nobody
// until every count with its last word in it is past the limit, at all processes; a
// quarter more for clocks that run at unequal rates.
//
// A new process need not wait, though it does not know whom its predecessor named. It is
// counted only once it is initialized: on evidence that the predecessor's word came
// before, so that a change accepted by then is applied here, or after the same wait.
func (t *Tracker) name(now time.Duration) string {
	if t.entries[t.self] || !t.members[t.self] || !t.started || !t.Counting(now) {
		return ""
	}
	if t.naming.entry != "" && t.hears(t.naming.entry, now) {
		t.naming.said = now
		return t.naming.entry
	}
	if t.naming.entry != "" && now-t.naming.said <= t.settle() {
		return ""
	}
	t.naming.entry = t.choose(now)
	if t.naming.entry != "" {
		t.naming.said = now
	}
	return t.naming.entry
}

func (t *Tracker) hears(entry string, now time.Duration) bool {
	p, ok := t.heard[entry]
	return ok && t.entries[entry] && now-p.at <= t.limit/2
}

// choose takes an entry that is heard, by a hash of both names: the agents of one entry
// spread over all when it is gone.
func (t *Tracker) choose(now time.Duration) string {
	var best string
	var most uint64
	for entry := range t.heard {
		if !t.hears(entry, now) {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(t.self + "\x00" + entry))
		if score := h.Sum64(); best == "" || score > most || score == most && entry < best {
			best, most = entry, score
		}
	}
	return best
}
