package sockets

import (
	"testing"
	"time"
)

// Guards against an end that counts as in order although the connection was reset, or closed by a peer that has not read
// everything, and against one that never counts.
func TestEnding(t *testing.T) {
	const ms = time.Millisecond
	delivered := sendState{ackedBytes: 1000}
	waiting := sendState{ackedBytes: 1000, unackedSegments: 3, unsentBytes: 9000}
	further := sendState{ackedBytes: 2000, unackedSegments: 3, unsentBytes: 8000}
	type step struct {
		at    time.Duration
		state endState
		want  endKind
	}
	for name, steps := range map[string][]step{
		"everything was delivered": {{0, endState{delivered, false, true}, endInOrder}},
		"reset":                    {{0, endState{delivered, true, true}, endByReset}},
		"reset while something was to be delivered": {{0, endState{waiting, true, false}, endByReset}},
		"closed by the peer, which then resets what arrives": {
			{0, endState{waiting, false, false}, endUnknown},
			{1 * ms, endState{waiting, true, false}, endByReset},
		},
		"closed by the peer between two writes": {
			{0, endState{delivered, false, false}, endUnknown},
			{1 * ms, endState{waiting, false, false}, endUnknown},
			{2 * ms, endState{waiting, true, false}, endByReset},
		},
		"the peer goes on reading": {
			{0, endState{waiting, false, false}, endUnknown},
			{1 * ms, endState{further, false, false}, endInOrder},
		},
		"the rest is delivered": {
			{0, endState{waiting, false, true}, endUnknown},
			{1 * ms, endState{sendState{ackedBytes: 10_000}, false, true}, endInOrder},
		},
		"the peer reads nothing more": {
			{0, endState{waiting, false, false}, endUnknown},
			{49 * ms, endState{waiting, false, false}, endUnknown},
			{50 * ms, endState{waiting, false, false}, endInOrder},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var e ending
			for _, s := range steps {
				if got := e.observe(s.at, s.state); got != s.want {
					t.Errorf("at %v: %v, want %v", s.at, got, s.want)
				}
			}
		})
	}
}
