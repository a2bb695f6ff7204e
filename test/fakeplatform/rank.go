package fakeplatform

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// rank is one engine of a group. It does as it is ordered, and compares nothing with others.
// The group's lock guards it.
type rank struct {
	// version is the map in use, prepared the one whose copy is complete, copying the one
	// whose copy is complete at copied; highestVersion is the highest that it has had.
	version, prepared, copying, highestVersion int64
	copyDoneAt                                 time.Time
	// maps are the whole maps by version, of all ranks and with this rank's own experts.
	maps map[int64]expertMap
	// armed is the version to change to and the pass to do it with, held the pass that does
	// not begin.
	armed *armed
	held  *int64
	// fence is the highest that it has seen.
	fence int64
	// counts are how often requests chose each expert; born is when the engine started.
	counts      []int64
	incarnation int64
}

type armed struct {
	Version int64 `json:"version"`
	Step    int64 `json:"step"`
}

// expertMap is the experts of each rank; all layers are one set.
type expertMap [][]int32

// Order is an order as an engine gets it.
type Order struct {
	Op                          string
	Version, Step, Epoch, Fence int64
	Map                         []expertMap
}

// reset is what a new epoch does to a rank.
func (r *rank) reset(initial expertMap) {
	r.version, r.prepared, r.copying, r.highestVersion = 0, 0, 0, 0
	r.maps = map[int64]expertMap{0: initial}
	r.armed, r.held = nil, nil
}

// carryOut carries an order out and returns the status of the answer.
func (g *Group) carryOut(index int, o Order) int {
	r := g.ranks[index]
	if o.Fence < r.fence {
		return http.StatusPreconditionFailed
	}
	if o.Epoch != g.epoch || g.crashed {
		return http.StatusConflict
	}
	r.fence = o.Fence
	apply := map[string]func(int, Order) bool{
		"prepare": g.prepare, "hold": g.hold, "arm": g.arm, "disarm": g.disarm, "go": g.releaseHold,
	}[o.Op]
	if apply == nil {
		return http.StatusBadRequest
	}
	if !apply(index, o) {
		return http.StatusConflict
	}
	g.orderCounts[o.Op]++
	return http.StatusOK
}

func (g *Group) prepare(index int, o Order) bool {
	r := g.ranks[index]
	if r.prepared == o.Version || r.copying == o.Version {
		return true
	}
	if o.Version <= r.highestVersion || r.armed != nil || len(o.Map) != 1 || len(o.Map[0]) != len(g.ranks) {
		return false
	}
	added := 0
	for _, e := range o.Map[0][index] {
		if !slices.Contains(r.maps[r.version][index], e) {
			added++
		}
	}
	if added > g.Shape.Spare || len(o.Map[0][index]) > g.Shape.Places {
		return false
	}
	r.highestVersion, r.copying, r.prepared = o.Version, o.Version, 0
	r.copyDoneAt = time.Now().Add(copyTime)
	r.maps[o.Version] = o.Map[0]
	return true
}

// completeCopy completes a copy whose time has come.
func (r *rank) completeCopy() {
	if r.copying != 0 && !time.Now().Before(r.copyDoneAt) {
		r.prepared, r.copying = r.copying, 0
	}
}

func (g *Group) hold(index int, o Order) bool {
	r := g.ranks[index]
	if r.held != nil {
		return *r.held == o.Step
	}
	if o.Step <= g.step {
		return false
	}
	r.held = &o.Step
	return true
}

func (g *Group) arm(index int, o Order) bool {
	r := g.ranks[index]
	r.completeCopy()
	if r.armed != nil {
		return *r.armed == armed{o.Version, o.Step}
	}
	if r.prepared != o.Version || o.Version == 0 || o.Step <= g.step {
		return false
	}
	r.armed = &armed{o.Version, o.Step}
	return true
}

func (g *Group) disarm(index int, o Order) bool {
	r := g.ranks[index]
	if r.version == o.Version && o.Version != 0 {
		return false
	}
	if r.armed != nil && r.armed.Version == o.Version {
		r.armed = nil
	}
	return true
}

func (g *Group) releaseHold(index int, o Order) bool {
	r := g.ranks[index]
	if r.held != nil && *r.held == o.Step {
		r.held = nil
	}
	return true
}

// beginPass begins the next pass, unless a rank holds the group, and notes two maps in it.
func (g *Group) beginPass() {
	for _, r := range g.ranks {
		r.completeCopy()
		if r.held != nil && *r.held == g.step+1 {
			return
		}
	}
	g.step++
	g.passes++
	for index, r := range g.ranks {
		if r.armed != nil && r.armed.Step == g.step {
			r.version, r.prepared, r.armed = r.armed.Version, 0, nil
		}
		if first := g.ranks[0]; r.version != first.version || !slices.EqualFunc(r.maps[r.version], first.maps[first.version], slices.Equal) {
			g.faults = append(g.faults, fmt.Sprintf("pass %d of epoch %d begins with map %d at rank 0 and %d at rank %d", g.step, g.epoch, first.version, r.version, index))
		}
		g.countTokens(r)
	}
	g.usedVersions[g.ranks[0].version] = true
	if n := g.countHeldExperts(); n != g.Shape.Experts {
		g.faults = append(g.faults, fmt.Sprintf("pass %d of epoch %d begins with %d experts", g.step, g.epoch, n))
	}
}

// countTokens counts what the requests of one pass choose: half of all tokens go to one expert.
func (g *Group) countTokens(r *rank) {
	const baseTokens, popularTokens = 10, 150
	for e := range r.counts {
		r.counts[e] += baseTokens
	}
	r.counts[g.popularExpert()] += popularTokens
}

// popularExpert is the expert that gets half of all tokens.
func (g *Group) popularExpert() int64 {
	const popularAtStart = 5
	if g.Shape.PopularityShiftPasses == 0 {
		return popularAtStart
	}
	return (popularAtStart + g.passes/g.Shape.PopularityShiftPasses) % int64(g.Shape.Experts)
}

// countHeldExperts is the number of experts that some rank holds.
func (g *Group) countHeldExperts() int {
	experts := make(map[int32]bool)
	for index, r := range g.ranks {
		for _, e := range r.maps[r.version][index] {
			experts[e] = true
		}
	}
	return len(experts)
}
