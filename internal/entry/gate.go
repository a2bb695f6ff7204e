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

// gate admits callers' requests. It gives package admit its time, its lock and its
// timer, and decides nothing itself.
type gate struct {
	mu       sync.Mutex
	admitter *admit.Admitter
	waiting  map[uint64]chan admit.Decision
	lastID   uint64
	timer    *time.Timer
}

func newGate(policy *api.EntryPolicy) *gate {
	g := &gate{
		admitter: admit.New(admit.Config{MaxWait: time.Duration(policy.GetQueueMs()) * time.Millisecond}),
		waiting:  make(map[uint64]chan admit.Decision),
	}
	g.timer = time.AfterFunc(time.Hour, g.wake)
	return g
}

// pass is the right of one request to run.
type pass struct {
	gate  *gate
	id    uint64
	offer string
	// guaranteed says that the customer is within its share.
	guaranteed bool
	// over says that the gate knows nothing of the request any more.
	over bool
}

// enter returns when the request may run, or with the refusal.
func (g *gate) enter(ctx context.Context, r admit.Request) (*pass, *result.Error) {
	g.mu.Lock()
	g.lastID++
	r.ID = g.lastID
	decision := g.admitter.Admit(clock.Now(), r)
	var granted chan admit.Decision
	if decision.Action == admit.Wait {
		granted = g.wait(r.ID)
	}
	g.release()
	g.mu.Unlock()
	p := &pass{gate: g, id: r.ID, offer: r.Offer}
	return p, p.await(ctx, decision, granted)
}

// wait makes the channel on which a waiting request hears; the lock is held.
func (g *gate) wait(id uint64) chan admit.Decision {
	granted := make(chan admit.Decision, 1)
	g.waiting[id] = granted
	return granted
}

// await takes a decision, which comes over the channel for a request that waits.
func (p *pass) await(ctx context.Context, decision admit.Decision, granted chan admit.Decision) *result.Error {
	if granted != nil {
		select {
		case decision = <-granted:
		case <-ctx.Done():
			p.gate.cancel(p.id)
			p.over = true
			return result.New(api.ResultCode_DEADLINE_UNREACHABLE, "The time was over, or the caller gone, before the request could run.")
		}
	}
	if decision.Action == admit.Refuse {
		p.over = true
		return result.Refuse(decision.Code, decision.RetryAfter)
	}
	p.guaranteed = decision.Guaranteed
	return nil
}

// postpone gives the right back, since no backend server has room after all, or absent
// since none may get work at all, and returns when the request may run again, or with the
// refusal.
func (p *pass) postpone(ctx context.Context, code api.ResultCode, absent bool) *result.Error {
	g := p.gate
	g.mu.Lock()
	if absent {
		g.admitter.MarkPending(p.offer)
	}
	if !g.admitter.Requeue(clock.Now(), p.id) {
		g.release()
		g.mu.Unlock()
		p.over = true
		return result.Refuse(code, 0)
	}
	granted := g.wait(p.id)
	g.release()
	g.mu.Unlock()
	return p.await(ctx, admit.Decision{}, granted)
}

// leave ends the request, with the time its work took; zero teaches nothing about the
// usual time.
func (p *pass) leave(took time.Duration) {
	if p.over {
		return
	}
	p.over = true
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.admitter.Done(clock.Now(), p.id, took)
	p.gate.release()
}

func (g *gate) cancel(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	g.admitter.Cancel(clock.Now(), id)
	g.release()
}

// release tells the requests that may start, or are refused, now; and sets the timer
// for the next moment at which one must be refused.
func (g *gate) release() {
	now := clock.Now()
	for _, r := range g.admitter.Next(now) {
		granted, ok := g.waiting[r.ID]
		if !ok {
			g.admitter.Cancel(now, r.ID)
			continue
		}
		delete(g.waiting, r.ID)
		granted <- r.Decision
	}
	if at, ok := g.admitter.NextWake(now); ok {
		g.timer.Reset(max(at-now, time.Millisecond))
	}
}

func (g *gate) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release()
}

// setPlans takes customers and plans from the configuration, and returns the customers'
// shares.
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
	g.release()
	return admit.Shares(plans, customers)
}

// room is what this entry knows of the backend servers for one offer.
type room struct {
	// slots is how many requests this entry may have running.
	slots int
	// capacity is what all backend servers can hold for all entries.
	capacity int
	// entries share it; 0 for all live ones.
	entries int
	// presence says whether any of them may get work.
	presence admit.Availability
}

// setRoom takes the room for each offer, shared by so many entries.
func (g *gate) setRoom(rooms map[string]room, entries int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for offer, r := range rooms {
		of := entries
		if r.entries > 0 {
			of = r.entries
		}
		g.admitter.SetAvailability(offer, r.presence)
		g.admitter.SetTotalCapacity(offer, r.capacity, of)
		g.admitter.SetCapacity(offer, r.slots)
	}
	g.release()
}

// gateState is what a dump tells of the gate.
type gateState struct {
	Waiting  int
	Admitted uint64
}

func (g *gate) dump() gateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return gateState{Waiting: len(g.waiting), Admitted: g.lastID}
}
