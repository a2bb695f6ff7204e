package retry

import "time"

const (
	// reserveFraction is the part of the reserve that can be claimed. The rest is for clocks that do not
	// run at the same rate.
	reserveFraction = 0.9
	// ClaimLifetime is how long a claimed token may be spent, counted from before the claim was written.
	ClaimLifetime = time.Second
	// maxClaimFraction limits what one entry claims at a time to this part of the reserve, so that a few
	// entries do not take all of it for requests that are yet to fail.
	maxClaimFraction = 0.25
)

// Claim is a claim as it stands in the ledger.
type Claim struct {
	// ID distinguishes it from all others.
	ID     uint64
	Tokens int
	// Age is a time for which it has stood there at least.
	Age time.Duration
}

// Ledger decides what one entry may claim from the reserve of a service.
//
// Its claims stand in the platform's store, and all entries read and replace them there. Each claim counts
// for one window and the time for which its tokens can still arrive; so in any window the tokens that arrive
// are those of claims that counted at the same time. How old a claim is, an entry knows from when it first
// read it and from the age that the writer of the record knew: both are less than the real age, so that a
// process that starts or was paused counts a claim for too long, never for too short.
type Ledger struct {
	reserve int
	// countsFor is how long a claim counts.
	countsFor time.Duration
	// left is what was left of the reserve when the ledger was last read, at readAt.
	left   int
	readAt time.Duration
	// standsSince is since when a claim has stood at least, by its ID.
	standsSince map[uint64]time.Duration
}

// NewLedger returns the ledger of a service as a process sees it that has read nothing yet.
func NewLedger(l Limits) *Ledger {
	reserve := int(l.Reserve * reserveFraction)
	return &Ledger{
		reserve: reserve, left: reserve, countsFor: l.Window + ClaimLifetime + maxArrivalLag,
		standsSince: make(map[uint64]time.Duration),
	}
}

// Draw returns the claims that are to replace those that were read at the time now, and how many tokens are
// claimed by the last of them, which has the given ID. There may be fewer than wanted, or none. The tokens
// may be spent once the claims have been written, unless others were written since they were read.
func (l *Ledger) Draw(read []Claim, id uint64, wanted int, now time.Duration) (claims []Claim, tokens int) {
	l.update(read, now)
	left := l.reserve
	for _, c := range read {
		age := now - l.standsSince[c.ID]
		if age >= l.countsFor {
			continue
		}
		left -= c.Tokens
		claims = append(claims, Claim{ID: c.ID, Tokens: c.Tokens, Age: age})
	}
	tokens = min(wanted, left, max(1, int(maxClaimFraction*float64(l.reserve))))
	l.left, l.readAt = left-max(tokens, 0), now
	if tokens <= 0 {
		return claims, 0
	}
	return append(claims, Claim{ID: id, Tokens: tokens}), tokens
}

// HasSpare reports whether a token may be claimed for a retry that is of use but not needed to answer the
// request: half of the reserve is for the others.
func (l *Ledger) HasSpare(now time.Duration) bool {
	return float64(l.left) > spareRatio*float64(l.reserve) || now-l.readAt >= l.countsFor
}

// update notes since when the claims that were read have stood, and forgets all others.
func (l *Ledger) update(read []Claim, now time.Duration) {
	standsSince := make(map[uint64]time.Duration, len(read))
	for _, c := range read {
		since := now - c.Age
		if known, ok := l.standsSince[c.ID]; ok {
			since = min(since, known)
		}
		standsSince[c.ID] = since
	}
	l.standsSince = standsSince
}

// NextRoom returns when the next of the claims that were last read ceases to count; now if none counts.
func (l *Ledger) NextRoom(now time.Duration) time.Duration {
	next := time.Duration(0)
	for _, since := range l.standsSince {
		if end := since + l.countsFor; end > now && (next == 0 || end < next) {
			next = end
		}
	}
	return max(next, now)
}
