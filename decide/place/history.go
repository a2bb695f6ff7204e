package place

import "time"

// historyLength is the number of reports back that an entry's own work is
// remembered. At 200 ms between reports it covers an age of 3 s.
const historyLength = 16

// history is this entry's own work at a server at past reports. It is what to
// subtract from a late report to know the work of the others.
type history struct {
	entries [historyLength]historyEntry
	next    int
}

type historyEntry struct {
	at          time.Duration
	ownInFlight int32
}

func (h *history) add(now time.Duration, own int) {
	h.entries[h.next] = historyEntry{at: now, ownInFlight: int32(own)}
	h.next = (h.next + 1) % historyLength
}

// ownAt returns the own work ownAt a time, or the oldest known.
func (h *history) ownAt(t time.Duration) int {
	own := int32(0)
	for i := range historyLength {
		e := h.entries[(h.next+i)%historyLength]
		if i > 0 && e.at > t {
			break
		}
		own = e.ownInFlight
	}
	return int(own)
}
