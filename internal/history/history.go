// Package history checks that a list, as observed by operators and processes, behaved like a single
// versioned register. It is used by tests.
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

// Outcome is the result of a publish as reported to the publisher.
type Outcome int

const (
	// Unknown means that the publisher got no definite result. The change may be accepted later, or
	// never.
	Unknown Outcome = iota
	// Accepted means that the change is in force from its offset on.
	Accepted
	// Conflict means that the change was rejected because of another change.
	Conflict
)

// Publish is one change of the list. All times of a history are from the same clock.
type Publish struct {
	Client       int
	Call, Return time.Duration
	// Base is the offset of the list that the change is based on.
	Base    int64
	Outcome Outcome
	// Offset is the offset of the accepted change, or the current offset for a conflict.
	Offset int64
}

// Read is one read of the list at a process.
type Read struct {
	// Process is the same for all processes that ever ran on a VM: the list must not go back to an
	// older offset when a process is replaced.
	Process      int
	Call, Return time.Duration
	Offset       int64
}

// History holds the observed publishes and reads of one list.
type History struct {
	Publishes []Publish
	Reads     []Read
}

var (
	// ErrIllegal is returned if no versioned register can have produced the history.
	ErrIllegal = errors.New("history is not one of a versioned register")
	// ErrUndecided is returned if the check timed out.
	ErrUndecided = errors.New("history not decided in time")
)

// Check returns ErrIllegal or ErrUndecided unless the history is that of a versioned register with
// compare-and-set publishes: each read returns a value that was in force at some time between
// maxStaleness before its call and its return, and no process goes back to an older value. The
// search ends after the timeout.
func (h *History) Check(maxStaleness, timeout time.Duration) error {
	if err := h.checkMonotonic(); err != nil {
		return err
	}
	if err := h.checkConflicts(); err != nil {
		return err
	}
	ops := h.operations(decisive(h.observations(maxStaleness)))
	switch porcupine.CheckOperationsTimeout(registerModel(), ops, timeout) {
	case porcupine.Illegal:
		return errors.Wrap(ErrIllegal, "no order of the operations explains all outcomes and reads")
	case porcupine.Unknown:
		return ErrUndecided
	}
	return nil
}

// checkConflicts checks that no change was rejected although the list was at its base.
func (h *History) checkConflicts() error {
	for _, p := range h.Publishes {
		if p.Outcome == Conflict && p.Offset == p.Base {
			return errors.Wrapf(ErrIllegal, "a change of client %d on offset %d was rejected because of that offset", p.Client, p.Base)
		}
	}
	return nil
}

// checkMonotonic checks that of two consecutive reads at a process, the later one does not return
// a lower offset.
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

// observation says that the list was at an offset at some time between from and to.
type observation struct {
	offset   int64
	from, to time.Duration
}

// observations returns what reads and conflicts say of the list.
func (h *History) observations(maxStaleness time.Duration) []observation {
	var all []observation
	for _, r := range h.Reads {
		all = append(all, observation{r.Offset, r.Call - maxStaleness, r.Return})
	}
	for _, p := range h.Publishes {
		if p.Outcome == Conflict {
			all = append(all, observation{p.Offset, p.Call, p.Return})
		}
	}
	return all
}

// decisive returns the observations that imply all others: of each offset the one that ends first and the one
// that begins last. Offsets only rise, so the list is at an offset for one period. A period that meets both
// begins before any of the others ends, and ends after any of them has begun.
//
// Without this the search grows with the factorial of the reads that overlap, which with reads that may be
// stale for seconds are nearly all.
func decisive(all []observation) []observation {
	endsFirst, beginsLast := make(map[int64]observation), make(map[int64]observation)
	for _, o := range all {
		if first, ok := endsFirst[o.offset]; !ok || o.to < first.to {
			endsFirst[o.offset] = o
		}
		if last, ok := beginsLast[o.offset]; !ok || o.from > last.from {
			beginsLast[o.offset] = o
		}
	}
	var kept []observation
	for offset, first := range endsFirst {
		kept = append(kept, first)
		if last := beginsLast[offset]; last != first {
			kept = append(kept, last)
		}
	}
	slices.SortFunc(kept, func(a, b observation) int {
		return cmp.Or(cmp.Compare(a.offset, b.offset), cmp.Compare(a.to, b.to), cmp.Compare(a.from, b.from))
	})
	return kept
}

// operations returns the operations to be put in order; it is given the observations to include.
func (h *History) operations(observations []observation) []porcupine.Operation {
	ops := make([]porcupine.Operation, 0, len(h.Publishes)+len(observations))
	// Each operation gets its own client ID: operations of one client may overlap here, because
	// reads begin maxStaleness early and publishes of unknown outcome never end.
	add := func(input any, from, to int64) {
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: input, Call: from, Return: to})
	}
	for _, p := range h.Publishes {
		switch p.Outcome {
		case Unknown:
			add(p, int64(p.Call), math.MaxInt64)
		case Accepted:
			add(p, int64(p.Call), int64(p.Return))
		case Conflict: // Among the observations.
		}
	}
	for _, o := range observations {
		add(o, int64(o.from), int64(o.to))
	}
	return ops
}

// register is the state of the list between two operations. After the acceptance of a change with
// unknown outcome, only a lower bound of the offset is known.
type register struct {
	offset       int64
	isLowerBound bool
}

// mayBeAt returns true if the register may be at the offset.
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
			case observation:
				return applyObservation(state.(register), op)
			}
			return nil
		},
	}
	return model.ToModel()
}

// applyPublish returns the possible states after a publish, none if it is impossible.
func applyPublish(r register, op Publish) []any {
	switch op.Outcome {
	case Accepted:
		if r.mayBeAt(op.Base) && op.Offset > op.Base {
			return []any{register{offset: op.Offset}}
		}
	case Conflict: // An observation.
	case Unknown:
		states := []any{r}
		if r.mayBeAt(op.Base) {
			states = append(states, register{offset: op.Base, isLowerBound: true})
		}
		return states
	}
	return nil
}

func applyObservation(r register, o observation) []any {
	if r.mayBeAt(o.offset) {
		return []any{register{offset: o.offset}}
	}
	return nil
}
