package balance

import "slices"

// copyCounts counts the experts that each rank copies over several placements, and limits them.
type copyCounts struct {
	// maxPerRank is the limit of each rank, byRank the current number of copies of each.
	maxPerRank int
	byRank     []int
}

// copyLimit limits the experts that ranks copy to change from one placement to another. A nil
// copyLimit allows any number.
type copyLimit struct {
	// origin is the placement in use.
	origin *Placement
	// maxNewExperts is the maximum number of experts that one rank copies for this placement; zero
	// means no limit.
	maxNewExperts int
	// filler is the expert that stands for an empty slot; it is never copied.
	filler int32
	// total counts the copies over all placements.
	total *copyCounts
}

// allows reports whether the rank may be given the expert.
func (l *copyLimit) allows(p *Placement, rank int, expert int32) bool {
	if l == nil || expert == l.filler || slices.Contains(l.origin.rankSlots(rank), expert) {
		return true
	}
	return l.total.byRank[rank] < l.total.maxPerRank && (l.maxNewExperts == 0 || l.countCopies(p, rank) < l.maxNewExperts)
}

// addToTotal adds the copies of a rank, multiplied by sign, to the total over all placements.
func (l *copyLimit) addToTotal(p *Placement, rank, sign int) {
	if l != nil {
		l.total.byRank[rank] += sign * l.countCopies(p, rank)
	}
}

// countCopies returns the number of experts that the rank holds and did not hold in the origin.
func (l *copyLimit) countCopies(p *Placement, rank int) int {
	n := 0
	held, before := p.rankSlots(rank), l.origin.rankSlots(rank)
	for i, expert := range held {
		if expert != l.filler && !slices.Contains(before, expert) && !slices.Contains(held[:i], expert) {
			n++
		}
	}
	return n
}
