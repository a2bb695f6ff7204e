// Package history checks what operators and processes saw of one list: that it
// behaved as one versioned register. It is support for tests.
package history

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"
)

// NeverPublished is the offset of a list that was never published.
const NeverPublished = int64(-1)

// Outcome is what a publisher was told.
type Outcome int

const (
	// Unknown: the publisher was told nothing certain. The change may be accepted
	// later, or never.
	Unknown Outcome = iota
	// Accepted: the change is in force from its offset on.
	Accepted
	// Conflict: another change stood in its way.
	Conflict
)

// Publish is one change of the list. Times are on one clock for a whole history.
type Publish struct {
	Client       int
	Call, Return time.Duration
	// Base is the offset that the change was made from.
	Base    int64
	Outcome Outcome
	// Offset is that of the accepted change, or for a conflict the one that stood.
	Offset int64
}

// Read is one look at the list at a process.
type Read struct {
	// Process is the same for all that ever ran on a VM: replacement must not take
	// the list back either.
	Process      int
	Call, Return time.Duration
	Offset       int64
}

// History is what was seen of one list.
type History struct {
	Publishes []Publish
	Reads     []Read
}

var (
	// ErrIllegal says that no versioned register could have given the history.
	ErrIllegal = errors.New("history is not one of a versioned register")
	// ErrUndecided says that the check ran out of time.
	ErrUndecided = errors.New("history not decided in time")
)

// Check returns ErrIllegal or ErrUndecided unless the history is that of a versioned register on which
// publishers compare and set: each read shows what was in force at some moment
// between stale before its call and its return, and no process goes back. The search
// ends after the timeout.
func (h *History) Check(maxStaleness, timeout time.Duration) error {
	if err := h.checkMonotonic(); err != nil {
		return err
	}
	model := registerModel()
	switch porcupine.CheckOperationsTimeout(model, h.operations(maxStaleness), timeout) {
	case porcupine.Illegal:
		return errors.Wrap(ErrIllegal, "some verdict or read fits no order")
	case porcupine.Unknown:
		return ErrUndecided
	}
	return nil
}

// checkMonotonic checks that of two reads at a process, one after the other, the
// later shows no lower offset.
func (h *History) checkMonotonic() error {
	reads := slices.Clone(h.Reads)
	slices.SortFunc(reads, func(a, b Read) int { return cmp.Compare(a.Call, b.Call) })
	for i, later := range reads {
		for _, earlier := range reads[:i] {
			if earlier.Process == later.Process && earlier.Return < later.Call && earlier.Offset > later.Offset {
				return errors.Wrapf(ErrIllegal, "process %d went back from offset %d to %d at %v",
					later.Process, earlier.Offset, later.Offset, later.Call)
			}
		}
	}
	return nil
}

func (h *History) operations(maxStaleness time.Duration) []porcupine.Operation {
	ops := make([]porcupine.Operation, 0, len(h.Publishes)+len(h.Reads))
	// Each operation gets a client of its own: those of one client may overlap here,
	// as reads begin early and unknown outcomes never end.
	add := func(input any, from, to int64) {
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: input, Call: from, Return: to})
	}
	for _, p := range h.Publishes {
		end := int64(p.Return)
		if p.Outcome == Unknown {
			end = math.MaxInt64
		}
		add(p, int64(p.Call), end)
	}
	for _, r := range h.Reads {
		add(r, int64(r.Call-maxStaleness), int64(r.Return))
	}
	return ops
}

// register is the list between two operations. After a change of unknown outcome was
// accepted, only a bound below its offset is known.
type register struct {
	offset       int64
	isLowerBound bool
}

// mayBeAt tells whether the register may stand at an offset.
func (r register) mayBeAt(offset int64) bool {
	if r.isLowerBound {
		return offset > r.offset
	}
	return offset == r.offset
}

func registerModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{register{offset: NeverPublished}} },
		Step: func(state, input, _ any) []any {
			switch op := input.(type) {
			case Publish:
				return applyPublish(state.(register), op)
			case Read:
				return applyRead(state.(register), op)
			}
			return nil
		},
	}
	return model.ToModel()
}

// applyPublish returns the states after a applyPublish, none if it could not have happened.
func applyPublish(r register, op Publish) []any {
	switch op.Outcome {
	case Accepted:
		if r.mayBeAt(op.Base) && op.Offset > op.Base {
			return []any{register{offset: op.Offset}}
		}
	case Conflict:
		if r.mayBeAt(op.Offset) && op.Offset != op.Base {
			return []any{register{offset: op.Offset}}
		}
	case Unknown:
		states := []any{r}
		if r.mayBeAt(op.Base) {
			states = append(states, register{offset: op.Base, isLowerBound: true})
		}
		return states
	}
	return nil
}

func applyRead(r register, op Read) []any {
	if r.mayBeAt(op.Offset) {
		return []any{register{offset: op.Offset}}
	}
	return nil
}
