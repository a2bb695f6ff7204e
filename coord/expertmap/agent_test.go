package expertmap

import (
	"slices"
	"testing"

	"github.com/apricothub/apricothub/api"
)

func fromCoordinator(body any) *api.GroupMessage {
	m := &api.GroupMessage{Group: simGroup, FromVm: "vm-0", FromIncarnation: "c1"}
	switch b := body.(type) {
	case *api.Seal:
		m.Body = &api.GroupMessage_Seal{Seal: b}
	case *api.Assign:
		m.Body = &api.GroupMessage_Assign{Assign: b}
	case *api.Release:
		m.Body = &api.GroupMessage_Release{Release: b}
	}
	return m
}

// agentBeforeOrder returns an agent with one engine that is about to be given steps 0 to 4.
func agentBeforeOrder() *Agent {
	a := NewAgent(AgentConfig{Group: simGroup, VM: "vm-1", Incarnation: "i1", Engines: 1})
	a.EngineUp(0)
	a.EngineStateRead(0, EngineState{Loaded: []uint64{1}})
	given := []*api.StepRange{{Start: 0, End: 4, MapVersion: 1}}
	a.HandleMessage(fromCoordinator(&api.Seal{Ballot: 3}))
	a.HandleMessage(fromCoordinator(&api.Assign{Ballot: 3, Incarnation: "i1", Ranges: given}))
	a.Ready()
	a.HandleMessage(fromCoordinator(&api.Release{Ballot: 3, Incarnation: "i1", Ranges: given}))
	return a
}

// An engine loses its weights while its connection stays up, and therefore refuses the order. If
// the agent counted the order as sent, the group would stall for good: the agent must read the
// engine back, load the weights and send the order again.
func TestOrderRefusedForMissingWeights(t *testing.T) {
	a := agentBeforeOrder()
	orders := a.Ready().Orders
	if len(orders) != 1 {
		t.Fatalf("orders = %v, want one", orders)
	}
	a.OrderRefused(0, 3)
	if r := a.Ready(); !slices.Equal(r.Reads, []int{0}) {
		t.Fatalf("after the refusal: %+v, want a read", r)
	}
	a.EngineStateRead(0, EngineState{Fence: 3})
	if r := a.Ready(); !slices.Equal(r.Loads, []LoadRequest{{Engine: 0, Map: 1}}) {
		t.Fatalf("after the read: %+v, want a load", r)
	}
	a.MapLoaded(0, 1)
	if r := a.Ready(); len(r.Orders) != 1 || !ranges(r.Orders[0].Ranges).covers(orders[0].Ranges) {
		t.Fatalf("after the load: %+v, want the order sent again", r)
	}
}

// An engine has seen a fence above the agent's promise, through a predecessor of the agent. Without
// a nack the coordinator would wait for the engine for good.
func TestOrderRefusedForHigherFence(t *testing.T) {
	a := agentBeforeOrder()
	a.Ready()
	a.OrderRefused(0, 9)
	r := a.Ready()
	if len(r.Messages) != 1 || r.Messages[0].Message.GetNack().GetBallot() != 9 {
		t.Fatalf("after the refusal: %+v, want a nack that names 9", r)
	}
	a.HandleMessage(fromCoordinator(&api.Seal{Ballot: 9}))
	if r := a.Ready(); len(r.Messages) != 1 || r.Messages[0].Message.GetNack() == nil {
		t.Fatalf("after a seal with ballot 9: %+v, want a nack", r)
	}
}

// A new agent has not read its engine back yet. Answering the seal now would free steps that the
// engine already has a map for.
func TestSealWaitsForRead(t *testing.T) {
	a := NewAgent(AgentConfig{Group: simGroup, VM: "vm-1", Incarnation: "i2", Engines: 2})
	a.EngineUp(0)
	a.EngineStateRead(0, EngineState{})
	a.EngineUp(1)
	a.Ready()
	a.HandleMessage(fromCoordinator(&api.Seal{Ballot: 4}))
	if r := a.Ready(); !r.Empty() {
		t.Fatalf("before the second engine was read: %+v", r)
	}
	a.EngineStateRead(1, EngineState{Given: []Range{{Start: 2, End: 6, Map: 7}}, Step: 3})
	a.Ready()
	a.HandleMessage(fromCoordinator(&api.Seal{Ballot: 4}))
	ack := a.Ready().Messages[0].Message.GetSealAck()
	if len(ack.GetGiven()) != 1 || ack.GetGiven()[0].GetMapVersion() != 7 || ack.GetStep() != 3 {
		t.Fatalf("answer = %v, want the ranges that the engine was given", ack)
	}
}

// Each message belongs to a seal that is not in force. Accepted, it could put two maps into one
// step. The agent has promised ballot 3 of c1, with steps 0 to 4 assigned, and must refuse.
func TestAgentRejectsMessagesNotOfCurrentSeal(t *testing.T) {
	given := []*api.StepRange{{Start: 0, End: 4, MapVersion: 1}}
	other := []*api.StepRange{{Start: 0, End: 4, MapVersion: 2}}
	more := []*api.StepRange{{Start: 0, End: 8, MapVersion: 1}}
	sameBallotOtherCoordinator := fromCoordinator(&api.Seal{Ballot: 3})
	sameBallotOtherCoordinator.FromIncarnation = "c2"
	for name, m := range map[string]*api.GroupMessage{
		"old seal":               fromCoordinator(&api.Seal{Ballot: 2}),
		"the ballot of another":  sameBallotOtherCoordinator,
		"old assign":             fromCoordinator(&api.Assign{Ballot: 2, Incarnation: "i1", Ranges: more}),
		"assign without seal":    fromCoordinator(&api.Assign{Ballot: 4, Incarnation: "i1", Ranges: more}),
		"assign to another":      fromCoordinator(&api.Assign{Ballot: 3, Incarnation: "i0", Ranges: more}),
		"assign of another map":  fromCoordinator(&api.Assign{Ballot: 3, Incarnation: "i1", Ranges: other}),
		"old release":            fromCoordinator(&api.Release{Ballot: 2, Incarnation: "i1", Ranges: given}),
		"release to another":     fromCoordinator(&api.Release{Ballot: 3, Incarnation: "i0", Ranges: given}),
		"release without assign": fromCoordinator(&api.Release{Ballot: 3, Incarnation: "i1", Ranges: more}),
	} {
		t.Run(name, func(t *testing.T) {
			a := agentBeforeOrder()
			a.Ready()
			a.HandleMessage(m)
			r := a.Ready()
			if len(r.Messages) != 1 || r.Messages[0].Message.GetNack().GetBallot() != 3 || len(r.Orders) != 0 {
				t.Fatalf("ready = %+v, want only a nack", r)
			}
		})
	}
}
