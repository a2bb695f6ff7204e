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

// mapSite is a site with a lock-step group of engines, whose coordinator is one of the
// gateways, and a rank agent beside each engine.
type mapSite struct {
	*site
	group  *fakeplatform.Group
	agents []*harness.Process
}

func startMapSite(t *testing.T, gateways int, seed uint64) *mapSite {
	t.Helper()
	m := &mapSite{site: startSite(t, gateways, fakeplatform.Echo)}
	m.startGroup(fakeplatform.GroupShape{Ranks: 4, Experts: 16, Places: 6, Spare: 2, PopularityShiftPasses: 120}, seed)
	services := []fakeplatform.Service{{Name: "app", HealthPath: "/healthz"}, m.group.EngineService("drafts")}
	m.store.ConfigureServices(2, services, fakeplatform.Routes(), fakeplatform.CallerKey)
	m.store.RegisterGroup(m.group, "drafts", domains)
	waitFor(t, "a first map is coordinated", func() bool { return m.group.State().Version != 0 })
	return m
}

// startGroup starts a group of engines with a rank agent beside each.
func (m *mapSite) startGroup(shape fakeplatform.GroupShape, seed uint64) {
	m.t.Helper()
	m.group = fakeplatform.NewGroup(m.t, shape, seed)
	for at, engine := range m.group.EngineAddresses {
		vm := fmt.Sprintf("side-%d", at+1)
		settings := fakeplatform.RankAgent{VM: vm, FailureDomain: domains[at%len(domains)], Engine: engine, Store: m.store.Address()}
		m.agents = append(m.agents, harness.StartWithEnv(m.t, []string{settings.WriteSettings(m.t, m.dir)}, m.dir, vm, bin+"/apricothub", "rank-agent"))
	}
}

// breakOnce disturbs one process, or the group, for a moment.
func (m *mapSite) breakOnce(rng *rand.Rand) {
	gateway := m.gateways[rng.IntN(len(m.gateways))]
	agent := m.agents[rng.IntN(len(m.agents))]
	// Longer than the silence after which another gateway coordinates, or shorter.
	moment := time.Duration(50+rng.IntN(2500)) * time.Millisecond
	switch rng.IntN(8) {
	case 0, 1:
		gateway.Kill()
		gateway.Restart()
	case 2, 3:
		gateway.Pause()
		time.Sleep(moment)
		gateway.Continue()
	case 4:
		agent.Kill()
		time.Sleep(moment / 4)
		agent.Restart()
	case 5:
		agent.Pause()
		time.Sleep(moment)
		agent.Continue()
	case 6:
		gateway.door.Unavailable.Store(true)
		gateway.Signal(syscall.SIGTERM)
		time.Sleep(moment / 4)
		gateway.Kill()
		gateway.Restart()
		gateway.door.Unavailable.Store(false)
	case 7:
		m.group.Crash(rng.IntN(len(m.agents)), moment/10)
	}
}

// Popularity moves on each half second, and the gateways take the group from map to map. Orders
// are lost, answered late or not, and carried out seconds late, while gateways, the one that
// coordinates among them, and the processes beside engines are killed, frozen past every limit
// and replaced, two at a time, and the group breaks. The engines' own record shows no pass that
// began with two maps or without an expert; once it is calm, passes and switches go on.
func TestOneMapAPassThroughGatewaysAndRankAgents(t *testing.T) {
	t.Parallel()
	runs, each := []uint64{1}, 10*time.Second
	if !testing.Short() {
		runs, each = []uint64{1, 2, 3}, 40*time.Second
	}
	for _, seed := range runs {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			m := startMapSite(t, 3, seed)
			m.group.SetOrderFaults(fakeplatform.OrderFaults{LostAnswers: 0.1, Delayed: 0.1, MaxDelay: 3 * time.Second})
			end := time.Now().Add(each)
			var group sync.WaitGroup
			// Two that break things, each a half of the processes.
			for half := range 2 {
				rng := rand.New(rand.NewPCG(seed, uint64(half)))
				part := &mapSite{site: &site{t: t}, group: m.group}
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
				group.Go(func() {
					for time.Now().Before(end) {
						part.breakOnce(rng)
						time.Sleep(time.Duration(100+rng.IntN(500)) * time.Millisecond)
					}
				})
			}
			group.Wait()
			m.group.SetOrderFaults(fakeplatform.OrderFaults{})
			calm := m.group.State()
			waitFor(t, "passes and switches go on", func() bool {
				s := m.group.State()
				return s.Passes > calm.Passes+100 && s.Versions > calm.Versions+1
			})
			s := m.group.State()
			for _, fault := range s.Faults {
				t.Error(fault)
			}
			t.Logf("%d passes, %d versions in use, orders %v", s.Passes, s.Versions, s.Orders)
			if calm.Versions < 4 {
				t.Error("too little happened: the test shows nothing")
			}
		})
	}
}
