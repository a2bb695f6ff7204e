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
	// First is how long a request may wait for the first of its answer before its server's VM is
	// asked, where its route has no aim. Default 300 ms.
	First time.Duration
	// FirstPart is that wait as a part of the route's aim. Default 0.6: what is left of it is
	// enough for another server to meet the aim.
	FirstPart float64
	// Gap is the same for the next event of an answer that has begun. Default 150 ms.
	Gap time.Duration
	// StuckPart and StuckFirst are FirstPart and First for a request that is moved though its
	// server's VM answers, or cannot be asked. Defaults 2 and 1 s.
	StuckPart  float64
	StuckFirst time.Duration
	// StuckPauses is the same for the next event, as a multiple of the pause that the route
	// accepts, StuckGap where it has none. Defaults 5 and 750 ms.
	StuckPauses float64
	StuckGap    time.Duration
	// Again is the time between two questions to a VM that answers, so that a service which is
	// slow as a whole costs few of them. Default 250 ms.
	Again time.Duration
	// Alive is how long ago another server of a group in lock-step must have been heard at most
	// for a request to be moved there. Default 250 ms: a group that is silent as a whole, as
	// while it forms, serves it nowhere.
	Alive time.Duration
	// Each is the least time between two requests that one entry moves. Default 50 ms, a third
	// of the time in which entries hear of each other's requests.
	Each time.Duration
	// Reserve is the part of the room at a service's servers that is left to new requests.
	// Default 0.1.
	Reserve float64
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&c.First, 300*time.Millisecond)
	set(&c.Gap, 150*time.Millisecond)
	set(&c.StuckFirst, time.Second)
	set(&c.StuckGap, 750*time.Millisecond)
	set(&c.Again, 250*time.Millisecond)
	set(&c.Alive, 250*time.Millisecond)
	set(&c.Each, 50*time.Millisecond)
	if c.FirstPart == 0 {
		c.FirstPart = 0.6
	}
	if c.StuckPart == 0 {
		c.StuckPart = 2
	}
	if c.StuckPauses == 0 {
		c.StuckPauses = 5
	}
	if c.Reserve == 0 {
		c.Reserve = 0.1
	}
	return c
}

// Wait is what a request has of its answer.
type Wait struct {
	// Begun says that some of the answer has come.
	Begun bool
	// Aim is the time within which the caller wants the first of it, Pause the longest one
	// between two events; zero for unknown.
	Aim, Pause time.Duration
	// Since is when the last of it came, or when the request was sent.
	Since time.Duration
}

// Watch keeps what is known of the VMs of backend servers, by server.
type Watch struct {
	cfg     Config
	servers map[string]*server
	// movedAt is when a request was last moved; zero for never.
	movedAt time.Duration
}

type server struct {
	service string
	// asking says that the VM is being asked, answeredAt when it last answered.
	asking     bool
	answeredAt time.Duration
	silent     bool
	// heardAt is when anything last came from the server itself.
	heardAt time.Duration
}

// New returns a watch that knows no server.
func New(cfg Config) *Watch {
	return &Watch{cfg: cfg.withDefaults(), servers: make(map[string]*server)}
}

// Keep forgets all servers but those of which known returns true.
func (w *Watch) Keep(known func(id string) bool) {
	for id := range w.servers {
		if !known(id) {
			delete(w.servers, id)
		}
	}
}

// bound is how long a request may wait, as parts of what its route asks for, or where the route
// says nothing.
type bound struct {
	aims, pauses float64
	first, gap   time.Duration
}

func (b bound) of(a Wait) time.Duration {
	switch {
	case a.Begun && a.Pause > 0:
		return time.Duration(b.pauses * float64(a.Pause))
	case a.Begun:
		return b.gap
	case a.Aim > 0:
		return time.Duration(b.aims * float64(a.Aim))
	default:
		return b.first
	}
}

// Patience is how long a request waits before its server's VM is asked.
func (w *Watch) Patience(a Wait) time.Duration {
	return bound{aims: w.cfg.FirstPart, pauses: 1, first: w.cfg.First, gap: w.cfg.Gap}.of(a)
}

// stuck is how long a request waits before it is moved though its server's VM answers.
func (w *Watch) stuck(a Wait) time.Duration {
	return bound{aims: w.cfg.StuckPart, pauses: w.cfg.StuckPauses, first: w.cfg.StuckFirst, gap: w.cfg.StuckGap}.of(a)
}

// Heard says that something came from a server itself.
func (w *Watch) Heard(id, service string, now time.Duration) {
	s := w.server(id)
	s.service = service
	s.heardAt = now
}

// Ask says whether the VM of a server is to be asked now. Answered or Unanswered tells how that
// ended.
func (w *Watch) Ask(id string, now time.Duration) bool {
	s := w.server(id)
	if s.asking || s.answeredAt > 0 && now-s.answeredAt < w.cfg.Again {
		return false
	}
	s.asking = true
	return true
}

// Answered says that a VM has answered. It returns whether it had counted as silent.
func (w *Watch) Answered(id string, now time.Duration) bool {
	s, ok := w.servers[id]
	if !ok {
		return false
	}
	was := s.silent
	s.asking, s.silent = false, false
	s.answeredAt = now
	return was
}

// Unanswered says that a VM has not answered in time. It counts as silent, and is to be asked
// again until it answers or again is false, as when it has been forgotten meanwhile. became says
// that the silence is new.
func (w *Watch) Unanswered(id string) (became, again bool) {
	s, ok := w.servers[id]
	if !ok {
		return false, false
	}
	became = !s.silent
	s.silent = true
	return became, true
}

// Silent says whether the VM of a server counts as silent.
func (w *Watch) Silent(id string) bool {
	s, ok := w.servers[id]
	return ok && s.silent
}

// Service is what an entry knows of the servers of a service that get work.
type Service struct {
	Name string
	// LockStep says that no server works while one of them does not.
	LockStep bool
	// Free and Capacity are their places, Entries is the number of entries that send there.
	Free, Capacity, Entries int
}

// Reason is why a request is moved.
type Reason uint8

const (
	// Stays is that of a request that is not.
	Stays Reason = iota
	// SilentVM says that the VM of its server does not answer.
	SilentVM
	// Stuck says that nothing comes of it, though the VM answers or cannot be asked.
	Stuck
)

// Moves says whether, and why, a request that waits at a server is to be given to another one of
// the service now: its server's VM is silent, or nothing has come for very long, others serve, and
// they have room. Call Moved when it is.
//
// Load: a third of busy servers go silent with all that they hold. Harm prevented: it all comes to
// the others at once, fills their queues for seconds, and makes every other caller late. All
// entries move at the same moment, and hear of each other's requests only later.
func (w *Watch) Moves(id string, service Service, a Wait, now time.Duration) Reason {
	reason := w.reason(id, a, now)
	switch {
	case w.movedAt > 0 && now-w.movedAt < w.cfg.Each:
		return Stays
	case service.Free < service.Entries+int(w.cfg.Reserve*float64(service.Capacity)):
		return Stays
	case service.LockStep && !w.othersServe(id, service.Name, now):
		return Stays
	}
	return reason
}

func (w *Watch) reason(id string, a Wait, now time.Duration) Reason {
	waited := now - a.Since
	switch {
	case w.Silent(id) && waited >= w.Patience(a):
		return SilentVM
	case waited >= w.stuck(a):
		return Stuck
	}
	return Stays
}

// Moved says that a request was moved.
func (w *Watch) Moved(now time.Duration) { w.movedAt = now }

// othersServe says whether another server of a service has just been heard.
func (w *Watch) othersServe(id, service string, now time.Duration) bool {
	for other, s := range w.servers {
		if other != id && s.service == service && !s.silent && s.heardAt > 0 && now-s.heardAt <= w.cfg.Alive {
			return true
		}
	}
	return false
}

func (w *Watch) server(id string) *server {
	s, ok := w.servers[id]
	if !ok {
		s = &server{}
		w.servers[id] = s
	}
	return s
}
