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
	// Run is the number of failures in a row that eject a server. Default 3: servers fail
	// single requests for reasons of the request.
	Run int
	// First is how long the first ejection lasts, Most the longest; each one lasts twice
	// as long as that before. Defaults 0.5 s and 4 s: a server that restarts is back in
	// seconds, and one request each 4 s is little to lose on one that is not.
	First, Most time.Duration
}

func (c Config) withDefaults() Config {
	if c.Run == 0 {
		c.Run = 3
	}
	if c.First == 0 {
		c.First = 500 * time.Millisecond
	}
	if c.Most == 0 {
		c.Most = 4 * time.Second
	}
	return c
}

// Judge keeps the record of each backend server.
type Judge struct {
	cfg     Config
	records map[string]*record
}

type record struct {
	run   int
	last  time.Duration
	until time.Duration
}

// New returns a judge that knows no server.
func New(cfg Config) *Judge {
	return &Judge{cfg: cfg.withDefaults(), records: make(map[string]*record)}
}

// Unreachable says that a server could not be connected to. It is ejected at once: nothing
// that a request does makes a server refuse connections. It returns for how long the server
// is out by this, zero if it was out already.
func (j *Judge) Unreachable(id string, now time.Duration) time.Duration {
	r := j.record(id)
	r.run = max(r.run, j.cfg.Run)
	return j.eject(r, now)
}

// Failed says that a server failed a request. It returns for how long the server is out by
// this, zero if it is not.
func (j *Judge) Failed(id string, now time.Duration) time.Duration {
	r := j.record(id)
	r.run++
	if r.run < j.cfg.Run {
		return 0
	}
	return j.eject(r, now)
}

// Served says that a server has served a request.
func (j *Judge) Served(id string) { delete(j.records, id) }

// Out says whether a server gets no work now. When its time is over it gets work until the
// next failure, which ejects it again for longer.
func (j *Judge) Out(id string, now time.Duration) bool {
	r, ok := j.records[id]
	return ok && now < r.until
}

// Keep forgets all servers but those of which known returns true.
func (j *Judge) Keep(known func(id string) bool) {
	for id := range j.records {
		if !known(id) {
			delete(j.records, id)
		}
	}
}

func (j *Judge) record(id string) *record {
	r, ok := j.records[id]
	if !ok {
		r = &record{}
		j.records[id] = r
	}
	return r
}

// eject takes a server out, unless it is out already: failures of requests that were sent
// before count once.
func (j *Judge) eject(r *record, now time.Duration) time.Duration {
	if now < r.until {
		return 0
	}
	if r.last == 0 {
		r.last = j.cfg.First
	} else {
		r.last = min(2*r.last, j.cfg.Most)
	}
	r.until = now + r.last
	return r.last
}
