package admit

import (
	"time"

	"github.com/apricothub/apricothub/decide/internal/heap"
)

// leastShare stands for a share or weight of zero, which would never be served.
const leastShare = 1e-6

// offer is the state of one kind of work: two levels of shares, plans above
// their customers.
type offer struct {
	key   string
	slots int
	// measured is the last room that was not none.
	measured int
	presence Presence
	// total is what all backend servers can hold, entries the number of entries.
	total, entries int
	running        int
	waiting        int
	plans          map[string]*plan
	// ready are the plans with waiting requests, least served first.
	ready  heap.Heap[*plan]
	expiry heap.Heap[*request]
	// active is the sum of the shares of plans with any request here.
	active      float64
	activePlans int
	// freed are customers of whom a request ended while others wait.
	freed []*customer
	// pressure tells whether an overload lasts.
	pressure pressure
	// work is the smoothed time that one request holds its place, with what it
	// waits at the agent.
	work time.Duration
}

// plan is the state of one plan at one offer.
type plan struct {
	name      string
	share     float64
	running   int
	waiting   int
	customers map[string]*customer
	// ready are the customers with waiting requests, least served first.
	ready heap.Heap[*customer]
	// active is the sum of the weights of customers with any request here.
	active          float64
	activeCustomers int
	index           int
}

// customer is the state of one customer at one offer.
type customer struct {
	name    string
	plan    *plan
	weight  float64
	running int
	// share is the customer's part of the whole capacity; allow the part of that
	// which is guaranteed, as of allowAt.
	share   float64
	allow   float64
	allowAt time.Duration
	// promised is when the last request that was refused was told to come back.
	promised time.Duration
	// active says that it is counted in the sums of active shares.
	active  bool
	waiting heap.Heap[*request]
	index   int
}

// request is one request that runs or waits.
type request struct {
	id       uint64
	offer    *offer
	customer *customer
	arrived  time.Duration
	deadline time.Duration
	priority int
	running  bool
	// guaranteed says that it was started by the customer's guarantee.
	guaranteed bool
	started    time.Duration
	// byDeadline and byExpiry are its places in the two heaps while it waits.
	byDeadline, byExpiry int
}

func newOffer(key string) *offer {
	o := &offer{key: key, plans: make(map[string]*plan)}
	o.ready = heap.Heap[*plan]{Less: planLess, Moved: func(p *plan, i int) { p.index = i }}
	o.expiry = heap.Heap[*request]{Less: expiryLess, Moved: func(r *request, i int) { r.byExpiry = i }}
	return o
}

func newPlan(name string, share float64) *plan {
	p := &plan{name: name, share: max(share, leastShare), customers: make(map[string]*customer), index: -1}
	p.ready = heap.Heap[*customer]{Less: customerLess, Moved: func(c *customer, i int) { c.index = i }}
	return p
}

func newCustomer(p *plan, share CustomerShare) *customer {
	c := &customer{name: share.Name, plan: p, weight: max(share.Weight, leastShare), allow: 1, index: -1}
	c.waiting = heap.Heap[*request]{Less: requestLess, Moved: func(r *request, i int) { r.byDeadline = i }}
	return c
}

// planLess puts the plan that runs least for its share first. That is the
// max-min rule: a free place goes to the worst served who wants it.
func planLess(a, b *plan) bool {
	return float64(a.running)*b.share < float64(b.running)*a.share
}

func customerLess(a, b *customer) bool {
	return float64(a.running)*b.weight < float64(b.running)*a.weight
}

func requestLess(a, b *request) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.deadline < b.deadline
}

func expiryLess(a, b *request) bool { return a.deadline < b.deadline }

// customer returns the state of a customer, new if it has no request here.
func (o *offer) customer(a *Admitter, share CustomerShare) *customer {
	p, ok := o.plans[share.Plan]
	if !ok {
		p = newPlan(share.Plan, a.plans[share.Plan])
		o.plans[share.Plan] = p
	}
	c, ok := p.customers[share.Name]
	if !ok {
		c = newCustomer(p, share)
		c.share = a.shares[share.Name]
		p.customers[share.Name] = c
	}
	return c
}

// enter counts a customer as active with its first request.
func (o *offer) enter(c *customer) {
	if c.active {
		return
	}
	c.active = true
	p := c.plan
	p.active += c.weight
	p.activeCustomers++
	if p.activeCustomers == 1 {
		o.active += p.share
		o.activePlans++
	}
}

// leave forgets a customer with its last request, so that memory and shares
// follow the customers who are here.
func (o *offer) leave(c *customer) {
	if c.running+c.waiting.Len() > 0 {
		return
	}
	p := c.plan
	delete(p.customers, c.name)
	if !c.active {
		return
	}
	c.active = false
	p.active -= c.weight
	p.activeCustomers--
	if p.activeCustomers > 0 {
		return
	}
	p.active = 0
	o.active -= p.share
	o.activePlans--
	if o.activePlans == 0 {
		o.active = 0
	}
}

// reweigh takes in new shares and weights.
func (o *offer) reweigh(a *Admitter) {
	o.active = 0
	for name, p := range o.plans {
		if p.activeCustomers == 0 {
			delete(o.plans, name)
			continue
		}
		p.share = max(a.plans[name], leastShare)
		o.active += p.share
		p.reweigh(a)
	}
	o.ready.Init()
}

func (p *plan) reweigh(a *Admitter) {
	p.active = 0
	for name, c := range p.customers {
		c.weight = max(a.customers[name].Weight, leastShare)
		c.share = a.shares[name]
		p.active += c.weight
	}
	p.ready.Init()
}

// fair is the part of the slots that is the customer's own among those who are
// here now, in requests.
func (o *offer) fair(c *customer) float64 {
	p := c.plan
	shares, weights := o.active, p.active
	if !c.active {
		weights += c.weight
	}
	if p.activeCustomers == 0 {
		shares += p.share
	}
	return float64(o.judged()) * (p.share / shares) * (c.weight / weights)
}

// expectedWait is the time until one more request of a customer would start.
//
// Up to its share a customer gets the places that free up anywhere; beyond, only
// those that its share, or what it holds already, frees up.
func (o *offer) expectedWait(c *customer, work time.Duration) time.Duration {
	ahead := float64(c.waiting.Len() + 1)
	fair := o.fair(c)
	owed := min(max(fair-float64(c.running), 0), ahead)
	pace := o.pace(c)
	slots := float64(max(o.judged(), 1))
	return time.Duration(float64(work) * (owed/slots + (ahead-owed)/pace))
}

func (o *offer) workTime(unknown time.Duration) time.Duration {
	if o.work == 0 {
		return unknown
	}
	return o.work
}

func (o *offer) start(now time.Duration, r *request, guaranteed bool) Decision {
	o.enter(r.customer)
	r.running = true
	r.guaranteed = guaranteed
	r.started = now
	o.count(r.customer, 1)
	return Decision{Action: Start, Guaranteed: guaranteed}
}

// count changes the number of running requests and keeps the orders by it.
func (o *offer) count(c *customer, by int) {
	o.running += by
	c.running += by
	c.plan.running += by
	if c.index >= 0 {
		c.plan.ready.Fix(c.index)
	}
	if c.plan.index >= 0 {
		o.ready.Fix(c.plan.index)
	}
}

func (o *offer) push(r *request) {
	c := r.customer
	o.enter(c)
	c.waiting.Push(r)
	o.expiry.Push(r)
	o.waiting++
	c.plan.waiting++
	if c.index < 0 {
		c.plan.ready.Push(c)
	}
	if c.plan.index < 0 {
		o.ready.Push(c.plan)
	}
}

// take takes a waiting request out of the queue. The caller calls leave after
// it, unless the request starts.
func (o *offer) take(r *request) {
	c := r.customer
	c.waiting.Remove(r.byDeadline)
	o.expiry.Remove(r.byExpiry)
	o.waiting--
	c.plan.waiting--
	if c.waiting.Len() == 0 {
		c.plan.ready.Remove(c.index)
	}
	if c.plan.waiting == 0 {
		o.ready.Remove(c.plan.index)
	}
}

func (o *offer) done(r *request) {
	o.count(r.customer, -1)
	if r.customer.waiting.Len() > 0 {
		o.freed = append(o.freed, r.customer)
	}
	o.leave(r.customer)
}

// learn takes in how long a request held its place.
func (o *offer) learn(held time.Duration) {
	if o.work == 0 {
		o.work = held
	}
	o.work += (held - o.work) / 16
}

// next returns the waiting request whose turn it is.
func (o *offer) next() *request {
	return o.ready.Top().ready.Top().waiting.Top()
}
