package admit

import (
	"time"

	"github.com/apricothub/apricothub/decide/internal/heap"
)

// minShare replaces a share or weight of zero, with which a customer would never be served.
const minShare = 1e-6

// offer is the state of one model or service: two levels of shares, plans above their customers.
type offer struct {
	key   string
	slots int
	// backlogStartsTogether is the field of that name of Config.
	backlogStartsTogether bool
	// lastSlots is the last known nonzero number of slots, from which waits are computed while
	// backend servers are pending.
	lastSlots    int
	availability Availability
	// totalSlots is the number of requests that all backend servers can hold, and entries the
	// number of live entries.
	totalSlots, entries int
	running             int
	waiting             int
	plans               map[string]*plan
	// ready holds the plans with waiting requests, least served first.
	ready  heap.Heap[*plan]
	expiry heap.Heap[*request]
	// activeShares is the sum of the shares of plans with running or waiting requests.
	activeShares float64
	activePlans  int
	// freedCustomers are customers with waiting requests of which one has ended.
	freedCustomers []*customer
	overload       overloadDetector
	urgency        urgency
	// avgWorkTime is a moving average of the time for which a request holds its slot, including its
	// wait at the agent. expectedWorkTime is used until it is known; zero for the default.
	avgWorkTime, expectedWorkTime time.Duration
}

// plan is the state of one plan at one offer.
type plan struct {
	name      string
	share     float64
	running   int
	waiting   int
	customers map[string]*customer
	// ready holds the customers with waiting requests, least served first.
	ready heap.Heap[*customer]
	// activeWeights is the sum of the weights of customers with running or waiting requests.
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
	// runningByPriority counts the running requests by priority.
	runningByPriority map[int]int
	// share is the customer's fraction of the total capacity, and guaranteeRatio the fraction of
	// that share which is guaranteed, as of guaranteeUpdatedAt.
	share              float64
	guaranteeRatio     float64
	guaranteeUpdatedAt time.Duration
	// lastRetryAt is the retry time given to the last refused request.
	lastRetryAt time.Duration
	// isActive is set while the customer counts in the sums of active shares and weights.
	isActive bool
	waiting  heap.Heap[*request]
	index    int
}

// request is a running or waiting request.
type request struct {
	id       uint64
	offer    *offer
	customer *customer
	arrived  time.Duration
	deadline time.Duration
	onTimeBy time.Duration
	priority int
	running  bool
	// guaranteed is set if the request was started under the customer's guarantee.
	guaranteed bool
	started    time.Duration
	// queueIndex and expiryIndex are the positions in the two heaps while the request waits.
	queueIndex, expiryIndex int
}

func newOffer(key string) *offer {
	o := &offer{key: key, plans: make(map[string]*plan), urgency: newUrgency()}
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
	c := &customer{name: share.Name, plan: p, weight: max(share.Weight, minShare), guaranteeRatio: 1, index: -1, runningByPriority: make(map[int]int)}
	c.waiting = heap.Heap[*request]{Less: requestLess, Moved: func(r *request, i int) { r.queueIndex = i }}
	return c
}

// planLess puts the plan with the fewest running requests for its share first. This is max-min
// fairness: a free slot goes to the least served plan with waiting requests.
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

// customer returns the state of a customer and creates it if it does not exist.
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

// activate adds a customer to the sums of active shares with its first request.
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

// removeIfIdle deletes the state of a customer without requests, so that memory and shares depend
// on active customers only.
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

// updateShares applies new shares and weights.
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

// fairShare is the number of slots that a customer is entitled to among the active customers.
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
// Up to its share, a customer gets any slot that becomes free. Beyond, it gets only those freed by
// its share or by its own running requests. With Config.BacklogStartsTogether and none running, it
// waits no longer than if it came last of all.
func (o *offer) expectedWait(c *customer, work time.Duration) time.Duration {
	ahead := float64(c.waiting.Len() + 1)
	fair := o.fairShare(c)
	withinShare := min(max(fair-float64(c.running), 0), ahead)
	concurrency := o.expectedConcurrency(c)
	slots := float64(max(o.expectedSlots(), 1))
	byShare := withinShare/slots + (ahead-withinShare)/concurrency
	if o.backlogStartsTogether && o.running == 0 {
		byShare = min(byShare, float64(o.waiting+1)/slots)
	}
	return time.Duration(float64(work) * byShare)
}

func (o *offer) workTimeOr(fallback time.Duration) time.Duration {
	switch {
	case o.avgWorkTime > 0:
		return o.avgWorkTime
	case o.expectedWorkTime > 0:
		return o.expectedWorkTime
	}
	return fallback
}

func (o *offer) start(now time.Duration, r *request, guaranteed bool) Decision {
	o.activate(r.customer)
	r.running = true
	r.guaranteed = guaranteed
	r.started = now
	o.addRunning(r, 1)
	return Decision{Action: Start, Guaranteed: guaranteed}
}

// addRunning changes the number of running requests and updates the heaps ordered by it.
func (o *offer) addRunning(r *request, delta int) {
	c := r.customer
	o.running += delta
	c.running += delta
	addCount(c.runningByPriority, r.priority, delta)
	addCount(o.urgency.running, r.priority, delta)
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
	addCount(o.urgency.waiting, r.priority, 1)
	o.waiting++
	c.plan.waiting++
	if c.index < 0 {
		c.plan.ready.Push(c)
	}
	if c.plan.index < 0 {
		o.ready.Push(c.plan)
	}
}

// dequeue removes a waiting request from the queue. The caller must call removeIfIdle afterwards,
// unless the request starts.
func (o *offer) dequeue(r *request) {
	c := r.customer
	c.waiting.Remove(r.queueIndex)
	o.expiry.Remove(r.expiryIndex)
	addCount(o.urgency.waiting, r.priority, -1)
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
	o.addRunning(r, -1)
	if r.customer.waiting.Len() > 0 {
		o.freedCustomers = append(o.freedCustomers, r.customer)
	}
	o.removeIfIdle(r.customer)
}

// observeWorkTime adds the time for which a request held its slot to the average.
func (o *offer) observeWorkTime(held time.Duration) {
	if o.avgWorkTime == 0 {
		o.avgWorkTime = held
	}
	o.avgWorkTime += (held - o.avgWorkTime) / 16
}

// head returns the waiting request to be served next.
func (o *offer) head() *request {
	return o.ready.Top().ready.Top().waiting.Top()
}
