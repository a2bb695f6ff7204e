package gateway

import (
	"time"

	"github.com/apricothub/apricothub/internal/routing"
)

// Aims for routes that name none.
const (
	// usualFirst is the time to the first event of a stream.
	usualFirst = 560 * time.Millisecond
	// usualPause is the time between two events, which a reader notices.
	usualPause = 640 * time.Millisecond
	// usualPart is the part of its time that a whole answer may take: at the next such delay
	// it would miss its deadline.
	usualPart = 0.5
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

// late says by what an answer was late.
func (t *task) late() lateness {
	if t.route.Kind == routing.Stream {
		switch {
		case t.out.firstAt-t.arrived > orElse(t.route.Objective, usualFirst):
			return lateFirst
		case t.out.gap > orElse(t.route.MaxPause, usualPause):
			return latePause
		}
		return onTime
	}
	aim := t.route.Objective
	if aim == 0 && t.until > 0 {
		aim = time.Duration(usualPart * float64(t.until-t.arrived))
	}
	if aim > 0 && t.elapsed() > aim {
		return lateWhole
	}
	return onTime
}

func orElse(aim, usual time.Duration) time.Duration {
	if aim > 0 {
		return aim
	}
	return usual
}
