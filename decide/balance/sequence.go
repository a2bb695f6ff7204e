package balance

import (
	"slices"
	"time"
)

// layerSearch searches the placements of all sets of layers together, with a limit on the copies of
// each rank over all sets that is raised step by step.
//
// Popularity changes abruptly, and a rank copies one expert after the other, whichever set it
// belongs to. Without the common limit, a rank would copy one expert per set while only one set
// delays the group.
type layerSearch struct {
	sets   []*search
	copies copyCounts
	target float64
}

// newLayerSearch returns a search that starts from the current placements. filler is the expert
// that occupies free slots.
func newLayerSearch(from []*Placement, demands []Demand, maxNewExperts int, target float64, filler int32) *layerSearch {
	q := &layerSearch{target: target, copies: copyCounts{byRank: make([]int, from[0].Ranks)}}
	for i, p := range from {
		s := newSearch(p.Clone(), demands[i])
		s.copyLimit = &copyLimit{origin: p, maxNewExperts: maxNewExperts, filler: filler, total: &q.copies}
		q.sets = append(q.sets, s)
	}
	return q
}

// maxStepMoves is the maximum number of moves in one step of the search: an exchange takes two.
const maxStepMoves = 2

// raiseCopyLimit lets each rank copy one more expert and improves the placements as far as that
// allows. It returns false when nothing improved.
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

// worstSet returns the set with the largest stretch above the target among those whose search is
// not exhausted, or -1.
func (q *layerSearch) worstSet(exhausted []bool) int {
	worst, highest := -1, q.target
	for i, s := range q.sets {
		if stretch := s.stretch(); !exhausted[i] && stretch > highest {
			worst, highest = i, stretch
		}
	}
	return worst
}

// stretch returns the mean stretch over all sets.
func (q *layerSearch) stretch() float64 {
	sum := 0.0
	for _, s := range q.sets {
		sum += s.stretch()
	}
	return sum / float64(len(q.sets))
}

// stretch returns the time of a step relative to that of an ideal placement.
func (s *search) stretch() float64 {
	if s.idealTime == 0 {
		return 1
	}
	_, peak := s.busiest()
	return peak / s.idealTime
}

// candidate is the result of a search at one copy limit.
type candidate struct {
	placements []*Placement
	stretch    float64
	// maxCopies is the maximum number of experts that one rank copies.
	maxCopies int
}

// candidates returns the results of the search as the copy limit is raised up to maxCopies,
// starting with the current placements, until nothing improves.
func (q *layerSearch) candidates(maxCopies int) []candidate {
	all := []candidate{q.candidate()}
	for len(all) <= maxCopies && q.raiseCopyLimit() {
		all = append(all, q.candidate())
	}
	return all
}

// candidate returns the current state of the search.
func (q *layerSearch) candidate() candidate {
	c := candidate{stretch: q.stretch(), maxCopies: slices.Max(q.copies.byRank)}
	for _, s := range q.sets {
		c.placements = append(c.placements, s.p.Clone())
	}
	return c
}

// timing says how long copies and switches take, and how long a placement is expected to fit.
type timing struct {
	copyTime, switchTime, horizon time.Duration
}

// cost returns the time that passes take over the horizon, relative to ideal passes, when every
// change from now on advances by stride candidates.
//
// Popularity changes again within seconds. In a large change the group stays slow until all copies
// are done, where several small ones relieve it step by step. If copies are fast, small changes are
// worse, since each switch costs some passes.
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

// cheapestStride returns how many candidates the next change should advance by; zero for no change.
func (t timing) cheapestStride(candidates []candidate) int {
	best, lowest := 0, t.cost(candidates, 0)
	for stride := 1; stride < len(candidates); stride++ {
		if cost := t.cost(candidates, stride); cost < lowest {
			best, lowest = stride, cost
		}
	}
	return best
}
