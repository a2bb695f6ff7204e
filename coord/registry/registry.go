// Package registry keeps the backend servers that have registered themselves in the
// platform's store, through outages of the store.
//
// A registration lapses when its server has been silent for some heartbeats, also when the
// server could only not reach the store. The registry therefore holds what it knew until
// the servers have had time to register again.
//
// Time is an argument, counted since the process started. A Registry holds no clock, socket
// or goroutine, and is not safe for use by several goroutines at once.
package registry

import "time"

// Server is one backend server as it registered itself.
type Server struct {
	// ID names one start of the server.
	ID string
	// Service is the service that it belongs to.
	Service string
	// Address is its IP and port.
	Address string
	// FailureDomain is where it runs.
	FailureDomain string
	// Version is the version of its software.
	Version string
	// Concurrency is the number of requests that it works on at once.
	Concurrency int
	// Draining servers get no new work.
	Draining bool
	// Cold is how long it stays cold from the moment at which it said so.
	Cold time.Duration
	// Born is when it started, Unix ms by its own clock; zero when it does not say. A
	// server may start again under its ID.
	Born int64
}

// Entry is a registered server with what this process knows of the registration.
type Entry struct {
	Server
	// Since is when this process first heard of the server, Heard when it heard last.
	Since, Heard time.Duration
}

// Return is how long after the store's return a registration may be missing although its
// server lives: servers have about two seconds to register again.
const Return = 2 * time.Second

// Registry is what a process knows of the backend servers.
type Registry struct {
	entries map[string]*Entry
	// at is the server that was born last at each address.
	at map[string]*Entry
	// lapsed are the servers whose registration is gone, with the time at which they are
	// taken as gone.
	lapsed map[string]time.Duration
	away   bool
	// back is when the store last came back.
	back    time.Duration
	wasAway bool
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		entries: make(map[string]*Entry), at: make(map[string]*Entry), lapsed: make(map[string]time.Duration),
	}
}

// Put takes in a registration. It returns whether that says anything new: most are heartbeats,
// which differ in how long the server stays cold at most.
func (r *Registry) Put(s Server, now time.Duration) bool {
	delete(r.lapsed, s.ID)
	e := r.entries[s.ID]
	changed := e == nil || !sameButForTime(e.Server, s)
	if e == nil || e.Born != s.Born {
		e = &Entry{Since: now}
		r.entries[s.ID] = e
	}
	e.Server = s
	e.Heard = now
	if last := r.at[s.Address]; last == nil || last.Born <= s.Born || r.entries[last.ID] != last {
		r.at[s.Address] = e
	}
	return changed
}

func sameButForTime(a, b Server) bool {
	if (a.Cold > 0) != (b.Cold > 0) {
		return false
	}
	a.Cold = b.Cold
	return a == b
}

// followed says that another server has started since at the address of this one.
//
// Load: all VMs lose power and come back. Harm prevented: the registrations of before last
// for some seconds more, and requests are sent to servers that are no longer there, each of
// which costs one of its few attempts.
func (r *Registry) followed(e *Entry) bool {
	last := r.at[e.Address]
	return last != nil && last != e && r.entries[last.ID] == last && last.Address == e.Address && last.Born > e.Born
}

// Remove says that a registration is gone. While the store is away, and until Return after
// it came back, the server stays for as long as it may need to register again.
//
// Load: an outage of the store longer than the registrations last. Harm prevented: all
// servers lapse at once and every request is refused, although all of them still serve.
func (r *Registry) Remove(id string, now time.Duration) {
	if r.entries[id] == nil {
		return
	}
	if r.away {
		r.lapsed[id] = now + Return
		return
	}
	if until := r.back + Return; r.wasAway && now < until {
		r.lapsed[id] = until
		return
	}
	r.drop(id)
}

func (r *Registry) drop(id string) {
	if e := r.entries[id]; e != nil && r.at[e.Address] == e {
		delete(r.at, e.Address)
	}
	delete(r.entries, id)
}

// Reachable tells whether the store answers. After an outage of any length registrations
// may lapse for want of the store alone.
func (r *Registry) Reachable(reachable bool, now time.Duration) {
	if reachable && r.away {
		r.back = now
		r.wasAway = true
	}
	r.away = !reachable
}

// Expire drops the servers whose time to register again is over, and returns their IDs.
func (r *Registry) Expire(now time.Duration) []string {
	var gone []string
	for id, at := range r.lapsed {
		if now >= at {
			delete(r.lapsed, id)
			r.drop(id)
			gone = append(gone, id)
		}
	}
	return gone
}

// Entries returns the servers that are not gone, in no order.
func (r *Registry) Entries() []Entry {
	entries := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		if !r.followed(e) {
			entries = append(entries, *e)
		}
	}
	return entries
}
