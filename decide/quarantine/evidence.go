package quarantine

import (
	"slices"
	"time"
)

// maxParts limits the parts of all requests at a server that ended.
const maxParts = 128

// ServerStart identifies one run of a backend server.
type ServerStart struct {
	// Hash is the hash of the server's ID.
	Hash            uint32
	StartedAtUnixMs int64
}

// End is the end of a backend server.
type End struct {
	Server  ServerStart
	Service string
	// Parts are the narrow parts of all requests at the server, the shared ones of those that it had not begun
	// to answer, and the midway ones of the others.
	Parts []Part
	// AllBegun means that the answers to all requests were under way.
	AllBegun bool
	// Age is the time since the end.
	Age time.Duration
}

// end is the end of a server as all entries have reported it.
type end struct {
	server  ServerStart
	service string
	parts   []Part
	at      time.Duration
	// allBegun means that the answers to all requests were under way.
	allBegun bool
	// own is what this entry had there; nil for nothing.
	own *ownRequests
}

// ownRequests are this entry's requests at a server that ended.
type ownRequests struct {
	parts []Part
	// begun are those of them that requests had whose answers were under way.
	begun    []Part
	allBegun bool
}

func (o *ownRequests) has(id string) bool { return o != nil && indexOf(o.parts, id) >= 0 }

// RecordEnd records that a server has ended while this entry had a request there. hasBegun means that the
// answer had got past its beginning.
func (t *Tracker) RecordEnd(server ServerStart, service string, parts []Part, hasBegun bool, now time.Duration) {
	e := t.endOf(server, service, now, now)
	if e == nil {
		return
	}
	if e.own == nil {
		e.own = &ownRequests{allBegun: true}
	}
	parts = mayHaveEnded(parts, hasBegun)
	e.own.allBegun = e.own.allBegun && hasBegun
	for _, p := range parts {
		e.own.parts = addPart(e.own.parts, p)
		if hasBegun {
			e.own.begun = addPart(e.own.begun, p)
		}
	}
	t.addToEnd(e, parts, hasBegun, now)
}

// HearEnd records an end that another entry has reported.
func (t *Tracker) HearEnd(reported End, now time.Duration) {
	if e := t.endOf(reported.Server, reported.Service, now-reported.Age, now); e != nil {
		t.addToEnd(e, reported.Parts, reported.AllBegun, now)
	}
}

// RecordOpen records that the group of a service's servers, which had been broken, is open again.
func (t *Tracker) RecordOpen(service string, now time.Duration) { t.openedAt[service] = now }

// HasRecentEnd reports whether a server has ended within the time in which ends count as one outage.
func (t *Tracker) HasRecentEnd(now time.Duration) bool {
	return len(t.ends) > 0 && now-t.ends[len(t.ends)-1].at <= t.cfg.OutageWindow
}

// endOf returns the end of a server, a new one if it was not known; nil if it is too old to count.
func (t *Tracker) endOf(server ServerStart, service string, at, now time.Duration) *end {
	if now-at > t.cfg.EvidenceTime {
		return nil
	}
	for _, e := range t.ends {
		if e.server == server {
			return e
		}
	}
	e := &end{server: server, service: service, at: at, allBegun: true}
	i, _ := slices.BinarySearchFunc(t.ends, at, func(e *end, at time.Duration) int { return int(e.at - at) })
	t.ends = slices.Insert(t.ends, i, e)
	if len(t.ends) > t.cfg.MaxEnds {
		t.ends = t.ends[1:]
	}
	t.isChanged, t.settlesAt = true, max(t.settlesAt, at+t.cfg.SettleTime)
	return e
}

// addToEnd adds what requests had that were at a server when it ended.
func (t *Tracker) addToEnd(e *end, parts []Part, allBegun bool, now time.Duration) {
	t.isChanged = t.isChanged || e.allBegun && !allBegun
	e.allBegun = e.allBegun && allBegun
	for _, p := range parts {
		i := indexOf(e.parts, p.ID)
		if i >= 0 && e.parts[i].Scope <= p.Scope || i < 0 && len(e.parts) >= maxParts {
			continue
		}
		e.parts = addPart(e.parts, p)
		t.isChanged = true
		if _, isProven := t.provenAt(p.ID); isProven {
			t.proofNewsUntil[p.ID] = now + t.cfg.ReportTime
		}
		if q := t.quarantines[p.ID]; q != nil && e.at > q.until && !t.isExplained(e, p.ID) {
			t.extend(q, p.ID, now)
		}
	}
	if t.isChanged {
		t.weigh(now)
	}
}

// RecordSound records that an answer of a service has got past its beginning, or is whole. That proves the
// shared parts of the request sound, and the others if the answer is whole. An answer that had only begun
// would not prove any: it may have been cut off by the end of its server.
func (t *Tracker) RecordSound(service string, parts []Part, isWhole bool, now time.Duration) {
	t.recordContrast(t.begunAt, service, now)
	if isWhole {
		t.recordContrast(t.wholeAt, service, now)
		if _, ok := t.firstWholeAt[service]; !ok {
			t.firstWholeAt[service] = now
		}
	}
	for _, p := range parts {
		if p.Scope.needsWholeAnswer() && !isWhole {
			continue
		}
		t.prove(p, now, now)
	}
}

// recordContrast records the time of an answer. Only the first one after an end changes a verdict.
func (t *Tracker) recordContrast(at map[string]time.Duration, service string, now time.Duration) {
	before, ok := at[service]
	at[service] = now
	if n := len(t.ends); n > 0 && (!ok || before <= t.ends[n-1].at) {
		t.isChanged = t.isChanged || len(t.suspects) > 0
	}
}

// HearSound records that another entry has proven a part sound, age ago.
func (t *Tracker) HearSound(id string, age, now time.Duration) { t.prove(Part{ID: id}, now-age, now) }

func (t *Tracker) prove(p Part, at, now time.Duration) {
	if before, ok := t.provenAt(p.ID); ok && before >= at {
		return
	}
	if p.Scope.needsWholeAnswer() {
		t.wholeProofs.set(p.ID, at, t.cfg.MaxProofs/2)
	} else {
		t.proofs.set(p.ID, at, t.cfg.MaxProofs/2)
	}
	if len(t.ends) == 0 && len(t.quarantines) == 0 {
		return
	}
	if s, ok := t.suspects[p.ID]; ok {
		t.isChanged = true
		if at > s.last.at {
			delete(t.suspects, p.ID)
		}
		t.proofNewsUntil[p.ID] = now + t.cfg.ReportTime
	}
	if q := t.quarantines[p.ID]; q != nil && at > q.since {
		delete(t.quarantines, p.ID)
		t.proofNewsUntil[p.ID] = now + t.cfg.ReportTime
		t.changes.Ended = append(t.changes.Ended, p.ID)
	}
}

// provenAt returns when a part was last proven sound.
func (t *Tracker) provenAt(id string) (time.Duration, bool) {
	at, ok := t.proofs.at(id)
	wholeAt, isWhole := t.wholeProofs.at(id)
	if !ok || isWhole && wholeAt > at {
		return wholeAt, isWhole
	}
	return at, ok
}

// proofLog holds when parts were last proven sound. It forgets those that have not been for longest, half
// of them at a time.
type proofLog struct {
	newer, older map[string]time.Duration
}

func (l *proofLog) at(part string) (time.Duration, bool) {
	if at, ok := l.newer[part]; ok {
		return at, true
	}
	at, ok := l.older[part]
	return at, ok
}

func (l *proofLog) set(part string, at time.Duration, maxNewer int) {
	if l.newer == nil || len(l.newer) >= maxNewer {
		l.older, l.newer = l.newer, make(map[string]time.Duration)
	}
	l.newer[part] = at
}
