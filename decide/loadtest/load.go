package loadtest

import (
	"math"
	"time"

	"github.com/apricothub/apricothub/api"
)

// Customer describes the callers of one customer.
type Customer struct {
	Name, Plan string
	Weight     float64
	// Rate is the number of requests per second; they arrive at random times.
	Rate float64
	// From and To limit the time in which its callers send requests; a To of 0 means no end.
	From, To time.Duration
	// Deadline is the time that callers give a request. Default 10 s.
	Deadline time.Duration
	// TimeToFirstToken and TimeToEnd are the service times of its requests, alone at a warm backend
	// server. Default 150 ms and 800 ms, for 40 tokens.
	TimeToFirstToken, TimeToEnd time.Duration
	// LongFraction is the fraction of its requests that take LongFactor times as long.
	LongFraction, LongFactor float64
	// Clients is the number of its callers, each of which stays with one entry for 5 s. Default 4.
	Clients int
	// IgnoresRetryAfter says that callers retry after stormRetryDelay, whatever Retry-After says.
	IgnoresRetryAfter bool
	// HonorsRetryAfter says that callers retry once, after the time in Retry-After, with a new
	// deadline.
	HonorsRetryAfter bool
	// RepeatableFraction is the fraction of its requests that may be sent again. Default 1.
	RepeatableFraction float64
}

// tokensPerAnswer is the number of tokens of an answer.
const tokensPerAnswer = 40

// stormRetryDelay is the time after which callers in a retry storm retry.
const stormRetryDelay = 200 * time.Millisecond

// entryAffinity is the time that a caller stays with one entry.
const entryAffinity = 5 * time.Second

// result is how a request ended for its caller.
type result int

const (
	unfinished result = iota
	inTime
	late
	refused
	failed
)

// request is one request of a caller.
type request struct {
	id                          uint64
	customer                    string
	run                         *Run
	spec                        *Customer
	arrivedAt                   time.Duration
	deadline                    time.Duration
	timeToFirstToken, timeToEnd time.Duration
	size                        float64
	repeatable                  bool
	guaranteed                  bool
	weight                      float64
	entry                       *entry
	currentAttempt              *attempt
	tried                       []string
	firstTokenAt                time.Duration
	endedAt                     time.Duration
	result                      result
	code                        api.ResultCode
	retryAfter                  time.Duration
	submissions                 int
}

func (r *Run) addCustomer(c Customer) {
	if c.Deadline == 0 {
		c.Deadline = 10 * time.Second
	}
	if c.TimeToFirstToken == 0 {
		c.TimeToFirstToken = defaultTimeToFirstToken
	}
	if c.TimeToEnd == 0 {
		c.TimeToEnd = defaultTimeToEnd
	}
	if c.Clients == 0 {
		c.Clients = 4
	}
	if c.RepeatableFraction == 0 {
		c.RepeatableFraction = 1
	}
	if c.Rate == 0 {
		return
	}
	clients := make([]*entry, c.Clients)
	r.clock.every(c.From, entryAffinity, func() {
		for i := range clients {
			clients[i] = r.chooseEntry()
		}
	})
	r.clock.after(c.From+r.nextArrivalDelay(c.Rate), func() { r.addRequest(&c, clients) })
}

// nextArrivalDelay draws the time to the next arrival of a Poisson process.
func (r *Run) nextArrivalDelay(rate float64) time.Duration {
	return time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
}

// addRequest creates a request of a customer, sends it to an entry and schedules the next one.
func (r *Run) addRequest(c *Customer, clients []*entry) {
	now := r.clock.now
	if c.To > 0 && now >= c.To || r.setup.StopArrivalsAt > 0 && now >= r.setup.StopArrivalsAt {
		return
	}
	sizeFactor := math.Exp(sizeLogStdDev * r.rng.NormFloat64())
	if r.rng.Float64() < c.LongFraction {
		sizeFactor *= c.LongFactor
	}
	q := &request{
		weight: r.customerWeights[c.Name], size: sizeFactor,
		id: uint64(len(r.requests) + 1), customer: c.Name, run: r, spec: c, arrivedAt: now, deadline: now + c.Deadline,
		timeToFirstToken: time.Duration(float64(c.TimeToFirstToken) * sizeFactor),
		timeToEnd:        time.Duration(float64(c.TimeToEnd) * sizeFactor),
		repeatable:       r.rng.Float64() < c.RepeatableFraction,
	}
	r.requests = append(r.requests, q)
	client := clients[r.rng.IntN(len(clients))]
	r.clock.after(c.Deadline, func() { q.entry.expire(q) })
	q.sendTo(client)
	r.clock.after(r.nextArrivalDelay(c.Rate), func() { r.addRequest(c, clients) })
}

func (q *request) sendTo(e *entry) {
	q.submissions++
	e.submit(q)
}

func (q *request) finish(result result) {
	if q.result != unfinished {
		return
	}
	q.result = result
	q.endedAt = q.run.clock.now
}

func (q *request) answered(broken bool) {
	if broken {
		q.finish(failed)
		return
	}
	q.finish(inTime)
}

func (q *request) late() { q.finish(late) }

// refused ends the request, unless its caller retries.
func (q *request) refused(code api.ResultCode, retryAfter time.Duration) {
	if q.spec.IgnoresRetryAfter && q.run.clock.now+stormRetryDelay < q.deadline {
		q.tried = nil
		q.run.clock.after(stormRetryDelay, func() {
			q.sendTo(q.run.entries[q.run.rng.IntN(len(q.run.entries))])
		})
		return
	}
	if q.spec.HonorsRetryAfter && q.submissions == 1 && retryAfter > 0 {
		q.tried = nil
		q.deadline = q.run.clock.now + retryAfter + q.spec.Deadline
		q.run.clock.after(retryAfter, func() { q.sendTo(q.entry) })
		q.run.clock.after(retryAfter+q.spec.Deadline, func() { q.entry.expire(q) })
		return
	}
	q.code, q.retryAfter = code, retryAfter
	q.finish(refused)
}
