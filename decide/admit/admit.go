// Package admit decides which requests run, wait or are refused, by customers'
// shares.
//
// Each entry keeps one Admitter for its part of the backend servers' capacity.
// Capacity is shared out weighted max-min fair: between plans by their share,
// and within a plan between customers by their weight. What one leaves unused
// goes to the others. It is made for a few large customers beside many small
// ones, and for any of them asking for many times its share. The harm prevented:
// a customer within its share waits behind, or is refused for, one beyond it.
//
// The caller passes the time, since process start, into every method. An
// Admitter is not safe for use by several goroutines at once.
package admit

import (
	"time"

	"github.com/apricothub/apricothub/api"
)

// Config holds the limits of admission. A zero field takes its default.
type Config struct {
	// MaxQueue is the most requests that wait for one offer. Default 1024.
	MaxQueue int
	// MinQueue is the number of waiting requests that each customer may have
	// whatever its share. Default 4, so that a small customer's few requests at
	// once are not refused by rounding.
	MinQueue int
	// MaxWait is the longest expected wait with which a request is still taken.
	// Default 2 s: a caller that would wait longer is better told so at once.
	MaxWait time.Duration
	// OverloadMaxWait is the same for a customer whose overload lasts. Default
	// 250 ms, but not more than MaxWait.
	OverloadMaxWait time.Duration
	// DeadlineMargin is the ratio of the time left to the usual time of the work below which
	// a request is given up. Default 1.3: of requests begun with just the usual time
	// left half would be late, and their work thrown away.
	DeadlineMargin float64
	// DefaultWorkTime is the time of one request that is assumed until the first has ended.
	// Default 500 ms.
	DefaultWorkTime time.Duration
	// MinRetryAfter and MaxRetryAfter bound the time to come back that callers are told.
	// Defaults 100 ms and 30 s.
	MinRetryAfter, MaxRetryAfter time.Duration
	// RateBurstSeconds is the number of seconds of its rate that a key may use at once.
	// Default 1.
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

// PlanShare is a plan's weight of the capacity against other plans.
type PlanShare struct {
	Name  string
	Share float64
}

// CustomerShare is what a customer may use.
type CustomerShare struct {
	Name string
	// Plan names the customer's plan.
	Plan string
	// Weight is the customer's weight among the customers of its plan.
	Weight float64
	// Burst is the number of requests that it may have running and waiting above
	// its share while others wait.
	Burst int
	// Rate is the number of requests a second for each key; 0 means no limit.
	Rate float64
}

// Request is one request that asks to run.
type Request struct {
	// ID is the caller's name for it, unique among the requests that are here.
	ID       uint64
	Customer string
	// Key is the hash of the key that the request came with; the rate counts by
	// it. Zero counts by the customer.
	Key uint64
	// Offer is the key of what it needs, such as "model:x".
	Offer string
	// Deadline is when its answer must be whole, on the caller's clock.
	Deadline time.Duration
	// Priority puts it before others of the same customer; higher goes first.
	Priority int
}

// Action is what to do with a request.
type Action int

// The actions.
const (
	// Start says to run it now; end it with Done or Cancel.
	Start Action = iota
	// Wait says that Next will return it.
	Wait
	// Refuse says that it is given up, with the code. It has not run.
	Refuse
)

// Decision is the answer to Offer.
type Decision struct {
	Action Action
	Code   api.ResultCode
	// RetryAfter is when a request like it is expected to be taken.
	RetryAfter time.Duration
	// Guaranteed says, with Start, that the customer is within its share; pass it
	// on to placement.
	Guaranteed bool
}

// Release is a request that waited and is now to be run or refused.
type Release struct {
	ID uint64
	Decision
}

// Admitter decides on the requests of one entry.
type Admitter struct {
	cfg       Config
	plans     map[string]float64
	customers map[string]CustomerShare
	// shares are the customers' parts of the whole capacity.
	shares  map[string]float64
	offers  map[string]*offer
	buckets map[bucketKey]*bucket
	// requests are the requests that run or wait.
	requests map[uint64]*request
	// offerKeys are the keys of the offers, in the order in which they came.
	offerKeys []string
}

// New returns an admitter that knows no customer yet.
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

// SetPlans replaces plans and customers. Requests that are here keep their place.
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

func (a *Admitter) offer(key string) *offer {
	o, ok := a.offers[key]
	if !ok {
		o = newOffer(key)
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
	if guaranteed || o.running < o.slots && o.waiting == 0 {
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

// refusal says whether a request that can't start now is refused at once.
//
// Load: saturation, and one customer far beyond its share. Harm prevented: work
// that waits and then expires, or that runs and is late, which takes capacity
// and gives no answer. Each limit is an expected wait, so it holds for any size.
func (a *Admitter) refusal(now time.Duration, o *offer, c *customer, share CustomerShare, r Request) (Decision, bool) {
	if o.availability == Unavailable {
		return a.refuse(api.ResultCode_NO_BACKEND, unavailableRetryAfter), true
	}
	// A postponed start takes the slots away until they are measured anew; that nobody
	// offers the work shows only in the total.
	if o.availability == Available && o.slots == 0 && o.running == 0 && o.total == 0 {
		return a.refuse(api.ResultCode_NO_BACKEND, a.cfg.MinRetryAfter), true
	}
	work := o.workTimeOr(a.cfg.DefaultWorkTime)
	wait := o.expectedWait(c, work)
	late := now + wait + a.requiredTime(o) - r.Deadline
	if late > 0 {
		return a.refuseUntilFree(now, o, c, api.ResultCode_DEADLINE_UNREACHABLE, late), true
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

// queueLimit is the part of the queue that a customer may fill.
func (a *Admitter) queueLimit(o *offer, fair float64) int {
	ratio := fair / float64(max(o.expectedSlots(), 1))
	return max(a.cfg.MinQueue, int(ratio*float64(a.cfg.MaxQueue)))
}

func (a *Admitter) track(now time.Duration, o *offer, c *customer, r Request) *request {
	tracked := &request{id: r.ID, arrived: now, offer: o, customer: c, deadline: r.Deadline, priority: r.Priority}
	a.requests[r.ID] = tracked
	return tracked
}

// Done says that a request that was started has ended, and how long its work
// took. A took of zero teaches nothing about the usual time. What is learned is
// how long the place was held, which is longer by the wait at the agent.
func (a *Admitter) Done(now time.Duration, id uint64, took time.Duration) {
	r, ok := a.requests[id]
	if !ok || !r.running {
		return
	}
	delete(a.requests, id)
	r.offer.finish(r)
	if took > 0 {
		r.offer.observeWorkTime(max(took, now-r.started))
	}
}

// Cancel says that the caller of a request has gone, whether it runs or waits.
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
