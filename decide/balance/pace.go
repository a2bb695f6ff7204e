package balance

import (
	"cmp"
	"slices"
	"time"
)

// RankWork is the work of one rank since the last observation.
type RankWork struct {
	// Tokens is the number of tokens that the rank's experts processed, Time how long that took.
	Tokens float64
	Time   time.Duration
}

const (
	// slowdownWindow is the number of observations whose median is a rank's slowdown. The experts
	// of a rank that stalls for a second or two must not be moved away and back again: only a
	// slowdown that lasts for most of the observations counts.
	slowdownWindow = 5
	// slowdownTolerance is the deviation from 1 up to which a slowdown counts as 1. The measured
	// times of healthy ranks differ by a few hundredths; following them would load experts for
	// nothing.
	slowdownTolerance = 0.05
	// maxSlowdown limits the slowdown of a rank in decisions. A rank that is three times slower
	// delays the group whatever it holds, since every expert needs a rank. The platform has to
	// replace it, and moving its experts away would only load them twice.
	maxSlowdown = 3
)

// slowdownTracker tracks the speed of each rank of a group relative to the typical rank.
type slowdownTracker struct {
	observations [][]float64 // the latest, each with all ranks
	next         int
}

// observe records one observation of all ranks. An observation that lacks a rank is ignored, since
// it does not show what is typical of the group.
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

// medians returns the median slowdown of each rank, or nil while there are too few observations.
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

// effective returns the slowdown of each rank to be used in decisions, or nil while there are too
// few observations.
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

// SlowRank is a rank so slow that moving its experts does not compensate for it.
type SlowRank struct {
	// Rank is its number in the group, Slowdown its time per token relative to the typical rank.
	Rank     int
	Slowdown float64
}

// slowRanks returns the ranks above maxSlowdown, the slowest first.
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

// median returns the middle value, the lower of the two if their number is even.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}
