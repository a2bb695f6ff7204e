package gateway

import (
	"time"

	"github.com/apricothub/apricothub/internal/routing"
)

// Aims for routes that name none.
const (
	// defaultFirstEvent is the time to the first event of a stream.
	defaultFirstEvent = 560 * time.Millisecond
	// defaultMaxPause is the time between two events, which a reader notices.
	defaultMaxPause = 640 * time.Millisecond
	// defaultDeadlineRatio is the part of its time that a whole answer may take: at the next such delay
	// it would miss its deadline.
	defaultDeadlineRatio = 0.5
)

// lateness says by what an answer came later than its route aims at.
type lateness string

// The ways of being late.
const (
	onTime    lateness = ""
	lateFirst lateness = "first"
	latePause lateness = "pause"
	lateWhole lateness = "whole"
)

// missedObjective says by what an answer was missedObjective.
func (t *task) missedObjective() lateness {
	if t.route.Kind == routing.Stream {
		switch {
		case t.out.begunAt-t.arrivedAt > orDefault(t.route.Objective, defaultFirstEvent):
			return lateFirst
		case t.out.maxEventGap > orDefault(t.route.Pause, defaultMaxPause):
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
