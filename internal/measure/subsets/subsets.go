// Package subsets compares the number of links, their traffic and the answers to callers with and
// without subsets of links, on loopback clusters. The `subsets` measure writes a section of
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
	// slotsPerEngine is the number of slots of one engine. All engines are warm.
	slotsPerEngine = 8
	// callers request 70% of all slots.
	callers = engines * slotsPerEngine * 7 / 10
	// settleTime is the wait before a measurement. idleTime and loadTime are the durations of a
	// measurement without and with callers.
	settleTime = 3 * time.Second
	idleTime   = 8 * time.Second
	loadTime   = 12 * time.Second
)

// agentsPerOfferValues are the settings that are compared: links to all agents (0) and to 4 per
// offer.
var agentsPerOfferValues = []int{0, 4}

// rounds is the number of measurements of each setting. The settings alternate, so that both meet
// the same conditions on the machine.
const rounds = 2

// usage is the average usage of the processes of one role: traffic and processor time per second.
type usage struct {
	links, bytes, cpu, resident float64
}

// result is the measurement of one cluster.
type result struct {
	agentsPerOffer int
	entry, agent   usage // without callers
	load           harness.LoadResult
}

// Measure runs all measurements with the binaries in bin and returns the text of the section.
func Measure(bin string, log io.Writer) (string, error) {
	var results []result
	for range rounds {
		for _, agentsPerOffer := range agentsPerOfferValues {
			err := harness.RunProgram(log, func(r *harness.Program) { results = append(results, measure(r, bin, agentsPerOffer)) })
			if err != nil {
				return "", err
			}
		}
	}
	return report(results), nil
}

func measure(r harness.Reporter, bin string, agentsPerOffer int) result {
	limit := strconv.Itoa(slotsPerEngine)
	link := map[string]string{"agents-per-offer": strconv.Itoa(agentsPerOffer)}
	platform := map[string]string{"poll-ms": "500"}
	c := harness.StartCluster(r, harness.Spec{
		Bin: bin, Dir: harness.NewDir(r, "subsets"), Domains: []string{"a", "b", "c"},
		Entries: entries, Engines: engines, Direct: true,
		EngineFlags: []string{"-token", "20ms", "-cold", "0", "-full", limit},
		Entry:       harness.Settings{"platform": platform, "link": link},
		Agent:       harness.Settings{"platform": platform, "link": link, "backend": {"full-limit": limit, "cold-limit": limit}},
	})
	time.Sleep(settleTime)
	res := result{agentsPerOffer: agentsPerOffer}
	res.entry, res.agent = measureUsage(r, c, idleTime)
	load := c.StartLoad(harness.LoadSpec{Callers: callers, Tokens: 30, KeepAlive: true, Seed: 1})
	time.Sleep(loadTime)
	res.load = load.Stop()
	return res
}

// measureUsage returns the average usage of entries and agents over the given duration.
func measureUsage(r harness.Reporter, c *harness.Cluster, duration time.Duration) (entry, agent usage) {
	before := meanUsages(r, c)
	time.Sleep(duration)
	after := meanUsages(r, c)
	for i, mean := range after {
		mean.bytes = (mean.bytes - before[i].bytes) / duration.Seconds()
		mean.cpu = (mean.cpu - before[i].cpu) / duration.Seconds()
		after[i] = mean
	}
	return after[0], after[1]
}

// meanUsages returns the averages over the entries and over the agents.
func meanUsages(r harness.Reporter, c *harness.Cluster) [2]usage {
	return [2]usage{meanUsage(r, c.Entries), meanUsage(r, c.Agents)}
}

func meanUsage(r harness.Reporter, members []*harness.Member) usage {
	var u usage
	n := float64(len(members))
	for _, m := range members {
		values, err := m.Metrics()
		if err != nil {
			r.Fatalf("%s: %v", m.VM, err)
		}
		processUsage := m.Usage()
		u.bytes += (values["link.bytes.in"] + values["link.bytes.out"]) / n
		u.cpu += processUsage.CPU.Seconds() / n
		u.resident += float64(processUsage.Resident) / n
		u.links += float64(countLinks(r, m)) / n
	}
	return u
}

// countLinks returns the number of links of a process that are up.
func countLinks(r harness.Reporter, m *harness.Member) int {
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
		"who ask for 70%% of the places and keep their connections.\n\n", entries, engines, slotsPerEngine, rounds, callers)
	b.WriteString("| agents per offer | links of an entry | of an agent | bytes a second of an entry, idle | of an agent, idle | " +
		"processor of an entry, idle | of an agent, idle | memory of an entry | answers whole | a second | refusals | cut or failed | slowest |\n")
	b.WriteString("|" + strings.Repeat("---|", 13) + "\n")
	for _, r := range results {
		agentsPerOffer := "all"
		if r.agentsPerOffer > 0 {
			agentsPerOffer = strconv.Itoa(r.agentsPerOffer)
		}
		refusals := 0
		for _, n := range r.load.Refusals {
			refusals += n
		}
		fmt.Fprintf(&b, "| %s | %.1f | %.1f | %.0f | %.0f | %.2f%% | %.2f%% | %.1f MB | %d | %.0f | %d | %d | %v |\n", agentsPerOffer,
			r.entry.links, r.agent.links, r.entry.bytes, r.agent.bytes, 100*r.entry.cpu, 100*r.agent.cpu, r.entry.resident/megabyte,
			r.load.Whole, float64(r.load.Whole)/loadTime.Seconds(), refusals, len(r.load.Cut)+len(r.load.Failed), r.load.Slowest.Round(time.Millisecond))
	}
	return b.String()
}

const megabyte = 1e6
