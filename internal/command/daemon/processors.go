package daemon

import (
	"os"
	"runtime"
)

// maxAgentProcessors limits the processors that run an agent's goroutines at the same time.
//
// An agent on a VM with many processors handles a stream of small events, each of which wakes a few
// goroutines. The Go scheduler then wakes threads on idle processors to look for work, which takes
// a third of the agent's processor time away from its backend server. Two processors sustain three
// times the planned 2,500 tokens a second. With one, heartbeats would wait for a garbage collection
// or a large request; the second keeps them on time.
const maxAgentProcessors = 2

// envGOMAXPROCS is the Go runtime's own setting, which takes precedence.
const envGOMAXPROCS = "GOMAXPROCS"

// limitProcessors limits the processors used by Go code, unless operators have set GOMAXPROCS.
func limitProcessors(limit int) {
	if os.Getenv(envGOMAXPROCS) == "" && runtime.GOMAXPROCS(0) > limit {
		runtime.GOMAXPROCS(limit)
	}
}
