package agent

import (
	"testing"

	"github.com/apricothub/apricothub/api"
)

// A group's observation needs news of all ranks: one agent's reports alone would make its
// own ranks the usual ones. Reports that are lost, late, repeated, after a restart of an
// engine, or of ranks that the group does not have, change nothing about that.
func TestRanksAreObservedTogether(t *testing.T) {
	report := func(first uint32, runningTotals ...uint64) *api.RankReport {
		r := &api.RankReport{FirstRank: first}
		for _, n := range runningTotals {
			r.Tokens, r.Micros = append(r.Tokens, n), append(r.Micros, 2*n)
		}
		return r
	}
	c := newRankWorkTracker(4)
	for i, step := range []struct {
		report *api.RankReport
		whole  bool
	}{
		{report(0, 100, 100), false}, // the first look is the beginning
		{report(0, 200, 200), false},
		{report(2, 50, 50), true},
		{report(2, 50, 50), false},
		{report(3, 9, 9), false}, // of a rank too many
		{&api.RankReport{Tokens: []uint64{1}}, false},
		{report(0, 300, 300), false},
		{report(2, 10, 10), true}, // the engine counts from 0 again
	} {
		c.addReport("", step.report)
		if work := c.workSinceLast(); (work != nil) != step.whole {
			t.Errorf("step %d: %v", i, work)
		}
	}
}
