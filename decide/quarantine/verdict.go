package quarantine

import (
	"slices"
	"time"
)

// quarantine is the quarantine of a part. After until, the part waits for a trial.
type quarantine struct {
	since, until time.Duration
	strikes      int
}

// suspicion is why a part is under suspicion.
type suspicion struct {
	service string
	lastEnd time.Duration
}

// evidence is the evidence against one part.
type evidence struct {
	ends []*end
	// settled are those of them that are old enough to count.
	settled []*end
	// wasProven means that the part was proven sound before the first of them.
	wasProven bool
}

// score returns the number of ends that count, less for a part that was proven sound before.
func (t *Tracker) score(ends int, wasProven bool) int {
	if wasProven {
		return ends - t.cfg.ProvenEnds
	}
	return ends
}

// collect returns the evidence against each part.
func (t *Tracker) collect(now time.Duration) map[string]*evidence {
	all := make(map[string]*evidence)
	for _, e := range t.ends {
		isSettled := now-e.at >= t.cfg.SettleTime
		if t.isOutage(e, now) {
			continue
		}
		isExplained := slices.ContainsFunc(e.parts, func(part string) bool { return t.quarantines[part] != nil })
		for _, part := range e.parts {
			provenAt, isProven := t.proofs.at(part)
			if isProven && provenAt >= e.at || isExplained {
				continue
			}
			ev := all[part]
			if ev == nil {
				ev = &evidence{wasProven: isProven && e.at-provenAt <= t.cfg.ProvenFor}
				all[part] = ev
			}
			ev.ends = append(ev.ends, e)
			if isSettled {
				ev.settled = append(ev.settled, e)
			}
		}
	}
	return all
}

// isExplained reports whether another part that was at a server is known to end servers.
func (t *Tracker) isExplained(e *end, part string) bool {
	return slices.ContainsFunc(e.parts, func(other string) bool { return other != part && t.quarantines[other] != nil })
}

// isOutage reports whether a server ended at about the same time while all of its answers were under way:
// then the cause lies elsewhere, such as in a loss of power.
func (t *Tracker) isOutage(e *end, now time.Duration) bool {
	return slices.ContainsFunc(t.ends, func(other *end) bool {
		return len(other.parts) == 0 && now-other.at >= t.cfg.SettleTime && (other.at-e.at).Abs() <= t.cfg.OutageWindow
	})
}

// weigh updates the suspicions, and quarantines the parts against which there is enough evidence.
//
// Of several parts that were at the same servers, those with most ends are quarantined first. The ends are
// then explained, and no longer count against the others.
func (t *Tracker) weigh(now time.Duration) {
	t.isChanged = false
	if now >= t.settlesAt {
		t.settlesAt = 0
	}
	all := t.collect(now)
	for {
		worst, guilty := 0, []string(nil)
		for part, ev := range all {
			if !t.isGuilty(part, ev, all) {
				continue
			}
			switch {
			case len(ev.settled) > worst:
				worst, guilty = len(ev.settled), []string{part}
			case len(ev.settled) == worst:
				guilty = append(guilty, part)
			}
		}
		if len(guilty) == 0 {
			break
		}
		for _, part := range guilty {
			t.begin(part, len(all[part].ends), now)
		}
		all = t.collect(now)
	}
	clear(t.suspects)
	for part, ev := range all {
		if t.score(len(ev.ends), ev.wasProven) > 0 {
			last := ev.ends[len(ev.ends)-1]
			t.suspects[part] = suspicion{service: last.service, lastEnd: last.at}
		}
	}
}

// isGuilty reports whether the evidence is enough to quarantine a part.
func (t *Tracker) isGuilty(part string, ev *evidence, all map[string]*evidence) bool {
	score := t.score(len(ev.settled), ev.wasProven)
	if score < t.cfg.MinEnds || !t.wasSoundSince(ev.settled[0].service, ev.settled[0].at) {
		return false
	}
	return score >= t.cfg.MinTiedEnds || !t.isTied(part, ev, all)
}

// wasSoundSince reports whether an answer of a service has got past its beginning here since a time. The time
// may be negative, before this process started.
func (t *Tracker) wasSoundSince(service string, since time.Duration) bool {
	at, ok := t.soundAt[service]
	return ok && at > since
}

// isTied reports whether the evidence is as strong against another part.
func (t *Tracker) isTied(part string, ev *evidence, all map[string]*evidence) bool {
	return slices.ContainsFunc(ev.settled[0].parts, func(other string) bool {
		o := all[other]
		if other == part || o == nil || t.score(len(o.settled), o.wasProven) < t.score(len(ev.settled), ev.wasProven) {
			return false
		}
		return !slices.ContainsFunc(ev.settled, func(e *end) bool { return !slices.Contains(o.settled, e) })
	})
}

// begin quarantines a part.
func (t *Tracker) begin(part string, ends int, now time.Duration) {
	t.makeRoom()
	q := &quarantine{}
	t.quarantines[part] = q
	t.extend(q, part, now)
	t.changes.Begun[len(t.changes.Begun)-1].Ends = ends
}

// extend quarantines a part for twice as long as the time before.
func (t *Tracker) extend(q *quarantine, part string, now time.Duration) {
	q.strikes++
	q.since, q.until = now, now+t.duration(q.strikes)
	t.changes.Begun = append(t.changes.Begun, Quarantine{Part: part, Left: q.until - now, Strikes: q.strikes, Ends: 1})
}

// duration returns the length of a part's quarantine.
func (t *Tracker) duration(strikes int) time.Duration {
	d := t.cfg.BaseTime
	for range strikes - 1 {
		if d = 2 * d; d >= t.cfg.MaxTime {
			return t.cfg.MaxTime
		}
	}
	return d
}

// makeRoom drops the quarantine that ends first if there are too many.
func (t *Tracker) makeRoom() {
	if len(t.quarantines) < t.cfg.MaxQuarantines {
		return
	}
	first := ""
	for part, q := range t.quarantines {
		if first == "" || q.until < t.quarantines[first].until {
			first = part
		}
	}
	delete(t.quarantines, first)
}

// HearQuarantine records a quarantine that another entry, or the store, has told of. A proof of this entry
// that is newer stands.
func (t *Tracker) HearQuarantine(heard Quarantine, now time.Duration) {
	since, until := now-heard.Age, now+min(heard.Left, t.cfg.MaxTime)
	if provenAt, ok := t.proofs.at(heard.Part); ok && provenAt > since {
		t.proofNewsUntil[heard.Part] = now + t.cfg.ReportTime
		return
	}
	if heard.Strikes < 1 || now-until > t.cfg.MaxTime {
		return
	}
	q := t.quarantines[heard.Part]
	if q != nil && q.strikes >= heard.Strikes {
		return
	}
	if q == nil {
		t.makeRoom()
		q = &quarantine{}
		t.quarantines[heard.Part] = q
	}
	q.strikes, q.since, q.until = heard.Strikes, since, until
	delete(t.suspects, heard.Part)
	t.changes.Begun = append(t.changes.Begun, heard)
}

// Any reports whether any part is in quarantine, under suspicion or on trial.
func (t *Tracker) Any() bool { return len(t.quarantines) > 0 || len(t.suspects) > 0 }
