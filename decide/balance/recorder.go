package balance

import (
	"slices"
	"time"
)

const (
	// minRecordDistance is the change of popularity, as a fraction of all tokens, that is recorded. A
	// map that fits the recorded popularity is still a good one after a smaller change.
	minRecordDistance = 0.1
	// minRecordInterval is the least time between two records. Popularity that changes faster is
	// outdated when it is read.
	minRecordInterval = time.Second
	// minRecordPasses is the number of passes that a recorded average represents at least: after a
	// change, the first sample has both sides of it.
	minRecordPasses = 4
)

// Recorder decides when the popularity of a group's experts must be recorded for a planner to come,
// such as that of the next coordinator.
type Recorder struct {
	// recorded is the last record, nil for none. recordedAt is when the last one was due, and hasRecorded
	// means that one was.
	recorded    [][]float64
	recordedAt  time.Duration
	hasRecorded bool
}

// Due reports whether the popularity that a planner has observed must be recorded now, because it
// differs from the last record. If so, it counts as recorded.
func (r *Recorder) Due(l *LayerPlanner, now time.Duration) bool {
	current := &l.popularity
	if current.fractions == nil || current.isExpected || current.passes < minRecordPasses {
		return false
	}
	if r.hasRecorded && now-r.recordedAt < minRecordInterval {
		return false
	}
	if r.recorded != nil && meanDistance(r.recorded, current.fractions) < minRecordDistance {
		return false
	}
	r.recorded, r.recordedAt, r.hasRecorded = cloneSets(current.fractions), now, true
	return true
}

// Forget makes the current popularity due again after minRecordInterval, as after a record that could
// not be written.
func (r *Recorder) Forget() { r.recorded = nil }

func cloneSets(sets [][]float64) [][]float64 {
	clone := make([][]float64, len(sets))
	for i, set := range sets {
		clone[i] = slices.Clone(set)
	}
	return clone
}
