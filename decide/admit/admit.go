// Package admit decides which requests run, wait or are refused, according to customers' shares.
//
// Each entry keeps one Admitter for its part of the backend servers' capacity. Capacity is divided
// by weighted max-min fairness: between plans by their share, and within a plan between customers
// by their weight. Capacity that one customer leaves unused is lent to the others. A few large
// customers share the servers with many small ones, and any of them may ask for many times its
// share; a customer within its share must not wait behind, or be refused because of, one beyond its
// share.
//
// The caller passes the time since process start into every method. An Admitter is not safe for
// concurrent use.
package admit

import (
	"time"

	"github.com/apricothub/apricothub/api"
)

// Config holds the limits of admission. A zero field takes its default.
type Config struct {
	// MaxQueue limits the number of requests that wait for one offer. Default 1024.
	MaxQueue int
	// MinQueue is the number of waiting requests that each customer may have whatever its share.
	// Default 4, so that a small customer's few simultaneous requests are not refused because its
	// share is rounded down.
	MinQueue int
	// MaxWait is the longest expected wait with which a request is accepted. Default 2 s; a caller
	// that would wait longer is refused at once.
	MaxWait time.Duration
	// OverloadMaxWait replaces MaxWait during a sustained overload. Default 250 ms, at most
	// MaxWait.
	OverloadMaxWait time.Duration
	// DeadlineMargin is multiplied with the average work time to get the least time that must be
	// left before the deadline; with less a request is refused. Default 1.3: of requests started
	// with just the average time left, half would be late and their work wasted.
	DeadlineMargin float64
	// DefaultWorkTime is the work time assumed until the first request has ended. Default 500 ms.
	DefaultWorkTime time.Duration
	// MinRetryAfter and MaxRetryAfter limit the retry-after time of refusals. Defaults 100 ms and
	// 30 s.
	MinRetryAfter, MaxRetryAfter time.Duration
	// BacklogStartsTogether says that requests which wait while none runs at this entry, as after a
	// restart, start together once backend servers take them. Their waits are then those of a backlog,
	// not of a customer that keeps others waiting. Off by default, since an entry whose requests are
	// queued again by full agents also has none running.
	BacklogStartsTogether bool
	// RateBurstSeconds is the burst of a key's rate limit, in seconds of its rate. Default 1.
	RateBurstSeconds float64
}

func (c Config) withDefaults() Config {
	if c.MaxQueue <= 0 {
		c.MaxQueue = 1024
	}
	if c.MinQueue <= 0 {
		c.MinQueue = 4
	}
	if c.MaxWait <= 0 {
		c.MaxWait = 2 * time.Second
	}
	if c.OverloadMaxWait <= 0 {
		c.OverloadMaxWait = 250 * time.Millisecond
	}
	c.OverloadMaxWait = min(c.OverloadMaxWait, c.MaxWait)
	if c.DeadlineMargin < 1 {
		c.DeadlineMargin = 1.3
	}
	if c.DefaultWorkTime <= 0 {
		c.DefaultWorkTime = 500 * time.Millisecond
	}
	if c.MinRetryAfter <= 0 {
		c.MinRetryAfter = 100 * time.Millisecond
	}
	if c.MaxRetryAfter <= 0 {
		c.MaxRetryAfter = 30 * time.Second
	}
	if c.RateBurstSeconds <= 0 {
		c.RateBurstSeconds = 1
	}
	return c
}

// PlanShare is the weight of a plan relative to other plans.
type PlanShare struct {
	Name  string
	Share float64
}

// CustomerShare is the share and the limits of one customer.
type CustomerShare struct {
	Name string
	// Plan is the name of the customer's plan.
	Plan string
	// Weight is the customer's weight among the customers of its plan.
	Weight float64
	// Burst is the number of requests that the customer may have running and waiting above its
	// share while others wait.
	Burst int
	// Rate is the limit of requests per second for each key; 0 means no limit.
	Rate float64
}

// Request is a request to be admitted.
type Request struct {
	// ID is chosen by the caller and is unique among the requests that run or wait.
	ID       uint64
	Customer string
	// Key is the hash of the API key that the request came with. The rate limit applies per key, or
	// per customer if Key is zero.
	Key uint64
	// Offer is the key of the model or service that the request needs, such as "model:x".
	Offer string
	// Deadline is when the complete answer is due, on the clock of the methods' now argument.
	Deadline time.Duration
	// Priority orders the requests of one customer; higher goes first. While starts are limited, it orders
	// the requests of all customers.
	Priority int
	// OnTimeBy is when the request must start at the latest to be answered on time; zero for unknown.
	// MaxWait is the longest expected wait with which it is accepted while starts are limited; zero for
	// Config.MaxWait.
	OnTimeBy, MaxWait time.Duration
}

// Action is what to do with a request.
type Action int

// The actions.
const (
	// Start means that the request runs now; it ends with Done or Cancel.
	Start Action = iota
	// Wait means that the request is queued; Next returns it later.
	Wait
	// Refuse means that the request is rejected with Decision.Code. It has not run.
	Refuse
)

// Decision is the result of [Admitter.Admit].
type Decision struct {
	Action Action
	Code   api.ResultCode
	// RetryAfter is the time after which a similar request is expected to be accepted.
	RetryAfter time.Duration
	// Guaranteed is set with Start when the customer is within its share. It must be passed on to
	// placement.
	Guaranteed bool
}

// Release is the decision on a request that waited: it starts or is refused.
type Release struct {
	ID uint64
	Decision
}

// Admitter decides on the requests of one entry.
type Admitter struct {
	cfg       Config
	plans     map[string]float64
	customers map[string]CustomerShare
	// shares holds each customer's fraction of the total capacity.
	shares  map[string]float64
	offers  map[string]*offer
	buckets map[bucketKey]*bucket
	// requests holds the requests that run or wait, by ID.
	requests map[uint64]*request
	// offerKeys holds the keys of offers in the order of their first use.
	offerKeys []string
}

// New returns an Admitter without plans and customers; it refuses all requests until SetPlans.
func New(cfg Config) *Admitter {
	return &Admitter{
		cfg:       cfg.withDefaults(),
		plans:     make(map[string]float64),
		customers: make(map[string]CustomerShare),
		offers:    make(map[string]*offer),
		buckets:   make(map[bucketKey]*bucket),
		requests:  make(map[uint64]*request),
	}
}

// SetPlans replaces plans and customers. Requests that run or wait are kept.
func (a *Admitter) SetPlans(plans []PlanShare, customers []CustomerShare) {
	clear(a.plans)
	for _, p := range plans {
		a.plans[p.Name] = p.Share
	}
	clear(a.customers)
	for _, c := range customers {
		a.customers[c.Name] = c
	}
	a.shares = Shares(plans, customers)
	for _, o := range a.offers {
		o.updateShares(a)
	}
	clear(a.buckets)
}

// SetCapacity sets how many requests for an offer this entry may have running.
func (a *Admitter) SetCapacity(key string, slots int) {
	o := a.offer(key)
	o.slots = max(slots, 0)
	if o.slots > 0 && o.availability == Available {
		o.lastSlots = o.slots
	}
}

// ExpectWorkTime sets the work time of an offer's requests that is assumed until the first one has
// ended, instead of Config.DefaultWorkTime; zero for none. With an assumed time beyond the deadline
// of a short call, an entry that gets few of them would refuse every one that has to wait.
func (a *Admitter) ExpectWorkTime(key string, work time.Duration) {
	a.offer(key).expectedWorkTime = work
}

func (a *Admitter) offer(key string) *offer {
	o, ok := a.offers[key]
	if !ok {
		o = newOffer(key)
		o.backlogStartsTogether = a.cfg.BacklogStartsTogether
		a.offers[key] = o
		a.offerKeys = append(a.offerKeys, key)
	}
	return o
}

// Admit decides on a new request.
func (a *Admitter) Admit(now time.Duration, r Request) Decision {
	share, known := a.customers[r.Customer]
	if !known {
		return Decision{Action: Refuse, Code: api.ResultCode_UNKNOWN_KEY}
	}
	if r.Deadline <= now {
		return Decision{Action: Refuse, Code: api.ResultCode_DEADLINE_PAST}
	}
	if wait := a.takeToken(now, r, share); wait > 0 {
		return Decision{Action: Refuse, Code: api.ResultCode_RATE_LIMITED, RetryAfter: wait}
	}
	o := a.offer(r.Offer)
	c := o.customer(a, share)
	guaranteed := c.waiting.Len() == 0 && o.isGuaranteed(now, c)
	if guaranteed || o.hasSlotFor(r.Priority) {
		o.overload.record(now, false)
		return o.start(now, a.track(now, o, c, r), guaranteed)
	}
	d, refused := a.refusal(now, o, c, share, r)
	o.overload.record(now, refused)
	if refused {
		o.removeIfIdle(c)
		return d
	}
	o.enqueue(a.track(now, o, c, r))
	return Decision{Action: Wait}
}

// refusal decides whether a request that can't start now is refused at once. It returns false if
// the request is to wait.
//
// Under saturation, and when one customer is far beyond its share, queued requests would expire or
// finish late: their work takes capacity and gives no answer. The limits are expected waits, so
// that they hold for any size of deployment.
func (a *Admitter) refusal(now time.Duration, o *offer, c *customer, share CustomerShare, r Request) (Decision, bool) {
	if o.availability == Unavailable {
		return a.refuse(api.ResultCode_NO_BACKEND, unavailableRetryAfter), true
	}
	// A requeued request sets slots to zero until the next SetCapacity; only zero total slots show
	// that no backend server has the model or service.
	if o.availability == Available && o.slots == 0 && o.running == 0 && o.totalSlots == 0 {
		return a.refuse(api.ResultCode_NO_BACKEND, a.cfg.MinRetryAfter), true
	}
	if o.urgency.isLimited() && o.availability == Available {
		return a.limitedRefusal(now, o, c, r)
	}
	work := o.workTimeOr(a.cfg.DefaultWorkTime)
	wait := o.expectedWait(c, work)
	lateBy := now + wait + a.requiredTime(o) - r.Deadline
	if lateBy > 0 {
		return a.refuseUntilFree(now, o, c, api.ResultCode_DEADLINE_UNREACHABLE, lateBy), true
	}
	fair := o.fairShare(c)
	exceedsMaxWait := a.exceedsMaxWait(now, o, c, wait)
	isOverShare := float64(c.running+c.waiting.Len()) >= fair+float64(share.Burst)
	if isOverShare && o.waiting > c.waiting.Len() {
		return a.refuseUntilFree(now, o, c, api.ResultCode_OVER_SHARE, wait), true
	}
	if exceedsMaxWait {
		code := api.ResultCode_SATURATED
		if float64(c.running) > fair {
			code = api.ResultCode_OVER_SHARE
		}
		return a.refuseUntilFree(now, o, c, code, wait), true
	}
	if o.waiting >= a.cfg.MaxQueue || c.waiting.Len() >= a.queueLimit(o, fair) {
		return a.refuseUntilFree(now, o, c, api.ResultCode_SATURATED, wait), true
	}
	return Decision{}, false
}

// requiredTime is the time that must be left before the deadline when a request starts.
func (a *Admitter) requiredTime(o *offer) time.Duration {
	return time.Duration(a.cfg.DeadlineMargin * float64(o.workTimeOr(a.cfg.DefaultWorkTime)))
}

// queueLimit is the number of waiting requests that a customer may have, in proportion to its
// share.
func (a *Admitter) queueLimit(o *offer, fair float64) int {
	ratio := fair / float64(max(o.expectedSlots(), 1))
	return max(a.cfg.MinQueue, int(ratio*float64(a.cfg.MaxQueue)))
}

func (a *Admitter) track(now time.Duration, o *offer, c *customer, r Request) *request {
	tracked := &request{id: r.ID, arrived: now, offer: o, customer: c, deadline: r.Deadline, onTimeBy: r.OnTimeBy, priority: r.Priority}
	a.requests[r.ID] = tracked
	return tracked
}

// Done records that a started request has ended and how long its work took. A workTime of zero
// leaves the average unchanged. The average is of the time for which the slot was held, which also
// includes the wait at the agent.
func (a *Admitter) Done(now time.Duration, id uint64, workTime time.Duration) {
	r, ok := a.requests[id]
	if !ok || !r.running {
		return
	}
	delete(a.requests, id)
	r.offer.finish(r)
	if workTime > 0 {
		r.offer.observeWorkTime(max(workTime, now-r.started))
	}
}

// Cancel records that the caller of a running or waiting request has gone.
func (a *Admitter) Cancel(now time.Duration, id uint64) {
	r, ok := a.requests[id]
	if !ok {
		return
	}
	if r.running {
		a.Done(now, id, 0)
		return
	}
	delete(a.requests, id)
	r.offer.dequeue(r)
	r.offer.removeIfIdle(r.customer)
}
