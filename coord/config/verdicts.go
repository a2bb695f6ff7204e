package config

import (
	"cmp"
	"slices"

	"github.com/apricothub/apricothub/api"
)

// MaxVerdicts is the number of newest verdicts kept, about seven hours' worth at 13,000 changes a
// day. It is part of the fold: a repeated change id is recognized only among these verdicts.
const MaxVerdicts = 4096

// verdicts holds the newest verdicts by change id and in order.
type verdicts struct {
	byID    map[string]*api.Verdict
	ordered []*api.Verdict // oldest first
}

func newVerdicts() *verdicts { return &verdicts{byID: make(map[string]*api.Verdict)} }

func (v *verdicts) get(id string) (*api.Verdict, bool) {
	verdict, ok := v.byID[id]
	return verdict, ok
}

// atOffset returns the verdict on the record at an offset.
func (v *verdicts) atOffset(offset int64) (*api.Verdict, bool) {
	i, found := slices.BinarySearchFunc(v.ordered, offset, func(verdict *api.Verdict, offset int64) int {
		return cmp.Compare(verdict.GetOffset(), offset)
	})
	if !found {
		return nil, false
	}
	return v.ordered[i], true
}

func (v *verdicts) add(verdict *api.Verdict) {
	v.byID[verdict.GetChangeId()] = verdict
	v.ordered = append(v.ordered, verdict)
	if len(v.ordered) <= MaxVerdicts {
		return
	}
	delete(v.byID, v.ordered[0].GetChangeId())
	v.ordered[0] = nil
	v.ordered = v.ordered[1:]
}
