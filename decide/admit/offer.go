package admit

import (
	"time"

	"github.com/apricothub/apricothub/decide/internal/heap"
)

// minShare stands for a share or weight of zero, which would never be served.
const minShare = 1e-6

// offer is the state of one kind of work: two levels of shares, plans above
// their customers.
type offer struct {
	key   string
	slots int
	// lastSlots is the last room that was not none.
	lastSlots    int
	availability Availability
	// total is what all backend servers can hold, entries the number of entries.
	total, entries int
	running        int
	waiting        int
	plans          map[string]*plan
	// ready are the plans with waiting requests, least served first.
	ready  heap.Heap[*plan]
	expiry heap.Heap[*request]
	// activeShares is the sum of the shares of plans with any request here.
	activeShares float64
	activePlans  int
	// freedCustomers are customers of whom a request ended while others wait.
	freedCustomers []*customer
	// overload tells whether an overload lasts.
	overload overloadDetector
	// avgWorkTime is the smoothed time that one request holds its place, with what it
	// waits at the agent.
	avgWorkTime time.Duration
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
	// activeWeights is the sum of the weights of customers with any request here.
	activeWeights   float64
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
	share              float64
	guaranteeRatio     float64
	guaranteeUpdatedAt time.Duration
	// lastRetryAt is when the last request that was refused was told to come back.
	lastRetryAt time.Duration
	// isActive says that it is counted in the sums of isActive shares.
	isActive bool
	waiting  heap.Heap[*request]
	index    int
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
	// queueIndex and expiryIndex are its places in the two heaps while it waits.
	queueIndex, expiryIndex int
}

func newOffer(key string) *offer {
	o := &offer{key: key, plans: make(map[string]*plan)}
	o.ready = heap.Heap[*plan]{Less: planLess, Moved: func(p *plan, i int) { p.index = i }}
	o.expiry = heap.Heap[*request]{Less: expiryLess, Moved: func(r *request, i int) { r.expiryIndex = i }}
	return o
}

func newPlan(name string, share float64) *plan {
	p := &plan{name: name, share: max(share, minShare), customers: make(map[string]*customer), index: -1}
	p.ready = heap.Heap[*customer]{Less: customerLess, Moved: func(c *customer, i int) { c.index = i }}
	return p
}

func newCustomer(p *plan, share CustomerShare) *customer {
	c := &customer{name: share.Name, plan: p, weight: max(share.Weight, minShare), guaranteeRatio: 1, index: -1}
	c.waiting = heap.Heap[*request]{Less: requestLess, Moved: func(r *request, i int) { r.queueIndex = i }}
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

// activate counts a customer as active with its first request.
func (o *offer) activate(c *customer) {
	if c.isActive {
		return
	}
	c.isActive = true
	p := c.plan
	p.activeWeights += c.weight
	p.activeCustomers++
	if p.activeCustomers == 1 {
		o.activeShares += p.share
		o.activePlans++
	}
}

// removeIfIdle forgets a customer with its last request, so that memory and shares
// follow the customers who are here.
func (o *offer) removeIfIdle(c *customer) {
	if c.running+c.waiting.Len() > 0 {
		return
	}
	p := c.plan
	delete(p.customers, c.name)
	if !c.isActive {
		return
	}
	c.isActive = false
	p.activeWeights -= c.weight
	p.activeCustomers--
	if p.activeCustomers > 0 {
		return
	}
	p.activeWeights = 0
	o.activeShares -= p.share
	o.activePlans--
	if o.activePlans == 0 {
		o.activeShares = 0
	}
}

// updateShares takes in new shares and weights.
func (o *offer) updateShares(a *Admitter) {
	o.activeShares = 0
	for name, p := range o.plans {
		if p.activeCustomers == 0 {
			delete(o.plans, name)
			continue
		}
		p.share = max(a.plans[name], minShare)
		o.activeShares += p.share
		p.reweigh(a)
	}
	o.ready.Init()
}

func (p *plan) reweigh(a *Admitter) {
	p.activeWeights = 0
	for name, c := range p.customers {
		c.weight = max(a.customers[name].Weight, minShare)
		c.share = a.shares[name]
		p.activeWeights += c.weight
	}
	p.ready.Init()
}

// fairShare is the part of the slots that is the customer's own among those who are
// here now, in requests.
func (o *offer) fairShare(c *customer) float64 {
	p := c.plan
	shares, weights := o.activeShares, p.activeWeights
	if !c.isActive {
		weights += c.weight
	}
	if p.activeCustomers == 0 {
		shares += p.share
	}
	return float64(o.expectedSlots()) * (p.share / shares) * (c.weight / weights)
}

// expectedWait is the time until one more request of a customer would start.
//
// Up to its share a customer gets the places that free up anywhere; beyond, only
// those that its share, or what it holds already, frees up.
func (o *offer) expectedWait(c *customer, work time.Duration) time.Duration {
	ahead := float64(c.waiting.Len() + 1)
	fair := o.fairShare(c)
	withinShare := min(max(fair-float64(c.running), 0), ahead)
	concurrency := o.expectedConcurrency(c)
	slots := float64(max(o.expectedSlots(), 1))
	return time.Duration(float64(work) * (withinShare/slots + (ahead-withinShare)/concurrency))
}

func (o *offer) workTimeOr(fallback time.Duration) time.Duration {
	if o.avgWorkTime == 0 {
		return fallback
	}
	return o.avgWorkTime
}

func (o *offer) start(now time.Duration, r *request, guaranteed bool) Decision {
	o.activate(r.customer)
	r.running = true
	r.guaranteed = guaranteed
	r.started = now
	o.addRunning(r.customer, 1)
	return Decision{Action: Start, Guaranteed: guaranteed}
}

// addRunning changes the number of running requests and keeps the orders by it.
func (o *offer) addRunning(c *customer, delta int) {
	o.running += delta
	c.running += delta
	c.plan.running += delta
	if c.index >= 0 {
		c.plan.ready.Fix(c.index)
	}
	if c.plan.index >= 0 {
		o.ready.Fix(c.plan.index)
	}
}

func (o *offer) enqueue(r *request) {
	c := r.customer
	o.activate(c)
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

// dequeue takes a waiting request out of the queue. The caller calls leave after
// it, unless the request starts.
func (o *offer) dequeue(r *request) {
	c := r.customer
	c.waiting.Remove(r.queueIndex)
	o.expiry.Remove(r.expiryIndex)
	o.waiting--
	c.plan.waiting--
	if c.waiting.Len() == 0 {
		c.plan.ready.Remove(c.index)
	}
	if c.plan.waiting == 0 {
		o.ready.Remove(c.plan.index)
	}
}

func (o *offer) finish(r *request) {
	o.addRunning(r.customer, -1)
	if r.customer.waiting.Len() > 0 {
		o.freedCustomers = append(o.freedCustomers, r.customer)
	}
	o.removeIfIdle(r.customer)
}

// observeWorkTime takes in how long a request held its place.
func (o *offer) observeWorkTime(held time.Duration) {
	if o.avgWorkTime == 0 {
		o.avgWorkTime = held
	}
	o.avgWorkTime += (held - o.avgWorkTime) / 16
}

// head returns the waiting request whose turn it is.
func (o *offer) head() *request {
	return o.ready.Top().ready.Top().waiting.Top()
}
