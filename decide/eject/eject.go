// Package eject takes backend servers out of load balancing for some time when they fail.
//
// It covers backend servers that die unannounced, or fail many requests while they are registered
// as healthy. Such a server has few requests in flight, so it looks the least loaded and would
// attract request after request.
//
// Time is an argument. A Tracker is not safe for concurrent use.
package eject

import "time"

// Config holds the limits of a Tracker. A zero field takes its default.
type Config struct {
	// ConsecutiveFailures is the number of failures in a row that eject a server. Default 3:
	// servers also fail single requests because of the request itself.
	ConsecutiveFailures int
	// BaseDuration is the length of the first ejection, MaxDuration that of the longest; each
	// ejection lasts twice as long as the one before. Defaults 0.5 s and 4 s: a server that
	// restarts is back within seconds, and one failed request every 4 s is a small loss on one that
	// is not.
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

// Tracker tracks the failures of each backend server.
type Tracker struct {
	cfg     Config
	records map[string]*record
}

type record struct {
	consecutiveFailures int
	duration            time.Duration
	ejectedUntil        time.Duration
}

// New returns a tracker without any servers.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg.withDefaults(), records: make(map[string]*record)}
}

// RecordUnreachable records that the connection to a server failed. The server is ejected at once,
// since no request can cause a server to refuse connections. It returns the length of the ejection,
// zero if the server was ejected already.
func (t *Tracker) RecordUnreachable(id string, now time.Duration) time.Duration {
	r := t.record(id)
	r.consecutiveFailures = max(r.consecutiveFailures, t.cfg.ConsecutiveFailures)
	return t.eject(r, now)
}

// RecordFailure records that a server failed a request. It returns the length of the ejection that
// follows, zero if there is none.
func (t *Tracker) RecordFailure(id string, now time.Duration) time.Duration {
	r := t.record(id)
	r.consecutiveFailures++
	if r.consecutiveFailures < t.cfg.ConsecutiveFailures {
		return 0
	}
	return t.eject(r, now)
}

// RecordSuccess records that a server has served a request.
func (t *Tracker) RecordSuccess(id string) { delete(t.records, id) }

// Ejected reports whether a server is ejected now. After an ejection the server gets requests again
// until its next failure, which ejects it for longer.
func (t *Tracker) Ejected(id string, now time.Duration) bool {
	r, ok := t.records[id]
	return ok && now < r.ejectedUntil
}

// Retain removes all servers for which known returns false.
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

// eject ejects a server unless it is ejected already, so that failures of requests sent before the
// ejection count once.
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
