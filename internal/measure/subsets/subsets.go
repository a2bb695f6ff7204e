// Package subsets measures links, their bytes and callers' answers with subsets of links
// on and off, in one run on loopback. The `subsets` measure writes a section of
// docs/design/subsetting.md with it. It is never shipped.
package subsets

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/apricothub/apricothub/test/harness"
)

const (
	entries = 6
	engines = 15
	// places of one engine, all of them warm.
	places = 8
	// callers ask for 70% of all places.
	callers = engines * places * 7 / 10
	// settle is the wait before a measurement, quiet and busy the lengths of those
	// without and with callers.
	settle = 3 * time.Second
	quiet  = 8 * time.Second
	busy   = 12 * time.Second
)

// settings are the numbers of agents per offer that are compared: all, and 4.
var settings = []int{0, 4}

// rounds is how often the two are measured, in turns, so that both meet the same machine.
const rounds = 2

// used is what processes of one role used on average.
type used struct {
	links, bytes, cpu, resident float64
}

// result is one cluster.
type result struct {
	per          int
	entry, agent used // without callers
	load         harness.LoadResult
}

// Measure runs everything with the binaries in bin and returns the section's text.
func Measure(bin string, log io.Writer) (string, error) {
	var results []result
	for range rounds {
		for _, per := range settings {
			err := harness.RunProgram(log, func(r *harness.Program) { results = append(results, measure(r, bin, per)) })
			if err != nil {
				return "", err
			}
		}
	}
	return report(results), nil
}

func measure(r harness.Reporter, bin string, per int) result {
	limit := strconv.Itoa(places)
	link := map[string]string{"agents-per-offer": strconv.Itoa(per)}
	platform := map[string]string{"poll-ms": "500"}
	c := harness.StartCluster(r, harness.Spec{
		Bin: bin, Dir: harness.NewDir(r, "subsets"), Domains: []string{"a", "b", "c"},
		Entries: entries, Engines: engines, Direct: true,
		EngineFlags: []string{"-token", "20ms", "-cold", "0", "-full", limit},
		Entry:       harness.Settings{"platform": platform, "link": link},
		Agent:       harness.Settings{"platform": platform, "link": link, "backend": {"full-limit": limit, "cold-limit": limit}},
	})
	time.Sleep(settle)
	res := result{per: per}
	res.entry, res.agent = during(r, c, quiet)
	load := c.StartLoad(harness.LoadSpec{Callers: callers, Tokens: 30, KeepAlive: true, Seed: 1})
	time.Sleep(busy)
	res.load = load.Stop()
	return res
}

// during returns what entries and agents used a second for some time.
func during(r harness.Reporter, c *harness.Cluster, d time.Duration) (entry, agent used) {
	before := sums(r, c)
	time.Sleep(d)
	after := sums(r, c)
	for i, sum := range after {
		sum.bytes = (sum.bytes - before[i].bytes) / d.Seconds()
		sum.cpu = (sum.cpu - before[i].cpu) / d.Seconds()
		after[i] = sum
	}
	return after[0], after[1]
}

// sums returns the means over the entries and over the agents.
func sums(r harness.Reporter, c *harness.Cluster) [2]used {
	return [2]used{mean(r, c.Entries), mean(r, c.Agents)}
}

func mean(r harness.Reporter, members []*harness.Member) used {
	var u used
	n := float64(len(members))
	for _, m := range members {
		values, err := m.Metrics()
		if err != nil {
			r.Fatalf("%s: %v", m.VM, err)
		}
		usage := m.Usage()
		u.bytes += (values["link.bytes.in"] + values["link.bytes.out"]) / n
		u.cpu += usage.CPU.Seconds() / n
		u.resident += float64(usage.Resident) / n
		u.links += float64(linked(r, m)) / n
	}
	return u
}

// linked counts the links of a process.
func linked(r harness.Reporter, m *harness.Member) int {
	status, err := m.Status()
	if err != nil {
		r.Fatalf("%s: %v", m.VM, err)
	}
	n := 0
	for _, other := range status.Members {
		if other.Link == "up" {
			n++
		}
	}
	return n
}

func report(results []result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d entries, %d engines of one model with %d places each, 3 failure domains; each cluster %d times, in turns; %d callers, "+
		"who ask for 70%% of the places and keep their connections.\n\n", entries, engines, places, rounds, callers)
	b.WriteString("| agents per offer | links of an entry | of an agent | bytes a second of an entry, idle | of an agent, idle | " +
		"processor of an entry, idle | of an agent, idle | memory of an entry | answers whole | a second | refusals | cut or failed | slowest |\n")
	b.WriteString("|" + strings.Repeat("---|", 13) + "\n")
	for _, r := range results {
		per := "all"
		if r.per > 0 {
			per = strconv.Itoa(r.per)
		}
		refusals := 0
		for _, n := range r.load.Refusals {
			refusals += n
		}
		fmt.Fprintf(&b, "| %s | %.1f | %.1f | %.0f | %.0f | %.2f%% | %.2f%% | %.1f MB | %d | %.0f | %d | %d | %v |\n", per,
			r.entry.links, r.agent.links, r.entry.bytes, r.agent.bytes, 100*r.entry.cpu, 100*r.agent.cpu, r.entry.resident/megabyte,
			r.load.Whole, float64(r.load.Whole)/busy.Seconds(), refusals, len(r.load.Cut)+len(r.load.Failed), r.load.Slowest.Round(time.Millisecond))
	}
	return b.String()
}

const megabyte = 1e6
