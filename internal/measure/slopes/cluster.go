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
	// settle is the wait before a measurement, and quiet its length.
	settle = 2 * time.Second
	quiet  = 8 * time.Second
	// changes is how many marks are published one after another.
	changes = 16
	// loadFor is the length of each load, after its callers have begun.
	loadFor = 8 * time.Second
	// markWait bounds the wait until a mark is in force.
	markWait = 9 * time.Second
)

// size is one loopback cluster.
type size struct{ entries, agents int }

// sizes of the clusters: the last has 41 processes.
var sizes = []size{{2, 4}, {4, 8}, {8, 16}}

// sample is what one process has used until a moment.
type sample struct {
	cpu      time.Duration
	resident float64
	bytes    float64 // of links, both directions
	asked    harness.RequestCounts
	answers  float64
	beats    float64 // heartbeats sent
}

// node is what one process used in a time without load, for each second.
type node struct {
	links    float64
	peers    float64 // of these, to entries
	cpu      float64 // cores
	resident float64
	bytes    float64
	beats    float64 // heartbeats sent
	reads    float64
	lists    float64
	readSize float64 // bytes of one answer
	listSize float64 // bytes of the whole list
}

// quietRun is one cluster without load, and then with changes only.
type quietRun struct {
	size
	entry, agent node
	inForce      []time.Duration
	changeBytes  float64 // for each change and link
	changeCPU    float64 // seconds of an entry for each change
	appends      float64 // for each change, by all
}

func spec(r harness.Reporter, bin string, s size) harness.Spec {
	platform := map[string]string{"poll-ms": "500"}
	return harness.Spec{
		Bin: bin, Dir: harness.NewDir(r, "slopes"), Domains: []string{"a", "b", "c"},
		Entries: s.entries, Engines: s.agents,
		EngineFlags: []string{"-token", "20ms", "-cold", "0", "-full", "64"},
		Entry:       harness.Settings{"platform": platform},
		Agent:       harness.Settings{"platform": platform, "backend": {"full-limit": "64", "cold-limit": "64"}},
	}
}

func take(r harness.Reporter, m *harness.Member) sample {
	values, err := m.Metrics()
	if err != nil {
		r.Fatalf("%s: %v", m.VM, err)
	}
	u := m.Usage()
	return sample{
		cpu: u.CPU, resident: float64(u.Resident), asked: m.View.RequestCounts(),
		bytes:   values["link.bytes.in"] + values["link.bytes.out"],
		answers: values["entry.answers.whole"],
		beats:   values["link.heartbeats.out"],
	}
}

func takeAll(r harness.Reporter, members []*harness.Member) []sample {
	all := make([]sample, len(members))
	for i, m := range members {
		all[i] = take(r, m)
	}
	return all
}

// mean returns what the members used a second between two samples, on average.
func mean(before, after []sample, d time.Duration) node {
	var n node
	count := float64(len(before))
	each := count * d.Seconds()
	var reads, lists, readBytes float64
	for i, a := range after {
		b := before[i]
		n.cpu += (a.cpu - b.cpu).Seconds() / each
		n.resident += a.resident / count
		n.bytes += (a.bytes - b.bytes) / each
		n.beats += (a.beats - b.beats) / each
		reads += float64(a.asked.LogReads - b.asked.LogReads)
		lists += float64(a.asked.ListReads - b.asked.ListReads)
		readBytes += float64(a.asked.ReadBytes - b.asked.ReadBytes)
		n.listSize += float64(a.asked.ListSize) / count
	}
	n.reads, n.lists = reads/each, lists/each
	n.readSize = readBytes / max(1, reads)
	return n
}

// measureQuiet measures a cluster without load, then publishes changes.
func measureQuiet(r harness.Reporter, c *harness.Cluster, s size) quietRun {
	time.Sleep(settle)
	entries, agents := takeAll(r, c.Entries), takeAll(r, c.Agents)
	from := time.Now()
	time.Sleep(quiet)
	run := quietRun{size: s}
	took := time.Since(from)
	run.entry = mean(entries, takeAll(r, c.Entries), took)
	run.agent = mean(agents, takeAll(r, c.Agents), took)
	run.entry.peers = float64(s.entries - 1)
	run.entry.links = run.entry.peers + float64(s.agents)
	run.agent.links = float64(s.entries)
	run.publish(r, c)
	return run
}

// publish marks a VM out and in again, one change after another, and waits until
// each is in force at all processes.
func (run *quietRun) publish(r harness.Reporter, c *harness.Cluster) {
	client, err := adminclient.New(c.Entries[0].Admin, harness.AdminToken)
	if err != nil {
		r.Fatalf("%v", err)
	}
	before := takeAll(r, c.Entries)
	begin := time.Now()
	for i := range changes {
		from := time.Now()
		request := adminapi.MarkRequest{
			Target: adminapi.TargetVM, Name: "no-such-vm", Out: i%2 == 0, Author: "slopes", ChangeID: "slopes-" + strconv.Itoa(i) + "-" + strconv.FormatInt(from.UnixNano(), 36),
		}
		change, err := client.Mark(context.Background(), request, adminapi.InForce, markWait)
		if err != nil || change.State != adminapi.InForce {
			r.Fatalf("change %d: %v, %+v", i, err, change)
		}
		run.inForce = append(run.inForce, time.Since(from))
	}
	took := time.Since(begin)
	after := takeAll(r, c.Entries)
	busy := mean(before, after, took)
	run.changeBytes = (busy.bytes - run.entry.bytes) * took.Seconds() / changes / run.entry.links
	run.changeCPU = (busy.cpu - run.entry.cpu) * took.Seconds() / changes
	for i := range after {
		run.appends += float64(after[i].asked.LogAppends-before[i].asked.LogAppends) / changes
	}
	slices.Sort(run.inForce)
}

// busyRun is a cluster under a load of streams.
type busyRun struct {
	callers, tokens    int
	requests           float64 // a second
	entryCPU, agentCPU float64 // cores of all, beyond those without load
	entryResident      float64 // of all
	agentResident      float64
	bytes              float64 // of all entries' links, a second, beyond those without load
	entryBeats         float64 // heartbeats of all, a second, beyond those without load
	agentBeats         float64
}

func measureBusy(r harness.Reporter, c *harness.Cluster, q quietRun, callers, tokens int) busyRun {
	load := c.StartLoad(harness.LoadSpec{Callers: callers, Tokens: tokens, KeepAlive: true, Seed: uint64(callers)})
	time.Sleep(settle)
	entries, agents := takeAll(r, c.Entries), takeAll(r, c.Agents)
	from := time.Now()
	time.Sleep(loadFor)
	took := time.Since(from)
	entriesAfter, agentsAfter := takeAll(r, c.Entries), takeAll(r, c.Agents)
	result := load.Stop()
	if len(result.Cut)+len(result.Failed) > 0 {
		r.Fatalf("under load: cut %v, failed %v", result.Cut, result.Failed)
	}
	e, a := mean(entries, entriesAfter, took), mean(agents, agentsAfter, took)
	ne, na := float64(len(entries)), float64(len(agents))
	run := busyRun{callers: callers, tokens: tokens}
	for i := range entries {
		run.requests += (entriesAfter[i].answers - entries[i].answers) / took.Seconds()
	}
	run.entryCPU, run.agentCPU = (e.cpu-q.entry.cpu)*ne, (a.cpu-q.agent.cpu)*na
	run.entryResident, run.agentResident = e.resident*ne, a.resident*na
	run.bytes = (e.bytes - q.entry.bytes) * ne
	run.entryBeats, run.agentBeats = (e.beats-q.entry.beats)*ne, (a.beats-q.agent.beats)*na
	return run
}

// groupRun is the coordinator of a group whose ranks step every 64 ms.
type groupRun struct {
	others   float64 // agents of the group beside the coordinator's own
	bytes    float64 // a second, both directions, without the entry's link
	cpu      float64 // cores, beyond an agent that coordinates nothing
	resident float64
}

func measureGroup(r harness.Reporter, bin string, agents int) groupRun {
	s := spec(r, bin, size{1, agents})
	s.Group, s.Ranks = "g", 8
	s.EngineFlags = append(s.EngineFlags, "-step", "64ms")
	c := harness.StartCluster(r, s)
	harness.Eventually(r, 20*time.Second, "steps go on", func() error {
		if c.Platform.Steps(s.Group).Next < 20 {
			return errStalled
		}
		return nil
	})
	time.Sleep(settle)
	before := takeAll(r, c.Agents)
	from := time.Now()
	time.Sleep(quiet)
	after := takeAll(r, c.Agents)
	took := time.Since(from)
	first := mean(before[:1], after[:1], took)
	for _, m := range c.Members() {
		m.Kill()
	}
	return groupRun{others: float64(agents - 1), bytes: first.bytes, cpu: first.cpu, resident: first.resident}
}
