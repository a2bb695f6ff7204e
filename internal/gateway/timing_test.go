package gateway

import (
	"testing"
	"time"

	"github.com/apricothub/apricothub/platform"
)

// Guards against reads that are too rare for the bounds that must be kept: a reader fails, another one takes over
// once it misses fresh answers, and what it reads is passed on.
func TestReadsKeepTheBounds(t *testing.T) {
	const (
		// takeOver is the time until an entry counts as silent, passOn that of passing on what is read.
		takeOver = 1200 * msec
		passOn   = 700 * msec
	)
	for name, b := range map[string]platform.Bounds{
		"short bounds": {Drain: 2 * time.Second, ConfigApply: 2 * time.Second, Evacuate: 5 * time.Second},
		"long bounds":  {Drain: 5 * time.Second, ConfigApply: 5 * time.Second, Evacuate: 6 * time.Second},
		"none set":     {},
	} {
		timing := newStoreTiming(b)
		if timing.maxFreshAge <= timing.operatorsLongPoll || timing.maxFreshAge <= timing.serversInterval {
			t.Errorf("%s: an answer counts as outdated before the next one comes: %+v", name, timing)
		}
		if b.Drain > 0 && timing.serversInterval+passOn > b.Drain {
			t.Errorf("%s: a leaving server is known after %v", name, timing.serversInterval+passOn)
		}
		if b.ConfigApply > 3*time.Second && max(takeOver, timing.maxFreshAge)+passOn > b.ConfigApply {
			t.Errorf("%s: a configuration is in force too late if a reader fails: %+v", name, timing)
		}
	}
}

// Guards against a process that looks like an earlier one on its VM.
func TestIncarnationsRise(t *testing.T) {
	now := time.Now()
	if a, b := newIncarnation(now), newIncarnation(now.Add(2*time.Millisecond)); a >= b {
		t.Errorf("incarnation %d after %d", b, a)
	}
}
