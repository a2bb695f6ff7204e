package expertmap

import (
	"slices"

	"github.com/apricothub/apricothub/api"
)

// engineView is what an agent knows of one engine over the present connection.
type engineView struct {
	// everRead: read back once at least by this incarnation.
	everRead bool
	// up: connected; read: read back over this connection.
	up, read bool
	// ordered was sent over this connection; confirmed is the part that the engine
	// said it holds.
	ordered, confirmed ranges
	// loaded maps it has; asked are those it was asked to load.
	loaded, asked map[uint64]bool
}

// EngineUp says that there is a new connection to an engine, which may have
// restarted. The agent asks to read it back before it gives it anything.
func (a *Agent) EngineUp(engine int) {
	a.EngineDown(engine)
	a.engines[engine].up = true
	a.ready.Reads = append(a.ready.Reads, engine)
}

// EngineDown says that the connection to an engine has ended.
func (a *Agent) EngineDown(engine int) {
	a.engines[engine] = engineView{everRead: a.engines[engine].everRead}
}

// EngineRead takes in what an engine answered when it was read back over the present
// connection, after it had seen all older ones close.
func (a *Agent) EngineRead(engine int, state EngineState) {
	e := &a.engines[engine]
	if !e.up || e.read {
		return
	}
	holds := ranges(state.Given).joined()
	e.read, e.everRead = true, true
	e.confirmed, e.ordered = holds, holds
	e.loaded, e.asked = make(map[uint64]bool), make(map[uint64]bool)
	for _, version := range state.Loaded {
		e.loaded[version] = true
	}
	if a.given.conflicts(holds) {
		a.faults++
	}
	a.raise(state.Fence)
	a.given = a.given.plus(holds)
	a.moveTo(state.Step)
	a.advance()
}

// EngineStep says which step an engine's ranks run next.
func (a *Agent) EngineStep(engine int, step uint64) {
	if a.engines[engine].read {
		a.moveTo(step)
	}
}

// MapLoaded says that an engine has loaded the weights of a map.
func (a *Agent) MapLoaded(engine int, version uint64) {
	e := &a.engines[engine]
	if !e.read {
		return
	}
	e.loaded[version] = true
	a.advance()
	a.ackLoad(version)
}

// OrderDone says that an engine has taken an order.
func (a *Agent) OrderDone(engine int, order Order) {
	e := &a.engines[engine]
	if !e.read {
		return
	}
	e.confirmed = e.confirmed.plus(order.Ranges)
	a.advance()
}

// OrderRefused says that an engine refused an order, and names the highest fence it
// has seen. A higher one than the promise comes from a newer coordinator, before this
// agent: the promise rises to it. Whatever the reason, such as weights that are gone,
// the engine is read back, or the order would count as sent and never come again.
func (a *Agent) OrderRefused(engine int, fence uint64) {
	e := &a.engines[engine]
	if !e.read {
		return
	}
	e.read = false
	a.ready.Reads = append(a.ready.Reads, engine)
	if fence > a.promise {
		coordinator, ballot := a.sealedBy, a.promise
		a.raise(fence)
		a.nack(coordinator, ballot)
	}
}

// raise takes a fence seen by an engine as a promise made by a predecessor, to a
// coordinator that is not known any more.
func (a *Agent) raise(fence uint64) {
	if fence > a.promise {
		a.promiseTo(coordinatorID{}, fence)
	}
}

// moveTo lets go of the steps that no rank can run any more.
func (a *Agent) moveTo(step uint64) {
	a.step = max(a.step, step)
	floor := a.floor()
	keep := func(rs ranges) ranges { return rs.clip(floor, rs.end()) }
	a.given, a.assigned, a.held = keep(a.given), keep(a.assigned), keep(a.held)
	for i := range a.engines {
		e := &a.engines[i]
		e.ordered, e.confirmed = keep(e.ordered), keep(e.confirmed)
	}
}

// advance does what has become possible: ask for weights, acknowledge what was
// assigned, give the engines what they lack, and say when they hold it.
func (a *Agent) advance() {
	for i := range a.engines {
		if a.engines[i].read {
			a.load(i)
			a.give(i)
		}
	}
	a.ackAssign()
	a.ackRelease()
}

func (a *Agent) load(engine int) {
	e := &a.engines[engine]
	for _, version := range a.needed() {
		if e.loaded[version] || e.asked[version] {
			continue
		}
		e.asked[version] = true
		a.ready.Loads = append(a.ready.Loads, Load{Engine: engine, Map: version})
	}
}

// needed returns the maps of the steps to come and those that the coordinator asked for.
func (a *Agent) needed() []uint64 {
	need := a.given.plus(a.assigned).maps()
	for version := range a.prefetch {
		need = append(need, version)
	}
	slices.Sort(need)
	return slices.Compact(need)
}

// LoadFailed tells that an engine could not load a map, and returns whether to try again.
//
// A map that a later coordinator has no use for must be let go: its loader would ask the
// rate-limited weight store for as long as the agent lives, beside the map that the group
// waits for. Should the map be needed again, it is asked for anew.
func (a *Agent) LoadFailed(engine int, version uint64) bool {
	if slices.Contains(a.needed(), version) {
		return true
	}
	delete(a.engines[engine].asked, version)
	return false
}

// give sends an engine what the others were given and it was not: new ranges, and
// all of them to one that has restarted. That needs no seal, for all of it is told
// in every answer to one.
func (a *Agent) give(engine int) {
	e := &a.engines[engine]
	missing := a.given.minus(e.ordered)
	if len(missing) == 0 || !e.has(missing.maps()) {
		return
	}
	e.ordered = e.ordered.plus(missing)
	a.ready.Orders = append(a.ready.Orders, Order{Engine: engine, Fence: a.promise, Ranges: missing})
}

func (e *engineView) has(maps []uint64) bool {
	for _, version := range maps {
		if !e.loaded[version] {
			return false
		}
	}
	return true
}

// allHave says that each engine is connected and has the weights of the maps.
func (a *Agent) allHave(maps []uint64) bool {
	for i := range a.engines {
		if !a.engines[i].read || !a.engines[i].has(maps) {
			return false
		}
	}
	return true
}

// ackAssign acknowledges what was assigned once all engines have the weights: a
// step released to ranks without them would stop the whole group.
func (a *Agent) ackAssign() {
	if !a.ackDue || !a.allHave(a.assigned.maps()) {
		return
	}
	a.held, a.ackDue = a.assigned, false
	a.send(a.sealedBy.vm, &api.GroupMessage{Body: &api.GroupMessage_AssignAck{AssignAck: &api.AssignAck{
		Ballot:      a.promise,
		Incarnation: a.config.Incarnation,
		Ranges:      a.held.toAPI(),
	}}})
}

func (a *Agent) ackLoad(version uint64) {
	if !a.prefetch[version] || !a.allHave([]uint64{version}) {
		return
	}
	a.send(a.sealedBy.vm, &api.GroupMessage{Body: &api.GroupMessage_LoadAck{LoadAck: &api.LoadMapAck{
		Ballot:      a.promise,
		Incarnation: a.config.Incarnation,
		MapVersion:  version,
	}}})
}

func (a *Agent) ackRelease() {
	if a.releasedTo == 0 || a.acked {
		return
	}
	for i := range a.engines {
		e := &a.engines[i]
		if !e.read || !e.confirmed.covers(a.given) {
			return
		}
	}
	a.acked = true
	a.send(a.sealedBy.vm, &api.GroupMessage{Body: &api.GroupMessage_ReleaseAck{ReleaseAck: &api.ReleaseAck{
		Ballot:      a.promise,
		Incarnation: a.config.Incarnation,
		Step:        a.step,
		GivenEnd:    a.releasedTo,
	}}})
}
