package agent

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/cold"
)

// inheritedBaseline is what the previous agent of this VM learned about the engine. It is applied
// only once it is confirmed that the engine is the same.
type inheritedBaseline struct {
	baseline cold.WarmBaseline
	// reportsWarm is the engine's last report; everReportedCold says whether it ever reported
	// cold.
	reportsWarm, everReportedCold bool
}

// applyTo passes the baseline to the limiter once the engine has reported that it is warm, without
// ever reporting cold.
//
// A VM that is replaced keeps its name, and the entries' baseline then belongs to another engine,
// which may have been slower when warm than this one is in cold start. But a new engine is in cold
// start and reports it, if it reports anything. Only an engine that already worked for the
// previous agent reports warm from the start. One that turned cold without reporting it does so
// too, but it is the same engine.
func (b *inheritedBaseline) applyTo(l *cold.Limiter) {
	if b.reportsWarm && !b.everReportedCold {
		l.Inherit(b.baseline)
	}
}

// inherit stores the baseline that an entry kept from the previous agent.
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

// setReportedCold records whether the engine reports that it is cold.
func (e *executor) setReportedCold(isCold bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.SetReportedCold(isCold)
	e.inherited.reportsWarm = !isCold
	e.inherited.everReportedCold = e.inherited.everReportedCold || isCold
	e.inherited.applyTo(e.limiter)
}

// warmBaseline returns the baseline that entries keep for the next agent; nil until it is known.
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
