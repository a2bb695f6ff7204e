package agent

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/cold"
)

// inheritedBaseline is what the agent before this one had learned of the engine, until it is
// sure that it is the same engine.
type inheritedBaseline struct {
	baseline cold.WarmBaseline
	// reportsWarm and everReportedCold are the engine's own word, now and ever.
	reportsWarm, everReportedCold bool
}

// applyTo hands the limiter what is known once the engine has said that it is warm.
//
// A VM that is replaced keeps its name, and what the entries kept was learned of another
// engine, which may have been slower when warm than this one is in cold start. But a new
// engine is in cold start and says so, where it says anything; only one that has worked
// for the agent before says at once that it is warm. One that turned cold without a word
// says it too, and is the same engine all the same.
func (b *inheritedBaseline) applyTo(l *cold.Limiter) {
	if b.reportsWarm && !b.everReportedCold {
		l.Inherit(b.baseline)
	}
}

// inherit takes what an entry kept of the agent before this one.
func (e *executor) inherit(baseline *api.Usual) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inherited.baseline = cold.WarmBaseline{
		Latency:  microseconds(baseline.GetLatencyUs()),
		Gap:      microseconds(baseline.GetGapUs()),
		WorkTime: microseconds(baseline.GetWorkUs()),
	}
	e.inherited.applyTo(e.limiter)
}

// setReportedCold takes the engine's own word on whether it is cold.
func (e *executor) setReportedCold(isCold bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.SetReportedCold(isCold)
	e.inherited.reportsWarm = !isCold
	e.inherited.everReportedCold = e.inherited.everReportedCold || isCold
	e.inherited.applyTo(e.limiter)
}

// warmBaseline is what the entries keep for the agent after this one; nil until it is known.
func warmBaseline(l *cold.Limiter) *api.Usual {
	baseline := l.WarmBaseline()
	if baseline.Latency == 0 {
		return nil
	}
	return &api.Usual{
		LatencyUs: baseline.Latency.Microseconds(),
		GapUs:     baseline.Gap.Microseconds(),
		WorkUs:    baseline.WorkTime.Microseconds(),
	}
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
