// Package slopes measures what one more customer, link, change, request or token costs a process,
// on one machine with a few dozen processes, and extrapolates the cost to the target size. `make
// slopes` writes the tables of docs/CAPACITY.md with it. It is never shipped.
package slopes

import (
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/test/harness"
)

var errNoSteps = errors.New("the group of ranks does not advance")

// Slopes holds all measurements.
type Slopes struct {
	memory    heapPerUnit
	cpu       decisionTimes
	idle      []idleRun
	underLoad []loadRun
	groups    []groupRun
	duration  time.Duration
	startedAt time.Time
}

// Measure runs all measurements with the binaries in bin.
func Measure(bin string, log io.Writer) (*Slopes, error) {
	s := &Slopes{startedAt: time.Now().UTC()}
	s.memory = measureMemory()
	s.cpu = measureDecisions()
	for i, n := range clusterSizes {
		last := i == len(clusterSizes)-1
		if err := harness.RunProgram(log, func(r *harness.Program) { s.measureCluster(r, bin, n, last) }); err != nil {
			return nil, err
		}
	}
	for _, agents := range []int{2, 4, 8} {
		err := harness.RunProgram(log, func(r *harness.Program) {
			s.groups = append(s.groups, measureGroup(r, bin, agents))
		})
		if err != nil {
			return nil, err
		}
	}
	s.duration = time.Since(s.startedAt)
	return s, nil
}

// measureCluster measures a cluster without load and, with withLoad, also under load.
func (s *Slopes) measureCluster(r harness.Reporter, bin string, size clusterSize, withLoad bool) {
	c := harness.StartCluster(r, clusterSpec(r, bin, size))
	idle := measureIdle(r, c, size)
	s.idle = append(s.idle, idle)
	if !withLoad {
		return
	}
	for _, l := range []struct{ callers, tokens int }{{64, 16}, {64, 64}, {256, 64}} {
		s.underLoad = append(s.underLoad, measureLoad(r, c, idle, l.callers, l.tokens))
	}
}
