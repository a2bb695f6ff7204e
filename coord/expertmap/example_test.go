package expertmap_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/expertmap"
)

// One VM with one engine, which fronts the whole group. The loop is that of a process: pass in
// events, then carry out what Ready returns until nothing is left.
func Example() {
	agent := expertmap.NewAgent(expertmap.AgentConfig{Group: "g", VM: "vm-a", Incarnation: "i1", Engines: 1})
	coordinator := expertmap.NewCoordinator(expertmap.CoordinatorConfig{
		Group:          "g",
		VM:             "vm-a",
		Incarnation:    "i1",
		Members:        []string{"vm-a"},
		LookaheadSteps: 100,
		Random:         rand.New(rand.NewPCG(1, 2)),
	})

	// deliver delivers a message from the network, or from this process to itself.
	deliver := func(m *api.GroupMessage) {
		switch m.GetBody().(type) {
		case *api.GroupMessage_Seal, *api.GroupMessage_Assign, *api.GroupMessage_Release, *api.GroupMessage_Load:
			agent.HandleMessage(m)
		default:
			coordinator.HandleMessage(0, m)
		}
	}
	// process carries out all pending actions.
	process := func() {
		for {
			fromAgent, fromCoordinator := agent.Ready(), coordinator.Ready()
			if fromAgent.Empty() && fromCoordinator.Empty() {
				return
			}
			for _, engine := range fromAgent.Reads {
				// GET the engine's state over the new connection.
				agent.EngineStateRead(engine, expertmap.EngineState{Loaded: []uint64{1}})
			}
			for _, load := range fromAgent.Loads {
				fmt.Printf("engine %d loads map %d\n", load.Engine, load.Map)
				agent.MapLoaded(load.Engine, load.Map)
			}
			for _, order := range fromAgent.Orders {
				fmt.Printf("engine %d may run %v, fence %d\n", order.Engine, order.Ranges, order.Fence)
				agent.OrderDone(order.Engine, order)
			}
			for _, e := range append(fromAgent.Messages, fromCoordinator.Messages...) {
				deliver(e.Message)
			}
		}
	}

	agent.EngineUp(0)
	process()
	coordinator.Start(0, agent.Status().PromisedBallot)
	coordinator.SetTarget(0, 1)
	process()

	// The engine has run 60 steps; less than half of those ahead are left.
	agent.SetEngineStep(0, 60)
	coordinator.SetStep(0, 60)
	process()

	// The rebalancer has chosen another map.
	coordinator.SetTarget(0, 2)
	process()
	// Output:
	// engine 0 may run [{0 100 1}], fence 1
	// engine 0 may run [{100 160 1}], fence 1
	// engine 0 loads map 2
	// engine 0 may run [{160 210 2}], fence 1
}
