package quarantine

import (
	"slices"
	"time"

	"github.com/apricothub/apricothub/decide/subset"
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

// tellersPerReport is the number of entries, of all, that tell of a quarantine in the time of one report
// once it is no longer new: enough that an entry which restarts hears of it at once, and as few bytes for
// each entry however many there are.
const tellersPerReport = 4

// Quarantines returns the quarantines to tell other entries of in the next report, in random order, at most
// limit of them: those that are new, and each of the others once in a while.
func (t *Tracker) Quarantines(limit int, now time.Duration) []Quarantine {
	t.reports++
	period := uint64(1 + len(t.entries)/tellersPerReport)
	var quarantines []Quarantine
	for part, q := range t.quarantines {
		if len(quarantines) == limit {
			break
		}
		isTurn := (t.reports+subset.Key(t.self+part))%period == 0
		if now-q.since > t.cfg.ReportTime && !isTurn {
			continue
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
