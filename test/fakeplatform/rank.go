package fakeplatform

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// rank is one engine of a group. It carries out orders without checking them against the other
// ranks. Guarded by the group's lock.
type rank struct {
	// version is the map version in use, prepared the one whose copy is complete, and copying the
	// one whose copy completes at copyDoneAt. highestVersion is the highest version ever prepared
	// in this epoch.
	version, prepared, copying, highestVersion int64
	copyDoneAt                                 time.Time
	// maps are the maps of all ranks, by version.
	maps map[int64]expertMap
	// armed is the version to change to and the pass to change at; held is the pass that must not
	// begin.
	armed *armed
	held  *int64
	// fence is the highest fence seen; orders with a lower one are refused.
	fence int64
	// counts are the tokens routed to each expert; incarnation counts the starts of the engine.
	counts      []int64
	incarnation int64
}

type armed struct {
	Version int64 `json:"version"`
	Step    int64 `json:"step"`
}

// expertMap holds the experts of each rank. All layers form one layer set.
type expertMap [][]int32

// Order is an order as an engine receives it.
type Order struct {
	Op                          string
	Version, Step, Epoch, Fence int64
	Map                         []expertMap
}

// reset returns a rank to the initial map at the start of a new epoch.
func (r *rank) reset(initial expertMap) {
	r.version, r.prepared, r.copying, r.highestVersion = 0, 0, 0, 0
	r.maps = map[int64]expertMap{0: initial}
	r.armed, r.held = nil, nil
}

// carryOut carries an order out and returns the HTTP status of the answer.
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

// completeCopy marks the version being copied as prepared once copyDoneAt has passed.
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

// beginPass begins the next pass unless a rank holds the group. It records a fault if two ranks use
// different maps or if no rank holds some expert.
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

// countTokens adds the tokens of one pass: each expert gets baseTokens, and the popular one
// popularTokens more, about half of all tokens in a group of 16 experts.
func (g *Group) countTokens(r *rank) {
	const baseTokens, popularTokens = 10, 150
	for e := range r.counts {
		r.counts[e] += baseTokens
	}
	r.counts[g.popularExpert()] += popularTokens
}

// popularExpert returns the expert that currently gets about half of all tokens.
func (g *Group) popularExpert() int64 {
	const popularAtStart = 5
	if g.Shape.PopularityShiftPasses == 0 {
		return popularAtStart
	}
	return (popularAtStart + g.passes/g.Shape.PopularityShiftPasses) % int64(g.Shape.Experts)
}

// countHeldExperts returns the number of experts held by at least one rank.
func (g *Group) countHeldExperts() int {
	experts := make(map[int32]bool)
	for index, r := range g.ranks {
		for _, e := range r.maps[r.version][index] {
			experts[e] = true
		}
	}
	return len(experts)
}
