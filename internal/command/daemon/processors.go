package daemon

import (
	"os"
	"runtime"
)

// maxAgentProcessors bounds the processors that an agent's goroutines run on at once.
//
// Load: a stream of small events on a backend server VM with many processors, each event
// a few goroutines waking each other. Harm prevented: the Go scheduler wakes threads on
// idle processors to look for that work, a third of an agent's processor time that its
// backend server lacks. Two carry three times the 2,500 tokens a second that are planned
// for, and a collection of garbage or a large request on one leaves the other to the
// heartbeats; on one processor they would wait for it.
const maxAgentProcessors = 2

// envGOMAXPROCS is the Go runtime's own setting, which goes first.
const envGOMAXPROCS = "GOMAXPROCS"

// limitProcessors keeps the process from using more processors at once, unless the
// operators have set a number.
func limitProcessors(limit int) {
	if os.Getenv(envGOMAXPROCS) == "" && runtime.GOMAXPROCS(0) > limit {
		runtime.GOMAXPROCS(limit)
	}
}
