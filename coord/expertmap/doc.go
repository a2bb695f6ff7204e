// Package expertmap makes all ranks of an expert-parallel group use the same expert map in each
// step.
//
// Each agent of the group runs an Agent, in front of the engines that hold its ranks. One of them,
// by default the agent of rank 0, also runs a Coordinator. All ranks take part in every step, so
// the coordinator asks all agents instead of a majority:
//
//  1. Seal: each agent refuses lower ballots from then on and returns the ranges of steps that its
//     engines were given.
//  2. Assign: the coordinator proposes ranges of steps and their maps. Steps that an engine was
//     given keep their map. An agent acknowledges once its engines have the weights.
//  3. Release: after all agents have acknowledged, each gives the ranges to its engines. An engine
//     runs no step that it was not given.
//
// Ranges are released some steps ahead, so a step normally waits for no message. A change of the
// map takes effect after the ranges already released, and only when all agents have loaded the new
// one.
//
// Both types are state machines without I/O, like those of etcd's raft: pass in messages, the time
// and the replies of engines, then carry out what Ready returns, in a loop on one goroutine. Times
// are durations since process start, on its monotonic clock. The example shows the loop.
//
// Requirements on the caller:
//
//   - Messages may be lost, delayed, repeated and reordered, but not altered. A message to the
//     process's own VM is delivered to it directly.
//   - Agent.EngineStateRead is called only with a state that the engine returned after all older
//     connections from its agents had closed. Otherwise an order of a dead agent may reach the
//     engine after that state was read.
//   - Orders to one engine and reads of its state are carried out in the order given, over one
//     connection. When it breaks, EngineDown is called, and EngineUp when there is a new one.
//   - A rank that restarts continues at its group's step, never below one that the group has
//     finished.
package expertmap
