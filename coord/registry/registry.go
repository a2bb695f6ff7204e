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
	// ColdFor is how long it stays cold from the moment at which it said so.
	ColdFor time.Duration
	// StartedAtUnixMs is when it started, Unix ms by its own clock; zero when it does not say. A
	// server may start again under its ID.
	StartedAtUnixMs int64
}

// Registration is a registered server with what this process knows of the registration.
type Registration struct {
	Server
	// FirstHeard is when this process first heard of the server, LastHeard when it heard last.
	FirstHeard, LastHeard time.Duration
}

// ReregisterGrace is how long after the store's return a registration may be missing although its
// server lives: servers have about two seconds to register again.
const ReregisterGrace = 2 * time.Second

// Registry is what a process knows of the backend servers.
type Registry struct {
	registrations map[string]*Registration
	// newestAt is the server that was born last newestAt each address.
	newestAt map[string]*Registration
	// expiresAt are the servers whose registration is gone, with the time at which they are
	// taken as gone.
	expiresAt map[string]time.Duration
	storeDown bool
	// storeBackAt is when the store last came storeBackAt.
	storeBackAt time.Duration
	hadOutage   bool
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		registrations: make(map[string]*Registration), newestAt: make(map[string]*Registration), expiresAt: make(map[string]time.Duration),
	}
}

// Put takes in a registration. It returns whether that says anything new: most are heartbeats,
// which differ in how long the server stays cold at most.
func (r *Registry) Put(s Server, now time.Duration) bool {
	delete(r.expiresAt, s.ID)
	e := r.registrations[s.ID]
	changed := e == nil || !equalExceptColdFor(e.Server, s)
	if e == nil || e.StartedAtUnixMs != s.StartedAtUnixMs {
		e = &Registration{FirstHeard: now}
		r.registrations[s.ID] = e
	}
	e.Server = s
	e.LastHeard = now
	if newest := r.newestAt[s.Address]; newest == nil || newest.StartedAtUnixMs <= s.StartedAtUnixMs || r.registrations[newest.ID] != newest {
		r.newestAt[s.Address] = e
	}
	return changed
}

func equalExceptColdFor(a, b Server) bool {
	if (a.ColdFor > 0) != (b.ColdFor > 0) {
		return false
	}
	a.ColdFor = b.ColdFor
	return a == b
}

// isReplaced says that another server has started since at the address of this one.
//
// Load: all VMs lose power and come back. Harm prevented: the registrations of before last
// for some seconds more, and requests are sent to servers that are no longer there, each of
// which costs one of its few attempts.
func (r *Registry) isReplaced(e *Registration) bool {
	newest := r.newestAt[e.Address]
	return newest != nil && newest != e && r.registrations[newest.ID] == newest && newest.Address == e.Address && newest.StartedAtUnixMs > e.StartedAtUnixMs
}

// Remove says that a registration is gone. While the store is away, and until Return after
// it came back, the server stays for as long as it may need to register again.
//
// Load: an outage of the store longer than the registrations last. Harm prevented: all
// servers lapse at once and every request is refused, although all of them still serve.
func (r *Registry) Remove(id string, now time.Duration) {
	if r.registrations[id] == nil {
		return
	}
	if r.storeDown {
		r.expiresAt[id] = now + ReregisterGrace
		return
	}
	if until := r.storeBackAt + ReregisterGrace; r.hadOutage && now < until {
		r.expiresAt[id] = until
		return
	}
	r.drop(id)
}

func (r *Registry) drop(id string) {
	if e := r.registrations[id]; e != nil && r.newestAt[e.Address] == e {
		delete(r.newestAt, e.Address)
	}
	delete(r.registrations, id)
}

// SetStoreReachable tells whether the store answers. After an outage of any length registrations
// may lapse for want of the store alone.
func (r *Registry) SetStoreReachable(reachable bool, now time.Duration) {
	if reachable && r.storeDown {
		r.storeBackAt = now
		r.hadOutage = true
	}
	r.storeDown = !reachable
}

// Expire drops the servers whose time to register again is over, and returns their IDs.
func (r *Registry) Expire(now time.Duration) []string {
	var gone []string
	for id, expiry := range r.expiresAt {
		if now >= expiry {
			delete(r.expiresAt, id)
			r.drop(id)
			gone = append(gone, id)
		}
	}
	return gone
}

// Registrations returns the servers that are not gone, in no order.
func (r *Registry) Registrations() []Registration {
	registrations := make([]Registration, 0, len(r.registrations))
	for _, e := range r.registrations {
		if !r.isReplaced(e) {
			registrations = append(registrations, *e)
		}
	}
	return registrations
}
