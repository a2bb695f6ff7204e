package expertmap

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
)

const (
	simGroup          = "g"
	simVMs            = 3
	simEngines        = 2
	simLookaheadSteps = 8
	simMaps           = 3
	maxDelayed        = 16
)

// engineConn is one connection of an agent to an engine. Its orders arrive in order, and when the
// agent dies some of those in flight still arrive.
type engineConn struct {
	orders []Order
	closed bool
}

// simEngine simulates one engine and its ranks.
type simEngine struct {
	checksFence bool
	given       map[uint64]uint64
	fence       uint64
	loaded      []uint64
	loads       []uint64
	// conns holds the connections not yet seen closed; the last is the current one.
	conns   []*engineConn
	reading bool
}

// simVM is one VM: an agent and a coordinator in one process, and engines.
type simVM struct {
	name        string
	incarnation int
	agent       *Agent
	coordinator *Coordinator
	engines     []*simEngine
}

// sim is a group of VMs and the network between them. Each event is drawn from a seeded source, so
// the seed determines the whole run.
type sim struct {
	random    *rand.Rand
	now       time.Duration
	vms       []*simVM
	inTransit []Envelope
	// delayed holds copies of messages that arrive much later.
	delayed []Envelope
	// step is the group's next step; finished holds the maps of earlier ones.
	step      uint64
	finished  map[uint64]uint64
	violation string
	faults    int
	switches  int
}

func newSim(seed uint64) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 1)), finished: map[uint64]uint64{}}
	for i := range simVMs {
		vm := &simVM{name: fmt.Sprintf("vm-%d", i)}
		for range simEngines {
			vm.engines = append(vm.engines, &simEngine{checksFence: i == 0, given: map[uint64]uint64{}, loaded: []uint64{1}})
		}
		s.vms = append(s.vms, vm)
		s.restartAgent(vm)
	}
	return s
}

func (s *sim) restartAgent(vm *simVM) {
	vm.incarnation++
	id := fmt.Sprintf("i%d", vm.incarnation)
	vm.agent = NewAgent(AgentConfig{Group: simGroup, VM: vm.name, Incarnation: id, Engines: simEngines})
	vm.coordinator = NewCoordinator(CoordinatorConfig{
		Group: simGroup, VM: vm.name, Incarnation: id, Members: []string{"vm-0", "vm-1", "vm-2"},
		LookaheadSteps: simLookaheadSteps, Random: rand.New(rand.NewPCG(s.random.Uint64(), 2)),
	})
	for i := range vm.engines {
		s.connect(vm, i)
	}
	if vm == s.vms[0] {
		vm.coordinator.Start(s.now, 0)
		vm.coordinator.SetTarget(s.now, 1)
	}
}

// connect closes the connection to an engine and opens another. Some of the orders in flight are
// lost, and the rest still arrive.
func (s *sim) connect(vm *simVM, engine int) {
	e := vm.engines[engine]
	for _, old := range e.conns {
		if !old.closed {
			old.closed = true
			old.orders = old.orders[:s.random.IntN(len(old.orders)+1)]
		}
	}
	e.conns = append(e.conns, &engineConn{})
	e.reading, e.loads = false, nil
	vm.agent.EngineUp(engine)
}

func (s *sim) restartEngine(vm *simVM, engine int) {
	e := vm.engines[engine]
	vm.engines[engine] = &simEngine{checksFence: e.checksFence, given: map[uint64]uint64{}, loaded: []uint64{1}}
	s.connect(vm, engine)
}

// carryOutReady carries out the pending actions of the state machines.
func (s *sim) carryOutReady() {
	for _, vm := range s.vms {
		ready := vm.agent.Ready()
		s.inTransit = append(s.inTransit, ready.Messages...)
		s.inTransit = append(s.inTransit, vm.coordinator.Ready().Messages...)
		for _, i := range ready.Reads {
			vm.engines[i].reading = true
		}
		for _, load := range ready.Loads {
			e := vm.engines[load.Engine]
			e.loads = append(e.loads, load.Map)
		}
		for _, order := range ready.Orders {
			e := vm.engines[order.Engine]
			last := e.conns[len(e.conns)-1]
			last.orders = append(last.orders, order)
		}
		if vm.agent.Status().Violations > 0 {
			s.fail("%s: the protocol contradicts itself: %+v", vm.name, vm.agent.Status())
		}
	}
}

func (s *sim) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

func (s *sim) deliver(i int) {
	if i >= len(s.inTransit) {
		return
	}
	e := s.inTransit[i]
	s.inTransit = slices.Delete(s.inTransit, i, i+1)
	if s.random.IntN(8) == 0 {
		s.delayed = append(s.delayed, e)
		s.delayed = s.delayed[max(0, len(s.delayed)-maxDelayed):]
	}
	for _, vm := range s.vms {
		if vm.name != e.To {
			continue
		}
		switch e.Message.GetBody().(type) {
		case *api.GroupMessage_Seal, *api.GroupMessage_Assign, *api.GroupMessage_Release, *api.GroupMessage_Load:
			vm.agent.HandleMessage(e.Message)
		default:
			vm.coordinator.HandleMessage(s.now, e.Message)
		}
	}
}

// resendDelayed sends some of the delayed copies once more.
func (s *sim) resendDelayed() {
	for _, e := range s.delayed {
		if s.random.IntN(2) == 0 {
			s.inTransit = append(s.inTransit, e)
		}
	}
}

// runEngine lets an engine accept an order, see a connection close, answer a read or finish a load.
func (s *sim) runEngine(vm *simVM, engine int) {
	e := vm.engines[engine]
	for len(e.conns) > 0 && e.conns[0].closed && len(e.conns[0].orders) == 0 {
		e.conns = e.conns[1:]
	}
	s.handleOrder(vm, engine, e.conns[s.random.IntN(len(e.conns))])
	if e.reading && len(e.conns) == 1 {
		e.reading = false
		vm.agent.EngineStateRead(engine, EngineState{Given: e.ranges(), Step: s.step, Fence: e.fence, Loaded: e.loaded})
	}
	if len(e.loads) > 0 && s.random.IntN(4) == 0 {
		e.loaded = append(e.loaded, e.loads[0])
		vm.agent.MapLoaded(engine, e.loads[0])
		e.loads = e.loads[1:]
	}
	vm.agent.SetEngineStep(engine, s.step)
}

func (s *sim) handleOrder(vm *simVM, engine int, from *engineConn) {
	e := vm.engines[engine]
	if len(from.orders) == 0 {
		return
	}
	order := from.orders[0]
	from.orders = from.orders[1:]
	if e.checksFence && order.Fence < e.fence {
		if !from.closed {
			vm.agent.OrderRefused(engine, e.fence)
		}
		return
	}
	if e.checksFence {
		e.fence = order.Fence
	}
	for _, r := range order.Ranges {
		for step := r.Start; step < r.End; step++ {
			if had, ok := e.given[step]; ok && had != r.Map && step >= s.step {
				s.fail("%s engine %d: step %d under map %d and %d", vm.name, engine, step, had, r.Map)
			}
			e.given[step] = r.Map
		}
	}
	if !from.closed {
		vm.agent.OrderDone(engine, order)
	}
}

func (e *simEngine) ranges() []Range {
	var steps []uint64
	for step := range e.given {
		steps = append(steps, step)
	}
	slices.Sort(steps)
	var out ranges
	for _, step := range steps {
		out = append(out, Range{Start: step, End: step + 1, Map: e.given[step]})
	}
	return out.joined()
}

// runGroupStep runs one step if all ranks may, and checks that no two engines were given different
// maps for any step from this one on.
func (s *sim) runGroupStep() {
	maps := map[uint64]uint64{}
	ready := 0
	for _, vm := range s.vms {
		for i, e := range vm.engines {
			if _, ok := e.given[s.step]; ok {
				ready++
			}
			for step, m := range e.given {
				if had, ok := maps[step]; ok && had != m && step >= s.step {
					s.fail("step %d under map %d and, at %s engine %d, %d", step, had, vm.name, i, m)
				}
				maps[step] = m
				if m != 0 && step >= s.step && !slices.Contains(e.loaded, m) {
					s.fail("%s engine %d was given map %d without its weights", vm.name, i, m)
				}
			}
		}
	}
	if ready < simVMs*simEngines {
		return
	}
	s.finished[s.step] = maps[s.step]
	if s.step > 0 && maps[s.step] != s.finished[s.step-1] {
		s.switches++
	}
	s.step++
	for _, vm := range s.vms {
		for _, e := range vm.engines {
			// Engines report only some past steps.
			delete(e.given, s.step-min(s.step, 4))
		}
	}
	s.vms[0].coordinator.SetStep(s.now, s.step)
}

// randomEvent applies one random event; faultsPerMille is the chance of a fault, per thousand.
func (s *sim) randomEvent(faultsPerMille int) {
	s.now += time.Duration(s.random.IntN(10)) * time.Millisecond
	vm := s.vms[s.random.IntN(simVMs)]
	engine := s.random.IntN(simEngines)
	if s.random.IntN(1000) < faultsPerMille {
		s.faults++
		s.injectFault(vm, engine)
	}
	switch s.random.IntN(8) {
	case 0, 1, 2:
		s.deliver(s.random.IntN(len(s.inTransit) + 1))
	case 3, 4:
		s.runEngine(vm, engine)
	case 5:
		s.runGroupStep()
	case 6:
		vm.coordinator.Tick(s.now)
	case 7:
		s.vms[0].agent.SetEngineStep(0, s.step)
	}
	s.carryOutReady()
}

func (s *sim) injectFault(vm *simVM, engine int) {
	switch s.random.IntN(8) {
	case 0:
		s.restartAgent(vm)
	case 1:
		s.restartEngine(vm, engine)
	case 2:
		s.connect(vm, engine)
	case 3:
		s.resendDelayed()
	case 4:
		if len(s.inTransit) > 0 {
			i := s.random.IntN(len(s.inTransit))
			s.inTransit = slices.Delete(s.inTransit, i, i+1)
		}
	case 5:
		vm.coordinator.Start(s.now, 0)
	case 6, 7:
		vm.coordinator.SetTarget(s.now, 1+s.random.Uint64N(simMaps))
	}
}
