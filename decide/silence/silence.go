// Package silence decides when the VM of a backend server counts as silent (unresponsive), and
// which requests are moved to another server.
//
// It covers VMs that stall for seconds or are cut off unannounced, and servers and connections that
// hang: connections stay open, and requests wait there. Without it, callers would wait until they
// give up, and the server would then run their requests for nobody when it is back. A server that
// is only slow or busy keeps its requests: its VM answers probes, and parts of the answer arrive
// sooner or later.
//
// Time is an argument. Nothing here is safe for concurrent use.
package silence

import "time"

// Config holds the delays and limits of a Detector. A zero field takes its default.
type Config struct {
	// FirstProbeDelay is how long a request waits for the first part of its answer before its
	// server's VM is probed, if its route has no objective. Default 300 ms.
	FirstProbeDelay time.Duration
	// FirstProbeRatio is that delay as a ratio of the route's objective. Default 0.6: the time left
	// is enough for another server to meet the objective.
	FirstProbeRatio float64
	// GapProbeDelay is the same for the next event of an answer that has begun, if its route has no
	// maximum pause. Default 150 ms.
	GapProbeDelay time.Duration
	// FirstMoveRatio and FirstMoveDelay are the same as FirstProbeRatio and FirstProbeDelay for
	// moving a request although its server's VM answers or cannot be probed. Defaults 2 and 1 s.
	FirstMoveRatio float64
	FirstMoveDelay time.Duration
	// GapMovePauses is the same for the next event, as a multiple of the route's maximum pause;
	// GapMoveDelay applies if it has none. Defaults 5 and 750 ms.
	GapMovePauses float64
	GapMoveDelay  time.Duration
	// ProbeInterval is the time between two probes of a VM that answers, so that a service that is
	// slow as a whole causes few of them. Default 250 ms.
	ProbeInterval time.Duration
	// MaxLastHeardAge is the longest time since something was received from another server of a
	// lock-step group with which a request is moved there. Default 250 ms: a group that is silent
	// as a whole, such as while it forms, serves the request nowhere.
	MaxLastHeardAge time.Duration
	// MoveInterval is the minimum time between two requests that one entry moves. Default 50 ms, a
	// third of the time after which entries know of each other's requests.
	MoveInterval time.Duration
	// ReservedRatio is the ratio of the slots of a service's servers that is kept free for new
	// requests. Default 0.1.
	ReservedRatio float64
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&c.FirstProbeDelay, 300*time.Millisecond)
	set(&c.GapProbeDelay, 150*time.Millisecond)
	set(&c.FirstMoveDelay, time.Second)
	set(&c.GapMoveDelay, 750*time.Millisecond)
	set(&c.ProbeInterval, 250*time.Millisecond)
	set(&c.MaxLastHeardAge, 250*time.Millisecond)
	set(&c.MoveInterval, 50*time.Millisecond)
	if c.FirstProbeRatio == 0 {
		c.FirstProbeRatio = 0.6
	}
	if c.FirstMoveRatio == 0 {
		c.FirstMoveRatio = 2
	}
	if c.GapMovePauses == 0 {
		c.GapMovePauses = 5
	}
	if c.ReservedRatio == 0 {
		c.ReservedRatio = 0.1
	}
	return c
}

// Progress is how much of its answer a request has received.
type Progress struct {
	// HasBegun says that a part of the answer has arrived.
	HasBegun bool
	// Objective is the time within which the caller wants the first part of the answer, MaxPause
	// the longest acceptable pause between two events; zero for unknown.
	Objective, MaxPause time.Duration
	// Since is when the last part arrived, or when the request was sent.
	Since time.Duration
}

// Detector tracks the VMs of backend servers, by server.
type Detector struct {
	cfg     Config
	servers map[string]*server
	// lastMoveAt is when a request was last moved; zero for never.
	lastMoveAt time.Duration
}

type server struct {
	service string
	// probing says that a probe of the VM is in flight; lastAnswerAt is when the VM last answered
	// one.
	probing      bool
	lastAnswerAt time.Duration
	silent       bool
	// lastHeard is when anything last arrived from the server itself.
	lastHeard time.Duration
}

// New returns a detector without any servers.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg.withDefaults(), servers: make(map[string]*server)}
}

// Retain removes all servers for which known returns false.
func (d *Detector) Retain(known func(id string) bool) {
	for id := range d.servers {
		if !known(id) {
			delete(d.servers, id)
		}
	}
}

// waitLimit is how long a request may wait: as multiples of its route's objective and maximum
// pause, or as fixed times where the route has none.
type waitLimit struct {
	objectives, pauses float64
	first, gap         time.Duration
}

func (l waitLimit) duration(p Progress) time.Duration {
	switch {
	case p.HasBegun && p.MaxPause > 0:
		return time.Duration(l.pauses * float64(p.MaxPause))
	case p.HasBegun:
		return l.gap
	case p.Objective > 0:
		return time.Duration(l.objectives * float64(p.Objective))
	default:
		return l.first
	}
}

// ProbeDelay returns how long a request waits before its server's VM is probed.
func (d *Detector) ProbeDelay(p Progress) time.Duration {
	return waitLimit{objectives: d.cfg.FirstProbeRatio, pauses: 1, first: d.cfg.FirstProbeDelay, gap: d.cfg.GapProbeDelay}.duration(p)
}

// moveDelay returns how long a request waits before it is moved although its server's VM answers.
func (d *Detector) moveDelay(p Progress) time.Duration {
	return waitLimit{objectives: d.cfg.FirstMoveRatio, pauses: d.cfg.GapMovePauses, first: d.cfg.FirstMoveDelay, gap: d.cfg.GapMoveDelay}.duration(p)
}

// Heard records that something arrived from the server itself.
func (d *Detector) Heard(id, service string, now time.Duration) {
	s := d.server(id)
	s.service = service
	s.lastHeard = now
}

// StartProbe reports whether the VM of a server is to be probed now. If so, the caller reports the
// outcome by ProbeAnswered or ProbeFailed.
func (d *Detector) StartProbe(id string, now time.Duration) bool {
	s := d.server(id)
	if s.probing || s.lastAnswerAt > 0 && now-s.lastAnswerAt < d.cfg.ProbeInterval {
		return false
	}
	s.probing = true
	return true
}

// ProbeAnswered records that a VM answered a probe. It returns whether the VM had counted as
// silent.
func (d *Detector) ProbeAnswered(id string, now time.Duration) bool {
	s, ok := d.servers[id]
	if !ok {
		return false
	}
	wasSilent := s.silent
	s.probing, s.silent = false, false
	s.lastAnswerAt = now
	return wasSilent
}

// ProbeFailed records that a VM did not answer a probe in time. The VM counts as silent, and is
// probed until it answers or probeAgain is false, as when the server has been removed meanwhile.
// becameSilent says that the VM did not count as silent before.
func (d *Detector) ProbeFailed(id string) (becameSilent, probeAgain bool) {
	s, ok := d.servers[id]
	if !ok {
		return false, false
	}
	becameSilent = !s.silent
	s.silent = true
	return becameSilent, true
}

// IsSilent reports whether the VM of a server counts as silent.
func (d *Detector) IsSilent(id string) bool {
	s, ok := d.servers[id]
	return ok && s.silent
}

// Service is what an entry knows of the servers of a service that get requests.
type Service struct {
	Name string
	// LockStep says that the servers advance together: none works while one of them does not.
	LockStep bool
	// FreeSlots and Slots count the places for requests at the servers, free and in total; Entries
	// is the number of entries that send there.
	FreeSlots, Slots, Entries int
}

// Reason says why a request is moved.
type Reason uint8

const (
	// NotMoved says that the request stays where it is.
	NotMoved Reason = iota
	// SilentVM says that the VM of its server does not answer.
	SilentVM
	// Stuck says that no part of the answer arrives, though the VM answers or cannot be probed.
	Stuck
)

// MoveReason returns whether, and why, a request that waits at a server is to be moved to another
// server of the service now: its server's VM is silent or nothing has arrived for very long, other
// servers work, and they have free slots. Call RecordMove when it is moved.
//
// The rate of moves and the slots used for them are limited. When a third of busy servers goes
// silent, all their requests would otherwise go to the other servers at once, fill their queues for
// seconds and make every other caller late: all entries move requests at the same moment, and learn
// of each other's requests only later.
func (d *Detector) MoveReason(id string, service Service, p Progress, now time.Duration) Reason {
	if !d.MayMove(service, now) || service.LockStep && !d.otherServerAlive(id, service.Name, now) {
		return NotMoved
	}
	return d.reason(id, p, now)
}

// MayMove reports whether the rate of moves and the free slots of a service allow another request to
// be moved now, for whatever reason.
func (d *Detector) MayMove(service Service, now time.Duration) bool {
	if d.lastMoveAt > 0 && now-d.lastMoveAt < d.cfg.MoveInterval {
		return false
	}
	return service.FreeSlots >= service.Entries+int(d.cfg.ReservedRatio*float64(service.Slots))
}

func (d *Detector) reason(id string, p Progress, now time.Duration) Reason {
	waited := now - p.Since
	switch {
	case d.IsSilent(id) && waited >= d.ProbeDelay(p):
		return SilentVM
	case waited >= d.moveDelay(p):
		return Stuck
	}
	return NotMoved
}

// RecordMove records that a request was moved.
func (d *Detector) RecordMove(now time.Duration) { d.lastMoveAt = now }

// otherServerAlive reports whether another server of a service has been heard recently.
func (d *Detector) otherServerAlive(id, service string, now time.Duration) bool {
	for other, s := range d.servers {
		if other != id && s.service == service && !s.silent && s.lastHeard > 0 && now-s.lastHeard <= d.cfg.MaxLastHeardAge {
			return true
		}
	}
	return false
}

func (d *Detector) server(id string) *server {
	s, ok := d.servers[id]
	if !ok {
		s = &server{}
		d.servers[id] = s
	}
	return s
}
