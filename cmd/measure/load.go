package main

import (
	"fmt"
	"strings"

	"github.com/apricothub/apricothub/decide/loadtest"
)

// measureLoad returns what callers see in each scenario, as Markdown tables.
func measureLoad() string {
	policies := []loadtest.Policy{loadtest.CurrentPolicy(), loadtest.SecondVersionPolicy(), loadtest.FirstVersionPolicy(), loadtest.RoundRobinPolicy(), loadtest.LeastConnectionsPolicy()}
	var b strings.Builder
	b.WriteString("8 entries, 12 backend servers, 10 customers, deadlines of 10 s (30 s for the mix of sizes); virtual time, " +
		"one seeded run each. \"Others\" are the nine customers beside the one that asks for too much.\n")
	for _, s := range loadtest.Scenarios {
		fmt.Fprintf(&b, "\n**%s**\n\n%s", s.Name, scenarioTable(s, policies))
	}
	return b.String()
}

func scenarioTable(s loadtest.Scenario, policies []loadtest.Policy) string {
	t := markdownTable{head: []string{
		"policy", "in time", "of others", "refused / late / failed", "goodput/s", "first token p50 / p95 / p99 (ms)",
		"between tokens p95 (ms)", "time to refusal p95 (ms)", "work wasted (s)", "cold overloads", "falls",
	}}
	for _, p := range policies {
		r := s.Run(p, 1)
		from, to := s.MeasureFrom(), s.MeasureUntil()
		all := r.Outcome("", from, to)
		others := r.Outcome("", from, to)
		others.Subtract(r.Outcome(loadtest.GreedyCustomer, from, to))
		cost := r.Cost()
		t.add(
			p.Name, formatInTime(all), formatInTime(others),
			fmt.Sprintf("%d / %d / %d of %d", all.Refused, all.Late, all.Failed, all.Requests),
			fmt.Sprintf("%.0f", r.Goodput(from, to)),
			fmt.Sprintf("%d / %d / %d", firstTokenQuantileMs(all, 0.5), firstTokenQuantileMs(all, 0.95), firstTokenQuantileMs(all, 0.99)),
			fmt.Sprint(loadtest.Quantile(all.TimePerToken, 0.95).Milliseconds()),
			fmt.Sprint(loadtest.Quantile(all.TimeToRefusal, 0.95).Milliseconds()),
			fmt.Sprintf("%.0f", cost.WastedTime.Seconds()), fmt.Sprint(cost.Overloads), fmt.Sprint(cost.Crashes),
		)
	}
	return t.String()
}

func firstTokenQuantileMs(o loadtest.Outcome, q float64) int64 {
	return loadtest.Quantile(o.TimeToFirstToken, q).Milliseconds()
}
