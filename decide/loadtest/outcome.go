package loadtest

import (
	"slices"
	"time"
)

// Outcome is what callers saw of the requests that arrived in some time.
type Outcome struct {
	Asked, InTime, Late, Refused, Failed int
	// Asks counts requests with those asked again after a refusal.
	Asks int
	// First, Between and ToRefusal are sorted times to the first token, between
	// tokens, and to refusals.
	First, Between, ToRefusal []time.Duration
	// Codes counts refusals by code.
	Codes map[string]int
}

// Outcome sums up one customer's requests, or all for an empty name, that arrived
// in [from, to).
func (r *Run) Outcome(customer string, from, to time.Duration) Outcome {
	out := Outcome{Codes: map[string]int{}}
	for _, q := range r.requests {
		if q.arrived < from || q.arrived >= to || customer != "" && q.customer != customer {
			continue
		}
		out.add(q)
	}
	slices.Sort(out.First)
	slices.Sort(out.Between)
	slices.Sort(out.ToRefusal)
	return out
}

func (o *Outcome) add(q *request) {
	o.Asked++
	o.Asks += q.asked
	switch q.result {
	case inTime:
		o.InTime++
		o.First = append(o.First, q.first-q.arrived)
		o.Between = append(o.Between, (q.end-q.first)/tokens)
	case refused:
		o.Refused++
		o.ToRefusal = append(o.ToRefusal, q.end-q.arrived)
		o.Codes[q.code.String()]++
	case failed:
		o.Failed++
	case late:
		o.Late++
	case open:
	}
}

// Share is the part of the requests that were answered whole and in time.
func (o Outcome) Share() float64 {
	if o.Asked == 0 {
		return 1
	}
	return float64(o.InTime) / float64(o.Asked)
}

// Quantile returns the value below which a part q of sorted times lie.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Goodput is the number of answers in time that ended a second in [from, to).
func (r *Run) Goodput(from, to time.Duration) float64 {
	count := 0
	for _, q := range r.requests {
		if q.result == inTime && q.end >= from && q.end < to {
			count++
		}
	}
	return float64(count) / (to - from).Seconds()
}

// Cost is what the run cost the backend servers.
type Cost struct {
	// Overloads counts requests given to a cold backend server beyond what it
	// bears; Falls, how often one fell over.
	Overloads, Falls int
	// Wasted is service time, alone, of work that gave no answer.
	Wasted time.Duration
	// Unresumed counts requests in flight at a VM that died that may not repeat.
	Unresumed int
}

// Cost sums up all backend servers.
func (r *Run) Cost() Cost {
	c := Cost{Unresumed: r.unresumed}
	for _, a := range r.agents {
		c.Overloads += a.backend.overloads
		c.Falls += a.backend.falls
		c.Wasted += a.backend.wasted
	}
	return c
}

// Merge adds the outcome of another run.
func (o *Outcome) Merge(other Outcome) {
	o.Asked += other.Asked
	o.InTime += other.InTime
	o.Late += other.Late
	o.Refused += other.Refused
	o.Failed += other.Failed
	o.Asks += other.Asks
	o.First = merge(o.First, other.First)
	o.Between = merge(o.Between, other.Between)
	o.ToRefusal = merge(o.ToRefusal, other.ToRefusal)
}

func merge(a, b []time.Duration) []time.Duration {
	all := append(a, b...)
	slices.Sort(all)
	return all
}

// Merge adds the cost of another run.
func (c *Cost) Merge(other Cost) {
	c.Overloads += other.Overloads
	c.Falls += other.Falls
	c.Wasted += other.Wasted
	c.Unresumed += other.Unresumed
}

// Subtract takes the counts of a part away; the times stay.
func (o *Outcome) Subtract(part Outcome) {
	o.Asked -= part.Asked
	o.InTime -= part.InTime
	o.Late -= part.Late
	o.Refused -= part.Refused
	o.Failed -= part.Failed
}
