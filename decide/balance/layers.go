package balance

import (
	"slices"
	"time"
)

// LayerMap holds, for each rank, the experts that it holds in one set of layers.
type LayerMap [][]int32

// Shape is what bounds the expert maps of a group.
type Shape struct {
	// LayerSets is the number of sets of layers, Experts that of the experts in each.
	LayerSets, Experts int
	// Ranks is the number of ranks, SlotsPerRank the most experts that one holds of a set.
	Ranks, SlotsPerRank int
	// MaxNewExperts is the most experts of a set that are new to a rank in one change; zero for no
	// bound.
	MaxNewExperts int
}

// LayerPlannerConfig holds the limits of Layers. A zero field takes its default.
type LayerPlannerConfig struct {
	// TriggerSkew is the skew past which a change of maps is looked for, TargetSkew the one at
	// which the search stops, while passes are short against the pauses that callers
	// accept. Defaults 1.6 and 1.25: callers notice no less, and each copy makes passes
	// longer while it is under way and is worn out by the next change of popularity.
	TriggerSkew, TargetSkew float64
	// LongPassTriggerSkew and LongPassTargetSkew are the same while passes are long, as in a burst:
	// then each part of a pass decides whether streams are on time and requests wait.
	// Defaults 1.2 and 1.1.
	LongPassTriggerSkew, LongPassTargetSkew float64
	// CopyTime is the time in which a rank copies one expert. Zero counts copies as free.
	CopyTime time.Duration
	// SwitchTime is the time of a change beside its copies. Default 150 ms: some passes.
	SwitchTime time.Duration
	// Horizon is how long a map is expected to fit. Default 2.5 s, the time in which
	// popularity changes where it changes fast.
	Horizon time.Duration
}

func (c LayerPlannerConfig) withDefaults() LayerPlannerConfig {
	setDefaultFloat(&c.TriggerSkew, 1.6)
	setDefaultFloat(&c.TargetSkew, 1.25)
	setDefaultFloat(&c.LongPassTriggerSkew, 1.2)
	setDefaultFloat(&c.LongPassTargetSkew, 1.1)
	setDefaultDuration(&c.SwitchTime, 150*time.Millisecond)
	setDefaultDuration(&c.Horizon, 2500*time.Millisecond)
	return c
}

// copyOverhead is the part by which passes take longer while ranks copy experts.
const copyOverhead = 0.15

// LayerPlanner plans the expert maps of a group whose layers come in sets, each with experts of
// its own. A pass goes through the sets one after the other, and in each of them waits for
// the busiest rank.
type LayerPlanner struct {
	shape Shape
	cfg   LayerPlannerConfig
	// popularity is the popularity of the experts.
	popularity popularityTracker
	// slowdowns is how many times slower than usual each rank is; nil when all are alike.
	slowdowns []float64
}

// NewLayerPlanner returns a planner for a group of which nothing is known yet.
func NewLayerPlanner(shape Shape, cfg LayerPlannerConfig) (*LayerPlanner, error) {
	if _, err := NewPlacement(shape.Experts, shape.Ranks, shape.SlotsPerRank); err != nil {
		return nil, err
	}
	return &LayerPlanner{shape: shape, cfg: cfg.withDefaults()}, nil
}

// Observe takes how often each expert was chosen in the passes since the last observation, by
// set.
func (l *LayerPlanner) Observe(passes int64, counts [][]float64) {
	if len(counts) != l.shape.LayerSets {
		return
	}
	for _, set := range counts {
		if len(set) != l.shape.Experts {
			return
		}
	}
	l.popularity.observe(passes, counts)
}

// SetSwitchTime sets the time of a change beside its copies.
//
// Load: a group whose passes take most of a second, as with one engine many times slower.
// Harm prevented: changes of one copy each, of which every one waits for a further pass.
func (l *LayerPlanner) SetSwitchTime(d time.Duration) { l.cfg.SwitchTime = d }

// slowRankThreshold is the pace from which on a rank counts as slow. What ranks report of healthy
// engines differs by a few hundredths, and following that would copy experts for nothing.
const slowRankThreshold = 1.2

// ObserveSlowdowns takes how many times slower than usual each rank is.
//
// Load: a rank whose accelerator is throttled or shares its host. Harm prevented: every pass
// waits for it with its part of the experts. A slow rank is given less to do, down to
// nothing; what it loses is copied to others, so that only what is far from usual counts.
func (l *LayerPlanner) ObserveSlowdowns(slowdowns []float64) {
	l.slowdowns = nil
	if len(slowdowns) != l.shape.Ranks {
		return
	}
	for _, slowdown := range slowdowns {
		if slowdown >= slowRankThreshold {
			l.slowdowns = make([]float64, len(slowdowns))
		}
	}
	for rank := range l.slowdowns {
		l.slowdowns[rank] = max(slowdowns[rank], 1)
	}
}

// demand is what one set's map has to carry. The additional expert stands in the slots that
// are free, and nobody chooses it.
func (l *LayerPlanner) demand(set int) Demand {
	return Demand{Popularity: append(slices.Clone(l.popularity.fractions[set]), 0), Slowdowns: l.slowdowns}
}

// MapChange is a change of maps.
type MapChange struct {
	// Maps are the maps to change to, by set of layers.
	Maps []LayerMap
	// SkewBefore and SkewAfter are the skews of the maps in use and of those to change to.
	SkewBefore, SkewAfter float64
	// MaxCopies is the most experts that one rank copies.
	MaxCopies int
}

// Plan returns the change to make from the maps in use, or nil when none is worth it.
// pressed says that passes are long against the pauses that callers accept.
//
// Load: a popularity of which half changes within a few seconds, and ranks that take tenths
// of a second for each expert that is new to them. Harm prevented: waiting for the perfect
// map while the group is slow. How much is copied before the next change of maps is weighed
// over the horizon, with the changes that can follow it.
func (l *LayerPlanner) Plan(current []LayerMap, longPasses bool) *MapChange {
	trigger, target := l.cfg.TriggerSkew, l.cfg.TargetSkew
	if longPasses {
		trigger, target = l.cfg.LongPassTriggerSkew, l.cfg.LongPassTargetSkew
	}
	if l.Skew(current) <= trigger {
		return nil
	}
	candidates := l.candidates(current, target)
	chosen := l.timing().cheapestStride(candidates)
	if chosen == 0 {
		return nil
	}
	return &MapChange{
		Maps: l.layerMaps(candidates[chosen]), SkewBefore: candidates[0].stretch, SkewAfter: candidates[chosen].stretch, MaxCopies: candidates[chosen].maxCopies,
	}
}

// candidates returns what the maps in use can be changed to. They must be of the group's shape.
func (l *LayerPlanner) candidates(current []LayerMap, target float64) []candidate {
	from, demands := make([]*Placement, l.shape.LayerSets), make([]Demand, l.shape.LayerSets)
	for i := range from {
		from[i], _ = l.placement(current[i])
		demands[i] = l.demand(i)
	}
	return newLayerSearch(from, demands, l.shape.MaxNewExperts, target, int32(l.shape.Experts)).candidates(l.maxCopies())
}

func (l *LayerPlanner) timing() timing {
	return timing{copyTime: l.cfg.CopyTime, switchTime: l.cfg.SwitchTime, horizon: l.cfg.Horizon}
}

// layerMaps are the maps of a plan, by set of layers.
func (l *LayerPlanner) layerMaps(c candidate) []LayerMap {
	maps := make([]LayerMap, 0, len(c.placements))
	for _, placement := range c.placements {
		maps = append(maps, l.layerMap(placement))
	}
	return maps
}

// maxCopies is the most experts that a rank can be asked to copy: what it takes, and what is
// done within the horizon.
func (l *LayerPlanner) maxCopies() int {
	limit := l.shape.LayerSets * l.shape.SlotsPerRank
	if l.shape.MaxNewExperts > 0 {
		limit = l.shape.LayerSets * l.shape.MaxNewExperts
	}
	if l.cfg.CopyTime > 0 {
		limit = min(limit, max(1, int(l.cfg.Horizon/l.cfg.CopyTime)))
	}
	return limit
}

// Skew is the time that a pass spends on experts with the given maps, against the time if
// all ranks were evenly busy.
func (l *LayerPlanner) Skew(current []LayerMap) float64 {
	if len(current) != l.shape.LayerSets || l.popularity.fractions == nil {
		return 1
	}
	sum := 0.0
	for i, set := range current {
		p, ok := l.placement(set)
		if !ok {
			return 1
		}
		sum += l.demand(i).Stretch(p)
	}
	return sum / float64(l.shape.LayerSets)
}

// placement makes a placement of one set's map, with the additional expert in free slots.
func (l *LayerPlanner) placement(m LayerMap) (*Placement, bool) {
	if len(m) != l.shape.Ranks {
		return nil, false
	}
	filler := int32(l.shape.Experts)
	p := &Placement{Experts: l.shape.Experts + 1, Ranks: l.shape.Ranks, SlotsPerRank: l.shape.SlotsPerRank}
	for _, experts := range m {
		if len(experts) > l.shape.SlotsPerRank {
			return nil, false
		}
		for _, expert := range experts {
			if expert < 0 || expert >= filler {
				return nil, false
			}
		}
		p.Slots = append(p.Slots, experts...)
		for range l.shape.SlotsPerRank - len(experts) {
			p.Slots = append(p.Slots, filler)
		}
	}
	return p, true
}

func (l *LayerPlanner) layerMap(p *Placement) LayerMap {
	m := make(LayerMap, p.Ranks)
	for rank := range m {
		experts := []int32{}
		for _, expert := range p.rankSlots(rank) {
			if int(expert) < l.shape.Experts && !slices.Contains(experts, expert) {
				experts = append(experts, expert)
			}
		}
		slices.Sort(experts)
		m[rank] = experts
	}
	return m
}
