package quarantine

import (
	"slices"
	"time"
)

// maxReportedParts limits the parts of a reported end, those that may have ended the server first.
const maxReportedParts = 16

// Proof is the news that a part has been proven sound.
type Proof struct {
	Part string
	Age  time.Duration
}

// Ends returns the latest ends of servers that had requests of this entry, at most limit of them, for the
// other entries.
func (t *Tracker) Ends(limit int, now time.Duration) []End {
	var ends []End
	for i := len(t.ends) - 1; i >= 0 && len(ends) < limit; i-- {
		if e := t.ends[i]; e.isOwn && now-e.at <= t.cfg.ReportTime {
			ends = append(ends, End{Server: e.server, Service: e.service, Parts: t.reportedParts(e), Age: now - e.at})
		}
	}
	return ends
}

// Proofs returns the proofs of parts that are, or lately were, held against them, at most limit of them.
func (t *Tracker) Proofs(limit int, now time.Duration) []Proof {
	var proofs []Proof
	for part := range t.proofNewsUntil {
		if at, ok := t.proofs.at(part); ok && len(proofs) < limit {
			proofs = append(proofs, Proof{Part: part, Age: now - at})
		}
	}
	return proofs
}

// Quarantines returns the quarantines that this entry knows, in random order, at most limit of them.
func (t *Tracker) Quarantines(limit int, now time.Duration) []Quarantine {
	var quarantines []Quarantine
	for part, q := range t.quarantines {
		if len(quarantines) == limit {
			break
		}
		quarantines = append(quarantines, Quarantine{Part: part, Age: now - q.since, Left: q.until - now, Strikes: q.strikes})
	}
	return quarantines
}

func (t *Tracker) reportedParts(e *end) []string {
	parts := slices.Clone(e.ownParts)
	slices.SortStableFunc(parts, func(a, b string) int {
		provenA, _ := t.proofs.at(a)
		provenB, _ := t.proofs.at(b)
		return int(provenA - provenB)
	})
	return parts[:min(len(parts), maxReportedParts)]
}
