package place

import "time"

// historyLength is the number of past reports for which an entry's own requests in flight are
// remembered. At 200 ms between reports it covers an age of 3 s.
const historyLength = 16

// history holds this entry's requests in flight at a server at the time of past reports. They are
// subtracted from a stale report to get the requests of the other entries.
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

// ownAt returns this entry's requests in flight at time t, or the oldest remembered number.
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
