// Package eject decides which backend servers get no work for a while because they fail.
//
// It is made for backend servers that die without a word, or fail many of their requests
// while they register themselves as sound. The harm prevented: a server that fails at once
// always looks the least loaded, and draws request after request.
//
// Time is an argument. A Judge is not safe for use by several goroutines at once.
package eject

import "time"

// Config holds the limits of a Judge. A zero field takes its default.
type Config struct {
	// ConsecutiveFailures is the number of failures in a row that eject a server. Default 3: servers fail
	// single requests for reasons of the request.
	ConsecutiveFailures int
	// BaseDuration is how long the first ejection lasts, MaxDuration the longest; each one lasts twice
	// as long as that before. Defaults 0.5 s and 4 s: a server that restarts is back in
	// seconds, and one request each 4 s is little to lose on one that is not.
	BaseDuration, MaxDuration time.Duration
}

func (c Config) withDefaults() Config {
	if c.ConsecutiveFailures == 0 {
		c.ConsecutiveFailures = 3
	}
	if c.BaseDuration == 0 {
		c.BaseDuration = 500 * time.Millisecond
	}
	if c.MaxDuration == 0 {
		c.MaxDuration = 4 * time.Second
	}
	return c
}

// Tracker keeps the record of each backend server.
type Tracker struct {
	cfg     Config
	records map[string]*record
}

type record struct {
	consecutiveFailures int
	duration            time.Duration
	ejectedUntil        time.Duration
}

// New returns a judge that knows no server.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg.withDefaults(), records: make(map[string]*record)}
}

// RecordUnreachable says that a server could not be connected to. It is ejected at once: nothing
// that a request does makes a server refuse connections. It returns for how long the server
// is out by this, zero if it was out already.
func (t *Tracker) RecordUnreachable(id string, now time.Duration) time.Duration {
	r := t.record(id)
	r.consecutiveFailures = max(r.consecutiveFailures, t.cfg.ConsecutiveFailures)
	return t.eject(r, now)
}

// RecordFailure says that a server failed a request. It returns for how long the server is out by
// this, zero if it is not.
func (t *Tracker) RecordFailure(id string, now time.Duration) time.Duration {
	r := t.record(id)
	r.consecutiveFailures++
	if r.consecutiveFailures < t.cfg.ConsecutiveFailures {
		return 0
	}
	return t.eject(r, now)
}

// RecordSuccess says that a server has served a request.
func (t *Tracker) RecordSuccess(id string) { delete(t.records, id) }

// Ejected says whether a server gets no work now. When its time is over it gets work until the
// next failure, which ejects it again for longer.
func (t *Tracker) Ejected(id string, now time.Duration) bool {
	r, ok := t.records[id]
	return ok && now < r.ejectedUntil
}

// Retain forgets all servers but those of which known returns true.
func (t *Tracker) Retain(known func(id string) bool) {
	for id := range t.records {
		if !known(id) {
			delete(t.records, id)
		}
	}
}

func (t *Tracker) record(id string) *record {
	r, ok := t.records[id]
	if !ok {
		r = &record{}
		t.records[id] = r
	}
	return r
}

// eject takes a server out, unless it is out already: failures of requests that were sent
// before count once.
func (t *Tracker) eject(r *record, now time.Duration) time.Duration {
	if now < r.ejectedUntil {
		return 0
	}
	if r.duration == 0 {
		r.duration = t.cfg.BaseDuration
	} else {
		r.duration = min(2*r.duration, t.cfg.MaxDuration)
	}
	r.ejectedUntil = now + r.duration
	return r.duration
}
