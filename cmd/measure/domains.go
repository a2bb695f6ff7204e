package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/apricothub/apricothub/decide/loadtest"
)

// The phases of a run. The policies begin with cold limits, so that the first
// part is left out.
const (
	quietFrom  = 60 * time.Second
	leaveAt    = 80 * time.Second
	returnAt   = 110 * time.Second
	afterUntil = 190 * time.Second
	// margin before the departure belongs to it: what was in flight is cut by it.
	margin = 10 * time.Second
	endAt  = 205 * time.Second
)

// seeds are the runs that each row sums up.
var seeds = []uint64{1, 2, 3}

// move is one way for a failure domain to leave and return.
type move struct {
	name          string
	leave, goBack func(r *loadtest.Run)
}

var moves = []move{
	{
		name:   "mark",
		leave:  func(r *loadtest.Run) { r.MarkDomain(loadtest.Domains[0], true) },
		goBack: func(r *loadtest.Run) { r.MarkDomain(loadtest.Domains[0], false) },
	},
	{
		name:   "death",
		leave:  func(r *loadtest.Run) { r.KillDomain(loadtest.Domains[0]) },
		goBack: func(r *loadtest.Run) { r.ReviveDomain(loadtest.Domains[0]) },
	},
}

// load is one level of load.
type load struct {
	name string
	part float64
}

// The third that leaves takes a third of the capacity with it.
var loads = []load{
	{"70% of what remains", 0.7 * 2 / 3},
	{"70% of the whole (105% of what remains)", 0.7},
}

// domains measures service while a failure domain leaves and returns.
func domains() string {
	policies := []loadtest.Policy{
		loadtest.CurrentPolicy(), loadtest.SecondVersionPolicy(), loadtest.FirstVersionPolicy(), loadtest.FullShareOnReturnPolicy(), loadtest.RoundRobinPolicy(), loadtest.LeastConnectionsPolicy(),
	}
	var b strings.Builder
	fmt.Fprintf(&b, "12 backend servers in 3 failure domains, 8 entries, 10 customers; virtual time; sum of %d seeded runs. "+
		"One domain is out from second %d to %d and returns in cold start. Half of the requests may not be repeated.\n",
		len(seeds), int(leaveAt.Seconds()), int(returnAt.Seconds()))
	for _, l := range loads {
		for _, m := range moves {
			fmt.Fprintf(&b, "\n**Load %s, by %s**\n\n", l.name, m.name)
			b.WriteString(domainTable(policies, l, m))
		}
	}
	return b.String()
}

func domainTable(policies []loadtest.Policy, l load, m move) string {
	t := table{head: []string{
		"policy", "in time: before", "out", "after return", "lost: refused / late / failed", "of these in flight, not resumable",
		"first token p95: before", "out", "after", "cold overloads", "falls", "goodput back (s)",
	}}
	for _, p := range policies {
		sum := measureMove(p, l, m)
		t.add(
			p.Name, percent(sum.before), percent(sum.out), percent(sum.after),
			fmt.Sprintf("%d / %d / %d of %d", sum.lost.Refused, sum.lost.Late, sum.lost.Failed, sum.lost.Requests),
			fmt.Sprint(sum.cost.LostInFlight), ms(sum.before), ratio(sum.out, sum.before), ratio(sum.after, sum.before),
			fmt.Sprint(sum.cost.Overloads), fmt.Sprint(sum.cost.Crashes), sum.back,
		)
	}
	return t.String()
}

// moveResult is what callers saw in the phases of the runs.
type moveResult struct {
	before, out, after, lost loadtest.Outcome
	cost                     loadtest.Cost
	back                     string
}

func measureMove(p loadtest.Policy, l load, m move) moveResult {
	var sum moveResult
	worst := 0.0
	for _, seed := range seeds {
		r := playMove(p, l, m, seed)
		sum.before.Merge(r.Outcome("", quietFrom, leaveAt-margin))
		sum.out.Merge(r.Outcome("", leaveAt-margin, returnAt))
		sum.after.Merge(r.Outcome("", returnAt, afterUntil))
		sum.lost.Merge(r.Outcome("", leaveAt-margin, afterUntil))
		sum.cost.Merge(r.Cost())
		worst = max(worst, goodputBack(r))
	}
	sum.back = fmt.Sprintf("%.1f", worst)
	if worst > (returnAt - leaveAt).Seconds() {
		sum.back = "never"
	}
	return sum
}

// playMove plays one run in which a failure domain leaves and returns.
func playMove(p loadtest.Policy, l load, m move, seed uint64) *loadtest.Run {
	setup := loadtest.ReferenceSetup(p, l.part)
	setup.Seed = seed
	for i := range setup.Customers {
		setup.Customers[i].RepeatableFraction = 0.5
	}
	r := loadtest.New(setup)
	r.At(leaveAt, func() { m.leave(r) })
	r.At(returnAt, func() { m.goBack(r) })
	r.RunUntil(endAt)
	return r
}

// goodputBack is the time after the departure until the answers in time of a
// second reach 90% of what is asked or of what the remaining backend servers can
// do, the smaller. Answers come at random, and 90% lies two standard deviations
// below the mean.
func goodputBack(r *loadtest.Run) float64 {
	setup := r.Setup()
	asked := 0.0
	for _, c := range setup.Customers {
		asked += c.Rate
	}
	var left []loadtest.Backend
	for _, b := range setup.Backends {
		if b.Domain != loadtest.Domains[0] {
			left = append(left, b)
		}
	}
	enough := 0.9 * min(asked, loadtest.Capacity(left))
	const step = 100 * time.Millisecond
	for at := leaveAt; at < returnAt; at += step {
		if r.Goodput(at, at+time.Second) >= enough {
			return (at - leaveAt).Seconds()
		}
	}
	return (returnAt - leaveAt).Seconds() + 1
}

func percent(o loadtest.Outcome) string { return fmt.Sprintf("%.2f%%", 100*o.FractionInTime()) }

func ms(o loadtest.Outcome) string {
	return fmt.Sprintf("%d ms", loadtest.Quantile(o.TimeToFirstToken, 0.95).Milliseconds())
}

func ratio(o, before loadtest.Outcome) string {
	quiet := loadtest.Quantile(before.TimeToFirstToken, 0.95)
	now := loadtest.Quantile(o.TimeToFirstToken, 0.95)
	return fmt.Sprintf("%.2f×", float64(now)/float64(max(quiet, 1)))
}
