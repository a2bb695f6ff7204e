package agent

import (
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/cold"
)

// A VM is replaced and keeps its name, so the baseline that the entries kept was learned from
// another engine. One request too many crashes a cold engine, so the baseline is applied only to
// an engine that has never reported itself cold.
func TestBaselineIsInheritedFromSameEngineOnly(t *testing.T) {
	const baselineReceived = "handed"
	cases := map[string]struct {
		events  []any
		applied bool
	}{
		"nothing said yet":       {[]any{baselineReceived}, false},
		"it is warm":             {[]any{baselineReceived, false}, true},
		"it was warm before":     {[]any{false, baselineReceived}, true},
		"it is cold":             {[]any{baselineReceived, true}, false},
		"it has warmed up since": {[]any{baselineReceived, true, false}, false},
	}
	for name, c := range cases {
		e := testExecutor(t, "http://127.0.0.1:0", &api.Backend{Model: "m", ColdLimit: 2, FullLimit: 16})
		for _, event := range c.events {
			if isCold, isReport := event.(bool); isReport {
				e.setReportedCold(isCold)
				continue
			}
			e.inherit(&api.Usual{LatencyUs: 20_000, WorkUs: 200_000})
		}
		if applied := e.limiter.WorkTime() == 200*time.Millisecond; applied != c.applied {
			t.Errorf("%s: applied %v, want %v", name, applied, c.applied)
		}
		if e.status(0).GetUsual() != nil || e.limiter.WarmBaseline() != (cold.WarmBaseline{}) {
			t.Errorf("%s: the inherited baseline is reported as its own", name)
		}
	}
}

// An agent must report the baseline that it has learned at the full limit, for the next agent.
func TestWarmBaselineIsReported(t *testing.T) {
	e := testExecutor(t, "http://127.0.0.1:0", &api.Backend{Model: "m", ColdLimit: 1, FullLimit: 2})
	for i := range 60 {
		now := time.Duration(i) * time.Second
		e.limiter.TryStart(now)
		e.limiter.Done(now, cold.Outcome{Latency: 20 * time.Millisecond})
	}
	reported := e.status(0).GetUsual()
	if known := e.limiter.WarmBaseline(); reported.GetLatencyUs() != known.Latency.Microseconds() || known.Latency == 0 {
		t.Errorf("reported %v, known %v", reported, known)
	}
}
