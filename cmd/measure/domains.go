package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/apricothub/apricothub/decide/loadtest"
)

// The phases of a run. The policies start with cold limits, so the first part is not counted.
const (
	baselineFrom = 60 * time.Second
	leaveAt      = 80 * time.Second
	returnAt     = 110 * time.Second
	afterUntil   = 190 * time.Second
	// inFlightMargin before the departure is counted as part of it, as it cuts the requests that
	// are in flight.
	inFlightMargin = 10 * time.Second
	endAt          = 205 * time.Second
)

// seeds are the seeds of the runs that each row adds up.
var seeds = []uint64{1, 2, 3}

// departure is a way for a failure domain to leave and return.
type departure struct {
	name            string
	leave, comeBack func(r *loadtest.Run)
}

var departures = []departure{
	{
		name:     "mark",
		leave:    func(r *loadtest.Run) { r.MarkDomain(loadtest.Domains[0], true) },
		comeBack: func(r *loadtest.Run) { r.MarkDomain(loadtest.Domains[0], false) },
	},
	{
		name:     "death",
		leave:    func(r *loadtest.Run) { r.KillDomain(loadtest.Domains[0]) },
		comeBack: func(r *loadtest.Run) { r.ReviveDomain(loadtest.Domains[0]) },
	},
}

// loadLevel is the offered load relative to the capacity of all backend servers.
type loadLevel struct {
	name        string
	utilization float64
}

// The failure domain that leaves takes a third of the capacity with it.
var loadLevels = []loadLevel{
	{"70% of what remains", 0.7 * 2 / 3},
	{"70% of the whole (105% of what remains)", 0.7},
}

// measureDomains returns the quality of service while a failure domain leaves and returns, as
// Markdown tables.
func measureDomains() string {
	policies := []loadtest.Policy{
		loadtest.CurrentPolicy(), loadtest.SecondVersionPolicy(), loadtest.FirstVersionPolicy(), loadtest.FullShareOnReturnPolicy(), loadtest.RoundRobinPolicy(), loadtest.LeastConnectionsPolicy(),
	}
	var b strings.Builder
	fmt.Fprintf(&b, "12 backend servers in 3 failure domains, 8 entries, 10 customers; virtual time; sum of %d seeded runs. "+
		"One domain is out from second %d to %d and returns in cold start. Half of the requests may not be repeated.\n",
		len(seeds), int(leaveAt.Seconds()), int(returnAt.Seconds()))
	for _, l := range loadLevels {
		for _, m := range departures {
			fmt.Fprintf(&b, "\n**Load %s, by %s**\n\n", l.name, m.name)
			b.WriteString(domainTable(policies, l, m))
		}
	}
	return b.String()
}

func domainTable(policies []loadtest.Policy, l loadLevel, m departure) string {
	t := markdownTable{head: []string{
		"policy", "in time: before", "out", "after return", "lost: refused / late / failed", "of these in flight, not resumable",
		"first token p95: before", "out", "after", "cold overloads", "falls", "goodput back (s)",
	}}
	for _, p := range policies {
		result := measureDeparture(p, l, m)
		t.add(
			p.Name, formatInTime(result.before), formatInTime(result.out), formatInTime(result.after),
			fmt.Sprintf("%d / %d / %d of %d", result.lost.Refused, result.lost.Late, result.lost.Failed, result.lost.Requests),
			fmt.Sprint(result.cost.LostInFlight), formatFirstToken(result.before), formatRatio(result.out, result.before), formatRatio(result.after, result.before),
			fmt.Sprint(result.cost.Overloads), fmt.Sprint(result.cost.Crashes), result.goodputBack,
		)
	}
	return t.String()
}

// departureResult is what callers saw in the phases of the runs.
type departureResult struct {
	before, out, after, lost loadtest.Outcome
	cost                     loadtest.Cost
	goodputBack              string
}

func measureDeparture(p loadtest.Policy, l loadLevel, m departure) departureResult {
	var sum departureResult
	worst := 0.0
	for _, seed := range seeds {
		r := simulateDeparture(p, l, m, seed)
		sum.before.Merge(r.Outcome("", baselineFrom, leaveAt-inFlightMargin))
		sum.out.Merge(r.Outcome("", leaveAt-inFlightMargin, returnAt))
		sum.after.Merge(r.Outcome("", returnAt, afterUntil))
		sum.lost.Merge(r.Outcome("", leaveAt-inFlightMargin, afterUntil))
		sum.cost.Merge(r.Cost())
		worst = max(worst, secondsToGoodput(r))
	}
	sum.goodputBack = fmt.Sprintf("%.1f", worst)
	if worst > (returnAt - leaveAt).Seconds() {
		sum.goodputBack = "never"
	}
	return sum
}

// simulateDeparture simulates a run in which a failure domain leaves and returns.
func simulateDeparture(p loadtest.Policy, l loadLevel, m departure, seed uint64) *loadtest.Run {
	setup := loadtest.ReferenceSetup(p, l.utilization)
	setup.Seed = seed
	for i := range setup.Customers {
		setup.Customers[i].RepeatableFraction = 0.5
	}
	r := loadtest.New(setup)
	r.At(leaveAt, func() { m.leave(r) })
	r.At(returnAt, func() { m.comeBack(r) })
	r.RunUntil(endAt)
	return r
}

// secondsToGoodput returns the time from the departure until the answers in time within one second
// reach 90% of the offered load or of the capacity of the remaining backend servers, whichever is
// smaller. The answers are random; 90% is two standard deviations below the mean.
func secondsToGoodput(r *loadtest.Run) float64 {
	setup := r.Setup()
	offered := 0.0
	for _, c := range setup.Customers {
		offered += c.Rate
	}
	var remaining []loadtest.Backend
	for _, b := range setup.Backends {
		if b.Domain != loadtest.Domains[0] {
			remaining = append(remaining, b)
		}
	}
	enough := 0.9 * min(offered, loadtest.Capacity(remaining))
	const step = 100 * time.Millisecond
	for at := leaveAt; at < returnAt; at += step {
		if r.Goodput(at, at+time.Second) >= enough {
			return (at - leaveAt).Seconds()
		}
	}
	return (returnAt - leaveAt).Seconds() + 1
}

func formatInTime(o loadtest.Outcome) string { return fmt.Sprintf("%.2f%%", 100*o.FractionInTime()) }

func formatFirstToken(o loadtest.Outcome) string {
	return fmt.Sprintf("%d ms", loadtest.Quantile(o.TimeToFirstToken, 0.95).Milliseconds())
}

func formatRatio(o, before loadtest.Outcome) string {
	quiet := loadtest.Quantile(before.TimeToFirstToken, 0.95)
	now := loadtest.Quantile(o.TimeToFirstToken, 0.95)
	return fmt.Sprintf("%.2f×", float64(now)/float64(max(quiet, 1)))
}
