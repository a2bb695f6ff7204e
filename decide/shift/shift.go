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
	// Ramp is the time that a returned domain takes to full weight. Default 10 s,
	// several times what a backend server takes to warm up.
	Ramp time.Duration
	// First is the weight at the moment of return. Default 0.05: enough work to
	// warm up on.
	First float64
	// Drain is the time over which a departing domain's weight goes to 0. Default
	// 1 s, within the few seconds after which it must receive no new work.
	Drain time.Duration
	// Moved is the most weight, in whole domains, that returns in a second over
	// all domains together. Default 0.2.
	Moved float64
}

func (c Config) withDefaults() Config {
	if c.Ramp <= 0 {
		c.Ramp = 10 * time.Second
	}
	if c.First <= 0 {
		c.First = 0.05
	}
	if c.Drain <= 0 {
		c.Drain = time.Second
	}
	if c.Moved <= 0 {
		c.Moved = 0.2
	}
	return c
}

// Shifter holds the weights of the domains that have moved.
type Shifter struct {
	cfg   Config
	moves map[string]move
}

// move is one change of weight under way.
type move struct {
	from, to float64
	start    time.Duration
	length   time.Duration
}

func (m move) weight(now time.Duration) float64 {
	if now >= m.start+m.length {
		return m.to
	}
	if now <= m.start {
		return m.from
	}
	return m.from + (m.to-m.from)*float64(now-m.start)/float64(m.length)
}

// New returns a shifter at which every domain has its full weight.
func New(cfg Config) *Shifter {
	return &Shifter{cfg: cfg.withDefaults(), moves: make(map[string]move)}
}

// Leave begins a planned departure. Calling it again changes nothing.
//
// Load: the domain's whole share, which must go to the rest. Harm prevented: a
// step that finds the rest unprepared. It lasts Drain and no longer, since a
// domain that is out may receive no new work after a few seconds.
func (s *Shifter) Leave(now time.Duration, domain string) {
	if m, ok := s.moves[domain]; ok && m.to == 0 {
		return
	}
	s.moves[domain] = move{from: s.Weight(now, domain), to: 0, start: now, length: s.cfg.Drain}
}

// Lose takes a dead domain's weight at once: nothing sent to it is answered.
func (s *Shifter) Lose(now time.Duration, domain string) {
	s.moves[domain] = move{to: 0, start: now}
}

// Return begins the ramp of a domain that came back. Calling it again changes
// nothing.
//
// Load: new work for idle backend servers with cold caches. Harm prevented: cold
// backend servers that fall over under full load. Domains that return together
// take longer, so that the sum of what moves in a second stays below Moved.
func (s *Shifter) Return(now time.Duration, domain string) {
	m, moved := s.moves[domain]
	if !moved || m.to == 1 {
		return
	}
	returning := 1
	for name, other := range s.moves {
		if name != domain && other.to == 1 && now < other.start+other.length {
			returning++
		}
	}
	least := time.Duration(float64(returning) / s.cfg.Moved * float64(time.Second))
	from := max(m.weight(now), s.cfg.First)
	s.moves[domain] = move{from: from, to: 1, start: now, length: max(s.cfg.Ramp, least)}
}

// Weight is the factor, 0 to 1, by which the weights of a domain's backend
// servers are multiplied now.
func (s *Shifter) Weight(now time.Duration, domain string) float64 {
	m, ok := s.moves[domain]
	if !ok {
		return 1
	}
	if m.to == 1 && now >= m.start+m.length {
		delete(s.moves, domain)
		return 1
	}
	return m.weight(now)
}
