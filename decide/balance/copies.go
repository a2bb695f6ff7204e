package balance

import "slices"

// copies counts what each rank copies over several placements, and bounds it.
type copies struct {
	// most is the bound of each rank, of is what each rank copies now.
	most int
	of   []int
}

// copyLimit bounds the experts that ranks copy to come from one placement to another. A nil
// limit bounds nothing.
type copyLimit struct {
	// origin is the placement in use.
	origin *Placement
	// perRank is the most experts that one rank takes for this placement; zero for no bound.
	perRank int
	// idle is an expert that stands for an empty slot and is not copied.
	idle int32
	// all counts with those of other placements.
	all *copies
}

// allows says whether a rank may come to hold an expert.
func (l *copyLimit) allows(p *Placement, rank int, expert int32) bool {
	if l == nil || expert == l.idle || slices.Contains(l.origin.rank(rank), expert) {
		return true
	}
	return l.all.of[rank] < l.all.most && (l.perRank == 0 || l.loaded(p, rank) < l.perRank)
}

// count adds what a rank copies, times sign, to the count over all placements.
func (l *copyLimit) count(p *Placement, rank, sign int) {
	if l != nil {
		l.all.of[rank] += sign * l.loaded(p, rank)
	}
}

// loaded counts the experts that a rank holds and did not hold at the origin.
func (l *copyLimit) loaded(p *Placement, rank int) int {
	n := 0
	held, before := p.rank(rank), l.origin.rank(rank)
	for i, expert := range held {
		if expert != l.idle && !slices.Contains(before, expert) && !slices.Contains(held[:i], expert) {
			n++
		}
	}
	return n
}
