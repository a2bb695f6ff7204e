package agent

import (
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/balance"
)

// observationsPerRankReport is how many observation intervals pass between two reports of an
// agent's ranks. A report takes about 130 bytes, and a coordinator of 32 agents has 7 KB/s for all
// its control traffic: with one report a second, the reports alone would take more than half of
// it.
const observationsPerRankReport = 2

// newRankReport returns an agent's report on its ranks; nil if the engine does not measure them.
func newRankReport(firstRank int, step uint64, ranks []rankCount) *api.RankReport {
	if len(ranks) == 0 {
		return nil
	}
	report := &api.RankReport{FirstRank: uint32(firstRank), Step: step}
	for _, rank := range ranks {
		report.Tokens = append(report.Tokens, uint64(max(0, rank.Tokens)))
		report.Micros = append(report.Micros, uint64(max(0, rank.Seconds*1e6)))
	}
	return report
}

// runningCounts holds the running counts of all ranks of a group, by rank.
type runningCounts struct {
	tokens, micros, steps []float64
}

func (c runningCounts) clone() runningCounts {
	return runningCounts{slices.Clone(c.tokens), slices.Clone(c.micros), slices.Clone(c.steps)}
}

// rankWorkTracker combines the reports of all agents of a group into observations of all ranks.
type rankWorkTracker struct {
	current, last runningCounts
	vms           []string      // by rank, of the agent that reports it
	skew          time.Duration // of a step, as last observed
}

func newRankWorkTracker(size int) *rankWorkTracker {
	newCounts := func() []float64 { return make([]float64, size) }
	return &rankWorkTracker{current: runningCounts{newCounts(), newCounts(), newCounts()}, vms: make([]string, size)}
}

// addReport stores a report of the VM's agent. A report that does not fit the group is ignored.
func (t *rankWorkTracker) addReport(vm string, r *api.RankReport) {
	firstRank := int(r.GetFirstRank())
	if len(r.GetTokens()) != len(r.GetMicros()) || firstRank+len(r.GetTokens()) > len(t.current.tokens) {
		return
	}
	for i := range r.GetTokens() {
		t.current.tokens[firstRank+i] = float64(r.GetTokens()[i])
		t.current.micros[firstRank+i] = float64(r.GetMicros()[i])
		t.current.steps[firstRank+i] = float64(r.GetStep())
		t.vms[firstRank+i] = vm
	}
}

// workSinceLast returns the work of each rank since the last observation. It returns nil while any
// rank has no new work, because the slowdown of a rank is relative to all ranks of the group.
func (t *rankWorkTracker) workSinceLast() []balance.RankWork {
	if t.last.tokens == nil {
		t.last = t.current.clone()
		return nil
	}
	tokens, micros := countDeltas(t.current.tokens, t.last.tokens), countDeltas(t.current.micros, t.last.micros)
	work := make([]balance.RankWork, len(tokens))
	for rank := range work {
		if tokens[rank] <= 0 || micros[rank] <= 0 {
			return nil
		}
		work[rank] = balance.RankWork{Tokens: tokens[rank], Time: time.Duration(micros[rank]) * time.Microsecond}
	}
	t.updateSkew(work)
	t.last = t.current.clone()
	return work
}

// updateSkew computes the time between the first and the last rank in a step. Agents report at
// different times, so each rank's time is divided by the steps of its own report. The last skew is
// kept while an engine reports no step.
func (t *rankWorkTracker) updateSkew(work []balance.RankWork) {
	steps := countDeltas(t.current.steps, t.last.steps)
	stepTimes := make([]time.Duration, len(work))
	for rank := range work {
		if steps[rank] <= 0 {
			return
		}
		stepTimes[rank] = time.Duration(float64(work[rank].Time) / steps[rank])
	}
	t.skew = slices.Max(stepTimes) - slices.Min(stepTimes)
}

// addRankStatus adds the skew and the slow ranks to the group's status.
func (r *rebalancer) addRankStatus(status *api.GroupStatus) {
	status.SkewUs = uint64(r.rankWork.skew.Microseconds())
	status.SlowRanks = uint32(len(r.slowRanks))
	if len(r.slowRanks) == 0 {
		return
	}
	slowest := r.slowRanks[0]
	status.Slowest = &api.SlowRank{
		Rank: uint32(slowest.Rank),
		Vm:   r.rankWork.vms[slowest.Rank],
		Pace: slowest.Slowdown,
	}
}
