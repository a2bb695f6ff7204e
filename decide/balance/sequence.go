package balance

import (
	"slices"
	"time"
)

// sequence searches the placements of all sets of layers at once, with a bound on what each
// rank copies over all of them that is raised step by step.
//
// Load: popularity that changes at once, in a group whose ranks copy one expert after the
// other, whatever set of layers it belongs to. Harm prevented: a rank that copies one expert
// for each set while only one set keeps the group waiting.
type sequence struct {
	sets   []*search
	copies copies
	target float64
}

// newSequence begins with the placements in use. idle is the expert that fills free slots.
func newSequence(from []*Placement, demands []Demand, perRank int, target float64, idle int32) *sequence {
	q := &sequence{target: target, copies: copies{of: make([]int, from[0].Ranks)}}
	for i, p := range from {
		s := newSearch(p.Clone(), demands[i])
		s.limit = &copyLimit{origin: p, perRank: perRank, idle: idle, all: &q.copies}
		q.sets = append(q.sets, s)
	}
	return q
}

// stepMoves is the most moves of one step of the search: an exchange takes two.
const stepMoves = 2

// extend lets each rank copy one expert more and improves the placements as far as that
// allows. It returns false when nothing became better.
func (q *sequence) extend() bool {
	q.copies.most++
	better := false
	ended := make([]bool, len(q.sets))
	for {
		at := q.worst(ended)
		if at < 0 {
			return better
		}
		s := q.sets[at]
		hot, peak := s.busiest()
		c := s.bestChange(hot, peak, stepMoves)
		if c.cost == 0 {
			ended[at] = true
			continue
		}
		s.apply(c)
		better = true
	}
}

// worst returns the set whose passes are longest against the ideal among those whose search
// has not ended, or -1.
func (q *sequence) worst(ended []bool) int {
	worst, most := -1, q.target
	for i, s := range q.sets {
		if stretch := s.stretch(); !ended[i] && stretch > most {
			worst, most = i, stretch
		}
	}
	return worst
}

// stretch is the mean over all sets.
func (q *sequence) stretch() float64 {
	sum := 0.0
	for _, s := range q.sets {
		sum += s.stretch()
	}
	return sum / float64(len(q.sets))
}

// stretch is the time of a step over that of an ideal placement.
func (s *search) stretch() float64 {
	if s.ideal == 0 {
		return 1
	}
	_, peak := s.busiest()
	return peak / s.ideal
}

// plan is what a sequence comes to with one bound.
type plan struct {
	placements []*Placement
	stretch    float64
	// copies is the most that one rank copies.
	copies int
}

// plans returns what the sequence comes to as the bound is raised up to most, beginning with
// the placements in use, until nothing becomes better.
func (q *sequence) plans(most int) []plan {
	all := []plan{q.plan()}
	for len(all) <= most && q.extend() {
		all = append(all, q.plan())
	}
	return all
}

func (q *sequence) plan() plan {
	p := plan{stretch: q.stretch(), copies: slices.Max(q.copies.of)}
	for _, s := range q.sets {
		p.placements = append(p.placements, s.p.Clone())
	}
	return p
}

// timing is how long changes take, and how long a placement is expected to fit.
type timing struct {
	copy, change, horizon time.Duration
}

// cost is the time that passes take over the horizon, in that of ideal ones, when every
// change from now on goes as many plans ahead as the first.
//
// Load: popularity that will change again within seconds. Harm prevented: a large change for
// which the group waits longest at its slowest, where small ones that follow each other
// relieve it step by step; and small ones where copies take no time and each change costs
// some passes.
func (t timing) cost(plans []plan, ahead int) float64 {
	cost, left := 0.0, t.horizon.Seconds()
	at := 0
	for ahead > 0 && at < len(plans)-1 && left > 0 {
		next := min(at+ahead, len(plans)-1)
		copying := min(left, float64(plans[next].copies-plans[at].copies)*t.copy.Seconds())
		changing := min(left-copying, t.change.Seconds())
		cost += plans[at].stretch * (copying*(1+copyBurden) + changing)
		left -= copying + changing
		at = next
	}
	return cost + plans[at].stretch*left
}

// cheapest returns how many plans ahead the next change should go; zero for no change.
func (t timing) cheapest(plans []plan) int {
	best, least := 0, t.cost(plans, 0)
	for ahead := 1; ahead < len(plans); ahead++ {
		if cost := t.cost(plans, ahead); cost < least {
			best, least = ahead, cost
		}
	}
	return best
}
