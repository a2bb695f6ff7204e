package sockets

import (
	"testing"
	"time"
)

// step is a state of a connection at a time, and whether its peer counts as silent then.
type step struct {
	at       time.Duration
	state    sendState
	isSilent bool
}

const ms = time.Millisecond

func TestSilence(t *testing.T) {
	for name, steps := range map[string][]step{
		"nothing is acknowledged, and the kernel repeats it": {
			{500 * ms, sendState{unackedSegments: 1, sinceSent: 100 * ms, sinceHeard: 9000 * ms, hasTimes: true}, false},
			{1000 * ms, sendState{unackedSegments: 1, sinceSent: 400 * ms, sinceHeard: 9500 * ms, hasTimes: true}, false},
			{1500 * ms, sendState{unackedSegments: 1, sinceSent: 100 * ms, sinceHeard: 10000 * ms, hasTimes: true}, false},
			{2000 * ms, sendState{unackedSegments: 1, sinceSent: 600 * ms, sinceHeard: 10500 * ms, hasTimes: true}, true},
		},
		"the last transmission may still be answered": {
			{0, sendState{unackedSegments: 1, sinceSent: 0, sinceHeard: 100 * ms, hasTimes: true}, false},
			{2000 * ms, sendState{unackedSegments: 1, sinceSent: 200 * ms, sinceHeard: 2100 * ms, hasTimes: true}, false},
			{2500 * ms, sendState{unackedSegments: 1, sinceSent: 700 * ms, sinceHeard: 2600 * ms, hasTimes: true}, true},
		},
		"the window is closed, and the peer answers probes": {
			{0, sendState{unsentBytes: 9000, sinceHeard: 10 * ms, hasTimes: true}, false},
			{1500 * ms, sendState{unsentBytes: 9000, sinceHeard: 200 * ms, hasTimes: true}, false},
			{5000 * ms, sendState{unsentBytes: 9000, sinceHeard: 1900 * ms, hasTimes: true}, false},
			{9000 * ms, sendState{unsentBytes: 9000, unansweredProbes: 1, sinceHeard: 3300 * ms, hasTimes: true}, false},
		},
		"the window is closed, and the peer is gone": {
			{0, sendState{unsentBytes: 9000, unansweredProbes: 1, sinceSent: 9000 * ms, sinceHeard: 800 * ms, hasTimes: true}, false},
			{500 * ms, sendState{unsentBytes: 9000, unansweredProbes: 2, sinceSent: 9500 * ms, sinceHeard: 1300 * ms, hasTimes: true}, false},
			{2500 * ms, sendState{unsentBytes: 9000, unansweredProbes: 3, sinceSent: 11500 * ms, sinceHeard: 3300 * ms, hasTimes: true}, true},
		},
		"the window shrinks below what was sent, and the peer answers each repetition": {
			{0, sendState{unackedSegments: 4, sinceSent: 0, sinceHeard: 0, hasTimes: true}, false},
			{1500 * ms, sendState{unackedSegments: 4, sinceSent: 900 * ms, sinceHeard: 900 * ms, hasTimes: true}, false},
			{2000 * ms, sendState{unackedSegments: 4, sinceSent: 1400 * ms, sinceHeard: 1400 * ms, hasTimes: true}, false},
			{2500 * ms, sendState{unackedSegments: 4, sinceSent: 100 * ms, sinceHeard: 100 * ms, hasTimes: true}, false},
			{4500 * ms, sendState{unackedSegments: 4, sinceSent: 2100 * ms, sinceHeard: 2096 * ms, hasTimes: true}, false},
		},
		"a long body goes out slowly": {
			{0, sendState{unackedSegments: 2, ackedBytes: 1000}, false},
			{1000 * ms, sendState{unackedSegments: 2, ackedBytes: 2000}, false},
			{2000 * ms, sendState{unackedSegments: 2, ackedBytes: 3000}, false},
			{3000 * ms, sendState{unackedSegments: 2, ackedBytes: 3001}, false},
		},
		"nothing is acknowledged, and the kernel reports no times": {
			{500 * ms, sendState{unackedSegments: 1}, false},
			{1500 * ms, sendState{unackedSegments: 1}, false},
			{2000 * ms, sendState{unackedSegments: 1}, true},
		},
		"a request after the other": {
			{0, sendState{unackedSegments: 1}, false},
			{1000 * ms, sendState{}, false},
			{2000 * ms, sendState{unackedSegments: 1}, false},
			{3000 * ms, sendState{unackedSegments: 1}, false},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var s silence
			for _, step := range steps {
				if got := s.observe(step.at, step.state); got != step.isSilent {
					t.Errorf("at %v: silent %v, want %v", step.at, got, step.isSilent)
				}
			}
		})
	}
}
