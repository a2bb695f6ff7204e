package daemon

import (
	"runtime"
	"testing"
)

// An agent is started on a VM with many processors, and once by operators who know that
// it needs more: what they set stays.
func TestBoundProcessors(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(4))
	t.Setenv(processorsVariable, "4")
	boundProcessors(agentProcessors)
	if got := runtime.GOMAXPROCS(0); got != 4 {
		t.Errorf("%d processors though 4 were set", got)
	}
	t.Setenv(processorsVariable, "")
	boundProcessors(agentProcessors)
	if got := runtime.GOMAXPROCS(0); got != agentProcessors {
		t.Errorf("%d processors, want %d", got, agentProcessors)
	}
}
