// Package shift decides how fast load moves when a failure domain or a VM leaves
// or returns.
//
// It is made for operators who take a whole failure domain out at short notice
// and bring it back, and for failure domains that die. The harm prevented: a
// returned domain, empty and so the least loaded, draws all new work at once
// onto backend servers with cold caches; and a departing one throws its whole
// load in one moment onto the rest.
//
// The caller passes the time, since process start, into every method. A Shifter
// is not safe for use by several goroutines at once.
package shift

import "time"

// Config holds how fast load moves. A zero field takes its default.
type Config struct {
	// RampTime is the time that a returned domain takes to full weight. Default 10 s,
	// several times what a backend server takes to warm up.
	RampTime time.Duration
	// InitialWeight is the weight at the moment of return. Default 0.05: enough work to
	// warm up on.
	InitialWeight float64
	// DrainTime is the time over which a departing domain's weight goes to 0. Default
	// 1 s, within the few seconds after which it must receive no new work.
	DrainTime time.Duration
	// MaxReturnPerSecond is the most weight, in whole domains, that returns in a second over
	// all domains together. Default 0.2.
	MaxReturnPerSecond float64
}

func (c Config) withDefaults() Config {
	if c.RampTime <= 0 {
		c.RampTime = 10 * time.Second
	}
	if c.InitialWeight <= 0 {
		c.InitialWeight = 0.05
	}
	if c.DrainTime <= 0 {
		c.DrainTime = time.Second
	}
	if c.MaxReturnPerSecond <= 0 {
		c.MaxReturnPerSecond = 0.2
	}
	return c
}

// Shifter holds the weights of the domains that have moved.
type Shifter struct {
	cfg     Config
	changes map[string]weightChange
}

// weightChange is one change of weight under way.
type weightChange struct {
	from, to float64
	start    time.Duration
	duration time.Duration
}

func (c weightChange) weight(now time.Duration) float64 {
	if now >= c.start+c.duration {
		return c.to
	}
	if now <= c.start {
		return c.from
	}
	return c.from + (c.to-c.from)*float64(now-c.start)/float64(c.duration)
}

// New returns a shifter at which every domain has its full weight.
func New(cfg Config) *Shifter {
	return &Shifter{cfg: cfg.withDefaults(), changes: make(map[string]weightChange)}
}

// Leave begins a planned departure. Calling it again changes nothing.
//
// Load: the domain's whole share, which must go to the rest. Harm prevented: a
// step that finds the rest unprepared. It lasts Drain and no longer, since a
// domain that is out may receive no new work after a few seconds.
func (s *Shifter) Leave(now time.Duration, domain string) {
	if c, ok := s.changes[domain]; ok && c.to == 0 {
		return
	}
	s.changes[domain] = weightChange{from: s.Weight(now, domain), to: 0, start: now, duration: s.cfg.DrainTime}
}

// Drop takes a dead domain's weight at once: nothing sent to it is answered.
func (s *Shifter) Drop(now time.Duration, domain string) {
	s.changes[domain] = weightChange{to: 0, start: now}
}

// Return begins the ramp of a domain that came back. Calling it again changes
// nothing.
//
// Load: new work for idle backend servers with cold caches. Harm prevented: cold
// backend servers that fall over under full load. Domains that return together
// take longer, so that the sum of what moves in a second stays below Moved.
func (s *Shifter) Return(now time.Duration, domain string) {
	c, changed := s.changes[domain]
	if !changed || c.to == 1 {
		return
	}
	returning := 1
	for name, other := range s.changes {
		if name != domain && other.to == 1 && now < other.start+other.duration {
			returning++
		}
	}
	minDuration := time.Duration(float64(returning) / s.cfg.MaxReturnPerSecond * float64(time.Second))
	from := max(c.weight(now), s.cfg.InitialWeight)
	s.changes[domain] = weightChange{from: from, to: 1, start: now, duration: max(s.cfg.RampTime, minDuration)}
}

// Weight is the factor, 0 to 1, by which the weights of a domain's backend
// servers are multiplied now.
func (s *Shifter) Weight(now time.Duration, domain string) float64 {
	c, ok := s.changes[domain]
	if !ok {
		return 1
	}
	if c.to == 1 && now >= c.start+c.duration {
		delete(s.changes, domain)
		return 1
	}
	return c.weight(now)
}
