package test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/test/harness"
)

// Environment variables of the soak: its duration, where more than shortSoakDuration selects the
// large cluster, and its seed.
const (
	soakDurationEnv = "APRICOTHUB_SOAK"
	soakSeedEnv     = "APRICOTHUB_SOAK_SEED"
)

// shortSoakDuration is how long the soak lasts in CI.
const shortSoakDuration = 12 * time.Second

// soak is a running soak.
type soak struct {
	*harness.Cluster
	test        *testing.T
	random      *rand.Rand
	faultCounts map[string]int
}

// soakFault injects a fault and then repairs it.
type soakFault struct {
	name string
	run  func(*soak)
}

var soakFaults = []soakFault{
	{"entry killed", func(s *soak) { killAndRestart(s.randomEntry()) }},
	{"agent killed", func(s *soak) { killAndRestart(s.randomAgent()) }},
	{"entry and agent killed together", func(s *soak) {
		entry, agent := s.randomEntry(), s.randomAgent()
		entry.Kill()
		agent.Kill()
		entry.Restart()
		agent.Restart()
	}},
	{"entry paused", func(s *soak) { pauseAndContinue(s.randomEntry()) }},
	{"agent paused", func(s *soak) { pauseAndContinue(s.randomAgent()) }},
	{"links of an entry silent", func(s *soak) { s.forEachLink(s.randomEntry(), (*harness.Forwarder).Silence) }},
	{"links of an entry cut", func(s *soak) { s.forEachLink(s.randomEntry(), (*harness.Forwarder).Cut) }},
	{"link of one pair cut off for a while", func(s *soak) {
		if link := s.randomEntry().View.Link(s.randomAgent().VM); link != nil {
			link.Isolate()
			time.Sleep(pauseTime)
			link.Unblock()
		}
	}},
	{"backend connection cut", func(s *soak) { s.randomAgent().BackendLink.Cut() }},
	{"platform out of an entry's reach", func(s *soak) {
		entry := s.randomEntry()
		entry.View.Cut(true)
		time.Sleep(pauseTime)
		entry.View.Cut(false)
	}},
	{"log down", func(s *soak) { s.breakLog("down", 0) }},
	{"log slow", func(s *soak) { s.breakLog("slow", 300*time.Millisecond) }},
	{"log loses answers", func(s *soak) { s.breakLog("lose_answers", 0) }},
	{"entry stopped by plan", func(s *soak) { restartGracefully(s.randomEntry()) }},
	{"agent stopped by plan", func(s *soak) { restartGracefully(s.randomAgent()) }},
	{"failure domain out and in", func(s *soak) {
		domain := domains[s.random.IntN(len(domains))]
		s.Operate("mark", "domain", domain, "out", "-w", "2s")
		time.Sleep(time.Second)
		s.Operate("mark", "domain", domain, "in", "-w", "2s")
	}},
	{"plans published", func(s *soak) {
		file := harness.WriteFile(s.test, s.Dir, "soak.ini", harness.PlansListWith(1+s.random.IntN(1000)))
		s.OperateAt(s.randomEntry(), "publish", "plans", file, "-w", "2s")
	}},
	{"engine turns cold", func(s *soak) {
		engines := s.EngineAgents()
		engines[s.random.IntN(len(engines))].Backend.TurnCold(turnColdGrace)
	}},
}

func (s *soak) randomEntry() *harness.Member { return s.Entries[s.random.IntN(len(s.Entries))] }

func (s *soak) randomAgent() *harness.Member { return s.Agents[s.random.IntN(len(s.Agents))] }

func (s *soak) forEachLink(m *harness.Member, fault func(*harness.Forwarder)) {
	for _, link := range m.View.Links() {
		fault(link)
	}
}

func (s *soak) breakLog(mode string, delay time.Duration) {
	s.Platform.SetLogMode(mode, delay)
	time.Sleep(pauseTime)
	s.Platform.SetLogMode("up", 0)
}

func killAndRestart(m *harness.Member) {
	m.Kill()
	m.Restart()
}

func pauseAndContinue(m *harness.Member) {
	m.Pause()
	time.Sleep(pauseTime)
	m.Continue()
}

func restartGracefully(m *harness.Member) {
	m.Terminate()
	m.Restart()
}

// soakSpec returns the small cluster of CI, or a large one of today's size.
func soakSpec(large bool) harness.Spec {
	spec := harness.Spec{
		Entries:     3,
		Engines:     3,
		Services:    2,
		EngineFlags: []string{"-cold", "2", "-full", "16"},
		Entry:       harness.Settings{"policy": {"address-keep-ms": "1000", "drain-ms": "4000"}},
		Agent:       harness.Settings{"backend": {"full-limit": "16", "drain-ms": "4000"}},
		Group:       "soak",
		Ranks:       8,
	}
	if large {
		spec.Entries, spec.Engines, spec.Services = 8, 12, 3
	}
	return spec
}

// Everything fails at any moment, in an order set by the seed, while callers stream and push. No
// push may run twice, each "ran" and "not run" must be true, each text must be a prefix of what the
// engine produced and a complete one whole, no step may have two maps, no engine in cold start may
// get too many requests, and no process may report an older configuration. Soon after the last
// fault callers must be served as before.
func TestSoak(t *testing.T) {
	t.Parallel()
	duration, seed := shortSoakDuration, uint64(1)
	if text := os.Getenv(soakDurationEnv); text != "" {
		var err error
		if duration, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	if text := os.Getenv(soakSeedEnv); text != "" {
		var err error
		if seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	c := startCluster(t, soakSpec(duration > shortSoakDuration))
	s := &soak{Cluster: c, test: t, random: rand.New(rand.NewPCG(seed, 0)), faultCounts: map[string]int{}}
	watch := c.StartWatch()
	streams := c.StartLoad(harness.LoadSpec{Callers: 12, Tokens: 30, Pause: 10 * time.Millisecond, Seed: seed})
	pushes := c.StartLoad(harness.LoadSpec{Callers: 12, Pushes: true, Pause: 10 * time.Millisecond, Seed: seed})
	for begin := time.Now(); time.Since(begin) < duration; {
		fault := soakFaults[s.random.IntN(len(soakFaults))]
		s.faultCounts[fault.name]++
		fault.run(s)
		time.Sleep(time.Duration(s.random.IntN(700)) * time.Millisecond)
	}
	for _, m := range c.Members() {
		c.WaitReady(m)
	}
	for _, load := range []*harness.Load{streams, pushes} {
		before := load.Whole()
		harness.Eventually(t, 10*time.Second, "callers are served after the faults", func() error {
			if load.Whole() < before+20 {
				return errors.Errorf("%d since", load.Whole()-before)
			}
			return nil
		})
	}
	s.check(t, seed, streams.Stop(), pushes.Stop(), watch)
}

func (s *soak) check(t *testing.T, seed uint64, streamed, pushed harness.LoadResult, watch *harness.Watch) {
	t.Helper()
	checkNoneWrong(t, streamed)
	checkOutcomes(t, s.Cluster, pushed.Outcomes)
	checkMonotonic(t, watch)
	for _, m := range s.EngineAgents() {
		checkColdLimit(t, m, fmt.Sprintf("seed %d", seed))
	}
	steps := s.Platform.Steps(s.Group)
	if steps.MixedSteps > 0 {
		t.Errorf("%d of %d steps ran with more than one map", steps.MixedSteps, steps.Next)
	}
	t.Logf("seed %d: faults %v", seed, s.faultCounts)
	t.Logf("streams: %d whole, %d cut, %d never whole, refusals %v; pushes %v; %d steps",
		streamed.Whole, len(streamed.Cut), len(streamed.Failed), streamed.Refusals, countOutcomes(pushed.Outcomes), steps.Next)
}
