package history

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
)

func TestCheck(t *testing.T) {
	const ms = time.Millisecond
	pub := func(call, ret time.Duration, base int64, outcome Outcome, offset int64) Publish {
		return Publish{Call: call * ms, Return: ret * ms, Base: base, Outcome: outcome, Offset: offset}
	}
	read := func(process int, call, ret time.Duration, offset int64) Read {
		return Read{Process: process, Call: call * ms, Return: ret * ms, Offset: offset}
	}
	for _, test := range []struct {
		name      string
		publishes []Publish
		reads     []Read
		legal     bool
	}{
		{"nothing", nil, []Read{read(1, 0, 1, NeverPublished)}, true},
		{
			"one winner, one conflict",
			[]Publish{pub(0, 9, NeverPublished, Accepted, 3), pub(0, 9, NeverPublished, Conflict, 3)},
			[]Read{read(1, 1, 2, NeverPublished), read(1, 3, 4, 3)},
			true,
		},
		{"two winners", []Publish{pub(0, 9, NeverPublished, Accepted, 3), pub(0, 9, NeverPublished, Accepted, 4)}, nil, false},
		{"conflict with nobody", []Publish{pub(0, 9, NeverPublished, Conflict, 3)}, nil, false},
		{"conflict with its own base", []Publish{pub(0, 1, NeverPublished, Accepted, 3), pub(2, 3, 3, Conflict, 3)}, nil, false},
		{"stale read within the bound", []Publish{pub(0, 10, NeverPublished, Accepted, 3)}, []Read{read(1, 14, 15, NeverPublished)}, true},
		{"stale read past the bound", []Publish{pub(0, 10, NeverPublished, Accepted, 3)}, []Read{read(1, 16, 17, NeverPublished)}, false},
		{"read of what nobody published", nil, []Read{read(1, 0, 1, 7)}, false},
		{"process goes back", []Publish{pub(0, 9, NeverPublished, Accepted, 3)}, []Read{read(1, 1, 2, 3), read(1, 4, 5, NeverPublished)}, false},
		{
			"unknown, found accepted later",
			[]Publish{pub(0, 1, NeverPublished, Unknown, 0), pub(50, 51, 3, Accepted, 4)},
			[]Read{read(1, 40, 41, 3)},
			true,
		},
		{"unknown, found not accepted", []Publish{pub(0, 1, NeverPublished, Unknown, 0), pub(50, 51, NeverPublished, Accepted, 4)}, nil, true},
		{
			"unknown, both accepted and not",
			[]Publish{pub(0, 1, NeverPublished, Unknown, 0), pub(50, 51, NeverPublished, Accepted, 4)},
			[]Read{read(1, 40, 41, 3)},
			false,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := History{Publishes: test.publishes, Reads: test.reads}
			err := h.Check(5*ms, time.Second)
			if (err == nil) != test.legal || err != nil && !errors.Is(err, ErrIllegal) {
				t.Errorf("got %v, want legal %v", err, test.legal)
			}
		})
	}
}
