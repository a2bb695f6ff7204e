package entry

import (
	"context"
	"sync"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/decide/admit"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
)

// gate admits callers' requests. It supplies package admit with the time, a lock and a timer, and
// takes no decisions itself.
type gate struct {
	mu       sync.Mutex
	admitter *admit.Admitter
	waiters  map[uint64]chan admit.Decision
	lastID   uint64
	timer    *time.Timer
}

func newGate(policy *api.EntryPolicy) *gate {
	g := &gate{
		admitter: admit.New(admit.Config{MaxWait: time.Duration(policy.GetQueueMs()) * time.Millisecond}),
		waiters:  make(map[uint64]chan admit.Decision),
	}
	g.timer = time.AfterFunc(time.Hour, g.wake)
	return g
}

// admission is the permission of one request to run.
type admission struct {
	gate  *gate
	id    uint64
	offer string
	// withinShare says that the customer is within its share.
	withinShare bool
	// ended says that the gate no longer tracks the request.
	ended bool
}

// admit returns when the request may run, or with its refusal.
func (g *gate) admit(ctx context.Context, r admit.Request) (*admission, *result.Error) {
	g.mu.Lock()
	g.lastID++
	r.ID = g.lastID
	decision := g.admitter.Admit(clock.Now(), r)
	var decided chan admit.Decision
	if decision.Action == admit.Wait {
		decided = g.addWaiter(r.ID)
	}
	g.deliverDecisions()
	g.mu.Unlock()
	a := &admission{gate: g, id: r.ID, offer: r.Offer}
	return a, a.awaitDecision(ctx, decision, decided)
}

// addWaiter makes the channel on which a queued request receives its decision; the lock is held.
func (g *gate) addWaiter(id uint64) chan admit.Decision {
	decided := make(chan admit.Decision, 1)
	g.waiters[id] = decided
	return decided
}

// awaitDecision returns the decision on a request, which comes over the channel if it is queued.
func (a *admission) awaitDecision(ctx context.Context, decision admit.Decision, decided chan admit.Decision) *result.Error {
	if decided != nil {
		select {
		case decision = <-decided:
		case <-ctx.Done():
			a.gate.cancel(a.id)
			a.ended = true
			return result.New(api.ResultCode_DEADLINE_UNREACHABLE, "The time was over, or the caller gone, before the request could run.")
		}
	}
	if decision.Action == admit.Refuse {
		a.ended = true
		return result.Refuse(decision.Code, decision.RetryAfter)
	}
	a.withinShare = decision.Guaranteed
	return nil
}

// requeue gives the permission back and returns when the request may run again, or with its
// refusal. It is called when no backend server has a free slot after all; noBackend says that none
// can get work at all.
func (a *admission) requeue(ctx context.Context, code api.ResultCode, noBackend bool) *result.Error {
	g := a.gate
	g.mu.Lock()
	if noBackend {
		g.admitter.MarkPending(a.offer)
	}
	if !g.admitter.Requeue(clock.Now(), a.id) {
		g.deliverDecisions()
		g.mu.Unlock()
		a.ended = true
		return result.Refuse(code, 0)
	}
	decided := g.addWaiter(a.id)
	g.deliverDecisions()
	g.mu.Unlock()
	return a.awaitDecision(ctx, admit.Decision{}, decided)
}

// done ends the request. took is the time of its work, or zero to leave the average time unchanged.
func (a *admission) done(took time.Duration) {
	if a.ended {
		return
	}
	a.ended = true
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	a.gate.admitter.Done(clock.Now(), a.id, took)
	a.gate.deliverDecisions()
}

func (g *gate) cancel(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	g.admitter.Cancel(clock.Now(), id)
	g.deliverDecisions()
}

// deliverDecisions notifies the requests that may start or are refused now, and sets the timer for
// the next time at which one must be refused.
func (g *gate) deliverDecisions() {
	now := clock.Now()
	for _, r := range g.admitter.Next(now) {
		decided, ok := g.waiters[r.ID]
		if !ok {
			g.admitter.Cancel(now, r.ID)
			continue
		}
		delete(g.waiters, r.ID)
		decided <- r.Decision
	}
	if at, ok := g.admitter.NextWake(now); ok {
		g.timer.Reset(max(at-now, time.Millisecond))
	}
}

func (g *gate) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliverDecisions()
}

// setPlans sets the customers and plans of a configuration and returns the customers' shares.
func (g *gate) setPlans(view *config.View) map[string]float64 {
	plans := make([]admit.PlanShare, 0, len(view.Plans()))
	for name, plan := range view.Plans() {
		plans = append(plans, admit.PlanShare{Name: name, Share: plan.GetShare()})
	}
	customers := make([]admit.CustomerShare, 0, len(view.Customers()))
	for name, customer := range view.Customers() {
		customers = append(customers, admit.CustomerShare{
			Name:   name,
			Plan:   customer.GetPlan(),
			Weight: customer.GetWeight(),
			Burst:  int(customer.GetBurst()),
			Rate:   customer.GetRate(),
		})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admitter.SetPlans(plans, customers)
	g.deliverDecisions()
	return admit.Shares(plans, customers)
}

// offerCapacity is the capacity of the backend servers for one offer.
type offerCapacity struct {
	// slots is the number of requests that this entry may have running.
	slots int
	// total is the capacity of all backend servers for all entries.
	total int
	// entries is the number of entries that share the capacity; 0 for all live ones.
	entries int
	// availability says whether any of the backend servers can get work.
	availability admit.Availability
}

// setCapacities sets the capacity for each offer, shared by the given number of entries.
func (g *gate) setCapacities(capacities map[string]offerCapacity, entries int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for offer, c := range capacities {
		sharedBy := entries
		if c.entries > 0 {
			sharedBy = c.entries
		}
		g.admitter.SetAvailability(offer, c.availability)
		g.admitter.SetTotalCapacity(offer, c.total, sharedBy)
		g.admitter.SetCapacity(offer, c.slots)
	}
	g.deliverDecisions()
}

// gateState is the gate's part of a dump.
type gateState struct {
	Waiting  int
	Admitted uint64
}

func (g *gate) dump() gateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return gateState{Waiting: len(g.waiters), Admitted: g.lastID}
}
