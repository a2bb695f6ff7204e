package expertmap

import (
	"slices"

	"github.com/apricothub/apricothub/api"
)

// AgentConfig says who the agent is.
type AgentConfig struct {
	Group string
	VM    string
	// Incarnation is random, made when the process starts.
	Incarnation string
	// Engines is the number of engines behind the agent, numbered from 0.
	Engines int
}

// EngineState is what an engine says of itself when it is read back.
type EngineState struct {
	Given []Range
	// Step is the next step its ranks run.
	Step uint64
	// Fence is the highest fence it has seen; 0 for an engine that does not check.
	Fence uint64
	// Loaded holds the maps whose weights it has.
	Loaded []uint64
}

// coordinatorID tells coordinators apart: two could choose the same ballot.
type coordinatorID struct {
	vm, incarnation string
}

// Agent is the part of the protocol in front of the engines of one VM.
type Agent struct {
	config  AgentConfig
	engines []engineView

	// promisedBallot is the highest ballot sealed, and sealedBy whose it is.
	promisedBallot uint64
	sealedBy       coordinatorID
	// assigned was proposed under the promise; held is the part acknowledged. ackDue
	// says that the newest proposal was not answered yet.
	assigned     ranges
	acked        ranges
	assignAckDue bool
	// prefetch holds the maps that the coordinator asked to load.
	prefetch map[uint64]bool
	// releasedEnd is the end of the steps released under the promise; acked that
	// the engines were said to hold them.
	releasedEnd  uint64
	releaseAcked bool

	// given is all that engines were given by this incarnation or, as read back, by
	// those before. What was sent counts as given, delivered or not.
	given ranges
	// step is the next step of the ranks, as far as known.
	step       uint64
	violations int

	ready Ready
}

// AgentStatus is an agent's state for the dump.
type AgentStatus struct {
	PromisedBallot uint64
	// Coordinator is the VM whose seal is in force; empty before the first.
	Coordinator string
	// EnginesRead says that all engines were read back.
	EnginesRead bool
	Acked       []Range
	Given       []Range
	Step        uint64
	// Violations counts contradictions that the protocol rules out.
	Violations int
}

// NewAgent returns an agent that knows nothing: call EngineUp for each engine.
func NewAgent(config AgentConfig) *Agent {
	return &Agent{
		config:   config,
		engines:  make([]engineView, config.Engines),
		prefetch: make(map[uint64]bool),
	}
}

// Ready returns what is to be done and clears it.
func (a *Agent) Ready() Ready {
	r := a.ready
	a.ready = Ready{}
	return r
}

// Status returns the state for the dump.
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

// HandleMessage takes in a message from a coordinator. Others are ignored.
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

// allEnginesRead: before all engines were read back, this incarnation cannot say what
// they were given. A seal answered then could free steps that an engine already has
// a map for, and they would run under two.
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

// promiseTo drops all that belongs to older ballots, but for what engines were given.
func (a *Agent) promiseTo(coordinator coordinatorID, ballot uint64) {
	a.promisedBallot, a.sealedBy = ballot, coordinator
	a.assigned, a.acked, a.assignAckDue = nil, nil, false
	a.releasedEnd, a.releaseAcked = 0, false
	clear(a.prefetch)
}

// acceptsBallot lets through what belongs to the seal in force. An older ballot may not
// know of ranges that a newer one has released. Another incarnation's promise and
// acknowledgements are not this one's: without the name, a seal that a restart has
// outlived could still gather all acknowledgements.
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
	// A coordinator releases only what all have acknowledged; this holds it to that.
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

// oldestNeeded is the oldest step that still matters: the ranks of a group are never more
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
