package gateway

import (
	"context"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/admit"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/routing"
)

const (
	// mostWaiting bounds the requests that wait at one entry for one service.
	mostWaiting = 512
	// longestWait is the longest expected wait with which a request is taken, and the
	// longest that one waits: callers of a stream leave after two seconds without an event,
	// and the first one takes some hundred milliseconds.
	longestWait = 1300 * time.Millisecond
	// waitPart is the part of the time left that a request waits at most: what is begun
	// later is late for its caller.
	waitPart = 0.4
	// plan is the plan that all teams share: the configuration weighs none against another.
	plan = "teams"
	// burst is the number of requests that a team may have above its share while others
	// wait: callers of one team come together.
	burst = 4
	// endless stands for no deadline.
	endless = time.Hour
)

// waiter is a request that waits for its turn.
type waiter struct {
	need need
	// turn receives the outcome; it has room for it.
	turn chan turn
}

// turn is the outcome of waiting: a backend server, or a refusal.
type turn struct {
	server placement
	err    *result.Error
}

// setTeams tells the admitter which teams there are. The caller holds the lock.
func (f *fleet) setTeams(cfg *routing.Table) {
	if cfg.Version == f.teamsOf {
		return
	}
	f.teamsOf = cfg.Version
	// Requests without a key share what one team has.
	customers := []admit.CustomerShare{{Name: "", Plan: plan, Weight: 1, Burst: burst}}
	for _, name := range cfg.TeamNames() {
		customers = append(customers, admit.CustomerShare{Name: name, Plan: plan, Weight: 1, Burst: burst})
	}
	f.admitter.SetPlans([]admit.PlanShare{{Name: plan, Share: 1}}, customers)
}

// admit measures the room for each service anew and lets those go on whose turn it is. The
// caller holds the lock.
func (f *fleet) admit(now time.Duration) {
	for service, held := range f.registered {
		key := offer(service)
		free, capacity := f.table.Slots(key, now)
		presence := admit.Available
		switch {
		case held == 0:
			presence = admit.Unavailable
		case capacity == 0:
			presence = admit.Pending
		}
		f.admitter.SetAvailability(key, presence)
		f.admitter.ExpectSlots(key, held/f.entries)
		f.admitter.SetTotalCapacity(key, capacity, f.entries)
		f.admitter.SetCapacity(key, admit.EntrySlots(f.running[service], free, capacity, f.entries))
		f.rooms[service] = room{free: free, capacity: capacity, registered: held, at: now}
	}
	f.release(now)
}

// release lets those go on whose turn it is. The caller holds the lock.
func (f *fleet) release(now time.Duration) {
	for _, r := range f.admitter.Next(now) {
		w := f.waiting[r.ID]
		if w == nil {
			f.admitter.Cancel(now, r.ID)
			continue
		}
		if r.Action == admit.Refuse {
			f.end(r.ID, turn{err: refusal(r.Decision)})
			continue
		}
		f.start(r.ID, w, now)
	}
}

// start places a request whose turn it is; one for which no server is found waits on. The
// caller holds the lock.
func (f *fleet) start(id uint64, w *waiter, now time.Duration) {
	s, code := f.pick(w.need, now)
	if code == api.ResultCode_OK {
		f.running[w.need.service]++
		f.end(id, turn{server: s})
		return
	}
	if !f.admitter.Requeue(now, id) {
		f.end(id, turn{err: result.New(code)})
	}
}

// room is what this entry knew of the places at the servers of a service.
type room struct {
	// free and capacity are the places at servers that may get work now, registered those
	// at all servers that operators let have any.
	free, capacity, registered int
	// running and waiting are this entry's requests, there and here.
	running, waiting int
	entries          int
	// at is when the places were counted.
	at time.Duration
}

// room returns what is known of the places of a service.
func (f *fleet) room(service string) room {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.rooms[service]
	r.running, r.waiting, r.entries = f.running[service], f.queued[service], f.entries
	return r
}

func (f *fleet) end(id uint64, t turn) {
	w := f.waiting[id]
	f.forget(id, w)
	w.turn <- t
}

// forget takes a request out of those that wait. The caller holds the lock.
func (f *fleet) forget(id uint64, w *waiter) {
	delete(f.waiting, id)
	if f.queued[w.need.service]--; f.queued[w.need.service] <= 0 {
		delete(f.queued, w.need.service)
	}
}

func refusal(d admit.Decision) *result.Error {
	err := result.New(d.Code)
	err.RetryAfter = d.RetryAfter
	return err
}

// placeID is the right of a request to run, which finish gives back.
type placeID uint64

// enter waits until a request may run, and places it. A nil error comes with a server; end
// its attempt with done, and the request with finish.
//
// Load: bursts, outages of all backend servers for a second or two, one team with many times
// the requests of the others. Harm prevented: a request that could run a moment later is
// refused; one that cannot be met waits until its caller has gone; a small team waits behind
// a large one.
func (f *fleet) enter(ctx context.Context, t *task, now time.Duration) (placeID, placement, *result.Error) {
	f.mu.Lock()
	f.lastID++
	id := f.lastID
	until := t.until
	if until == 0 {
		until = now + endless
	}
	w := &waiter{need: need{service: t.service, left: left(t.until, now)}, turn: make(chan turn, 1)}
	d := f.admitter.Admit(now, admit.Request{
		ID: id, Customer: t.team, Offer: offer(t.service), Deadline: until, Priority: -t.priority,
	})
	if d.Action == admit.Refuse {
		f.mu.Unlock()
		return 0, placement{}, refusal(d)
	}
	f.waiting[id] = w
	f.queued[t.service]++
	if d.Action == admit.Start {
		f.start(id, w, now)
	}
	f.mu.Unlock()
	return f.wait(ctx, id, w, min(longestWait, time.Duration(waitPart*float64(until-now))))
}

// wait waits for a request's turn.
func (f *fleet) wait(ctx context.Context, id uint64, w *waiter, most time.Duration) (placeID, placement, *result.Error) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case t := <-w.turn:
		return placeID(id), t.server, t.err
	case <-ctx.Done():
	case <-timer.C:
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case t := <-w.turn:
		// Its turn came at the same moment.
		return placeID(id), t.server, t.err
	default:
	}
	f.forget(id, w)
	f.admitter.Cancel(clock.Now(), id)
	return 0, placement{}, result.New(api.ResultCode_SATURATED)
}

// another places a request once more that has its turn already; end the attempt with done.
func (f *fleet) another(n need, now time.Duration) (placement, api.ResultCode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pick(n, now)
}

// finish gives back the right to run. took is the time of the work, zero when it tells
// nothing of the usual.
func (f *fleet) finish(id placeID, service string, took, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[service] = max(f.running[service]-1, 0)
	f.admitter.Done(now, uint64(id), took)
	f.admit(now)
}
