package expertmap

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
)

const (
	simGroup   = "g"
	simVMs     = 3
	simEngines = 2
	simAhead   = 8
	simMaps    = 3
	maxLate    = 16
)

// socket is one connection of an agent to an engine. Its orders arrive in order, and
// when the agent dies some of those under way still do.
type socket struct {
	orders []Order
	closed bool
}

// simEngine holds the ranks of one engine.
type simEngine struct {
	checks bool
	given  map[uint64]uint64
	fence  uint64
	loaded []uint64
	loads  []uint64
	// sockets holds the connections not yet seen closed; the last is the present one.
	sockets []*socket
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

// sim is a group of VMs and the network between them. Each event is drawn from a
// seeded source, so a seed tells the whole run.
type sim struct {
	random *rand.Rand
	now    time.Duration
	vms    []*simVM
	wire   []Envelope
	// late holds copies of messages that arrive long after.
	late []Envelope
	// step is the group's next step; finished holds the maps of those before it.
	step     uint64
	finished map[uint64]uint64
	wrong    string
	faults   int
	switches int
}

func newSim(seed uint64) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 1)), finished: map[uint64]uint64{}}
	for i := range simVMs {
		vm := &simVM{name: fmt.Sprintf("vm-%d", i)}
		for range simEngines {
			vm.engines = append(vm.engines, &simEngine{checks: i == 0, given: map[uint64]uint64{}, loaded: []uint64{1}})
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
		Ahead: simAhead, Random: rand.New(rand.NewPCG(s.random.Uint64(), 2)),
	})
	for i := range vm.engines {
		s.connect(vm, i)
	}
	if vm == s.vms[0] {
		vm.coordinator.Start(s.now, 0)
		vm.coordinator.Want(s.now, 1)
	}
}

// connect closes the socket to an engine and opens another. Some of the orders
// under way are lost, and the rest still arrive.
func (s *sim) connect(vm *simVM, engine int) {
	e := vm.engines[engine]
	for _, old := range e.sockets {
		if !old.closed {
			old.closed = true
			old.orders = old.orders[:s.random.IntN(len(old.orders)+1)]
		}
	}
	e.sockets = append(e.sockets, &socket{})
	e.reading, e.loads = false, nil
	vm.agent.EngineUp(engine)
}

func (s *sim) restartEngine(vm *simVM, engine int) {
	e := vm.engines[engine]
	vm.engines[engine] = &simEngine{checks: e.checks, given: map[uint64]uint64{}, loaded: []uint64{1}}
	s.connect(vm, engine)
}

// settle carries out what the state machines ask for.
func (s *sim) settle() {
	for _, vm := range s.vms {
		ready := vm.agent.Ready()
		s.wire = append(s.wire, ready.Messages...)
		s.wire = append(s.wire, vm.coordinator.Ready().Messages...)
		for _, i := range ready.Reads {
			vm.engines[i].reading = true
		}
		for _, load := range ready.Loads {
			e := vm.engines[load.Engine]
			e.loads = append(e.loads, load.Map)
		}
		for _, order := range ready.Orders {
			e := vm.engines[order.Engine]
			last := e.sockets[len(e.sockets)-1]
			last.orders = append(last.orders, order)
		}
		if vm.agent.Status().Faults > 0 {
			s.fail("%s: the protocol contradicts itself: %+v", vm.name, vm.agent.Status())
		}
	}
}

func (s *sim) fail(format string, args ...any) {
	if s.wrong == "" {
		s.wrong = fmt.Sprintf(format, args...)
	}
}

func (s *sim) deliver(i int) {
	if i >= len(s.wire) {
		return
	}
	e := s.wire[i]
	s.wire = slices.Delete(s.wire, i, i+1)
	if s.random.IntN(8) == 0 {
		s.late = append(s.late, e)
		s.late = s.late[max(0, len(s.late)-maxLate):]
	}
	for _, vm := range s.vms {
		if vm.name != e.To {
			continue
		}
		switch e.Message.GetBody().(type) {
		case *api.GroupMessage_Seal, *api.GroupMessage_Assign, *api.GroupMessage_Release, *api.GroupMessage_Load:
			vm.agent.Step(e.Message)
		default:
			vm.coordinator.Step(s.now, e.Message)
		}
	}
}

// repeat sends some of the late copies once more.
func (s *sim) repeat() {
	for _, e := range s.late {
		if s.random.IntN(2) == 0 {
			s.wire = append(s.wire, e)
		}
	}
}

// work lets an engine do one thing: take an order, see a socket close, answer a
// read or finish a load.
func (s *sim) work(vm *simVM, engine int) {
	e := vm.engines[engine]
	for len(e.sockets) > 0 && e.sockets[0].closed && len(e.sockets[0].orders) == 0 {
		e.sockets = e.sockets[1:]
	}
	s.takeOrder(vm, engine, e.sockets[s.random.IntN(len(e.sockets))])
	if e.reading && len(e.sockets) == 1 {
		e.reading = false
		vm.agent.EngineRead(engine, EngineState{Given: e.ranges(), Step: s.step, Fence: e.fence, Loaded: e.loaded})
	}
	if len(e.loads) > 0 && s.random.IntN(4) == 0 {
		e.loaded = append(e.loaded, e.loads[0])
		vm.agent.MapLoaded(engine, e.loads[0])
		e.loads = e.loads[1:]
	}
	vm.agent.EngineStep(engine, s.step)
}

func (s *sim) takeOrder(vm *simVM, engine int, from *socket) {
	e := vm.engines[engine]
	if len(from.orders) == 0 {
		return
	}
	order := from.orders[0]
	from.orders = from.orders[1:]
	if e.checks && order.Fence < e.fence {
		if !from.closed {
			vm.agent.OrderRefused(engine, e.fence)
		}
		return
	}
	if e.checks {
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

// lockStep runs one step if all ranks may, and checks that no two engines were given
// different maps for any step from this one on.
func (s *sim) lockStep() {
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
			// Engines tell of some past steps, not of all.
			delete(e.given, s.step-min(s.step, 4))
		}
	}
	s.vms[0].coordinator.Progress(s.now, s.step)
}

// event lets one thing happen; rate is the chance of a fault, in a thousand.
func (s *sim) event(rate int) {
	s.now += time.Duration(s.random.IntN(10)) * time.Millisecond
	vm := s.vms[s.random.IntN(simVMs)]
	engine := s.random.IntN(simEngines)
	if s.random.IntN(1000) < rate {
		s.faults++
		s.fault(vm, engine)
	}
	switch s.random.IntN(8) {
	case 0, 1, 2:
		s.deliver(s.random.IntN(len(s.wire) + 1))
	case 3, 4:
		s.work(vm, engine)
	case 5:
		s.lockStep()
	case 6:
		vm.coordinator.Tick(s.now)
	case 7:
		s.vms[0].agent.EngineStep(0, s.step)
	}
	s.settle()
}

func (s *sim) fault(vm *simVM, engine int) {
	switch s.random.IntN(8) {
	case 0:
		s.restartAgent(vm)
	case 1:
		s.restartEngine(vm, engine)
	case 2:
		s.connect(vm, engine)
	case 3:
		s.repeat()
	case 4:
		if len(s.wire) > 0 {
			i := s.random.IntN(len(s.wire))
			s.wire = slices.Delete(s.wire, i, i+1)
		}
	case 5:
		vm.coordinator.Start(s.now, 0)
	case 6, 7:
		vm.coordinator.Want(s.now, 1+s.random.Uint64N(simMaps))
	}
}
