package loadtest

import (
	"slices"
	"time"
)

// Outcome summarizes how the requests that arrived in some period ended for their callers.
type Outcome struct {
	Requests, InTime, Late, Refused, Failed int
	// Submissions counts the requests including retries by their callers after a refusal.
	Submissions int
	// TimeToFirstToken, TimePerToken and TimeToRefusal hold sorted times: to the first token,
	// between tokens, and to refusals.
	TimeToFirstToken, TimePerToken, TimeToRefusal []time.Duration
	// RefusalsByCode counts refusals by result code.
	RefusalsByCode map[string]int
}

// Outcome summarizes the requests that arrived in [from, to): those of one customer, or all for an
// empty name.
func (r *Run) Outcome(customer string, from, to time.Duration) Outcome {
	out := Outcome{RefusalsByCode: map[string]int{}}
	for _, q := range r.requests {
		if q.arrivedAt < from || q.arrivedAt >= to || customer != "" && q.customer != customer {
			continue
		}
		out.add(q)
	}
	slices.Sort(out.TimeToFirstToken)
	slices.Sort(out.TimePerToken)
	slices.Sort(out.TimeToRefusal)
	return out
}

func (o *Outcome) add(q *request) {
	o.Requests++
	o.Submissions += q.submissions
	switch q.result {
	case inTime:
		o.InTime++
		o.TimeToFirstToken = append(o.TimeToFirstToken, q.firstTokenAt-q.arrivedAt)
		o.TimePerToken = append(o.TimePerToken, (q.endedAt-q.firstTokenAt)/tokensPerAnswer)
	case refused:
		o.Refused++
		o.TimeToRefusal = append(o.TimeToRefusal, q.endedAt-q.arrivedAt)
		o.RefusalsByCode[q.code.String()]++
	case failed:
		o.Failed++
	case late:
		o.Late++
	case unfinished:
	}
}

// FractionInTime returns the fraction of the requests that were answered completely and in time.
func (o Outcome) FractionInTime() float64 {
	if o.Requests == 0 {
		return 1
	}
	return float64(o.InTime) / float64(o.Requests)
}

// Quantile returns the value below which a fraction q of the sorted times lies.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Goodput returns the number of answers in time per second that ended in [from, to).
func (r *Run) Goodput(from, to time.Duration) float64 {
	count := 0
	for _, q := range r.requests {
		if q.result == inTime && q.endedAt >= from && q.endedAt < to {
			count++
		}
	}
	return float64(count) / (to - from).Seconds()
}

// Cost is what a run cost the backend servers.
type Cost struct {
	// Overloads counts requests given to a cold backend server above its capacity; Crashes, how
	// often one crashed.
	Overloads, Crashes int
	// WastedTime is the service time of work that gave no answer, in the time that it takes alone.
	WastedTime time.Duration
	// LostInFlight counts non-repeatable requests that were in flight at a VM when it died.
	LostInFlight int
}

// Cost returns the sum over all backend servers.
func (r *Run) Cost() Cost {
	c := Cost{LostInFlight: r.lostInFlight}
	for _, a := range r.agents {
		c.Overloads += a.backend.overloads
		c.Crashes += a.backend.crashes
		c.WastedTime += a.backend.wastedTime
	}
	return c
}

// Merge adds the outcome of another run.
func (o *Outcome) Merge(other Outcome) {
	o.Requests += other.Requests
	o.InTime += other.InTime
	o.Late += other.Late
	o.Refused += other.Refused
	o.Failed += other.Failed
	o.Submissions += other.Submissions
	o.TimeToFirstToken = mergeSorted(o.TimeToFirstToken, other.TimeToFirstToken)
	o.TimePerToken = mergeSorted(o.TimePerToken, other.TimePerToken)
	o.TimeToRefusal = mergeSorted(o.TimeToRefusal, other.TimeToRefusal)
}

func mergeSorted(a, b []time.Duration) []time.Duration {
	all := append(a, b...)
	slices.Sort(all)
	return all
}

// Merge adds the cost of another run.
func (c *Cost) Merge(other Cost) {
	c.Overloads += other.Overloads
	c.Crashes += other.Crashes
	c.WastedTime += other.WastedTime
	c.LostInFlight += other.LostInFlight
}

// Subtract removes the counts of a part of the requests; the times stay.
func (o *Outcome) Subtract(part Outcome) {
	o.Requests -= part.Requests
	o.InTime -= part.InTime
	o.Late -= part.Late
	o.Refused -= part.Refused
	o.Failed -= part.Failed
}
