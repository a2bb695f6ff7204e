package daemon

import (
	"runtime"
	"testing"
)

// The limit must apply on a VM with many processors, but must not override a number that operators
// have set.
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
