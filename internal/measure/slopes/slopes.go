// Package slopes measures what one more customer, link, change, request or token
// costs a process, on one machine with a few dozen processes, and works out from
// that what the size of two years ahead costs. `make slopes` writes the tables of
// docs/CAPACITY.md with it. It is never shipped.
package slopes

import (
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/test/harness"
)

var errStalled = errors.New("the group does not step")

// Slopes holds all that was measured.
type Slopes struct {
	memory memory
	cpu    decisions
	quiet  []quietRun
	busy   []busyRun
	groups []groupRun
	took   time.Duration
	at     time.Time
}

// Measure measures everything with the binaries in bin.
func Measure(bin string, log io.Writer) (*Slopes, error) {
	s := &Slopes{at: time.Now().UTC()}
	s.memory = measureMemory()
	s.cpu = measureDecisions()
	for i, n := range sizes {
		last := i == len(sizes)-1
		if err := harness.RunProgram(log, func(r *harness.Program) { s.cluster(r, bin, n, last) }); err != nil {
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
	s.took = time.Since(s.at)
	return s, nil
}

// cluster measures one cluster; the last one also under load.
func (s *Slopes) cluster(r harness.Reporter, bin string, n size, load bool) {
	c := harness.StartCluster(r, spec(r, bin, n))
	q := measureQuiet(r, c, n)
	s.quiet = append(s.quiet, q)
	if !load {
		return
	}
	for _, l := range []struct{ callers, tokens int }{{64, 16}, {64, 64}, {256, 64}} {
		s.busy = append(s.busy, measureBusy(r, c, q, l.callers, l.tokens))
	}
}
