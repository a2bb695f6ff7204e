package quarantine

import (
	"slices"
	"time"

	"github.com/apricothub/apricothub/decide/subset"
)

// Action is what is to be done with a request.
type Action uint8

const (
	// Send: the request may be sent.
	Send Action = iota
	// Wait: a part of its prompt is under suspicion, and is tried or may be tried soon.
	Wait
	// Refuse: a part of its prompt is in quarantine.
	Refuse
)

// Decision is what is to be done with a request.
type Decision struct {
	Action Action
	// Part is the part of the prompt that keeps the request from being sent, and Left the time for which
	// it does so at least, if that is known.
	Part string
	Left time.Duration
}

// Permit holds the parts that a request tries. A zero Permit holds none.
type Permit struct{ parts []string }

// Acquire decides whether a request may be sent to a server now. If so, the permit holds those parts of its
// prompt that it tries; return them with Release. Call it before each attempt.
func (t *Tracker) Acquire(p *Permit, parts []string, now time.Duration) Decision {
	if !t.Any() {
		return Decision{}
	}
	var tried []string
	decision := Decision{}
	suspects := t.countSuspects(parts)
	for _, part := range parts {
		d := t.check(part, suspects, now)
		isHeld := slices.Contains(p.parts, part)
		if d.Action == Send && t.isRestricted(part) && !isHeld {
			tried = append(tried, part)
			if t.trials[part] {
				d = Decision{Action: Wait, Part: part}
			}
		}
		if d.Action > decision.Action && !(d.Action == Wait && isHeld) {
			decision = d
		}
	}
	if decision.Action != Send {
		return decision
	}
	for _, part := range tried {
		t.trials[part] = true
	}
	p.parts = append(p.parts, tried...)
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

func (t *Tracker) countSuspects(parts []string) int {
	n := 0
	for _, part := range parts {
		if _, isSuspect := t.suspects[part]; isSuspect {
			n++
		}
	}
	return n
}

// check decides whether a part may be sent, if only as a trial, in a request with a number of suspects.
func (t *Tracker) check(part string, suspects int, now time.Duration) Decision {
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
	delay := t.cfg.MaxTrialDelay
	if t.wasSoundSince(s.service, s.lastEnd) {
		delay = t.cfg.TrialDelay
	}
	delay += time.Duration(suspects-1) * t.cfg.TrialDelay
	if left := s.lastEnd + delay - now; left > 0 {
		return Decision{Action: Wait, Part: part, Left: left}
	}
	return Decision{}
}

// isTrialEntry reports whether this entry may try a part whose quarantine has been over for some time. One
// entry may at first, and a further one after each TrialSpacing, in case the others get no such request.
func (t *Tracker) isTrialEntry(part string, over time.Duration) bool {
	holders := 1 + int(over/t.cfg.TrialSpacing)
	return subset.IsChosen(subset.Key(part), t.self, t.entries, min(holders, len(t.entries)))
}
