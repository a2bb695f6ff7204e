package balance

import (
	"cmp"
	"slices"
	"time"
)

// RankWork is what one rank did since the last observation.
type RankWork struct {
	// Tokens counts the tokens of the rank's experts, Time how long it took for them.
	Tokens float64
	Time   time.Duration
}

const (
	// paceWindows is the number of observations whose median counts as a rank's pace. A
	// rank that stalls for a second or two must not have its experts moved, and moved
	// back when it goes on: only what lasts for most of the observations is believed.
	paceWindows = 5
	// paceNoise is the deviation from 1 up to which a pace counts as usual. Measured
	// times of healthy ranks differ by a few hundredths, and following them would load
	// experts for nothing.
	paceNoise = 0.05
	// maxPace bounds a rank's pace. A rank three times slower holds the group up
	// whatever stands on it, since every expert must stand somewhere: it is for the
	// platform to replace, and emptying it would only load experts twice.
	maxPace = 3
)

// paces follows how fast the ranks of a group are, each against the usual one.
type paces struct {
	windows [][]float64 // of the newest observations, each with all ranks
	next    int
}

// observe takes one observation of all ranks. One that does not tell of every rank says
// nothing of what is usual, and is left out.
func (p *paces) observe(ranks []RankWork) {
	each := make([]float64, len(ranks))
	for i, work := range ranks {
		if work.Tokens <= 0 || work.Time <= 0 {
			return
		}
		each[i] = work.Time.Seconds() / work.Tokens
	}
	usual := median(each)
	for i := range each {
		each[i] /= usual
	}
	if len(p.windows) < paceWindows {
		p.windows = append(p.windows, each)
		return
	}
	p.windows[p.next] = each
	p.next = (p.next + 1) % paceWindows
}

// lasting returns the median pace of each rank; nil while too little was seen.
func (p *paces) lasting() []float64 {
	if len(p.windows) < paceWindows {
		return nil
	}
	medians := make([]float64, len(p.windows[0]))
	seen := make([]float64, paceWindows)
	for rank := range medians {
		for i, window := range p.windows {
			seen[i] = window[rank]
		}
		medians[rank] = median(seen)
	}
	return medians
}

// known returns the pace of each rank that decisions go by; nil while too little was seen.
func (p *paces) known() []float64 {
	known := p.lasting()
	for rank, pace := range known {
		known[rank] = min(max(pace, 1/float64(maxPace)), maxPace)
		if d := pace - 1; -paceNoise < d && d < paceNoise {
			known[rank] = 1
		}
	}
	return known
}

// SlowRank is a rank that stays slower than moving its experts can make good.
type SlowRank struct {
	// Rank is its number in the group, Pace its time for a token over the usual one.
	Rank int
	Pace float64
}

// slow returns the ranks past maxPace, the slowest first.
func (p *paces) slow() []SlowRank {
	var slow []SlowRank
	for rank, pace := range p.lasting() {
		if pace > maxPace {
			slow = append(slow, SlowRank{Rank: rank, Pace: pace})
		}
	}
	slices.SortStableFunc(slow, func(a, b SlowRank) int { return cmp.Compare(b.Pace, a.Pace) })
	return slow
}

// median returns the middle of the values, the lower of two.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}
