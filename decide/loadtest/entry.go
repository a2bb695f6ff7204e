package loadtest

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/admit"
	"github.com/apricothub/apricothub/decide/place"
	"github.com/apricothub/apricothub/decide/shift"
)

// offerKey is the only kind of work in the simulation.
const offerKey = "model:m"

// entry accepts callers' requests.
type entry struct {
	run         *Run
	table       picker
	admitter    *admit.Admitter
	shifter     *shift.Shifter
	retryBudget place.RetryBudget
	// inFlight holds the attempts in flight, to find those lost with a dead VM.
	inFlight map[uint64]*attempt
	pending  map[uint64]*request
	running  int
}

// submit accepts one request from a caller.
func (e *entry) submit(r *request) {
	e.retryBudget.CountRequest()
	e.pending[r.id] = r
	r.entry = e
	if e.admitter == nil {
		e.dispatch(r)
		return
	}
	d := e.admitter.Admit(e.run.clock.now, admit.Request{ID: r.id, Customer: r.customer, Offer: offerKey, Deadline: r.deadline})
	switch d.Action {
	case admit.Start:
		r.guaranteed = d.Guaranteed
		e.dispatch(r)
	case admit.Refuse:
		e.refuse(r, d.Code, d.RetryAfter)
	case admit.Wait:
	}
}

// dispatch sends an admitted request to an agent, or returns it to the queue.
func (e *entry) dispatch(r *request) {
	now := e.run.clock.now
	vm, code := e.table.Pick(now, place.Request{Offer: offerKey, Avoid: r.tried, TimeLeft: r.deadline - now, RelativeSize: r.size, WithinShare: r.guaranteed})
	if code != api.ResultCode_OK {
		if e.admitter == nil || !e.admitter.Requeue(now, r.id) {
			e.refuse(r, code, 0)
		}
		return
	}
	e.run.attempts++
	e.running++
	t := &attempt{request: r, id: e.run.attempts, agent: e.run.agents[vm], entry: e}
	r.currentAttempt = t
	e.inFlight[t.id] = t
	e.table.Started(vm, now)
	e.run.clock.after(e.run.setup.LinkDelay, func() {
		if !t.closed {
			t.agent.handle(t)
		}
	})
}

// refuse gives the caller its final answer at once.
func (e *entry) refuse(r *request, code api.ResultCode, retryAfter time.Duration) {
	if e.admitter != nil {
		e.admitter.Cancel(e.run.clock.now, r.id)
	}
	delete(e.pending, r.id)
	r.refused(code, retryAfter)
}

// closeAttempt ends an attempt at the entry. It returns false if the attempt has ended already.
func (e *entry) closeAttempt(t *attempt, o place.Outcome) bool {
	if t.closed {
		return false
	}
	t.closed = true
	e.running--
	delete(e.inFlight, t.id)
	e.table.Ended(t.agent.backend.VM, e.run.clock.now, o)
	return true
}

// handleRefusal handles the agent's answer that it did not accept an attempt.
func (t *attempt) handleRefusal(code api.ResultCode) {
	e := t.entry
	e.run.clock.after(e.run.setup.LinkDelay, func() {
		if !e.closeAttempt(t, place.Outcome{Refused: true}) {
			return
		}
		t.tried = append(t.tried, t.agent.backend.VM)
		if code != api.ResultCode_DEADLINE_UNREACHABLE && e.retryBudget.SpendRetry() {
			e.dispatch(t.request)
			return
		}
		if e.admitter != nil && e.admitter.Requeue(e.run.clock.now, t.request.id) {
			t.tried = nil
			return
		}
		e.refuse(t.request, code, 0)
		e.admitQueued()
	})
}

// handleFirstToken records the time of the first token.
func (t *attempt) handleFirstToken() {
	t.entry.run.clock.after(t.entry.run.setup.LinkDelay, func() {
		if !t.closed {
			t.firstTokenAt = t.entry.run.clock.now
		}
	})
}

// handleEnd handles the end of the work at the backend server.
func (t *attempt) handleEnd(failed bool) {
	e := t.entry
	e.run.clock.after(e.run.setup.LinkDelay, func() {
		now := e.run.clock.now
		if !e.closeAttempt(t, place.Outcome{Latency: t.firstTokenAt - t.arrivedAt, Failed: failed}) {
			return
		}
		if e.admitter != nil {
			e.admitter.Done(now, t.request.id, now-t.startedAt)
		}
		delete(e.pending, t.request.id)
		t.request.answered(failed)
		e.admitQueued()
	})
}

// handleLoss ends an attempt at an unresponsive VM. A repeatable request is sent elsewhere. Since
// that is not a retry of a refusal, and happens once per loss, it does not count against the retry
// budget.
func (e *entry) handleLoss(t *attempt) {
	if !e.closeAttempt(t, place.Outcome{Failed: true}) {
		return
	}
	if t.repeatable {
		t.firstTokenAt = 0
		e.dispatch(t.request)
		return
	}
	if e.admitter != nil {
		e.admitter.Cancel(e.run.clock.now, t.request.id)
	}
	delete(e.pending, t.request.id)
	t.request.answered(true)
}

// expire ends a request whose deadline has passed.
func (e *entry) expire(r *request) {
	if _, isPending := e.pending[r.id]; !isPending {
		return
	}
	delete(e.pending, r.id)
	if t := r.currentAttempt; t != nil && e.closeAttempt(t, place.Outcome{}) {
		e.run.clock.after(e.run.setup.LinkDelay, func() { t.agent.cancel(t) })
	}
	if e.admitter != nil {
		e.admitter.Cancel(e.run.clock.now, r.id)
	}
	r.late()
	e.admitQueued()
}

// admitQueued starts or refuses queued requests.
func (e *entry) admitQueued() {
	if e.admitter == nil {
		return
	}
	for _, release := range e.admitter.Next(e.run.clock.now) {
		r := e.pending[release.ID]
		if release.Action == admit.Start {
			r.guaranteed = release.Guaranteed
			e.dispatch(r)
			continue
		}
		delete(e.pending, r.id)
		r.refused(release.Code, release.RetryAfter)
	}
}

// tick applies changes that come without an event: weights, capacity and the passage of time.
func (e *entry) tick() {
	now := e.run.clock.now
	if e.shifter != nil {
		for _, domain := range e.run.domains {
			e.table.SetDomainWeight(domain, e.shifter.Weight(now, domain))
		}
	}
	if e.admitter != nil {
		share := e.capacityShare(now)
		e.admitter.SetTotalCapacity(offerKey, share.Total, share.Entries)
		e.admitter.SetCapacity(offerKey, share.Slots)
	}
	e.admitQueued()
}
