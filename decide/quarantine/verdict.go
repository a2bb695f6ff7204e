package quarantine

import (
	"maps"
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
	scope Scope
	// ends is the number of servers that ended under the part, last the latest of them.
	ends int
	last *end
}

// evidence is the evidence against one part.
type evidence struct {
	// scope is the widest scope in which requests had the part.
	scope Scope
	ends  []*end
	// settled are those of them that are old enough to count.
	settled []*end
	// isOpen means that one of the ends is not explained by another part.
	isOpen bool
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
//
// An end under a shared part in quarantine speaks against no other part. One under a narrow part in quarantine
// does, if servers have ended without that part as well: then the wider part may be to blame for all.
func (t *Tracker) collect(now time.Duration) map[string]*evidence {
	all := make(map[string]*evidence)
	for _, e := range t.ends {
		explaining, isExplained := t.explaining(e, "")
		if isExplained && !explaining.isNarrow() {
			continue
		}
		for _, p := range e.parts {
			if t.quarantines[p.ID] == nil && !t.isProvenSince(p.ID, e.at) && !t.isOutage(e, p, now) {
				t.addEvidence(all, p, e, !isExplained, now)
			}
		}
	}
	maps.DeleteFunc(all, func(_ string, ev *evidence) bool { return !ev.isOpen })
	return all
}

func (t *Tracker) addEvidence(all map[string]*evidence, p Part, e *end, isOpen bool, now time.Duration) {
	ev := all[p.ID]
	if ev == nil {
		provenAt, isProven := t.provenAt(p.ID)
		ev = &evidence{scope: p.Scope, wasProven: isProven && e.at-provenAt <= t.cfg.ProvenFor}
		all[p.ID] = ev
	}
	ev.scope = min(ev.scope, p.Scope)
	ev.isOpen = ev.isOpen || isOpen
	ev.ends = append(ev.ends, e)
	if now-e.at >= t.cfg.SettleTime {
		ev.settled = append(ev.settled, e)
	}
}

func (t *Tracker) isProvenSince(id string, at time.Duration) bool {
	provenAt, isProven := t.provenAt(id)
	return isProven && provenAt >= at
}

// explaining returns the widest scope of the parts, other than the given one, that were at a server and are
// known to end servers, and whether there is one.
func (t *Tracker) explaining(e *end, except string) (widest Scope, ok bool) {
	widest = Whole
	for _, p := range e.parts {
		if p.ID != except && t.quarantines[p.ID] != nil {
			widest, ok = min(widest, p.Scope), true
		}
	}
	return widest, ok
}

// isExplained reports whether a part that was at a server, other than the given one, is known to end servers.
func (t *Tracker) isExplained(e *end, except string) bool {
	_, ok := t.explaining(e, except)
	return ok
}

// isOutage reports whether a server ended at about the same time while all of its answers were under way:
// then the cause lies elsewhere, such as in a loss of power. A part that may end servers with their answers
// under way is cleared only by one that ended without the part.
func (t *Tracker) isOutage(e *end, p Part, now time.Duration) bool {
	return slices.ContainsFunc(t.ends, func(other *end) bool {
		if !other.allBegun || now-other.at < t.cfg.SettleTime || (other.at-e.at).Abs() > t.cfg.OutageWindow {
			return false
		}
		return !p.Scope.needsWholeAnswer() || indexOf(other.parts, p.ID) < 0
	})
}

// weigh updates the suspicions, and quarantines the parts against which there is enough evidence.
//
// Of several parts that were at the same servers, the narrowest and those with most ends are quarantined first.
// The ends are then explained, and do not count against the others.
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
		if t.score(len(ev.ends), ev.wasProven) > 0 && t.mayHoldBack(ev) {
			t.suspects[part] = suspicion{scope: ev.scope, ends: len(ev.ends), last: ev.ends[len(ev.ends)-1]}
		}
	}
}

// mayHoldBack reports whether requests with a part may be held back before there is enough evidence. With a
// midway part that all requests share, that would stop a service until an answer is whole: only parts that have
// not been proven lately although whole answers came are held back.
func (t *Tracker) mayHoldBack(ev *evidence) bool {
	first, ok := t.firstWholeAt[ev.ends[0].service]
	return ev.scope != Midway || !ev.wasProven && ok && first < ev.ends[0].at
}

// isGuilty reports whether the evidence is enough to quarantine a part.
func (t *Tracker) isGuilty(part string, ev *evidence, all map[string]*evidence) bool {
	score := t.score(len(ev.settled), ev.wasProven)
	if score < t.cfg.MinEnds || !t.hasContrast(ev.scope, ev.settled[0].service, ev.settled[0].at) {
		return false
	}
	hasRival := func(scopes func(Scope) bool) bool { return t.hasRival(part, ev, all, scopes) }
	if hasRival(func(s Scope) bool { return s > ev.scope }) {
		return false
	}
	return score >= t.cfg.MinTiedEnds || !hasRival(func(s Scope) bool { return s == ev.scope })
}

// hasContrast reports whether a service has given an answer here, since a time, that proves parts of a scope
// sound. The time may be negative, before this process started.
func (t *Tracker) hasContrast(scope Scope, service string, since time.Duration) bool {
	answers := t.begunAt
	if scope.needsWholeAnswer() {
		answers = t.wholeAt
	}
	at, ok := answers[service]
	return ok && at > since
}

// hasRival reports whether the evidence is as strong against another part with one of some scopes.
func (t *Tracker) hasRival(part string, ev *evidence, all map[string]*evidence, scopes func(Scope) bool) bool {
	return slices.ContainsFunc(ev.settled[0].parts, func(p Part) bool {
		o := all[p.ID]
		if p.ID == part || o == nil || !scopes(o.scope) || t.score(len(o.settled), o.wasProven) < t.score(len(ev.settled), ev.wasProven) {
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
	if provenAt, ok := t.provenAt(heard.Part); ok && provenAt > since {
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
