package place

import "time"

// historyLength is the number of reports back that an entry's own work is
// remembered. At 200 ms between reports it covers an age of 3 s.
const historyLength = 16

// history is this entry's own work at a server at past reports. It is what to
// subtract from a late report to know the work of the others.
type history struct {
	entries [historyLength]pastWork
	next    int
}

type pastWork struct {
	at  time.Duration
	own int32
}

func (h *history) add(now time.Duration, own int) {
	h.entries[h.next] = pastWork{at: now, own: int32(own)}
	h.next = (h.next + 1) % historyLength
}

// at returns the own work at a time, or the oldest known.
func (h *history) at(when time.Duration) int {
	own := int32(0)
	for i := range historyLength {
		e := h.entries[(h.next+i)%historyLength]
		if i > 0 && e.at > when {
			break
		}
		own = e.own
	}
	return int(own)
}
