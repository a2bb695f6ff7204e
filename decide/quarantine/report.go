package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/apricothub/apricothub/decide/subset"
)

// maxReportedParts limits the parts of a reported end, those that may have ended the server first.
const maxReportedParts = 32

// tellersPerReport is the number of entries, of all, that tell of something in the time of one report once it
// is no longer new: enough that an entry which restarts hears of it at once, and as few bytes for each entry
// however many there are.
const tellersPerReport = 4

// Proof is the news that a part has been proven sound.
type Proof struct {
	Part string
	Age  time.Duration
}

// Ends returns ends of servers to tell the other entries of in the next report, the latest first and at most
// limit of them: new ones that had requests of this entry, and each of the others once in a while, with the
// parts that they still speak against. Otherwise the evidence would be lost if entries restart in turn.
func (t *Tracker) Ends(limit int, now time.Duration) []End {
	var ends []End
	for i := len(t.ends) - 1; i >= 0 && len(ends) < limit; i-- {
		e := t.ends[i]
		isNew := now-e.at <= t.cfg.ReportTime
		if isNew && e.own != nil {
			ends = append(ends, t.reportOf(e, e.own.parts, e.own.allBegun, now))
		} else if !isNew && t.isTurn(strconv.FormatUint(uint64(e.server.Hash), 10)) {
			if parts := t.openParts(e); len(parts) > 0 {
				ends = append(ends, t.reportOf(e, parts, e.allBegun, now))
			}
		}
	}
	return ends
}

// openParts returns the parts that an end still speaks against. All but shared parts are left out under a single end:
// most requests that were at a server when it ended are never answered, so that there would be something to
// tell of after each end.
func (t *Tracker) openParts(e *end) []Part {
	var open []Part
	for _, p := range e.parts {
		if t.quarantines[p.ID] != nil {
			return nil
		}
		if t.isProvenSince(p.ID, e.at) || p.Scope.needsWholeAnswer() && t.suspects[p.ID].ends < 2 {
			continue
		}
		open = append(open, p)
	}
	return open
}

// reportOf returns the report of an end with some parts, those that have not been proven for longest first, and
// narrower ones before wider ones.
func (t *Tracker) reportOf(e *end, parts []Part, allBegun bool, now time.Duration) End {
	parts = slices.Clone(parts)
	slices.SortStableFunc(parts, func(a, b Part) int {
		provenA, _ := t.provenAt(a.ID)
		provenB, _ := t.provenAt(b.ID)
		return cmp.Or(cmp.Compare(provenA, provenB), cmp.Compare(b.Scope, a.Scope))
	})
	return End{Server: e.server, Service: e.service, Parts: parts[:min(len(parts), maxReportedParts)], AllBegun: allBegun, Age: now - e.at}
}

// isTurn reports whether something that is no longer new is told in this report.
func (t *Tracker) isTurn(name string) bool {
	period := uint64(1 + len(t.entries)/tellersPerReport)
	return (t.reports+subset.Key(t.self+name))%period == 0
}

// Proofs returns the proofs of parts that are, or lately were, held against them, at most limit of them.
func (t *Tracker) Proofs(limit int, now time.Duration) []Proof {
	var proofs []Proof
	for part := range t.proofNewsUntil {
		if at, ok := t.provenAt(part); ok && len(proofs) < limit {
			proofs = append(proofs, Proof{Part: part, Age: now - at})
		}
	}
	return proofs
}

// Quarantines returns the quarantines to tell other entries of in the next report, in random order, at most
// limit of them: those that are new, and each of the others once in a while.
func (t *Tracker) Quarantines(limit int, now time.Duration) []Quarantine {
	t.reports++
	var quarantines []Quarantine
	for part, q := range t.quarantines {
		if len(quarantines) == limit {
			break
		}
		if now-q.since > t.cfg.ReportTime && !t.isTurn(part) {
			continue
		}
		quarantines = append(quarantines, q.report(part, now))
	}
	return quarantines
}

func (q *quarantine) report(part string, now time.Duration) Quarantine {
	return Quarantine{Part: part, Age: now - q.since, Left: q.until - now, Strikes: q.strikes}
}

// State returns all quarantines and all suspect parts, in the order of the parts.
func (t *Tracker) State(now time.Duration) (quarantines []Quarantine, suspects []string) {
	for _, part := range slices.Sorted(maps.Keys(t.quarantines)) {
		quarantines = append(quarantines, t.quarantines[part].report(part, now))
	}
	return quarantines, slices.Sorted(maps.Keys(t.suspects))
}
