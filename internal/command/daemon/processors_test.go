package daemon

import (
	"runtime"
	"testing"
)

// An agent is started on a VM with many processors, and once by operators who know that
// it needs more: what they set stays.
func TestLimitProcessors(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(4))
	t.Setenv(envGOMAXPROCS, "4")
	limitProcessors(maxAgentProcessors)
	if got := runtime.GOMAXPROCS(0); got != 4 {
		t.Errorf("%d processors though 4 were set", got)
	}
	t.Setenv(envGOMAXPROCS, "")
	limitProcessors(maxAgentProcessors)
	if got := runtime.GOMAXPROCS(0); got != maxAgentProcessors {
		t.Errorf("%d processors, want %d", got, maxAgentProcessors)
	}
}
