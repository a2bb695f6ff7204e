package slopes

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/adminclient"
	"github.com/apricothub/apricothub/test/harness"
)

const (
	// settleTime is the wait before a measurement. idleTime is the duration of one without load.
	settleTime = 2 * time.Second
	idleTime   = 8 * time.Second
	// numChanges is the number of marks that are published one after another.
	numChanges = 16
	// loadTime is the duration of a measurement under load, after the callers have started.
	loadTime = 8 * time.Second
	// markTimeout limits the wait until a mark is in force.
	markTimeout = 9 * time.Second
)

// clusterSize is the size of a loopback cluster.
type clusterSize struct{ entries, agents int }

// clusterSizes are the sizes that are measured. The last has 41 processes.
var clusterSizes = []clusterSize{{2, 4}, {4, 8}, {8, 16}}

// sample holds the cumulative usage of a process at one time.
type sample struct {
	cpu           time.Duration
	resident      float64
	bytes         float64 // on links, both directions
	platformReads harness.RequestCounts
	answers       float64
	heartbeats    float64 // sent
}

// nodeUsage is the usage of a process per second without load.
type nodeUsage struct {
	links      float64
	peers      float64 // links to entries
	cpu        float64 // cores
	resident   float64
	bytes      float64
	heartbeats float64 // sent
	reads      float64
	lists      float64
	readSize   float64 // bytes of one read
	listSize   float64 // bytes of the whole list
}

// idleRun holds the measurements of a cluster without load, and then with changes only.
type idleRun struct {
	clusterSize
	entry, agent nodeUsage
	inForce      []time.Duration
	changeBytes  float64 // per change and link
	changeCPU    float64 // seconds of an entry per change
	appends      float64 // per change, by all processes
}

func clusterSpec(r harness.Reporter, bin string, s clusterSize) harness.Spec {
	platform := map[string]string{"poll-ms": "500"}
	return harness.Spec{
		Bin: bin, Dir: harness.NewDir(r, "slopes"), Domains: []string{"a", "b", "c"},
		Entries: s.entries, Engines: s.agents,
		EngineFlags: []string{"-token", "20ms", "-cold", "0", "-full", "64"},
		Entry:       harness.Settings{"platform": platform},
		Agent:       harness.Settings{"platform": platform, "backend": {"full-limit": "64", "cold-limit": "64"}},
	}
}

func takeSample(r harness.Reporter, m *harness.Member) sample {
	values, err := m.Metrics()
	if err != nil {
		r.Fatalf("%s: %v", m.VM, err)
	}
	u := m.Usage()
	return sample{
		cpu: u.CPU, resident: float64(u.Resident), platformReads: m.View.RequestCounts(),
		bytes:      values["link.bytes.in"] + values["link.bytes.out"],
		answers:    values["entry.answers.whole"],
		heartbeats: values["link.heartbeats.out"],
	}
}

func takeSamples(r harness.Reporter, members []*harness.Member) []sample {
	all := make([]sample, len(members))
	for i, m := range members {
		all[i] = takeSample(r, m)
	}
	return all
}

// meanUsage returns the average usage per process and second between two samples.
func meanUsage(before, after []sample, duration time.Duration) nodeUsage {
	var n nodeUsage
	count := float64(len(before))
	processSeconds := count * duration.Seconds()
	var reads, lists, readBytes float64
	for i, a := range after {
		b := before[i]
		n.cpu += (a.cpu - b.cpu).Seconds() / processSeconds
		n.resident += a.resident / count
		n.bytes += (a.bytes - b.bytes) / processSeconds
		n.heartbeats += (a.heartbeats - b.heartbeats) / processSeconds
		reads += float64(a.platformReads.LogReads - b.platformReads.LogReads)
		lists += float64(a.platformReads.ListReads - b.platformReads.ListReads)
		readBytes += float64(a.platformReads.ReadBytes - b.platformReads.ReadBytes)
		n.listSize += float64(a.platformReads.ListSize) / count
	}
	n.reads, n.lists = reads/processSeconds, lists/processSeconds
	n.readSize = readBytes / max(1, reads)
	return n
}

// measureIdle measures a cluster without load, then publishes changes.
func measureIdle(r harness.Reporter, c *harness.Cluster, s clusterSize) idleRun {
	time.Sleep(settleTime)
	entries, agents := takeSamples(r, c.Entries), takeSamples(r, c.Agents)
	from := time.Now()
	time.Sleep(idleTime)
	run := idleRun{clusterSize: s}
	took := time.Since(from)
	run.entry = meanUsage(entries, takeSamples(r, c.Entries), took)
	run.agent = meanUsage(agents, takeSamples(r, c.Agents), took)
	run.entry.peers = float64(s.entries - 1)
	run.entry.links = run.entry.peers + float64(s.agents)
	run.agent.links = float64(s.entries)
	run.publishChanges(r, c)
	return run
}

// publishChanges marks a VM out and in again, one change after another, and waits until each is in
// force at all processes.
func (run *idleRun) publishChanges(r harness.Reporter, c *harness.Cluster) {
	client, err := adminclient.New(c.Entries[0].Admin, harness.AdminToken)
	if err != nil {
		r.Fatalf("%v", err)
	}
	before := takeSamples(r, c.Entries)
	begin := time.Now()
	for i := range numChanges {
		from := time.Now()
		request := adminapi.MarkRequest{
			Target: adminapi.TargetVM, Name: "no-such-vm", Out: i%2 == 0, Author: "slopes", ChangeID: "slopes-" + strconv.Itoa(i) + "-" + strconv.FormatInt(from.UnixNano(), 36),
		}
		change, err := client.Mark(context.Background(), request, adminapi.InForce, markTimeout)
		if err != nil || change.State != adminapi.InForce {
			r.Fatalf("change %d is not in force: %v, %+v", i, err, change)
		}
		run.inForce = append(run.inForce, time.Since(from))
	}
	took := time.Since(begin)
	after := takeSamples(r, c.Entries)
	busy := meanUsage(before, after, took)
	run.changeBytes = (busy.bytes - run.entry.bytes) * took.Seconds() / numChanges / run.entry.links
	run.changeCPU = (busy.cpu - run.entry.cpu) * took.Seconds() / numChanges
	for i := range after {
		run.appends += float64(after[i].platformReads.LogAppends-before[i].platformReads.LogAppends) / numChanges
	}
	slices.Sort(run.inForce)
}

// loadRun holds the measurements of a cluster under a load of streams.
type loadRun struct {
	callers, tokens    int
	requests           float64 // per second
	entryCPU, agentCPU float64 // cores of all processes, minus those without load
	entryResident      float64 // of all entries
	agentResident      float64
	bytes              float64 // per second on all entries' links, minus those without load
	entryHeartbeats    float64 // sent per second by all entries, minus those without load
	agentHeartbeats    float64
}

func measureLoad(r harness.Reporter, c *harness.Cluster, idle idleRun, callers, tokens int) loadRun {
	load := c.StartLoad(harness.LoadSpec{Callers: callers, Tokens: tokens, KeepAlive: true, Seed: uint64(callers)})
	time.Sleep(settleTime)
	entries, agents := takeSamples(r, c.Entries), takeSamples(r, c.Agents)
	from := time.Now()
	time.Sleep(loadTime)
	took := time.Since(from)
	entriesAfter, agentsAfter := takeSamples(r, c.Entries), takeSamples(r, c.Agents)
	result := load.Stop()
	if len(result.Cut)+len(result.Failed) > 0 {
		r.Fatalf("under load: cut %v, failed %v", result.Cut, result.Failed)
	}
	e, a := meanUsage(entries, entriesAfter, took), meanUsage(agents, agentsAfter, took)
	numEntries, numAgents := float64(len(entries)), float64(len(agents))
	run := loadRun{callers: callers, tokens: tokens}
	for i := range entries {
		run.requests += (entriesAfter[i].answers - entries[i].answers) / took.Seconds()
	}
	run.entryCPU, run.agentCPU = (e.cpu-idle.entry.cpu)*numEntries, (a.cpu-idle.agent.cpu)*numAgents
	run.entryResident, run.agentResident = e.resident*numEntries, a.resident*numAgents
	run.bytes = (e.bytes - idle.entry.bytes) * numEntries
	run.entryHeartbeats, run.agentHeartbeats = (e.heartbeats-idle.entry.heartbeats)*numEntries, (a.heartbeats-idle.agent.heartbeats)*numAgents
	return run
}

// groupRun holds the measurements of the coordinator of a group with a step time of 64 ms.
type groupRun struct {
	others   float64 // agents of the group besides the coordinator's own
	bytes    float64 // per second on links, both directions
	cpu      float64 // cores
	resident float64
}

func measureGroup(r harness.Reporter, bin string, agents int) groupRun {
	s := clusterSpec(r, bin, clusterSize{1, agents})
	s.Group, s.Ranks = "g", 8
	s.EngineFlags = append(s.EngineFlags, "-step", "64ms")
	c := harness.StartCluster(r, s)
	harness.Eventually(r, 20*time.Second, "steps go on", func() error {
		if c.Platform.Steps(s.Group).Next < 20 {
			return errNoSteps
		}
		return nil
	})
	time.Sleep(settleTime)
	before := takeSamples(r, c.Agents)
	from := time.Now()
	time.Sleep(idleTime)
	after := takeSamples(r, c.Agents)
	took := time.Since(from)
	coordinator := meanUsage(before[:1], after[:1], took)
	for _, m := range c.Members() {
		m.Kill()
	}
	return groupRun{others: float64(agents - 1), bytes: coordinator.bytes, cpu: coordinator.cpu, resident: coordinator.resident}
}
