package test

import (
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/decide/balance"
	"github.com/apricothub/apricothub/test/harness"
)

const (
	groupName = "g"
	// minSteps exceeds the number of steps that are assigned ahead, so that a group that only uses
	// up its assigned steps does not pass.
	minSteps = 400
	// stepTimeout is how soon after a fault has ended the group must step again.
	stepTimeout = 10 * time.Second
)

// startGroupCluster starts one group of 4 engines with 8 ranks each.
func startGroupCluster(t *testing.T, flags ...string) *harness.Cluster {
	t.Helper()
	c := startCluster(t, harness.Spec{Entries: 1, Engines: 4, Group: groupName, Ranks: 8, EngineFlags: flags})
	waitForSteps(t, c, "at the start")
	return c
}

// waitForSteps waits until the group has run at least minSteps more steps.
func waitForSteps(t *testing.T, c *harness.Cluster, when string) {
	t.Helper()
	from := c.Platform.Steps(groupName).Next
	took := harness.Eventually(t, stepTimeout, "steps continue "+when, func() error {
		if next := c.Platform.Steps(groupName).Next; next < from+minSteps {
			return errors.Errorf("at step %d, from %d", next, from)
		}
		return nil
	})
	t.Logf("%s: %s until the steps had run", when, took.Round(time.Millisecond))
}

// checkOneMap checks by the ranks' own record that every step ran under one map.
func checkOneMap(t *testing.T, c *harness.Cluster) {
	t.Helper()
	if record := c.Platform.Steps(groupName); record.MixedSteps != 0 {
		t.Errorf("%d of %d steps ran with more than one map", record.MixedSteps, record.Next)
	}
}

// Agents of a group, including its coordinator, are killed, paused and restarted while the ranks
// step. Callers may see a pause at most: every step must run under one map, and steps must continue
// within seconds after each fault, with engines that check fencing numbers and with engines that do
// not.
func TestGroupStepsOnThroughFaults(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	for name, flags := range map[string][]string{"fence checked": {"-check-fence"}, "fence ignored": nil} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startGroupCluster(t, flags...)
			coordinator, other := c.Agents[0], c.Agents[2]
			other.Kill()
			other.Restart()
			waitForSteps(t, c, "after an agent was killed")
			coordinator.Kill()
			coordinator.Restart()
			waitForSteps(t, c, "after the coordinator was killed")
			coordinator.Pause()
			time.Sleep(3 * time.Second)
			coordinator.Continue()
			waitForSteps(t, c, "after the coordinator was frozen")
			other.Pause()
			coordinator.Kill()
			coordinator.Restart()
			time.Sleep(2 * time.Second)
			other.Continue()
			waitForSteps(t, c, "after both")
			checkOneMap(t, c)
		})
	}
}

// The popularity of experts changes repeatedly, and the coordinator switches maps to follow it.
// During the switches agents, the coordinator and engines are killed, paused and restarted. Every
// step must run under one map, the maps must change, and steps must continue.
func TestGroupSwitchesMapsThroughFaults(t *testing.T) {
	t.Parallel()
	for name, flags := range map[string][]string{"fence checked": {"-check-fence"}, "fence ignored": nil} {
		if testing.Short() && flags != nil {
			continue // Engines that ignore fencing numbers are the harder case.
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, harness.Spec{
				Entries: 1, Engines: 4, Group: groupName, Ranks: 8, EngineFlags: flags,
				Agent: harness.Settings{"group": {"experts": "32", "slots-per-rank": "2", "expert-bytes": "65536"}},
			})
			waitForSteps(t, c, "at the start")
			used := recentMaps(c)
			for round, fault := range []func(){
				func() {},
				func() { c.Agents[1].Kill(); c.Agents[1].Restart() },
				func() { c.Agents[0].Kill(); c.Agents[0].Restart() },
				func() { c.Agents[0].Pause(); time.Sleep(2 * time.Second); c.Agents[0].Continue() },
				func() { c.Agents[3].Pause(); time.Sleep(time.Second); c.Agents[3].Continue() },
				func() { restartBackend(c.Agents[2]) },
				func() { restartBackend(c.Agents[1]); c.Agents[0].Kill(); c.Agents[0].Restart() },
			} {
				shiftPopularity(c, round)
				waitForNewMap(t, c, used)
				fault()
				waitForSteps(t, c, "after a fault in a switch")
				checkOneMap(t, c)
				used = recentMaps(c)
			}
		})
	}
}

// One rank of 32 is throttled and takes twice as long for each token, so that the whole group waits
// for it in every step although the tokens are balanced. Its agent reports this to the coordinator,
// which must assign it colder experts: the placement in use a few seconds later must have shorter
// steps, and every step must run under one map.
func TestSlowRankIsRelieved(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	c := startCluster(t, harness.Spec{
		Entries: 1, Engines: 4, Group: groupName, Ranks: 8,
		Agent: harness.Settings{"group": {"experts": "32", "slots-per-rank": "2", "expert-bytes": "65536"}},
	})
	waitForSteps(t, c, "at the start")
	demand := balance.Demand{Popularity: make([]float64, 32), Slowdowns: make([]float64, 32)}
	for i := range demand.Popularity {
		demand.Popularity[i] = float64(100 + 20*(i%8))
		demand.Slowdowns[i] = 1
	}
	const slowEngine, slowRank = 2, 3
	demand.Slowdowns[slowEngine*8+slowRank] = 2
	evenPlacement, err := balance.NewPlacement(32, 32, 2)
	if err != nil {
		t.Fatal(err)
	}
	before := demand.Stretch(evenPlacement)
	for i, m := range c.EngineAgents() {
		m.Backend.SetSlowdowns(demand.Popularity, demand.Slowdowns[i*8:(i+1)*8])
	}
	harness.Eventually(t, 3*stepTimeout, "the slow rank has less load", func() error {
		placement := currentPlacement(c)
		if placement == nil {
			return errors.New("the initial map of the engines is still in use")
		}
		if after := demand.Stretch(placement); after > 0.7*before {
			return errors.Errorf("stretch %.3f, then %.3f", before, after)
		}
		return nil
	})
	t.Logf("stretch %.3f, then %.3f", before, demand.Stretch(currentPlacement(c)))
	checkOneMap(t, c)
}

// One rank of 16 takes 8 times as long permanently, and no placement can make up for it, so its
// group's steps stay long. The entry's status must name the rank and its VM, and the skew between
// the ranks of a step. Once the rank recovers, the status must no longer name it.
func TestRankThatStaysSlowIsNamed(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	c := startCluster(t, harness.Spec{
		Entries: 1, Engines: 2, Group: groupName, Ranks: 8,
		Agent: harness.Settings{"group": {"experts": "16", "slots-per-rank": "2", "expert-bytes": "65536"}},
	})
	waitForSteps(t, c, "at the start")
	const slowEngine, slowRank = 1, 3
	slowdowns := []float64{1, 1, 1, 1, 1, 1, 1, 1}
	for i, m := range c.EngineAgents() {
		throttled := slices.Clone(slowdowns)
		if i == slowEngine {
			throttled[slowRank] = 8
		}
		m.Backend.SetSlowdowns(make([]float64, 16), throttled)
	}
	checkSlowRanks := func(slow int) error {
		status, err := c.Entries[0].Status()
		if err != nil || len(status.Groups) != 1 {
			return errors.Errorf("%d groups, %v", len(status.Groups), err)
		}
		g := status.Groups[0]
		if g.SlowRanks != slow || (g.SkewMs > 1) != (slow > 0) {
			return errors.Errorf("%+v", g)
		}
		if slow > 0 && (g.Slowest.Rank != slowEngine*8+slowRank || g.Slowest.VM != c.EngineAgents()[slowEngine].VM) {
			return errors.Errorf("the status names %+v", g.Slowest)
		}
		return nil
	}
	harness.Eventually(t, 3*stepTimeout, "the slow rank is named", func() error { return checkSlowRanks(1) })
	c.EngineAgents()[slowEngine].Backend.SetSlowdowns(make([]float64, 16), slowdowns)
	harness.Eventually(t, 3*stepTimeout, "no rank is named after the recovery", func() error { return checkSlowRanks(0) })
}

// currentPlacement returns the placement of the newest step, as an engine was told to load it, or
// nil for the one that engines start with.
func currentPlacement(c *harness.Cluster) *balance.Placement {
	steps := c.Platform.Steps(groupName).Steps
	newest := steps[len(steps)-1].Maps[0].Map
	for _, load := range c.EngineAgents()[0].Backend.Record().Maps {
		if load.Version == newest && len(load.Slots) > 0 {
			return &balance.Placement{Experts: 32, Ranks: 32, SlotsPerRank: 2, Slots: load.Slots}
		}
	}
	return nil
}

// restartBackend replaces an engine by a fresh one without state.
func restartBackend(m *harness.Member) {
	m.Backend.Kill()
	m.Backend.Restart()
	m.Backend.WaitRunning()
}

// shiftPopularity makes other experts popular at every engine.
func shiftPopularity(c *harness.Cluster, round int) {
	tokens := make([]float64, 32)
	for i := range tokens {
		tokens[i] = 1000 / float64(1+(i+7*round)%32)
	}
	for _, m := range c.EngineAgents() {
		m.Backend.SetPopularity(tokens)
	}
}

// recentMaps returns the maps of the last steps.
func recentMaps(c *harness.Cluster) map[uint64]bool {
	maps := make(map[uint64]bool)
	for _, step := range c.Platform.Steps(groupName).Steps {
		for _, use := range step.Maps {
			maps[use.Map] = true
		}
	}
	return maps
}

// waitForNewMap waits until a step runs under a map that has not been used yet.
func waitForNewMap(t *testing.T, c *harness.Cluster, used map[uint64]bool) {
	t.Helper()
	harness.Eventually(t, stepTimeout, "a new map is used", func() error {
		for version := range recentMaps(c) {
			if !used[version] {
				return nil
			}
		}
		return errors.New("no step has used a new map")
	})
}
