package agent

import (
	"testing"

	"github.com/apricothub/apricothub/api"
)

// An observation of a group needs new reports of all ranks: with the reports of one agent alone,
// its own ranks would define what is typical. Reports that are lost, stale or repeated, that
// follow a restart of an engine, or that are of ranks outside the group do not change this.
func TestRanksAreObservedTogether(t *testing.T) {
	report := func(firstRank uint32, runningTotals ...uint64) *api.RankReport {
		r := &api.RankReport{FirstRank: firstRank}
		for _, n := range runningTotals {
			r.Tokens, r.Micros = append(r.Tokens, n), append(r.Micros, 2*n)
		}
		return r
	}
	tracker := newRankWorkTracker(4)
	for i, step := range []struct {
		report *api.RankReport
		whole  bool
	}{
		{report(0, 100, 100), false}, // the first observation is the baseline
		{report(0, 200, 200), false},
		{report(2, 50, 50), true},
		{report(2, 50, 50), false},
		{report(3, 9, 9), false}, // of a rank outside the group
		{&api.RankReport{Tokens: []uint64{1}}, false},
		{report(0, 300, 300), false},
		{report(2, 10, 10), true}, // the engine restarted and counts from 0
	} {
		tracker.addReport("", step.report)
		if work := tracker.workSinceLast(); (work != nil) != step.whole {
			t.Errorf("step %d: %v", i, work)
		}
	}
}
