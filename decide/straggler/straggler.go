// Package straggler decides which running requests leave a backend server that has become slower than
// the others of its service, and keeps new requests from a server whose speed swings.
//
// The load is a lock-step group with one slow rank: every pass waits for the part of the slowest rank,
// so the requests that run there delay those of all other ranks. Ranks without requests take no time
// of their own in a pass. The pattern is the migration of work away from stragglers.
//
// A request that moves has its prompt read again elsewhere and uses one of its attempts, so it stays
// where the slow rank does not delay anyone beyond what callers accept.
//
// Time is an argument, counted since the process started. A Tracker is not safe for concurrent use.
package straggler

import "time"

// Config holds the parameters of a Tracker. A zero field takes its default.
type Config struct {
	// MinGainRatio is the least time by which a pass must become shorter for requests to leave, as a
	// ratio of the pause that callers accept. Default 0.3: below it, passes are too long for another
	// reason, and would remain so.
	MinGainRatio float64
	// MinWaitRatio is how long a request that has not begun waits before it leaves, as a ratio of its
	// route's objective. Default 0.3.
	MinWaitRatio float64
	// SwingWindow is the time within which a server that turns slow again counts as swinging. Default
	// 10 s.
	SwingWindow time.Duration
	// FirstHold is how long a server that swings gets no new requests after it has become fast again.
	// The time doubles with each further slow period, up to MaxHold. Defaults 1 s and 8 s.
	FirstHold, MaxHold time.Duration
}

func (c Config) withDefaults() Config {
	if c.MinGainRatio == 0 {
		c.MinGainRatio = 0.3
	}
	if c.MinWaitRatio == 0 {
		c.MinWaitRatio = 0.3
	}
	if c.SwingWindow == 0 {
		c.SwingWindow = 10 * time.Second
	}
	if c.FirstHold == 0 {
		c.FirstHold = time.Second
	}
	if c.MaxHold == 0 {
		c.MaxHold = 8 * time.Second
	}
	return c
}

// Tracker holds the servers that are or have recently been too slow.
type Tracker struct {
	cfg     Config
	servers map[string]*state
}

// state is the state of one server.
type state struct {
	isSlow bool
	// slowAt is when the last slow period began, fastAt when it ended.
	slowAt, fastAt time.Duration
	// swings counts the slow periods that began within SwingWindow of the one before.
	swings int
}

// New returns a Tracker without servers.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg.withDefaults(), servers: make(map[string]*state)}
}

// Observe records whether a server is too slow for any request. It returns true if that has changed.
func (t *Tracker) Observe(id string, isSlow bool, now time.Duration) bool {
	s := t.servers[id]
	if s == nil {
		if !isSlow {
			return false
		}
		s = &state{slowAt: -t.cfg.SwingWindow}
		t.servers[id] = s
	}
	if s.isSlow == isSlow {
		if !isSlow && now-s.fastAt > t.cfg.SwingWindow {
			delete(t.servers, id)
		}
		return false
	}
	s.isSlow = isSlow
	if !isSlow {
		s.fastAt = now
		return true
	}
	if now-s.slowAt < t.cfg.SwingWindow {
		s.swings++
	} else {
		s.swings = 0
	}
	s.slowAt = now
	return true
}

// Retain removes all servers for which known returns false.
func (t *Tracker) Retain(known func(id string) bool) {
	for id := range t.servers {
		if !known(id) {
			delete(t.servers, id)
		}
	}
}

// IsSlow reports whether a server was last observed as too slow.
func (t *Tracker) IsSlow(id string) bool {
	s := t.servers[id]
	return s != nil && s.isSlow
}

// IsHeld reports whether a server gets no new requests although it is fast: its speed swings, and the
// requests that it would get now would have to move again.
func (t *Tracker) IsHeld(id string, now time.Duration) bool {
	s := t.servers[id]
	if s == nil || s.isSlow || s.swings == 0 {
		return false
	}
	hold := t.cfg.FirstHold
	for i := 1; i < s.swings && hold < t.cfg.MaxHold; i++ {
		hold *= 2
	}
	return now-s.fastAt < min(hold, t.cfg.MaxHold)
}

// Request is a request at a slow server.
type Request struct {
	// HasBegun means that a part of the answer has arrived; Waited is the time since the last part,
	// or since the request was sent there.
	HasBegun bool
	Waited   time.Duration
	// Objective is the time within which the caller wants the first part of the answer, MaxPause the
	// longest pause between two events that it accepts; zero for unknown.
	Objective, MaxPause time.Duration
	// EventsLeft is the expected number of events until the answer is whole; negative for unknown.
	EventsLeft int
}

// Pass describes the passes of the group that a slow server belongs to.
type Pass struct {
	// Slowdown is the ratio of the server's time for its work to its usual time.
	Slowdown float64
	// OwnPart is the least time that a server at its usual speed with requests takes of its own in a
	// pass; zero for unknown.
	OwnPart time.Duration
}

// gain returns by how much a pass becomes shorter once no request runs at the server. pause is the
// duration of a pass now, which limits the gain if the server's own part is unknown.
func (p Pass) gain(pause time.Duration) time.Duration {
	if p.Slowdown <= 1 {
		return 0
	}
	if p.OwnPart == 0 {
		return time.Duration(float64(pause) * (1 - 1/p.Slowdown))
	}
	return time.Duration((p.Slowdown - 1) * float64(p.OwnPart))
}

// Leaves reports whether a request is to leave a server that is too slow. The caller checks that the
// request may be repeated, and that another server has room for it.
//
// A request without an accepted pause stays: nothing says that its caller minds. One that has a single
// event left stays too, as it ends with the next pass.
func (t *Tracker) Leaves(id string, r Request, p Pass) bool {
	if !t.IsSlow(id) || r.MaxPause <= 0 {
		return false
	}
	if !r.HasBegun {
		return r.Objective > 0 && r.Waited >= time.Duration(t.cfg.MinWaitRatio*float64(r.Objective)) && t.isWorthIt(r, p)
	}
	const lastEvent = 1
	if r.EventsLeft >= 0 && r.EventsLeft <= lastEvent {
		return false
	}
	return r.Waited >= r.MaxPause && t.isWorthIt(r, p)
}

// isWorthIt reports whether passes become shorter by enough without the server's requests.
func (t *Tracker) isWorthIt(r Request, p Pass) bool {
	return p.gain(max(r.Waited, r.MaxPause)) >= time.Duration(t.cfg.MinGainRatio*float64(r.MaxPause))
}
