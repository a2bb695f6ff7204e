package loadtest

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/admit"
	"github.com/apricothub/apricothub/decide/place"
	"github.com/apricothub/apricothub/decide/shift"
)

// offerKey is the one kind of work that the fake knows.
const offerKey = "model:m"

// entry takes callers' requests.
type entry struct {
	run    *Run
	table  picker
	admit  *admit.Admitter
	shift  *shift.Shifter
	budget place.RetryBudget
	// open are the attempts in flight, for what a dead VM takes with it.
	open    map[uint64]*attempt
	pending map[uint64]*request
	running int
}

// offer takes one request from a caller.
func (e *entry) offer(r *request) {
	e.budget.CountRequest()
	e.pending[r.id] = r
	r.entry = e
	if e.admit == nil {
		e.place(r)
		return
	}
	d := e.admit.Offer(e.run.clock.now, admit.Request{ID: r.id, Customer: r.customer, Offer: offerKey, Deadline: r.deadline})
	switch d.Action {
	case admit.Start:
		r.guaranteed = d.Guaranteed
		e.place(r)
	case admit.Refuse:
		e.refuse(r, d.Code, d.RetryAfter)
	case admit.Wait:
	}
}

// place sends a request that may run to an agent, or lets it wait again.
func (e *entry) place(r *request) {
	now := e.run.clock.now
	vm, code := e.table.Pick(now, place.Request{Offer: offerKey, Avoid: r.tried, TimeLeft: r.deadline - now, RelativeSize: r.size, WithinShare: r.guaranteed})
	if code != api.ResultCode_OK {
		if e.admit == nil || !e.admit.Postpone(now, r.id) {
			e.refuse(r, code, 0)
		}
		return
	}
	e.run.attempts++
	e.running++
	t := &attempt{request: r, id: e.run.attempts, agent: e.run.agents[vm], entry: e}
	r.current = t
	e.open[t.id] = t
	e.table.Started(vm, now)
	e.run.clock.after(e.run.setup.Link, func() {
		if !t.over {
			t.agent.take(t)
		}
	})
}

// refuse gives the caller its final answer at once.
func (e *entry) refuse(r *request, code api.ResultCode, after time.Duration) {
	if e.admit != nil {
		e.admit.Cancel(e.run.clock.now, r.id)
	}
	delete(e.pending, r.id)
	r.refused(code, after)
}

// close ends an attempt at the entry.
func (e *entry) close(t *attempt, o place.Outcome) bool {
	if t.over {
		return false
	}
	t.over = true
	e.running--
	delete(e.open, t.id)
	e.table.Ended(t.agent.backend.VM, e.run.clock.now, o)
	return true
}

// refused is the agent's answer that it did not take an attempt.
func (t *attempt) refused(code api.ResultCode) {
	e := t.entry
	e.run.clock.after(e.run.setup.Link, func() {
		if !e.close(t, place.Outcome{Refused: true}) {
			return
		}
		t.tried = append(t.tried, t.agent.backend.VM)
		if code != api.ResultCode_DEADLINE_UNREACHABLE && e.budget.SpendRetry() {
			e.place(t.request)
			return
		}
		if e.admit != nil && e.admit.Postpone(e.run.clock.now, t.request.id) {
			t.tried = nil
			return
		}
		e.refuse(t.request, code, 0)
		e.next()
	})
}

func (t *attempt) firstToken() {
	t.entry.run.clock.after(t.entry.run.setup.Link, func() {
		if !t.over {
			t.first = t.entry.run.clock.now
		}
	})
}

// ended is the end of the work at the backend server.
func (t *attempt) ended(failed bool) {
	e := t.entry
	e.run.clock.after(e.run.setup.Link, func() {
		now := e.run.clock.now
		if !e.close(t, place.Outcome{Latency: t.first - t.arrived, Failed: failed}) {
			return
		}
		if e.admit != nil {
			e.admit.Done(now, t.request.id, now-t.began)
		}
		delete(e.pending, t.request.id)
		t.request.answered(failed)
		e.next()
	})
}

// lost is the end of an attempt at a VM that has gone silent. One that may be
// repeated is sent elsewhere; that is no retry of a refusal, and happens once for
// each loss, so that the budget does not count it.
func (e *entry) lost(t *attempt) {
	if !e.close(t, place.Outcome{Failed: true}) {
		return
	}
	if t.repeatable {
		t.first = 0
		e.place(t.request)
		return
	}
	if e.admit != nil {
		e.admit.Cancel(e.run.clock.now, t.request.id)
	}
	delete(e.pending, t.request.id)
	t.request.answered(true)
}

// expire ends a request whose deadline has passed.
func (e *entry) expire(r *request) {
	if _, here := e.pending[r.id]; !here {
		return
	}
	delete(e.pending, r.id)
	if t := r.current; t != nil && e.close(t, place.Outcome{}) {
		e.run.clock.after(e.run.setup.Link, func() { t.agent.cancel(t) })
	}
	if e.admit != nil {
		e.admit.Cancel(e.run.clock.now, r.id)
	}
	r.late()
	e.next()
}

// next runs or refuses what waits.
func (e *entry) next() {
	if e.admit == nil {
		return
	}
	for _, release := range e.admit.Next(e.run.clock.now) {
		r := e.pending[release.ID]
		if release.Action == admit.Start {
			r.guaranteed = release.Guaranteed
			e.place(r)
			continue
		}
		delete(e.pending, r.id)
		r.refused(release.Code, release.RetryAfter)
	}
}

// tick takes in what has changed without an event: weights, capacity, time.
func (e *entry) tick() {
	now := e.run.clock.now
	if e.shift != nil {
		for _, domain := range e.run.domains {
			e.table.SetDomainWeight(domain, e.shift.Weight(now, domain))
		}
	}
	if e.admit != nil {
		parts := e.parts(now)
		e.admit.SetTotal(offerKey, parts.Total, parts.Entries)
		e.admit.SetCapacity(offerKey, parts.Slots)
	}
	e.next()
}
