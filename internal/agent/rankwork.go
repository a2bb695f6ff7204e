package agent

import (
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/balance"
)

// rankReportEvery is how many of observeEvery pass between two reports of an agent's ranks.
// A report takes some 130 bytes, and a coordinator of 32 agents has 7 KB a second for all
// its control: with one a second, the reports alone would take more than half of it.
const rankReportEvery = 2

// rankReport is what an agent tells of its ranks; nil where the engine does not measure
// them.
func rankReport(first int, step uint64, ranks []rankCount) *api.RankReport {
	if len(ranks) == 0 {
		return nil
	}
	report := &api.RankReport{FirstRank: uint32(first), Step: step}
	for _, rank := range ranks {
		report.Tokens = append(report.Tokens, uint64(max(0, rank.Tokens)))
		report.Micros = append(report.Micros, uint64(max(0, rank.Seconds*1e6)))
	}
	return report
}

// counts are what all ranks of a group have done, as running counts by rank.
type counts struct {
	tokens, micros, steps []float64
}

func (c counts) clone() counts {
	return counts{slices.Clone(c.tokens), slices.Clone(c.micros), slices.Clone(c.steps)}
}

// rankCounts gathers the reports of all agents of a group into observations of all ranks.
type rankCounts struct {
	now, seen counts
	vms       []string      // of the agent that reports the rank
	skew      time.Duration // of a step, as last observed
}

func newRankCounts(size int) *rankCounts {
	of := func() []float64 { return make([]float64, size) }
	return &rankCounts{now: counts{of(), of(), of()}, vms: make([]string, size)}
}

// take keeps a report of the VM's agent; one that does not fit the group is ignored.
func (c *rankCounts) take(vm string, r *api.RankReport) {
	first := int(r.GetFirstRank())
	if len(r.GetTokens()) != len(r.GetMicros()) || first+len(r.GetTokens()) > len(c.now.tokens) {
		return
	}
	for i := range r.GetTokens() {
		c.now.tokens[first+i] = float64(r.GetTokens()[i])
		c.now.micros[first+i] = float64(r.GetMicros()[i])
		c.now.steps[first+i] = float64(r.GetStep())
		c.vms[first+i] = vm
	}
}

// since returns what each rank has done since the last observation, or nil while any has
// told nothing new: of what is usual in the group, a part of it says nothing.
func (c *rankCounts) since() []balance.RankWork {
	if c.seen.tokens == nil {
		c.seen = c.now.clone()
		return nil
	}
	tokens, micros := difference(c.now.tokens, c.seen.tokens), difference(c.now.micros, c.seen.micros)
	work := make([]balance.RankWork, len(tokens))
	for rank := range work {
		if tokens[rank] <= 0 || micros[rank] <= 0 {
			return nil
		}
		work[rank] = balance.RankWork{Tokens: tokens[rank], Time: time.Duration(micros[rank]) * time.Microsecond}
	}
	c.observeSkew(work)
	c.seen = c.now.clone()
	return work
}

// observeSkew takes the time between the first and the last rank in a step. Agents report
// at different times, so each rank's time goes over the steps of its own report; while an
// engine tells of no step, the last skew stays.
func (c *rankCounts) observeSkew(work []balance.RankWork) {
	steps := difference(c.now.steps, c.seen.steps)
	each := make([]time.Duration, len(work))
	for rank := range work {
		if steps[rank] <= 0 {
			return
		}
		each[rank] = time.Duration(float64(work[rank].Time) / steps[rank])
	}
	c.skew = slices.Max(each) - slices.Min(each)
}

// describe adds to the group's status what the work of its ranks tells operators.
func (r *rebalancer) describe(status *api.GroupStatus) {
	status.SkewUs = uint64(r.ranks.skew.Microseconds())
	status.SlowRanks = uint32(len(r.slow))
	if len(r.slow) == 0 {
		return
	}
	slowest := r.slow[0]
	status.Slowest = &api.SlowRank{
		Rank: uint32(slowest.Rank),
		Vm:   r.ranks.vms[slowest.Rank],
		Pace: slowest.Slowdown,
	}
}
