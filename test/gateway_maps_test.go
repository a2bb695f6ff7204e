package test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
	"github.com/apricothub/apricothub/test/harness"
)

// groupSite is a site with a lock-step group of engines and a rank agent beside each engine. One of
// the gateways coordinates the group.
type groupSite struct {
	*site
	group  *fakeplatform.Group
	agents []*harness.Process
}

func startGroupSite(t *testing.T, gateways int, seed uint64) *groupSite {
	t.Helper()
	m := &groupSite{site: startSite(t, gateways, fakeplatform.Echo)}
	m.startGroup(fakeplatform.GroupShape{Ranks: 4, Experts: 16, Places: 6, Spare: 2, PopularityShiftPasses: 120}, seed)
	services := []fakeplatform.Service{{Name: "app", HealthPath: "/healthz"}, m.group.EngineService("drafts")}
	m.store.ConfigureServices(2, services, fakeplatform.Routes(), fakeplatform.CallerKey)
	m.store.RegisterGroup(m.group, "drafts", domains)
	waitFor(t, "the group runs with a first map of the coordinator", func() bool { return m.group.State().Version != 0 })
	return m
}

// startGroup starts a group of engines with a rank agent beside each.
func (m *groupSite) startGroup(shape fakeplatform.GroupShape, seed uint64) {
	m.t.Helper()
	m.group = fakeplatform.NewGroup(m.t, shape, seed)
	for rank, engine := range m.group.EngineAddresses {
		vm := fmt.Sprintf("side-%d", rank+1)
		settings := fakeplatform.RankAgent{VM: vm, FailureDomain: domains[rank%len(domains)], Engine: engine, Store: m.store.Address()}
		m.agents = append(m.agents, harness.StartWithEnv(m.t, []string{settings.WriteSettings(m.t, m.dir)}, m.dir, vm, binDir+"/apricothub", "rank-agent"))
	}
}

// injectFault disturbs one process, or the group, for a moment.
func (m *groupSite) injectFault(rng *rand.Rand) {
	gateway := m.gateways[rng.IntN(len(m.gateways))]
	agent := m.agents[rng.IntN(len(m.agents))]
	// Longer or shorter than the silence after which another gateway becomes the coordinator.
	duration := time.Duration(50+rng.IntN(2500)) * time.Millisecond
	switch rng.IntN(8) {
	case 0, 1:
		gateway.Kill()
		gateway.Restart()
	case 2, 3:
		gateway.Pause()
		time.Sleep(duration)
		gateway.Continue()
	case 4:
		agent.Kill()
		time.Sleep(duration / 4)
		agent.Restart()
	case 5:
		agent.Pause()
		time.Sleep(duration)
		agent.Continue()
	case 6:
		gateway.storeEndpoint.Unavailable.Store(true)
		gateway.Signal(syscall.SIGTERM)
		time.Sleep(duration / 4)
		gateway.Kill()
		gateway.Restart()
		gateway.storeEndpoint.Unavailable.Store(false)
	case 7:
		m.group.Crash(rng.IntN(len(m.agents)), duration/10)
	}
}

// The popularity of experts changes every half second, and the gateways switch the group from map
// to map. Orders are lost, answered late or never, and carried out seconds late, while gateways
// (also the coordinator) and rank agents are killed, paused past every timeout and replaced, two at
// a time, and ranks are lost. The engines' own record must show no pass that began with two maps or
// without an expert. After the faults passes and switches must continue.
func TestEveryPassUsesOneMapUnderFaults(t *testing.T) {
	t.Parallel()
	seeds, duration := []uint64{1}, 10*time.Second
	if !testing.Short() {
		seeds, duration = []uint64{1, 2, 3}, 40*time.Second
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			m := startGroupSite(t, 3, seed)
			m.group.SetOrderFaults(fakeplatform.OrderFaults{LostAnswers: 0.1, Delayed: 0.1, MaxDelay: 3 * time.Second})
			end := time.Now().Add(duration)
			var wg sync.WaitGroup
			// Two fault injectors run at once, each on one half of the processes.
			for half := range 2 {
				rng := rand.New(rand.NewPCG(seed, uint64(half)))
				part := &groupSite{site: &site{t: t}, group: m.group}
				for i, g := range m.gateways {
					if i%2 == half {
						part.gateways = append(part.gateways, g)
					}
				}
				for i, a := range m.agents {
					if i%2 == half {
						part.agents = append(part.agents, a)
					}
				}
				wg.Go(func() {
					for time.Now().Before(end) {
						part.injectFault(rng)
						time.Sleep(time.Duration(100+rng.IntN(500)) * time.Millisecond)
					}
				})
			}
			wg.Wait()
			m.group.SetOrderFaults(fakeplatform.OrderFaults{})
			before := m.group.State()
			waitFor(t, "passes and switches continue", func() bool {
				s := m.group.State()
				return s.Passes > before.Passes+100 && s.Versions > before.Versions+1
			})
			s := m.group.State()
			for _, fault := range s.Faults {
				t.Error(fault)
			}
			t.Logf("%d passes, %d versions in use, orders %v", s.Passes, s.Versions, s.Orders)
			if before.Versions < 4 {
				t.Error("too few events: the test proves nothing")
			}
		})
	}
}
