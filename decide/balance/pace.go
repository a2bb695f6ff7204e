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
	// slowdownWindow is the number of observations whose median counts as a rank's pace. A
	// rank that stalls for a second or two must not have its experts moved, and moved
	// back when it goes on: only what lasts for most of the observations is believed.
	slowdownWindow = 5
	// slowdownTolerance is the deviation from 1 up to which a pace counts as usual. Measured
	// times of healthy ranks differ by a few hundredths, and following them would load
	// experts for nothing.
	slowdownTolerance = 0.05
	// maxSlowdown bounds a rank's pace. A rank three times slower holds the group up
	// whatever stands on it, since every expert must stand somewhere: it is for the
	// platform to replace, and emptying it would only load experts twice.
	maxSlowdown = 3
)

// slowdownTracker follows how fast the ranks of a group are, each against the usual one.
type slowdownTracker struct {
	observations [][]float64 // of the newest observations, each with all ranks
	next         int
}

// observe takes one observation of all ranks. One that does not tell of every rank says
// nothing of what is usual, and is left out.
func (p *slowdownTracker) observe(ranks []RankWork) {
	slowdowns := make([]float64, len(ranks))
	for i, work := range ranks {
		if work.Tokens <= 0 || work.Time <= 0 {
			return
		}
		slowdowns[i] = work.Time.Seconds() / work.Tokens
	}
	typical := median(slowdowns)
	for i := range slowdowns {
		slowdowns[i] /= typical
	}
	if len(p.observations) < slowdownWindow {
		p.observations = append(p.observations, slowdowns)
		return
	}
	p.observations[p.next] = slowdowns
	p.next = (p.next + 1) % slowdownWindow
}

// medians returns the median pace of each rank; nil while too little was seen.
func (p *slowdownTracker) medians() []float64 {
	if len(p.observations) < slowdownWindow {
		return nil
	}
	medians := make([]float64, len(p.observations[0]))
	recent := make([]float64, slowdownWindow)
	for rank := range medians {
		for i, observation := range p.observations {
			recent[i] = observation[rank]
		}
		medians[rank] = median(recent)
	}
	return medians
}

// effective returns the pace of each rank that decisions go by; nil while too little was seen.
func (p *slowdownTracker) effective() []float64 {
	slowdowns := p.medians()
	for rank, slowdown := range slowdowns {
		slowdowns[rank] = min(max(slowdown, 1/float64(maxSlowdown)), maxSlowdown)
		if d := slowdown - 1; -slowdownTolerance < d && d < slowdownTolerance {
			slowdowns[rank] = 1
		}
	}
	return slowdowns
}

// SlowRank is a rank that stays slower than moving its experts can make good.
type SlowRank struct {
	// Rank is its number in the group, Pace its time for a token over the usual one.
	Rank     int
	Slowdown float64
}

// slowRanks returns the ranks past maxPace, the slowest first.
func (p *slowdownTracker) slowRanks() []SlowRank {
	var slow []SlowRank
	for rank, slowdown := range p.medians() {
		if slowdown > maxSlowdown {
			slow = append(slow, SlowRank{Rank: rank, Slowdown: slowdown})
		}
	}
	slices.SortStableFunc(slow, func(a, b SlowRank) int { return cmp.Compare(b.Slowdown, a.Slowdown) })
	return slow
}

// median returns the middle of the values, the lower of two.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}
