package expertmap

import (
	"slices"

	"github.com/apricothub/apricothub/api"
)

// engineView is what an agent knows of one engine over the current connection.
type engineView struct {
	// everRead is set once this incarnation has read the engine back.
	everRead bool
	// readBack is set once the engine was read back over this connection.
	connected, readBack bool
	// ordered was sent over this connection; confirmed is the part that the engine acknowledged.
	ordered, confirmed ranges
	// loaded holds the maps that the engine has; loadRequested those that it was asked to load.
	loaded, loadRequested map[uint64]bool
}

// EngineUp reports a new connection to an engine, which may have restarted. The agent reads it back
// before it sends it an order.
func (a *Agent) EngineUp(engine int) {
	a.EngineDown(engine)
	a.engines[engine].connected = true
	a.ready.Reads = append(a.ready.Reads, engine)
}

// EngineDown reports that the connection to an engine has ended.
func (a *Agent) EngineDown(engine int) {
	a.engines[engine] = engineView{everRead: a.engines[engine].everRead}
}

// EngineStateRead processes the state that an engine returned over the current connection, after
// all older connections had closed.
func (a *Agent) EngineStateRead(engine int, state EngineState) {
	e := &a.engines[engine]
	if !e.connected || e.readBack {
		return
	}
	engineGiven := ranges(state.Given).joined()
	e.readBack, e.everRead = true, true
	e.confirmed, e.ordered = engineGiven, engineGiven
	e.loaded, e.loadRequested = make(map[uint64]bool), make(map[uint64]bool)
	for _, version := range state.Loaded {
		e.loaded[version] = true
	}
	if a.given.conflicts(engineGiven) {
		a.violations++
	}
	a.raisePromise(state.Fence)
	a.given = a.given.plus(engineGiven)
	a.advanceStep(state.Step)
	a.reconcile()
}

// SetEngineStep sets the step that an engine's ranks run next.
func (a *Agent) SetEngineStep(engine int, step uint64) {
	if a.engines[engine].readBack {
		a.advanceStep(step)
	}
}

// MapLoaded reports that an engine has loaded the weights of a map.
func (a *Agent) MapLoaded(engine int, version uint64) {
	e := &a.engines[engine]
	if !e.readBack {
		return
	}
	e.loaded[version] = true
	a.reconcile()
	a.ackLoad(version)
}

// OrderDone reports that an engine has accepted an order.
func (a *Agent) OrderDone(engine int, order Order) {
	e := &a.engines[engine]
	if !e.readBack {
		return
	}
	e.confirmed = e.confirmed.plus(order.Ranges)
	a.reconcile()
}

// OrderRefused reports that an engine refused an order, and the highest fence that the engine has
// seen. A fence above the promised ballot comes from a newer coordinator, through a predecessor of
// this agent: the promise rises to it. Whatever the reason, such as lost weights, the engine is
// read back; otherwise the order would count as sent and never be sent again.
func (a *Agent) OrderRefused(engine int, fence uint64) {
	e := &a.engines[engine]
	if !e.readBack {
		return
	}
	e.readBack = false
	a.ready.Reads = append(a.ready.Reads, engine)
	if fence > a.promisedBallot {
		coordinator, ballot := a.sealedBy, a.promisedBallot
		a.raisePromise(fence)
		a.sendNack(coordinator, ballot)
	}
}

// raisePromise treats a fence seen by an engine as a promise that a predecessor of this agent made
// to a coordinator that is no longer known.
func (a *Agent) raisePromise(fence uint64) {
	if fence > a.promisedBallot {
		a.promiseTo(coordinatorID{}, fence)
	}
}

// advanceStep drops the steps that no rank can run any more.
func (a *Agent) advanceStep(step uint64) {
	a.step = max(a.step, step)
	oldest := a.oldestNeeded()
	keep := func(rs ranges) ranges { return rs.clip(oldest, rs.end()) }
	a.given, a.assigned, a.acked = keep(a.given), keep(a.assigned), keep(a.acked)
	for i := range a.engines {
		e := &a.engines[i]
		e.ordered, e.confirmed = keep(e.ordered), keep(e.confirmed)
	}
}

// reconcile takes all actions that have become possible: it requests missing weights, acknowledges
// assignments, sends engines the ranges that they lack, and acknowledges releases.
func (a *Agent) reconcile() {
	for i := range a.engines {
		if a.engines[i].readBack {
			a.requestLoads(i)
			a.giveMissing(i)
		}
	}
	a.ackAssign()
	a.ackRelease()
}

func (a *Agent) requestLoads(engine int) {
	e := &a.engines[engine]
	for _, version := range a.neededMaps() {
		if e.loaded[version] || e.loadRequested[version] {
			continue
		}
		e.loadRequested[version] = true
		a.ready.Loads = append(a.ready.Loads, LoadRequest{Engine: engine, Map: version})
	}
}

// neededMaps returns the maps of assigned and given steps and those that the coordinator asked for.
func (a *Agent) neededMaps() []uint64 {
	needed := a.given.plus(a.assigned).maps()
	for version := range a.prefetch {
		needed = append(needed, version)
	}
	slices.Sort(needed)
	return slices.Compact(needed)
}

// LoadFailed reports that an engine could not load a map, and returns whether to retry.
//
// A map that no later coordinator uses must be dropped: its loader would otherwise query the
// rate-limited weight store for the lifetime of the agent, in competition with the map that the
// group waits for. If the map is needed again, it is requested again.
func (a *Agent) LoadFailed(engine int, version uint64) bool {
	if slices.Contains(a.neededMaps(), version) {
		return true
	}
	delete(a.engines[engine].loadRequested, version)
	return false
}

// giveMissing sends an engine the ranges that others were given and it was not: new ranges, or all
// of them after it has restarted. That needs no new seal, since every answer to a seal reports all
// of them.
func (a *Agent) giveMissing(engine int) {
	e := &a.engines[engine]
	missing := a.given.minus(e.ordered)
	if len(missing) == 0 || !e.hasMaps(missing.maps()) {
		return
	}
	e.ordered = e.ordered.plus(missing)
	a.ready.Orders = append(a.ready.Orders, Order{Engine: engine, Fence: a.promisedBallot, Ranges: missing})
}

func (e *engineView) hasMaps(maps []uint64) bool {
	for _, version := range maps {
		if !e.loaded[version] {
			return false
		}
	}
	return true
}

// allEnginesHave reports whether each engine is connected and has the weights of the maps.
func (a *Agent) allEnginesHave(maps []uint64) bool {
	for i := range a.engines {
		if !a.engines[i].readBack || !a.engines[i].hasMaps(maps) {
			return false
		}
	}
	return true
}

// ackAssign acknowledges an assignment once all engines have the weights: a step released to ranks
// without them would stop the whole group.
func (a *Agent) ackAssign() {
	if !a.assignAckDue || !a.allEnginesHave(a.assigned.maps()) {
		return
	}
	a.acked, a.assignAckDue = a.assigned, false
	a.send(a.sealedBy.vm, &api.GroupMessage{Body: &api.GroupMessage_AssignAck{AssignAck: &api.AssignAck{
		Ballot:      a.promisedBallot,
		Incarnation: a.config.Incarnation,
		Ranges:      a.acked.toAPI(),
	}}})
}

func (a *Agent) ackLoad(version uint64) {
	if !a.prefetch[version] || !a.allEnginesHave([]uint64{version}) {
		return
	}
	a.send(a.sealedBy.vm, &api.GroupMessage{Body: &api.GroupMessage_LoadAck{LoadAck: &api.LoadMapAck{
		Ballot:      a.promisedBallot,
		Incarnation: a.config.Incarnation,
		MapVersion:  version,
	}}})
}

func (a *Agent) ackRelease() {
	if a.releasedEnd == 0 || a.releaseAcked {
		return
	}
	for i := range a.engines {
		e := &a.engines[i]
		if !e.readBack || !e.confirmed.covers(a.given) {
			return
		}
	}
	a.releaseAcked = true
	a.send(a.sealedBy.vm, &api.GroupMessage{Body: &api.GroupMessage_ReleaseAck{ReleaseAck: &api.ReleaseAck{
		Ballot:      a.promisedBallot,
		Incarnation: a.config.Incarnation,
		Step:        a.step,
		GivenEnd:    a.releasedEnd,
	}}})
}
