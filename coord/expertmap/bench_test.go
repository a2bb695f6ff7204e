package expertmap

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// BenchmarkGroup runs one second of a group of 256 ranks at 64 ms a step: 32 agents of one engine
// each, without faults. B/s and messages/s count what the coordinator's VM sends and receives.
func BenchmarkGroup(b *testing.B) {
	const stepTime = 64 * time.Millisecond
	agents := map[string]*Agent{}
	var vms []string
	for i := range 32 {
		vm := fmt.Sprintf("vm-%d", i)
		a := NewAgent(AgentConfig{Group: simGroup, VM: vm, Incarnation: "0123456789abcdef", Engines: 1})
		a.EngineUp(0)
		a.Ready()
		a.EngineStateRead(0, EngineState{Loaded: []uint64{1}})
		agents[vm], vms = a, append(vms, vm)
	}
	c := NewCoordinator(CoordinatorConfig{
		Group: simGroup, VM: vms[0], Incarnation: "0123456789abcdef", Members: vms,
		Random: rand.New(rand.NewPCG(1, 1)),
	})
	now, step, bytes, messages := time.Duration(0), uint64(0), 0, 0
	pump := func() {
		for busy := true; busy; {
			busy = false
			for _, e := range c.Ready().Messages {
				busy = true
				bytes += proto.Size(e.Message)
				messages++
				agents[e.To].HandleMessage(e.Message)
			}
			for _, vm := range vms {
				r := agents[vm].Ready()
				for _, o := range r.Orders {
					agents[vm].OrderDone(o.Engine, o)
				}
				r.Messages = append(r.Messages, agents[vm].Ready().Messages...)
				for _, e := range r.Messages {
					busy = true
					bytes += proto.Size(e.Message)
					messages++
					c.HandleMessage(now, e.Message)
				}
			}
		}
	}
	c.Start(0, 0)
	c.SetTarget(0, 1)
	pump()
	bytes, messages = 0, 0
	b.ResetTimer()
	for second := range b.N {
		for ; now < time.Duration(second+1)*time.Second; now += stepTime {
			step++
			for _, vm := range vms {
				agents[vm].SetEngineStep(0, step)
			}
			c.SetStep(now, step)
			c.Tick(now)
			pump()
		}
	}
	if s := c.Status(); s.Campaigns != 1 || s.ReleasedEnd <= step {
		b.Fatalf("the group has stopped: %+v", s)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B/s")
	b.ReportMetric(float64(messages)/float64(b.N), "messages/s")
}
