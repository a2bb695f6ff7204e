package config

import (
	"cmp"
	"slices"

	"github.com/apricothub/apricothub/api"
)

// MaxVerdicts is the number of newest verdicts kept, some seven hours' worth at
// 13,000 changes a day. It is part of the fold: a change id is known again only
// within it.
const MaxVerdicts = 4096

// verdicts keeps the newest verdicts, by change id and in order.
type verdicts struct {
	byID  map[string]*api.Verdict
	order []*api.Verdict // oldest first
}

func newVerdicts() *verdicts { return &verdicts{byID: make(map[string]*api.Verdict)} }

func (v *verdicts) get(id string) (*api.Verdict, bool) {
	verdict, ok := v.byID[id]
	return verdict, ok
}

// at returns the verdict on the record at an offset.
func (v *verdicts) at(offset int64) (*api.Verdict, bool) {
	i, found := slices.BinarySearchFunc(v.order, offset, func(verdict *api.Verdict, offset int64) int {
		return cmp.Compare(verdict.GetOffset(), offset)
	})
	if !found {
		return nil, false
	}
	return v.order[i], true
}

func (v *verdicts) add(verdict *api.Verdict) {
	v.byID[verdict.GetChangeId()] = verdict
	v.order = append(v.order, verdict)
	if len(v.order) <= MaxVerdicts {
		return
	}
	delete(v.byID, v.order[0].GetChangeId())
	v.order[0] = nil
	v.order = v.order[1:]
}
