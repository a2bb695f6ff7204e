// Package registry keeps the backend servers that have registered themselves in the platform's
// store, through outages of the store.
//
// A registration lapses when its server has written no heartbeat for some time, even if the server
// is healthy and only failed to reach the store. The registry therefore keeps lapsed registrations
// until their servers have had time to register again.
//
// Times are durations since process start, passed as arguments. A Registry has no clock, socket or
// goroutine, and is not safe for concurrent use.
package registry

import "time"

// Server is one backend server as it registered itself.
type Server struct {
	// ID identifies one start of the server.
	ID string
	// Service is the service that the server belongs to.
	Service string
	// Address is its IP and port.
	Address string
	// FailureDomain is the failure domain that it runs in.
	FailureDomain string
	// Version is the version of its software.
	Version string
	// Concurrency is the number of requests that it serves at the same time.
	Concurrency int
	// Draining servers get no new requests.
	Draining bool
	// ColdRemaining is how long it stays cold, counted from the heartbeat that reported it.
	ColdRemaining time.Duration
	// StartedAtUnixMs is its start time in Unix ms by its own clock; zero if unknown. A server may
	// restart under the same ID.
	StartedAtUnixMs int64
}

// Registration is a registered server with the times at which this process heard of it.
type Registration struct {
	Server
	// FirstHeard and LastHeard are when this process first and last heard of this start of the
	// server.
	FirstHeard, LastHeard time.Duration
}

// ReregisterGrace is how long after the store's return a registration may be missing although its
// server is healthy: servers take about two seconds to register again.
const ReregisterGrace = 2 * time.Second

// rememberLeaving is how long it is remembered that a server leaves after its registration is gone: it
// may register once more, and other entries may still report it.
const rememberLeaving = time.Minute

// Start identifies one start of a server.
type Start struct {
	ID string
	// StartedAtUnixMs is the field of that name of Server.
	StartedAtUnixMs int64
}

// Registry holds the backend servers that a process knows.
type Registry struct {
	registrations map[string]*Registration
	// leaving are the servers that have said that they leave, with the time at which they were last known
	// to be registered.
	leaving map[Start]time.Duration
	// newestAt is the server with the latest start time at each address.
	newestAt map[string]*Registration
	// expiresAt holds the lapsed registrations, with the time at which they are dropped.
	expiresAt map[string]time.Duration
	storeDown bool
	// storeBackAt is when the store last became reachable again.
	storeBackAt time.Duration
	hadOutage   bool
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		registrations: make(map[string]*Registration), leaving: make(map[Start]time.Duration), newestAt: make(map[string]*Registration), expiresAt: make(map[string]time.Duration),
	}
}

// Put processes a registration and reports whether it changes anything. Most are heartbeats, which
// differ at most in ColdRemaining.
func (r *Registry) Put(s Server, now time.Duration) bool {
	delete(r.expiresAt, s.ID)
	e := r.registrations[s.ID]
	changed := e == nil || !equalExceptColdRemaining(e.Server, s)
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

func equalExceptColdRemaining(a, b Server) bool {
	if (a.ColdRemaining > 0) != (b.ColdRemaining > 0) {
		return false
	}
	a.ColdRemaining = b.ColdRemaining
	return a == b
}

// isReplaced reports whether another server has since started at the address of this one. When all
// VMs lose power and come back, the old registrations remain for some seconds. Without this check
// requests would be sent to servers that no longer exist, and each would use up one of the
// request's few attempts.
func (r *Registry) isReplaced(e *Registration) bool {
	newest := r.newestAt[e.Address]
	return newest != nil && newest != e && r.registrations[newest.ID] == newest && newest.Address == e.Address && newest.StartedAtUnixMs > e.StartedAtUnixMs
}

// Remove processes the removal of a registration. While the store is unreachable, and for
// ReregisterGrace after it came back, the server is kept for as long as it may need to register
// again. Otherwise an outage longer than the lifetime of registrations would remove all servers at
// once, and every request would be refused although all of them still serve.
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

// SetStoreReachable sets whether the store answers. After an outage of any length, registrations
// may have lapsed only because the store was unreachable.
func (r *Registry) SetStoreReachable(reachable bool, now time.Duration) {
	if reachable && r.storeDown {
		r.storeBackAt = now
		r.hadOutage = true
	}
	r.storeDown = !reachable
}

// MarkLeaving records that a server has said that it leaves, and reports whether that was unknown. From
// then on it counts as draining, whatever its registration says, until it starts anew.
//
// A server cannot report to a store that is away, and its registration is read some time after it was
// written.
func (r *Registry) MarkLeaving(s Start, now time.Duration) bool {
	_, known := r.leaving[s]
	if !known {
		r.leaving[s] = now
	}
	return !known
}

// Leaving returns the registered servers that have said that they leave while their registration does not
// say so, in no particular order.
func (r *Registry) Leaving() []Start {
	var starts []Start
	for s := range r.leaving {
		if e := r.registrations[s.ID]; e != nil && e.start() == s && !e.Draining {
			starts = append(starts, s)
		}
	}
	return starts
}

func (e *Registration) start() Start { return Start{ID: e.ID, StartedAtUnixMs: e.StartedAtUnixMs} }

// forgetLeaving forgets the servers that left some time ago.
func (r *Registry) forgetLeaving(now time.Duration) {
	for s, registeredAt := range r.leaving {
		if e := r.registrations[s.ID]; e != nil && e.start() == s {
			r.leaving[s] = now
		} else if now-registeredAt > rememberLeaving {
			delete(r.leaving, s)
		}
	}
}

// Expire drops the servers whose time to register again has passed, and returns their IDs.
func (r *Registry) Expire(now time.Duration) []string {
	r.forgetLeaving(now)
	var expired []string
	for id, expiry := range r.expiresAt {
		if now >= expiry {
			delete(r.expiresAt, id)
			r.drop(id)
			expired = append(expired, id)
		}
	}
	return expired
}

// Registrations returns the registered servers that were not replaced, in no particular order.
func (r *Registry) Registrations() []Registration {
	registrations := make([]Registration, 0, len(r.registrations))
	for _, e := range r.registrations {
		if r.isReplaced(e) {
			continue
		}
		registration := *e
		if _, leaves := r.leaving[e.start()]; leaves {
			registration.Draining = true
		}
		registrations = append(registrations, registration)
	}
	return registrations
}
