package balance

import (
	"slices"
	"time"
)

// layerSearch searches the placements of all sets of layers at once, with a bound on what each
// rank copies over all of them that is raised step by step.
//
// Load: popularity that changes at once, in a group whose ranks copy one expert after the
// other, whatever set of layers it belongs to. Harm prevented: a rank that copies one expert
// for each set while only one set keeps the group waiting.
type layerSearch struct {
	sets   []*search
	copies copyCounts
	target float64
}

// newLayerSearch begins with the placements in use. idle is the expert that fills free slots.
func newLayerSearch(from []*Placement, demands []Demand, maxNewExperts int, target float64, filler int32) *layerSearch {
	q := &layerSearch{target: target, copies: copyCounts{byRank: make([]int, from[0].Ranks)}}
	for i, p := range from {
		s := newSearch(p.Clone(), demands[i])
		s.copyLimit = &copyLimit{origin: p, maxNewExperts: maxNewExperts, filler: filler, total: &q.copies}
		q.sets = append(q.sets, s)
	}
	return q
}

// maxStepMoves is the most moves of one step of the search: an exchange takes two.
const maxStepMoves = 2

// raiseCopyLimit lets each rank copy one expert more and improves the placements as far as that
// allows. It returns false when nothing became better.
func (q *layerSearch) raiseCopyLimit() bool {
	q.copies.maxPerRank++
	better := false
	exhausted := make([]bool, len(q.sets))
	for {
		set := q.worstSet(exhausted)
		if set < 0 {
			return better
		}
		s := q.sets[set]
		hot, peak := s.busiest()
		c := s.bestChange(hot, peak, maxStepMoves)
		if c.loads == 0 {
			exhausted[set] = true
			continue
		}
		s.apply(c)
		better = true
	}
}

// worstSet returns the set whose passes are longest against the ideal among those whose search
// has not ended, or -1.
func (q *layerSearch) worstSet(exhausted []bool) int {
	worst, highest := -1, q.target
	for i, s := range q.sets {
		if stretch := s.stretch(); !exhausted[i] && stretch > highest {
			worst, highest = i, stretch
		}
	}
	return worst
}

// stretch is the mean over all sets.
func (q *layerSearch) stretch() float64 {
	sum := 0.0
	for _, s := range q.sets {
		sum += s.stretch()
	}
	return sum / float64(len(q.sets))
}

// stretch is the time of a step over that of an ideal placement.
func (s *search) stretch() float64 {
	if s.idealTime == 0 {
		return 1
	}
	_, peak := s.busiest()
	return peak / s.idealTime
}

// candidate is what a sequence comes to with one bound.
type candidate struct {
	placements []*Placement
	stretch    float64
	// maxCopies is the most that one rank maxCopies.
	maxCopies int
}

// candidates returns what the sequence comes to as the bound is raised up to most, beginning with
// the placements in use, until nothing becomes better.
func (q *layerSearch) candidates(maxCopies int) []candidate {
	all := []candidate{q.candidate()}
	for len(all) <= maxCopies && q.raiseCopyLimit() {
		all = append(all, q.candidate())
	}
	return all
}

func (q *layerSearch) candidate() candidate {
	c := candidate{stretch: q.stretch(), maxCopies: slices.Max(q.copies.byRank)}
	for _, s := range q.sets {
		c.placements = append(c.placements, s.p.Clone())
	}
	return c
}

// timing is how long changes take, and how long a placement is expected to fit.
type timing struct {
	copyTime, switchTime, horizon time.Duration
}

// cost is the time that passes take over the horizon, in that of ideal ones, when every
// change from now on goes as many plans ahead as the first.
//
// Load: popularity that will change again within seconds. Harm prevented: a large change for
// which the group waits longest at its slowest, where small ones that follow each other
// relieve it step by step; and small ones where copies take no time and each change costs
// some passes.
func (t timing) cost(candidates []candidate, stride int) float64 {
	cost, left := 0.0, t.horizon.Seconds()
	current := 0
	for stride > 0 && current < len(candidates)-1 && left > 0 {
		next := min(current+stride, len(candidates)-1)
		copying := min(left, float64(candidates[next].maxCopies-candidates[current].maxCopies)*t.copyTime.Seconds())
		changing := min(left-copying, t.switchTime.Seconds())
		cost += candidates[current].stretch * (copying*(1+copyOverhead) + changing)
		left -= copying + changing
		current = next
	}
	return cost + candidates[current].stretch*left
}

// cheapestStride returns how many plans ahead the next change should go; zero for no change.
func (t timing) cheapestStride(candidates []candidate) int {
	best, lowest := 0, t.cost(candidates, 0)
	for stride := 1; stride < len(candidates); stride++ {
		if cost := t.cost(candidates, stride); cost < lowest {
			best, lowest = stride, cost
		}
	}
	return best
}
