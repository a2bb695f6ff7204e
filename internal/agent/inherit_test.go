package agent

import (
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/cold"
)

// A VM is replaced and keeps its name: what its entries kept was learned of another
// engine. A caller's request too many on a cold one makes it fall over, so that only an
// engine that has never called itself cold counts as the one that was known.
func TestUsualIsTakenOfTheSameEngineOnly(t *testing.T) {
	const handed = "handed"
	cases := map[string]struct {
		events []any
		taken  bool
	}{
		"nothing said yet":       {[]any{handed}, false},
		"it is warm":             {[]any{handed, false}, true},
		"it was warm before":     {[]any{false, handed}, true},
		"it is cold":             {[]any{handed, true}, false},
		"it has warmed up since": {[]any{handed, true, false}, false},
	}
	for name, c := range cases {
		e := testExecutor(t, "http://127.0.0.1:0", &api.Backend{Model: "m", ColdLimit: 2, FullLimit: 16})
		for _, event := range c.events {
			if saysCold, said := event.(bool); said {
				e.reported(saysCold)
				continue
			}
			e.inherit(&api.Usual{LatencyUs: 20_000, WorkUs: 200_000})
		}
		if taken := e.limiter.WorkTime() == 200*time.Millisecond; taken != c.taken {
			t.Errorf("%s: taken %v, want %v", name, taken, c.taken)
		}
		if e.status(0).GetUsual() != nil || e.limiter.WarmBaseline() != (cold.WarmBaseline{}) {
			t.Errorf("%s: what was inherited is told as its own", name)
		}
	}
}

// The next agent is told what this one has learned at the full limit.
func TestUsualIsReported(t *testing.T) {
	e := testExecutor(t, "http://127.0.0.1:0", &api.Backend{Model: "m", ColdLimit: 1, FullLimit: 2})
	for i := range 60 {
		now := time.Duration(i) * time.Second
		e.limiter.TryStart(now)
		e.limiter.Done(now, cold.Outcome{Latency: 20 * time.Millisecond})
	}
	told := e.status(0).GetUsual()
	if known := e.limiter.WarmBaseline(); told.GetLatencyUs() != known.Latency.Microseconds() || known.Latency == 0 {
		t.Errorf("told %v, known %v", told, known)
	}
}
