package expertmap

import (
	"slices"

	"github.com/apricothub/apricothub/api"
)

// AgentConfig identifies an agent.
type AgentConfig struct {
	Group string
	VM    string
	// Incarnation is a random ID made when the process starts.
	Incarnation string
	// Engines is the number of engines behind the agent, numbered from 0.
	Engines int
}

// EngineState is the state that an engine reports when it is read back.
type EngineState struct {
	Given []Range
	// Step is the next step that its ranks run.
	Step uint64
	// Fence is the highest fence that it has seen; 0 for an engine that does not check fences.
	Fence uint64
	// Loaded lists the maps whose weights it has.
	Loaded []uint64
}

// coordinatorID distinguishes coordinators, since two may choose the same ballot.
type coordinatorID struct {
	vm, incarnation string
}

// Agent is the side of the protocol that runs in front of the engines of one VM.
type Agent struct {
	config  AgentConfig
	engines []engineView

	// promisedBallot is the highest ballot sealed, and sealedBy the coordinator it belongs to.
	promisedBallot uint64
	sealedBy       coordinatorID
	// assigned was proposed under the promised ballot; acked is the part acknowledged. assignAckDue
	// is set while the newest proposal is not acknowledged.
	assigned     ranges
	acked        ranges
	assignAckDue bool
	// prefetch holds the maps that the coordinator asked to load.
	prefetch map[uint64]bool
	// releasedEnd is the end of the steps released under the promised ballot. releaseAcked is set
	// once the agent has acknowledged to the coordinator that the engines hold them.
	releasedEnd  uint64
	releaseAcked bool

	// given holds all ranges that engines were given, by this incarnation or, as read back, by
	// earlier ones. What was sent counts as given, delivered or not.
	given ranges
	// step is the next step of the ranks, as far as known.
	step       uint64
	violations int

	ready Ready
}

// AgentStatus is a snapshot of an agent's state.
type AgentStatus struct {
	PromisedBallot uint64
	// Coordinator is the VM whose seal is in force; empty before the first.
	Coordinator string
	// EnginesRead is set once all engines were read back.
	EnginesRead bool
	Acked       []Range
	Given       []Range
	Step        uint64
	// Violations counts contradictions that the protocol rules out.
	Violations int
}

// NewAgent returns an agent without any engine state: call EngineUp for each engine.
func NewAgent(config AgentConfig) *Agent {
	return &Agent{
		config:   config,
		engines:  make([]engineView, config.Engines),
		prefetch: make(map[uint64]bool),
	}
}

// Ready returns the pending actions and clears them.
func (a *Agent) Ready() Ready {
	r := a.ready
	a.ready = Ready{}
	return r
}

// Status returns a snapshot of the state.
func (a *Agent) Status() AgentStatus {
	return AgentStatus{
		PromisedBallot: a.promisedBallot,
		Coordinator:    a.sealedBy.vm,
		EnginesRead:    a.allEnginesRead(),
		Acked:          slices.Clone(a.acked),
		Given:          slices.Clone(a.given),
		Step:           a.step,
		Violations:     a.violations,
	}
}

// HandleMessage processes a message from a coordinator. Other messages are ignored.
func (a *Agent) HandleMessage(m *api.GroupMessage) {
	if m.GetGroup() != a.config.Group {
		return
	}
	from := coordinatorID{vm: m.GetFromVm(), incarnation: m.GetFromIncarnation()}
	switch body := m.GetBody().(type) {
	case *api.GroupMessage_Seal:
		a.handleSeal(from, body.Seal.GetBallot())
	case *api.GroupMessage_Load:
		if a.acceptsBallot(from, body.Load.GetBallot(), body.Load.GetIncarnation()) {
			a.prefetch[body.Load.GetMapVersion()] = true
			a.reconcile()
			a.ackLoad(body.Load.GetMapVersion())
		}
	case *api.GroupMessage_Assign:
		if a.acceptsBallot(from, body.Assign.GetBallot(), body.Assign.GetIncarnation()) {
			a.handleAssign(body.Assign)
		}
	case *api.GroupMessage_Release:
		if a.acceptsBallot(from, body.Release.GetBallot(), body.Release.GetIncarnation()) {
			a.handleRelease(body.Release)
		}
	}
}

// allEnginesRead reports whether all engines were read back. Before that, this incarnation cannot
// tell what they were given. A seal answered then could free steps that an engine already has a map
// for, and they would run with two maps.
func (a *Agent) allEnginesRead() bool {
	for i := range a.engines {
		if !a.engines[i].everRead {
			return false
		}
	}
	return true
}

func (a *Agent) handleSeal(from coordinatorID, ballot uint64) {
	if !a.allEnginesRead() {
		return
	}
	repeated := ballot == a.promisedBallot && from == a.sealedBy
	if ballot <= a.promisedBallot && !repeated {
		a.sendNack(from, ballot)
		return
	}
	if !repeated {
		a.promiseTo(from, ballot)
	}
	a.send(from.vm, &api.GroupMessage{Body: &api.GroupMessage_SealAck{SealAck: &api.SealAck{
		Ballot:      ballot,
		Incarnation: a.config.Incarnation,
		Given:       a.given.toAPI(),
		Step:        a.step,
	}}})
}

// promiseTo promises a ballot and drops all state of older ones, except what engines were given.
func (a *Agent) promiseTo(coordinator coordinatorID, ballot uint64) {
	a.promisedBallot, a.sealedBy = ballot, coordinator
	a.assigned, a.acked, a.assignAckDue = nil, nil, false
	a.releasedEnd, a.releaseAcked = 0, false
	clear(a.prefetch)
}

// acceptsBallot reports whether a message belongs to the seal in force, and refuses it otherwise.
// An older ballot may not know of ranges that a newer one has released. Promises and
// acknowledgements of another incarnation do not count for this one: without that check, a
// coordinator whose seal was lost in a restart could still collect all acknowledgements.
func (a *Agent) acceptsBallot(from coordinatorID, ballot uint64, incarnation string) bool {
	if ballot == a.promisedBallot && from == a.sealedBy && incarnation == a.config.Incarnation {
		return true
	}
	a.sendNack(from, ballot)
	return false
}

func (a *Agent) handleAssign(m *api.Assign) {
	proposed, ok := rangesFromAPI(m.GetRanges())
	if !ok {
		return
	}
	proposed = proposed.clip(a.oldestNeeded(), proposed.end())
	if proposed.conflicts(a.given) || proposed.conflicts(a.assigned) {
		a.violations++
		a.sendNack(a.sealedBy, m.GetBallot())
		return
	}
	a.assigned = a.assigned.plus(proposed)
	a.assignAckDue = true
	a.reconcile()
}

func (a *Agent) handleRelease(m *api.Release) {
	released, ok := rangesFromAPI(m.GetRanges())
	if !ok || len(released) == 0 {
		return
	}
	end := released.end()
	released = released.clip(a.oldestNeeded(), end)
	// A coordinator releases only what all agents have acknowledged; this check enforces it.
	if !a.acked.covers(released) || released.conflicts(a.given) {
		a.violations++
		a.sendNack(a.sealedBy, m.GetBallot())
		return
	}
	a.given = a.given.plus(released)
	a.releasedEnd = max(a.releasedEnd, end)
	a.releaseAcked = false
	a.reconcile()
}

// oldestNeeded returns the oldest step that is still needed: the ranks of a group are never more
// than one step apart.
func (a *Agent) oldestNeeded() uint64 {
	return oldestNeededStep(a.step)
}

func oldestNeededStep(step uint64) uint64 {
	if step == 0 {
		return 0
	}
	return step - 1
}

func (a *Agent) sendNack(to coordinatorID, refused uint64) {
	if to.vm == "" {
		return
	}
	a.send(to.vm, &api.GroupMessage{Body: &api.GroupMessage_Nack{Nack: &api.Nack{
		Ballot:      a.promisedBallot,
		Incarnation: a.config.Incarnation,
		Refused:     refused,
	}}})
}

func (a *Agent) send(to string, m *api.GroupMessage) {
	m.Group = a.config.Group
	m.FromVm = a.config.VM
	m.FromIncarnation = a.config.Incarnation
	a.ready.Messages = append(a.ready.Messages, Envelope{To: to, Message: m})
}
