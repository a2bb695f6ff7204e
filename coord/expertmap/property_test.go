package expertmap

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// The seed is fixed so that every run is the same. The flags -rapid.seed, -rapid.checks and
// -rapid.steps on the command line override these values.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
}

// Agents, engines and coordinators restart, connections break with orders in flight, messages are
// lost, repeated and reordered, and coordinators race with different maps. No two engines may be
// given different maps for one step: a caller would get tokens computed with two maps in one step.
// When the faults end, steps continue and the last target map takes effect.
func TestOneMapInEachStep(t *testing.T) {
	var steps, switches, faults, runs uint64
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"))
		faultsPerMille := rapid.IntRange(0, 60).Draw(t, "faults in a thousand")
		for range 4000 {
			s.randomEvent(faultsPerMille)
			if s.violation != "" {
				t.Fatal(s.violation)
			}
		}
		s.finishWithoutFaults(t)
		steps += s.step
		switches += uint64(s.switches)
		faults += uint64(s.faults)
		runs++
	})
	t.Logf("%d runs: %d steps, %d switches of the map, %d faults", runs, steps, switches, faults)
}

// finishWithoutFaults ends the faults: one coordinator is left, with another target map.
func (s *sim) finishWithoutFaults(t *rapid.T) {
	for _, vm := range s.vms[1:] {
		vm.coordinator.Stop()
	}
	c := s.vms[0].coordinator
	if c.Status().Phase == Idle {
		c.Start(s.now, 0)
	}
	c.SetTarget(s.now, simMaps+1)
	stepBefore := s.step
	for range 20000 {
		s.randomEvent(0)
		if s.violation != "" {
			t.Fatal(s.violation)
		}
		if s.step > stepBefore+3*simLookaheadSteps && s.finished[s.step-1] == simMaps+1 {
			return
		}
	}
	t.Fatalf("steps went from %d to %d after the faults, map %d: %+v", stepBefore, s.step, s.finished[s.step-min(1, s.step)], c.Status())
}
