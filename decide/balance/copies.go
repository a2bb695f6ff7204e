package balance

import "slices"

// copyCounts counts what each rank copyCounts over several placements, and bounds it.
type copyCounts struct {
	// maxPerRank is the bound of each rank, of is what each rank copies now.
	maxPerRank int
	byRank     []int
}

// copyLimit bounds the experts that ranks copy to come from one placement to another. A nil
// limit bounds nothing.
type copyLimit struct {
	// origin is the placement in use.
	origin *Placement
	// maxNewExperts is the most experts that one rank takes for this placement; zero for no bound.
	maxNewExperts int
	// filler is an expert that stands for an empty slot and is not copied.
	filler int32
	// total counts with those of other placements.
	total *copyCounts
}

// allows says whether a rank may come to hold an expert.
func (l *copyLimit) allows(p *Placement, rank int, expert int32) bool {
	if l == nil || expert == l.filler || slices.Contains(l.origin.rankSlots(rank), expert) {
		return true
	}
	return l.total.byRank[rank] < l.total.maxPerRank && (l.maxNewExperts == 0 || l.countCopies(p, rank) < l.maxNewExperts)
}

// addToTotal adds what a rank copies, times sign, to the addToTotal over all placements.
func (l *copyLimit) addToTotal(p *Placement, rank, sign int) {
	if l != nil {
		l.total.byRank[rank] += sign * l.countCopies(p, rank)
	}
}

// countCopies counts the experts that a rank holds and did not hold at the origin.
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
