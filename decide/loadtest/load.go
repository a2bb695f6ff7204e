package loadtest

import (
	"math"
	"time"

	"github.com/apricothub/apricothub/api"
)

// Customer describes one customer's callers.
type Customer struct {
	Name, Plan string
	Weight     float64
	// Rate is the number of requests a second, at random times.
	Rate float64
	// From and To bound the time in which it asks; To of 0 means for ever.
	From, To time.Duration
	// Deadline is the time that callers give a request, default 10 s.
	Deadline time.Duration
	// ToFirst and ToEnd are the service times of its requests, alone at a warm
	// backend server: default 150 ms and 800 ms, 40 tokens.
	ToFirst, ToEnd time.Duration
	// LongPart is the part of its requests that take LongFactor times as long.
	LongPart, LongFactor float64
	// Clients is the number of its callers, each of which keeps to one entry for
	// 5 s. Default 4.
	Clients int
	// Storm callers ask again after stormPause, whatever they were told.
	Storm bool
	// Honour callers come back once when Retry-After says, with a new deadline.
	Honour bool
	// Repeatable is the part of its requests that may be sent again. Default 1.
	Repeatable float64
}

// tokens is the number of tokens of an answer.
const tokens = 40

// stormPause is the time after which callers in a retry storm ask again.
const stormPause = 200 * time.Millisecond

// keep is the time that a caller keeps to one entry.
const keep = 5 * time.Second

// result is what a caller got in the end.
type result int

const (
	open result = iota
	inTime
	late
	refused
	failed
)

// request is one request of a caller.
type request struct {
	id             uint64
	customer       string
	run            *Run
	spec           *Customer
	arrived        time.Duration
	deadline       time.Duration
	toFirst, toEnd time.Duration
	size           float64
	repeatable     bool
	guaranteed     bool
	weight         float64
	entry          *entry
	current        *attempt
	tried          []string
	first          time.Duration
	end            time.Duration
	result         result
	code           api.ResultCode
	after          time.Duration
	asked          int
}

func (r *Run) addCustomer(c Customer) {
	if c.Deadline == 0 {
		c.Deadline = 10 * time.Second
	}
	if c.ToFirst == 0 {
		c.ToFirst = usualFirst
	}
	if c.ToEnd == 0 {
		c.ToEnd = usualEnd
	}
	if c.Clients == 0 {
		c.Clients = 4
	}
	if c.Repeatable == 0 {
		c.Repeatable = 1
	}
	if c.Rate == 0 {
		return
	}
	clients := make([]*entry, c.Clients)
	r.clock.every(c.From, keep, func() {
		for i := range clients {
			clients[i] = r.anEntry()
		}
	})
	r.clock.after(c.From+r.gap(c.Rate), func() { r.arrive(&c, clients) })
}

func (r *Run) gap(rate float64) time.Duration {
	return time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
}

func (r *Run) arrive(c *Customer, clients []*entry) {
	now := r.clock.now
	if c.To > 0 && now >= c.To || r.setup.Stop > 0 && now >= r.setup.Stop {
		return
	}
	stretch := math.Exp(spread * r.rng.NormFloat64())
	if r.rng.Float64() < c.LongPart {
		stretch *= c.LongFactor
	}
	q := &request{
		weight: r.weights[c.Name], size: stretch,
		id: uint64(len(r.requests) + 1), customer: c.Name, run: r, spec: c, arrived: now, deadline: now + c.Deadline,
		toFirst:    time.Duration(float64(c.ToFirst) * stretch),
		toEnd:      time.Duration(float64(c.ToEnd) * stretch),
		repeatable: r.rng.Float64() < c.Repeatable,
	}
	r.requests = append(r.requests, q)
	client := clients[r.rng.IntN(len(clients))]
	r.clock.after(c.Deadline, func() { q.entry.expire(q) })
	q.ask(client)
	r.clock.after(r.gap(c.Rate), func() { r.arrive(c, clients) })
}

func (q *request) ask(e *entry) {
	q.asked++
	e.offer(q)
}

func (q *request) finish(result result) {
	if q.result != open {
		return
	}
	q.result = result
	q.end = q.run.clock.now
}

func (q *request) answered(broken bool) {
	if broken {
		q.finish(failed)
		return
	}
	q.finish(inTime)
}

func (q *request) late() { q.finish(late) }

func (q *request) refused(code api.ResultCode, after time.Duration) {
	if q.spec.Storm && q.run.clock.now+stormPause < q.deadline {
		q.tried = nil
		q.run.clock.after(stormPause, func() {
			q.ask(q.run.entries[q.run.rng.IntN(len(q.run.entries))])
		})
		return
	}
	if q.spec.Honour && q.asked == 1 && after > 0 {
		q.tried = nil
		q.deadline = q.run.clock.now + after + q.spec.Deadline
		q.run.clock.after(after, func() { q.ask(q.entry) })
		q.run.clock.after(after+q.spec.Deadline, func() { q.entry.expire(q) })
		return
	}
	q.code, q.after = code, after
	q.finish(refused)
}
