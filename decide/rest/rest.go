// Package rest keeps requests from backend servers that have refused one and asked for rest.
//
// The pattern is a circuit breaker whose open time is stated by the server. Once the rest is over, one
// request is sent as a trial; further ones follow after an answer that asks for no more rest. Otherwise
// everything that waits would arrive together at a server that is still overloaded.
//
// A server that refuses a request has nothing in flight, and looks like the best choice to a placement
// that compares loads. It would use up the few attempts of many requests.
//
// Time is an argument, counted since the process started. A Tracker is not safe for concurrent use.
package rest

import "time"

// maxTrialTime is how long a trial without an answer keeps other requests from the server.
const maxTrialTime = time.Second

// Tracker holds the servers that rest, and those that have not been tried since.
type Tracker struct {
	servers map[string]*state
}

// state is the state of one server.
type state struct {
	// until is the end of the rest.
	until time.Duration
	// trialUntil is until when a trial keeps other requests away; zero for no trial.
	trialUntil time.Duration
}

// New returns a tracker without servers.
func New() *Tracker { return &Tracker{servers: make(map[string]*state)} }

// RecordAnswer records an answer of a server: the rest that it asks for, zero for none, and when the
// request was sent. It reports whether the server begins to rest.
//
// An answer without a request for rest ends a trial. Before the end of the rest it changes nothing, as
// its request may have been sent before.
func (t *Tracker) RecordAnswer(id string, rest, sentAt, now time.Duration) bool {
	s := t.servers[id]
	if rest <= 0 {
		if s != nil && sentAt >= s.until {
			delete(t.servers, id)
		}
		return false
	}
	if s == nil {
		s = &state{}
		t.servers[id] = s
	}
	isResting := now < s.until
	s.until = max(s.until, now+rest)
	s.trialUntil = 0
	return !isResting
}

// RestLeft returns how long a server still rests.
func (t *Tracker) RestLeft(id string, now time.Duration) time.Duration {
	if s := t.servers[id]; s != nil {
		return max(s.until-now, 0)
	}
	return 0
}

// Wait returns the longest time until a request may be sent to a server; zero for now. After the rest it is
// less if the trial is answered before.
func (t *Tracker) Wait(id string, now time.Duration) time.Duration {
	s := t.servers[id]
	if s == nil {
		return 0
	}
	return max(s.until-now, s.trialUntil-now, 0)
}

// Any reports whether any server rests or has not been tried since.
func (t *Tracker) Any() bool { return len(t.servers) > 0 }

// RecordSent records that a request is sent to a server. After a rest it is the trial.
func (t *Tracker) RecordSent(id string, now time.Duration) {
	if s := t.servers[id]; s != nil {
		s.trialUntil = now + maxTrialTime
	}
}

// RecordEnd records that an attempt at a server has ended, also without an answer.
func (t *Tracker) RecordEnd(id string) {
	if s := t.servers[id]; s != nil {
		s.trialUntil = 0
	}
}

// Reset forgets the rest of a server that has started anew.
func (t *Tracker) Reset(id string) { delete(t.servers, id) }

// Retain forgets servers that are not registered, once their rest is over.
func (t *Tracker) Retain(isRegistered func(id string) bool, now time.Duration) {
	for id, s := range t.servers {
		if !isRegistered(id) && now >= s.until {
			delete(t.servers, id)
		}
	}
}
