package gateway

import (
	"time"

	"github.com/apricothub/apricothub/internal/routing"
)

// Objectives for routes that set none.
const (
	// defaultFirstEvent is the time to the first event of a stream.
	defaultFirstEvent = 560 * time.Millisecond
	// defaultMaxPause is the longest time between two events of a stream; readers notice longer
	// pauses.
	defaultMaxPause = 640 * time.Millisecond
	// defaultDeadlineRatio is the fraction of the time until its deadline that a whole answer may
	// take: with another delay of the same length it would miss the deadline.
	defaultDeadlineRatio = 0.5
)

// lateness is the objective of the route that an answer missed.
type lateness string

// Values of lateness.
const (
	onTime    lateness = ""
	lateFirst lateness = "first"
	latePause lateness = "pause"
	lateWhole lateness = "whole"
)

// missedObjective returns the objective of its route that the answer missed, or onTime.
func (t *task) missedObjective() lateness {
	if t.route.Kind == routing.Stream {
		switch {
		case t.out.begunAt-t.arrivedAt > orDefault(t.route.Objective, defaultFirstEvent):
			return lateFirst
		case t.out.maxEventGap > orDefault(t.route.MaxPause, defaultMaxPause):
			return latePause
		}
		return onTime
	}
	objective := t.route.Objective
	if objective == 0 && t.deadline > 0 {
		objective = time.Duration(defaultDeadlineRatio * float64(t.deadline-t.arrivedAt))
	}
	if objective > 0 && t.elapsed() > objective {
		return lateWhole
	}
	return onTime
}

func orDefault(objective, fallback time.Duration) time.Duration {
	if objective > 0 {
		return objective
	}
	return fallback
}
