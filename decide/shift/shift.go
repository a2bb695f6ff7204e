// Package shift decides how fast load moves when a failure domain or a VM leaves or returns.
//
// It covers operators who take a whole failure domain out at short notice and bring it back, and
// failure domains that die. Without gradual changes, a returned domain, empty and so the least
// loaded, would attract all new requests at once while its backend servers have cold caches, and a
// leaving domain would move its whole load to the others in one moment.
//
// The caller passes the time since the process start to every method. A Shifter is not safe for
// concurrent use.
package shift

import "time"

// Config sets how fast load moves. A zero field takes its default.
type Config struct {
	// RampTime is the time that a returned domain takes to reach its full weight. Default 10 s,
	// several times the warm-up of a backend server.
	RampTime time.Duration
	// InitialWeight is the weight at the moment of return. Default 0.05: enough requests to warm
	// up.
	InitialWeight float64
	// DrainTime is the time over which the weight of a leaving domain goes to 0. Default 1 s,
	// within the few seconds after which it must get no new requests.
	DrainTime time.Duration
	// MaxReturnPerSecond limits how much weight, in whole domains, returns per second over all
	// domains together. Default 0.2.
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

// Shifter holds the weights of the domains that leave, are out or return.
type Shifter struct {
	cfg     Config
	changes map[string]weightChange
}

// weightChange is a linear change of a domain's weight over time.
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

// New returns a shifter in which every domain has its full weight.
func New(cfg Config) *Shifter {
	return &Shifter{cfg: cfg.withDefaults(), changes: make(map[string]weightChange)}
}

// Leave starts a planned departure. Calling it again changes nothing.
//
// The weight decreases gradually because the other domains get the whole share of this one, and a
// step would find them unprepared. It takes no longer than DrainTime, since a domain that is out
// may get no new requests after a few seconds.
func (s *Shifter) Leave(now time.Duration, domain string) {
	if c, ok := s.changes[domain]; ok && c.to == 0 {
		return
	}
	s.changes[domain] = weightChange{from: s.Weight(now, domain), to: 0, start: now, duration: s.cfg.DrainTime}
}

// Drop sets the weight of a dead domain to 0 at once: nothing sent to it is answered.
func (s *Shifter) Drop(now time.Duration, domain string) {
	s.changes[domain] = weightChange{to: 0, start: now}
}

// Return starts the ramp of a domain that came back. Calling it again changes nothing.
//
// The ramp protects idle backend servers with cold caches, which fall over under full load. Domains
// that return together take longer, so that the weight that moves per second stays below
// MaxReturnPerSecond in total.
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

// Weight returns the factor, 0 to 1, by which the weights of a domain's backend servers are
// multiplied now.
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
