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
	// maxQueued bounds the requests that wait at one entry for one service.
	maxQueued = 512
	// maxQueueWait is the longest expected wait with which a request is taken, and the
	// longest that one waits: callers of a stream leave after two seconds without an event,
	// and the first one takes some hundred milliseconds.
	maxQueueWait = 1300 * time.Millisecond
	// maxQueueWaitRatio is the part of the time left that a request waits at most: what is begun
	// later is late for its caller.
	maxQueueWaitRatio = 0.4
	// teamsPlan is the teamsPlan that all teams share: the configuration weighs none against another.
	teamsPlan = "teams"
	// teamBurst is the number of requests that a team may have above its share while others
	// wait: callers of one team come together.
	teamBurst = 4
	// noDeadline stands for no deadline.
	noDeadline = time.Hour
)

// queuedRequest is a request that waits for its turn.
type queuedRequest struct {
	request pickRequest
	// admitted receives the outcome; it has room for it.
	admitted chan admission
}

// admission is the outcome of waiting: a backend server, or a refusal.
type admission struct {
	server placement
	err    *result.Error
}

// setTeams tells the admitter which teams there are. The caller holds the lock.
func (f *fleet) setTeams(cfg *routing.Table) {
	if cfg.Version == f.teamsVersion {
		return
	}
	f.teamsVersion = cfg.Version
	// Requests without a key share what one team has.
	customers := []admit.CustomerShare{{Name: "", Plan: teamsPlan, Weight: 1, Burst: teamBurst}}
	for _, name := range cfg.TeamNames() {
		customers = append(customers, admit.CustomerShare{Name: name, Plan: teamsPlan, Weight: 1, Burst: teamBurst})
	}
	f.admitter.SetPlans([]admit.PlanShare{{Name: teamsPlan, Share: 1}}, customers)
}

// updateCapacity measures the room for each service anew and lets those go on whose turn it is. The
// caller holds the lock.
func (f *fleet) updateCapacity(now time.Duration) {
	for service, concurrency := range f.registered {
		key := offer(service)
		free, capacity := f.table.Slots(key, now)
		presence := admit.Here
		switch {
		case concurrency == 0:
			presence = admit.None
		case capacity == 0:
			presence = admit.Coming
		}
		f.admitter.SetPresence(key, presence)
		f.admitter.Expect(key, concurrency/f.entries)
		f.admitter.SetTotal(key, capacity, f.entries)
		f.admitter.SetCapacity(key, admit.Part(f.running[service], free, capacity, f.entries))
		f.slotStates[service] = slotState{free: free, capacity: capacity, registered: concurrency, countedAt: now}
	}
	f.releaseQueued(now)
}

// releaseQueued lets those go on whose turn it is. The caller holds the lock.
func (f *fleet) releaseQueued(now time.Duration) {
	for _, r := range f.admitter.Next(now) {
		q := f.queue[r.ID]
		if q == nil {
			f.admitter.Cancel(now, r.ID)
			continue
		}
		if r.Action == admit.Refuse {
			f.resolve(r.ID, admission{err: refusal(r.Decision)})
			continue
		}
		f.placeQueued(r.ID, q, now)
	}
}

// placeQueued places a request whose turn it is; one for which no server is found waits on. The
// caller holds the lock.
func (f *fleet) placeQueued(id uint64, q *queuedRequest, now time.Duration) {
	s, code := f.pick(q.request, now)
	if code == api.ResultCode_OK {
		f.running[q.request.service]++
		f.resolve(id, admission{server: s})
		return
	}
	if !f.admitter.Postpone(now, id) {
		f.resolve(id, admission{err: result.New(code)})
	}
}

// slotState is what this entry knew of the places at the servers of a service.
type slotState struct {
	// free and capacity are the places at servers that may get work now, registered those
	// at all servers that operators let have any.
	free, capacity, registered int
	// running and queued are this entry's requests, there and here.
	running, queued int
	entries         int
	// countedAt is when the places were counted.
	countedAt time.Duration
}

// slotState returns what is known of the places of a service.
func (f *fleet) slotState(service string) slotState {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.slotStates[service]
	r.running, r.queued, r.entries = f.running[service], f.queued[service], f.entries
	return r
}

func (f *fleet) resolve(id uint64, a admission) {
	q := f.queue[id]
	f.dequeue(id, q)
	q.admitted <- a
}

// dequeue takes a request out of those that wait. The caller holds the lock.
func (f *fleet) dequeue(id uint64, q *queuedRequest) {
	delete(f.queue, id)
	if f.queued[q.request.service]--; f.queued[q.request.service] <= 0 {
		delete(f.queued, q.request.service)
	}
}

func refusal(d admit.Decision) *result.Error {
	err := result.New(d.Code)
	err.RetryAfter = d.RetryAfter
	return err
}

// admissionID is the right of a request to run, which finish gives back.
type admissionID uint64

// admitRequest waits until a request may run, and places it. A nil error comes with a server; end
// its attempt with done, and the request with finish.
//
// Load: bursts, outages of all backend servers for a second or two, one team with many times
// the requests of the others. Harm prevented: a request that could run a moment later is
// refused; one that cannot be met waits until its caller has gone; a small team waits behind
// a large one.
func (f *fleet) admitRequest(ctx context.Context, t *task, now time.Duration) (admissionID, placement, *result.Error) {
	f.mu.Lock()
	f.lastID++
	id := f.lastID
	deadline := t.deadline
	if deadline == 0 {
		deadline = now + noDeadline
	}
	q := &queuedRequest{request: pickRequest{service: t.service, timeLeft: timeLeft(t.deadline, now)}, admitted: make(chan admission, 1)}
	d := f.admitter.Offer(now, admit.Request{
		ID: id, Customer: t.team, Offer: offer(t.service), Deadline: deadline, Priority: -t.priority,
	})
	if d.Action == admit.Refuse {
		f.mu.Unlock()
		return 0, placement{}, refusal(d)
	}
	f.queue[id] = q
	f.queued[t.service]++
	if d.Action == admit.Start {
		f.placeQueued(id, q, now)
	}
	f.mu.Unlock()
	return f.awaitAdmission(ctx, id, q, min(maxQueueWait, time.Duration(maxQueueWaitRatio*float64(deadline-now))))
}

// awaitAdmission waits for a request's turn.
func (f *fleet) awaitAdmission(ctx context.Context, id uint64, q *queuedRequest, maxWait time.Duration) (admissionID, placement, *result.Error) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case a := <-q.admitted:
		return admissionID(id), a.server, a.err
	case <-ctx.Done():
	case <-timer.C:
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case a := <-q.admitted:
		// Its turn came at the same moment.
		return admissionID(id), a.server, a.err
	default:
	}
	f.dequeue(id, q)
	f.admitter.Cancel(clock.Now(), id)
	return 0, placement{}, result.New(api.ResultCode_SATURATED)
}

// pickForRetry places a request once more that has its turn already; end the attempt with done.
func (f *fleet) pickForRetry(req pickRequest, now time.Duration) (placement, api.ResultCode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pick(req, now)
}

// endRequest gives back the right to run. took is the time of the work, zero when it tells
// nothing of the usual.
func (f *fleet) endRequest(id admissionID, service string, took, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[service] = max(f.running[service]-1, 0)
	f.admitter.Done(now, uint64(id), took)
	f.updateCapacity(now)
}
