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
	// maxQueued limits the requests that are queued at one entry for one service.
	maxQueued = 512
	// maxQueueWait is the longest expected wait with which a request is queued, and the longest
	// time that one stays queued if its caller's patience is unknown.
	maxQueueWait = 1300 * time.Millisecond
	// maxPatienceRatio limits the time that a request of a stream stays queued to this fraction of
	// its caller's patience, since the first event takes some hundred milliseconds.
	maxPatienceRatio = 0.65
	// maxQueueWaitRatio limits the wait to this fraction of the time left until the deadline. A
	// request that starts later misses its deadline.
	maxQueueWaitRatio = 0.4
	// teamsPlan is the plan that all teams share: the configuration gives all teams the same
	// weight.
	teamsPlan = "teams"
	// teamBurst is the number of requests that a team may have above its share while others wait,
	// since callers of one team arrive together.
	teamBurst = 4
	// maxOutageWait is how long requests are queued for a service that has no usable server. It is
	// longer than it takes until a crashed engine is replaced and its group has formed again; after
	// that, nothing suggests that the service returns within a caller's patience.
	maxOutageWait = 10 * time.Second
	// noDeadline replaces the deadline of a request that has none.
	noDeadline = time.Hour
)

// queuedRequest is a request that waits for admission.
type queuedRequest struct {
	request pickRequest
	// waitUntil is when its wait ends at the latest.
	waitUntil time.Duration
	// admitted receives the outcome. It is buffered, so the sender never blocks.
	admitted chan admission
}

// admission is the outcome of waiting: a backend server, or a refusal.
type admission struct {
	server placement
	err    *result.Error
}

// setTeams passes the teams of a configuration to the admitter. The caller holds the lock.
func (f *fleet) setTeams(cfg *routing.Table) {
	if cfg.Version == f.teamsVersion {
		return
	}
	f.teamsVersion = cfg.Version
	// Requests without a key share the quota of one team.
	customers := []admit.CustomerShare{{Name: "", Plan: teamsPlan, Weight: 1, Burst: teamBurst}}
	for _, name := range cfg.TeamNames() {
		customers = append(customers, admit.CustomerShare{Name: name, Plan: teamsPlan, Weight: 1, Burst: teamBurst})
	}
	f.admitter.SetPlans([]admit.PlanShare{{Name: teamsPlan, Share: 1}}, customers)
}

// updateCapacity recalculates the slots of each service and starts the queued requests that now
// fit. The caller holds the lock.
func (f *fleet) updateCapacity(now time.Duration) {
	for service, concurrency := range f.registered {
		key := offer(service)
		free, capacity := f.table.Slots(key, now)
		f.admitter.SetAvailability(key, f.availability(service, concurrency, capacity, now))
		f.admitter.ExpectSlots(key, concurrency/f.entries)
		f.admitter.ExpectWorkTime(key, f.callTimes[service])
		f.admitter.SetTotalCapacity(key, capacity, f.entries)
		slots := admit.EntrySlots(f.running[service], free, capacity, f.entries)
		if f.divideByUrgency(service, capacity, now) {
			// The ratios limit starts.
			slots = f.running[service] + maxQueued
		}
		f.admitter.SetCapacity(key, slots)
		f.slotStates[service] = slotState{free: free, capacity: capacity, registered: concurrency, countedAt: now}
	}
	f.releaseQueued(now)
}

// availability returns whether the servers of a service take requests, given their concurrency and
// how much of it may be used now. The caller holds the lock.
//
// Requests wait for a service whose servers are all out of use, but not for one that has been in this
// state for long, such as engines too few for a group: they would be refused after their wait anyway.
func (f *fleet) availability(service string, concurrency, capacity int, now time.Duration) admit.Availability {
	if concurrency > 0 && capacity > 0 {
		delete(f.outSince, service)
		return admit.Available
	}
	since, ok := f.outSince[service]
	if !ok {
		f.outSince[service], since = now, now
	}
	if concurrency == 0 || now-since > maxOutageWait {
		return admit.Unavailable
	}
	return admit.Pending
}

// releaseQueued starts or refuses the queued requests that the admitter selects. The caller holds
// the lock.
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

// placeQueued places a request that the admitter has started. If no server is found, the request
// stays queued. The caller holds the lock.
func (f *fleet) placeQueued(id uint64, q *queuedRequest, now time.Duration) {
	s, code := f.pick(q.request, now)
	if code == api.ResultCode_OK {
		f.running[q.request.service]++
		f.resolve(id, admission{server: s})
		return
	}
	if code == api.ResultCode_COLD {
		// Waits must be computed from the slots that there will be, not from none.
		f.admitter.MarkPending(offer(q.request.service))
	}
	if !f.admitter.Requeue(now, id) {
		f.resolve(id, admission{err: result.New(code)})
	}
}

// slotState is what this entry knew of the slots at the servers of a service.
type slotState struct {
	// free and capacity count the slots at servers that may get work now, registered those at all
	// servers that neither drain nor are in a failure domain that is out.
	free, capacity, registered int
	// running counts this entry's admitted requests, queued those that wait at this entry.
	running, queued int
	entries         int
	// countedAt is when the slots were counted.
	countedAt time.Duration
}

// slotState returns what is known of the slots of a service.
func (f *fleet) slotState(service string) slotState {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.slotStates[service]
	state.running, state.queued, state.entries = f.running[service], f.queued[service], f.entries
	return state
}

func (f *fleet) resolve(id uint64, a admission) {
	q := f.queue[id]
	f.dequeue(id, q)
	q.admitted <- a
}

// dequeue removes a request from the queue. The caller holds the lock.
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

// admissionID identifies an admitted request. Pass it to endRequest.
type admissionID uint64

// admitRequest waits until a request may run, and places it. When the error is nil, the caller must
// end the attempt at the returned server with endAttempt, and the request with endRequest.
//
// Requests are queued because a burst, or an outage of all backend servers for a second or two,
// would otherwise refuse requests that could run a moment later. Requests that cannot meet their
// deadline are refused at once, instead of waiting until their caller has gone. Shares per team
// keep a team with many times the requests of the others from delaying the small ones.
func (f *fleet) admitRequest(ctx context.Context, t *task, now time.Duration) (admissionID, placement, *result.Error) {
	f.mu.Lock()
	if !f.refreshPlacement(now) {
		// The entry's part of the slots was set up to a tick ago. Where many entries share few slots, or a
		// request has since found no server, requests would be refused although slots are free.
		f.updateCapacity(now)
	}
	f.lastID++
	id := f.lastID
	maxWait := t.maxQueueWait(now)
	if err := f.refusePaused(t.service, maxWait, now); err != nil {
		f.mu.Unlock()
		return 0, placement{}, err
	}
	q := &queuedRequest{
		request:   pickRequest{service: t.service, timeLeft: timeLeft(t.deadline, now)},
		waitUntil: now + maxWait, admitted: make(chan admission, 1),
	}
	d := f.admitter.Admit(now, admit.Request{
		ID: id, Customer: t.team, Offer: offer(t.service), Deadline: now + t.patience(now), Priority: -min(t.rank, maxRanks-1),
		OnTimeBy: f.onTimeBy(t), MaxWait: maxWait,
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
	return f.awaitAdmission(ctx, id, q, maxWait)
}

// patience returns the time until the deadline of a request, noDeadline for none.
func (t *task) patience(now time.Duration) time.Duration {
	if t.deadline == 0 {
		return noDeadline
	}
	return t.deadline - now
}

// maxQueueWait returns how long a request may be queued.
func (t *task) maxQueueWait(now time.Duration) time.Duration {
	return queueWait(t.route, t.patience(now))
}

// queueWait returns how long a request of a route may be queued, given the time until its deadline.
func queueWait(route *routing.Route, left time.Duration) time.Duration {
	longest := maxQueueWait
	if route.Patience > 0 {
		longest = time.Duration(maxPatienceRatio * float64(route.Patience))
	}
	return min(longest, time.Duration(maxQueueWaitRatio*float64(left)))
}

// awaitAdmission waits until a request is admitted or refused, for maxWait at most.
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
		// The request was admitted at the same moment.
		return admissionID(id), a.server, a.err
	default:
	}
	f.dequeue(id, q)
	f.admitter.Cancel(clock.Now(), id)
	return 0, placement{}, result.New(api.ResultCode_SATURATED)
}

// pickForRetry picks a server for another attempt of a request that is already admitted. End the
// attempt with endAttempt.
func (f *fleet) pickForRetry(req pickRequest, now time.Duration) (placement, api.ResultCode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshPlacement(now)
	return f.pick(req, now)
}

// refuseRetry is refusePaused for a request that is already admitted.
func (f *fleet) refuseRetry(service string, maxWait, now time.Duration) *result.Error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refusePaused(service, maxWait, now)
}

// endRequest ends an admitted request and frees its slot. took is how long it was served; zero
// keeps it out of the admitter's moving average of work times.
func (f *fleet) endRequest(id admissionID, service string, took, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[service] = max(f.running[service]-1, 0)
	f.admitter.Done(now, uint64(id), took)
	if took > 0 {
		f.shutdown.Record(service, took)
	}
	f.updateCapacity(now)
}
