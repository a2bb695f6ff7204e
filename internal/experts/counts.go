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
	add := func(i int, n int64) { sums[i/g.shape.Experts][i%g.shape.Experts] += float64(n) }
	for _, m := range members {
		if m.engine.Config.LayerSets != g.shape.LayerSets || m.engine.Config.Experts != g.shape.Experts {
			continue
		}
		hasCounts = g.noteRankCounts(m, add) || hasCounts
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
		g.noteRankCounts(m, nil)
	}
}

// noteRankCounts keeps the counts in a rank's reply and calls rise, if it is not nil, for each count that has
// risen since the last ones, if there are any to compare with. It returns false if the reply has no counts.
func (g *group) noteRankCounts(m *member, rise func(i int, n int64)) bool {
	last := g.lastCounts[m.engine.ID]
	born := m.reply.GetState().GetBorn()
	size := m.engine.Config.LayerSets * m.engine.Config.Experts
	if len(last.counts) != size {
		last = rankCounts{}
	}
	if last.counts == nil || last.startedAtUnixMs != born {
		rise = nil
	}
	counts := ranks.UpdateCounts(m.reply, last.counts, rise)
	if len(counts) == 0 || len(counts) != size {
		return false
	}
	g.lastCounts[m.engine.ID] = rankCounts{id: m.reply.GetCountsId(), counts: counts, startedAtUnixMs: born}
	return true
}
