package experts

import (
	"slices"

	"github.com/apricothub/apricothub/internal/ranks"
)

// rankCounts are the counts of one rank.
type rankCounts struct {
	// id identifies the reply that the counts come from.
	id     uint64
	counts []int64
	// startedAtUnixMs is the rank's start time. The counts of a rank that restarts begin at zero.
	startedAtUnixMs int64
}

// observe passes to the planner how often each expert was chosen since the counts were last read,
// summed over all ranks, and the slowdowns of the ranks.
func (g *group) observe(members []*member, passes int64) {
	g.passesSinceCounts += passes
	sums := make([][]float64, g.shape.LayerSets)
	for i := range sums {
		sums[i] = make([]float64, g.shape.Experts)
	}
	hasCounts := false
	for _, m := range members {
		increase, ok := g.noteRankCounts(m)
		hasCounts = hasCounts || ok
		for i, n := range increase {
			sums[i/g.shape.Experts][i%g.shape.Experts] += float64(n)
		}
	}
	if hasCounts {
		g.planner.Observe(g.passesSinceCounts, sums)
		g.passesSinceCounts = 0
	}
	slowdowns := make([]float64, len(members))
	for rank, m := range members {
		slowdowns[rank] = m.reply.GetState().GetPace()
	}
	g.planner.ObserveSlowdowns(slowdowns)
}

// isClosed reports whether a rank says that its group is not open.
func isClosed(members []*member) bool {
	return slices.ContainsFunc(members, func(m *member) bool { return !m.reply.GetState().GetOpen() })
}

// noteCounts keeps the counts of a group that is not open, so that the first poll after it opens
// already shows which experts the queued requests choose.
func (g *group) noteCounts(members []*member) {
	for _, m := range members {
		g.noteRankCounts(m)
	}
}

// noteRankCounts keeps the counts in a rank's reply and returns by how much they have risen since
// the last ones. The increase is nil if there are none to compare with, and ok is false if the reply
// has no counts.
func (g *group) noteRankCounts(m *member) (increase []int64, ok bool) {
	last := g.lastCounts[m.engine.ID]
	counts := ranks.CountsFromWire(m.reply, last.counts)
	if len(counts) == 0 || len(counts) != m.engine.Config.LayerSets*m.engine.Config.Experts {
		return nil, false
	}
	born := m.reply.GetState().GetBorn()
	g.lastCounts[m.engine.ID] = rankCounts{id: m.reply.GetCountsId(), counts: counts, startedAtUnixMs: born}
	if last.counts == nil || last.startedAtUnixMs != born {
		return nil, true
	}
	increase = make([]int64, len(counts))
	for i, n := range counts {
		increase[i] = max(n-last.counts[i], 0)
	}
	return increase, true
}
