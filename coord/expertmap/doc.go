// Package expertmap makes all ranks of an expert-parallel group use one and the
// same expert map in each step.
//
// Each agent of the group runs an Agent, in front of the engines that hold its
// ranks. One of them, by default the agent of rank 0, also runs a Coordinator. All
// ranks must take part in every step, so the coordinator asks all agents, and no
// majority is needed:
//
//  1. Seal: each agent refuses lower ballots from then on, and returns the ranges
//     of steps that its engines were given.
//  2. Assign: ranges of steps and their maps. Steps that an engine was given keep
//     their map. An agent acknowledges once its ranks hold the weights.
//  3. Release: after all agents have acknowledged, each gives the ranges to its
//     engines. An engine runs no step that it was not given.
//
// Ranges are released some steps ahead, so the usual step waits for nobody. A change
// of the map takes effect behind the ranges already released, and only when all
// agents have loaded the new one.
//
// Both types are state machines without input or output, in the manner of raft: feed
// them messages, the time and what engines say, then take what is to be done with
// Ready, in a loop on one goroutine. Times are since the process started, on its
// monotonic clock. See the example for the loop.
//
// What the caller must provide:
//   - Messages may be lost, delayed, repeated and reordered, but not altered. A
//     message to the process's own VM is handed straight back to it.
//   - Agent.EngineRead is called only with an answer that the engine gave after it
//     had seen all older connections of its givers close. Otherwise an order of a
//     dead agent may reach the engine after the answer.
//   - Orders to one engine and reads of it are carried out in the order given, over
//     one connection. When it breaks, EngineDown is called, and EngineUp when there is
//     a new one.
//   - A rank that restarts goes on at its group's step, never below one that the
//     group has finished.
package expertmap
