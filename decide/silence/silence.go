// Package silence decides when the VM of a backend server counts as silent, and which requests
// are given to another server.
//
// It is made for VMs that stand still for seconds, or are cut off without a word, and for servers
// and connections that hang: connections stand, and requests wait there. The harm prevented:
// callers wait until they leave, and the server runs their requests for nobody when it is back. A
// server that is only slow, or has much to do, keeps its requests: its VM answers when it is
// asked, and some of the answer comes sooner or later.
//
// Time is an argument. Nothing here is safe for use by several goroutines at once.
package silence

import "time"

// Config holds the times that the decisions go by. A zero field takes its default.
type Config struct {
	// FirstProbeDelay is how long a request may wait for the first of its answer before its server's VM is
	// asked, where its route has no aim. Default 300 ms.
	FirstProbeDelay time.Duration
	// FirstProbeRatio is that wait as a part of the route's aim. Default 0.6: what is left of it is
	// enough for another server to meet the aim.
	FirstProbeRatio float64
	// GapProbeDelay is the same for the next event of an answer that has begun. Default 150 ms.
	GapProbeDelay time.Duration
	// FirstMoveRatio and StuckFirst are FirstPart and First for a request that is moved though its
	// server's VM answers, or cannot be asked. Defaults 2 and 1 s.
	FirstMoveRatio float64
	FirstMoveDelay time.Duration
	// GapMovePauses is the same for the next event, as a multiple of the pause that the route
	// accepts, StuckGap where it has none. Defaults 5 and 750 ms.
	GapMovePauses float64
	GapMoveDelay  time.Duration
	// ProbeInterval is the time between two questions to a VM that answers, so that a service which is
	// slow as a whole costs few of them. Default 250 ms.
	ProbeInterval time.Duration
	// MaxReportAge is how long ago another server of a group in lock-step must have been heard at most
	// for a request to be moved there. Default 250 ms: a group that is silent as a whole, as
	// while it forms, serves it nowhere.
	MaxReportAge time.Duration
	// MoveInterval is the least time between two requests that one entry moves. Default 50 ms, a third
	// of the time in which entries hear of each other's requests.
	MoveInterval time.Duration
	// ReservedRatio is the part of the room at a service's servers that is left to new requests.
	// Default 0.1.
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
	set(&c.MaxReportAge, 250*time.Millisecond)
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

// Progress is what a request has of its answer.
type Progress struct {
	// HasBegun says that some of the answer has come.
	HasBegun bool
	// Objective is the time within which the caller wants the first of it, MaxPause the longest one
	// between two events; zero for unknown.
	Objective, MaxPause time.Duration
	// Since is when the last of it came, or when the request was sent.
	Since time.Duration
}

// Detector keeps what is known of the VMs of backend servers, by server.
type Detector struct {
	cfg     Config
	servers map[string]*server
	// lastMoveAt is when a request was last moved; zero for never.
	lastMoveAt time.Duration
}

type server struct {
	service string
	// probing says that the VM is being asked, answeredAt when it last answered.
	probing      bool
	lastAnswerAt time.Duration
	silent       bool
	// lastHeard is when anything last came from the server itself.
	lastHeard time.Duration
}

// New returns a watch that knows no server.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg.withDefaults(), servers: make(map[string]*server)}
}

// Retain forgets all servers but those of which known returns true.
func (d *Detector) Retain(known func(id string) bool) {
	for id := range d.servers {
		if !known(id) {
			delete(d.servers, id)
		}
	}
}

// waitLimit is how long a request may wait, as parts of what its route asks for, or where the route
// says nothing.
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

// ProbeDelay is how long a request waits before its server's VM is asked.
func (d *Detector) ProbeDelay(p Progress) time.Duration {
	return waitLimit{objectives: d.cfg.FirstProbeRatio, pauses: 1, first: d.cfg.FirstProbeDelay, gap: d.cfg.GapProbeDelay}.duration(p)
}

// moveDelay is how long a request waits before it is moved though its server's VM answers.
func (d *Detector) moveDelay(p Progress) time.Duration {
	return waitLimit{objectives: d.cfg.FirstMoveRatio, pauses: d.cfg.GapMovePauses, first: d.cfg.FirstMoveDelay, gap: d.cfg.GapMoveDelay}.duration(p)
}

// Heard says that something came from a server itself.
func (d *Detector) Heard(id, service string, now time.Duration) {
	s := d.server(id)
	s.service = service
	s.lastHeard = now
}

// StartProbe says whether the VM of a server is to be asked now. Answered or Unanswered tells how that
// ended.
func (d *Detector) StartProbe(id string, now time.Duration) bool {
	s := d.server(id)
	if s.probing || s.lastAnswerAt > 0 && now-s.lastAnswerAt < d.cfg.ProbeInterval {
		return false
	}
	s.probing = true
	return true
}

// ProbeAnswered says that a VM has answered. It returns whether it had counted as silent.
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

// ProbeFailed says that a VM has not answered in time. It counts as silent, and is to be asked
// again until it answers or again is false, as when it has been forgotten meanwhile. became says
// that the silence is new.
func (d *Detector) ProbeFailed(id string) (becameSilent, probeAgain bool) {
	s, ok := d.servers[id]
	if !ok {
		return false, false
	}
	becameSilent = !s.silent
	s.silent = true
	return becameSilent, true
}

// IsSilent says whether the VM of a server counts as silent.
func (d *Detector) IsSilent(id string) bool {
	s, ok := d.servers[id]
	return ok && s.silent
}

// Service is what an entry knows of the servers of a service that get work.
type Service struct {
	Name string
	// LockStep says that no server works while one of them does not.
	LockStep bool
	// FreeSlots and Slots are their places, Entries is the number of entries that send there.
	FreeSlots, Slots, Entries int
}

// Reason is why a request is moved.
type Reason uint8

const (
	// NotMoved is that of a request that is not.
	NotMoved Reason = iota
	// SilentVM says that the VM of its server does not answer.
	SilentVM
	// Stuck says that nothing comes of it, though the VM answers or cannot be asked.
	Stuck
)

// MoveReason says whether, and why, a request that waits at a server is to be given to another one of
// the service now: its server's VM is silent, or nothing has come for very long, others serve, and
// they have room. Call Moved when it is.
//
// Load: a third of busy servers go silent with all that they hold. Harm prevented: it all comes to
// the others at once, fills their queues for seconds, and makes every other caller late. All
// entries move at the same moment, and hear of each other's requests only later.
func (d *Detector) MoveReason(id string, service Service, p Progress, now time.Duration) Reason {
	reason := d.reason(id, p, now)
	switch {
	case d.lastMoveAt > 0 && now-d.lastMoveAt < d.cfg.MoveInterval:
		return NotMoved
	case service.FreeSlots < service.Entries+int(d.cfg.ReservedRatio*float64(service.Slots)):
		return NotMoved
	case service.LockStep && !d.otherServerAlive(id, service.Name, now):
		return NotMoved
	}
	return reason
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

// RecordMove says that a request was moved.
func (d *Detector) RecordMove(now time.Duration) { d.lastMoveAt = now }

// otherServerAlive says whether another server of a service has just been heard.
func (d *Detector) otherServerAlive(id, service string, now time.Duration) bool {
	for other, s := range d.servers {
		if other != id && s.service == service && !s.silent && s.lastHeard > 0 && now-s.lastHeard <= d.cfg.MaxReportAge {
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
