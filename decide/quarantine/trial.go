package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/apricothub/apricothub/decide/subset"
)

// Action is what is to be done with a request.
type Action uint8

const (
	// Send: the request may be sent.
	Send Action = iota
	// Wait: one of its parts is under suspicion, and is tried or may be tried soon.
	Wait
	// Refuse: one of its parts is in quarantine.
	Refuse
)

// Decision is what is to be done with a request.
type Decision struct {
	Action Action
	// Part is the part that keeps the request from being sent, and Left the time for which it does so at
	// least, if that is known.
	Part string
	Left time.Duration
}

// Permit holds the IDs of the parts that a request tries. A zero Permit holds none.
type Permit struct{ parts []string }

// Acquire decides whether a request may be sent to a server now. If so, the permit holds those parts
// that it tries; return them with Release. Call it before each attempt.
func (t *Tracker) Acquire(permit *Permit, parts []Part, now time.Duration) Decision {
	if !t.Any() {
		return Decision{}
	}
	var tried []string
	decision := Decision{}
	suspects := t.suspectsOf(parts)
	for _, p := range parts {
		d := t.check(p.ID, suspects, now)
		isHeld := slices.Contains(permit.parts, p.ID)
		if d.Action == Send && t.isRestricted(p.ID) && !isHeld {
			tried = append(tried, p.ID)
			if t.trials[p.ID] {
				d = Decision{Action: Wait, Part: p.ID}
			}
		}
		if d.Action > decision.Action && !(d.Action == Wait && isHeld) {
			decision = d
		}
	}
	if decision.Action != Send {
		return decision
	}
	for _, id := range tried {
		t.trials[id] = true
	}
	permit.parts = append(permit.parts, tried...)
	return decision
}

// Release returns the parts of a permit, at the end of the request or before another attempt.
func (t *Tracker) Release(p *Permit) {
	for _, part := range p.parts {
		delete(t.trials, part)
	}
	p.parts = nil
}

// isRestricted reports whether a part may be sent as a trial only.
func (t *Tracker) isRestricted(part string) bool {
	_, isSuspect := t.suspects[part]
	return isSuspect || t.quarantines[part] != nil
}

// suspects tells of the parts of a request that are under suspicion.
type suspects struct {
	// count is their number. Those other than shared ones count as one: they are tried together.
	count int
	// hash is the same for the same parts, at all entries.
	hash uint64
}

func (t *Tracker) suspectsOf(parts []Part) suspects {
	var of suspects
	others := 0
	for _, p := range parts {
		s, isSuspect := t.suspects[p.ID]
		switch {
		case !isSuspect:
		case s.scope.needsWholeAnswer():
			others = 1
		default:
			of.count++
			of.hash ^= subset.Key(p.ID)
		}
	}
	of.count += others
	return of
}

// trialDelay returns the time between the moment from which parts may be tried and the trial of a request with
// some of them. Requests with fewer go first. Those with as many take an order by their parts: if a bad request
// and a sound one were tried at the same time, neither would be answered.
func (t *Tracker) trialDelay(of suspects) time.Duration {
	delay := time.Duration(of.count) * t.cfg.TrialDelay
	if of.count > 1 {
		delay -= time.Duration(of.hash % uint64(t.cfg.TrialDelay/2))
	}
	return delay
}

// check decides whether a part may be sent, if only as a trial, in a request with some suspects.
func (t *Tracker) check(part string, of suspects, now time.Duration) Decision {
	if q := t.quarantines[part]; q != nil {
		if now < q.until {
			return Decision{Action: Refuse, Part: part, Left: q.until - now}
		}
		if !t.isTrialEntry(part, now-q.until) {
			return Decision{Action: Refuse, Part: part, Left: t.cfg.TrialSpacing}
		}
		return Decision{}
	}
	s, isSuspect := t.suspects[part]
	if !isSuspect {
		return Decision{}
	}
	if left := t.trialWait(part, s, of, now); left > 0 {
		return Decision{Action: Wait, Part: part, Left: left}
	}
	return Decision{}
}

// trialWait returns the time until this entry may try a part under suspicion; zero or less for now.
func (t *Tracker) trialWait(part string, s suspicion, of suspects, now time.Duration) time.Duration {
	since := now - s.last.at
	delay := t.cfg.MaxTrialDelay - t.cfg.TrialDelay + t.trialDelay(of)
	if t.hasContrast(s.scope, s.last.service, s.last.at) {
		delay = time.Duration(of.count) * t.cfg.TrialDelay
	} else if openedAt, ok := t.openedAt[s.last.service]; ok && openedAt > s.last.at {
		delay = min(delay, openedAt-s.last.at+t.trialDelay(of))
	}
	switch {
	case !s.scope.needsWholeAnswer():
		return delay - since
	case s.ends == 1 && s.last.own.has(part):
		return t.retryDelay(part, s) - since
	case s.ends == 1:
		delay = t.cfg.PeerTrialDelay
	}
	if since < delay {
		return delay - since
	}
	return t.turnWait(s.last, since-delay)
}

// retryDelay returns the time after the only end under a part until the entry that had the request may
// send it again. An answer that was under way goes on at once: few requests end servers there, and a pause
// would make it late.
func (t *Tracker) retryDelay(part string, s suspicion) time.Duration {
	if indexOf(s.last.own.begun, part) >= 0 {
		return 0
	}
	return t.cfg.RetryDelay
}

// turnWait returns the time until this entry may try parts whose latest end is e, and which some entry
// has been allowed to try for the given time. If all of them tried them at once, as many servers could end.
// The order of the entries depends on the end, since it has to be the same for all parts of a request.
func (t *Tracker) turnWait(e *end, since time.Duration) time.Duration {
	key := subset.Key(strconv.FormatUint(uint64(e.server.Hash), 10))
	for steps := 0; ; steps++ {
		entries := 1 << steps
		if entries >= len(t.entries) || subset.IsChosen(key, t.self, t.entries, entries) {
			return time.Duration(steps)*t.cfg.TrialStep - since
		}
	}
}

// isTrialEntry reports whether this entry may try a part whose quarantine has been over for some time. One
// entry may at first, and a further one after each TrialSpacing, in case the others get no such request.
func (t *Tracker) isTrialEntry(part string, over time.Duration) bool {
	holders := 1 + int(over/t.cfg.TrialSpacing)
	return subset.IsChosen(subset.Key(part), t.self, t.entries, min(holders, len(t.entries)))
}
