package quarantine

import (
	"slices"
	"time"
)

// maxParts limits the parts of all requests at a server that ended.
const maxParts = 64

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
	// Parts are the parts of the prompts of all requests that the server had not begun to answer; empty
	// if all answers were under way.
	Parts []string
	// Age is the time since the end.
	Age time.Duration
}

// end is the end of a server as all entries have reported it.
type end struct {
	server  ServerStart
	service string
	parts   []string
	at      time.Duration
	// ownParts are the parts of this entry's requests; isOwn means that it had requests there.
	ownParts []string
	isOwn    bool
}

// RecordEnd records that a server has ended while this entry had a request there. parts are those of the
// request's prompt; none if the answer was under way.
func (t *Tracker) RecordEnd(server ServerStart, service string, parts []string, now time.Duration) {
	e := t.endOf(server, service, now, now)
	if e == nil {
		return
	}
	e.isOwn = true
	e.ownParts = addParts(e.ownParts, parts)
	t.addToEnd(e, parts, now)
}

// HearEnd records an end that another entry has reported.
func (t *Tracker) HearEnd(reported End, now time.Duration) {
	if e := t.endOf(reported.Server, reported.Service, now-reported.Age, now); e != nil {
		t.addToEnd(e, reported.Parts, now)
	}
}

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
	e := &end{server: server, service: service, at: at}
	i, _ := slices.BinarySearchFunc(t.ends, at, func(e *end, at time.Duration) int { return int(e.at - at) })
	t.ends = slices.Insert(t.ends, i, e)
	if len(t.ends) > t.cfg.MaxEnds {
		t.ends = t.ends[1:]
	}
	t.isChanged, t.settlesAt = true, max(t.settlesAt, at+t.cfg.SettleTime)
	return e
}

// addToEnd adds parts of requests that were at a server when it ended.
func (t *Tracker) addToEnd(e *end, parts []string, now time.Duration) {
	for _, part := range parts {
		if slices.Contains(e.parts, part) || len(e.parts) >= maxParts {
			continue
		}
		e.parts = append(e.parts, part)
		t.isChanged = true
		if _, isProven := t.proofs.at(part); isProven {
			t.proofNewsUntil[part] = now + t.cfg.ReportTime
		}
		if q := t.quarantines[part]; q != nil && e.at > q.until && !t.isExplained(e, part) {
			t.extend(q, part, now)
		}
	}
	if t.isChanged {
		t.weigh(now)
	}
}

func addParts(parts, more []string) []string {
	for _, part := range more {
		if len(parts) < maxParts && !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	return parts
}

// RecordSound records that an answer of a service has got past its beginning, which proves the parts of its
// prompt sound. An answer that had only begun would not: it may have been cut off by the end of its server.
func (t *Tracker) RecordSound(service string, parts []string, now time.Duration) {
	t.soundAt[service] = now
	t.isChanged = t.isChanged || len(t.suspects) > 0
	for _, part := range parts {
		t.prove(part, now, now)
	}
}

// HearSound records that another entry has proven a part sound, age ago.
func (t *Tracker) HearSound(part string, age, now time.Duration) { t.prove(part, now-age, now) }

func (t *Tracker) prove(part string, at, now time.Duration) {
	if before, ok := t.proofs.at(part); ok && before >= at {
		return
	}
	t.proofs.set(part, at, t.cfg.MaxProofs/2)
	if len(t.ends) == 0 && len(t.quarantines) == 0 {
		return
	}
	if s, ok := t.suspects[part]; ok {
		t.isChanged = true
		if at > s.lastEnd {
			delete(t.suspects, part)
		}
		t.proofNewsUntil[part] = now + t.cfg.ReportTime
	}
	if q := t.quarantines[part]; q != nil && at > q.since {
		delete(t.quarantines, part)
		t.proofNewsUntil[part] = now + t.cfg.ReportTime
		t.changes.Ended = append(t.changes.Ended, part)
	}
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
