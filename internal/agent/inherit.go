package agent

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/cold"
)

// inheritance is what the agent before this one had learned of the engine, until it is
// sure that it is the same engine.
type inheritance struct {
	usual cold.WarmBaseline
	// saysWarm and saidCold are the engine's own word, now and ever.
	saysWarm, saidCold bool
}

// take hands the limiter what is known once the engine has said that it is warm.
//
// A VM that is replaced keeps its name, and what the entries kept was learned of another
// engine, which may have been slower when warm than this one is in cold start. But a new
// engine is in cold start and says so, where it says anything; only one that has worked
// for the agent before says at once that it is warm. One that turned cold without a word
// says it too, and is the same engine all the same.
func (in *inheritance) take(l *cold.Limiter) {
	if in.saysWarm && !in.saidCold {
		l.Inherit(in.usual)
	}
}

// inherit takes what an entry kept of the agent before this one.
func (e *executor) inherit(usual *api.Usual) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inheritance.usual = cold.WarmBaseline{
		Latency:  microseconds(usual.GetLatencyUs()),
		Gap:      microseconds(usual.GetGapUs()),
		WorkTime: microseconds(usual.GetWorkUs()),
	}
	e.inheritance.take(e.limiter)
}

// reported takes the engine's own word on whether it is cold.
func (e *executor) reported(saysCold bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.SetReportedCold(saysCold)
	e.inheritance.saysWarm = !saysCold
	e.inheritance.saidCold = e.inheritance.saidCold || saysCold
	e.inheritance.take(e.limiter)
}

// usual is what the entries keep for the agent after this one; nil until it is known.
func usual(l *cold.Limiter) *api.Usual {
	u := l.WarmBaseline()
	if u.Latency == 0 {
		return nil
	}
	return &api.Usual{
		LatencyUs: u.Latency.Microseconds(),
		GapUs:     u.Gap.Microseconds(),
		WorkUs:    u.WorkTime.Microseconds(),
	}
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
