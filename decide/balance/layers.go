package balance

import (
	"slices"
	"time"
)

// LayerMap lists, for each rank, the experts that it holds in one set of layers.
type LayerMap [][]int32

// Shape describes the dimensions and limits of a group's expert maps.
type Shape struct {
	// LayerSets is the number of sets of layers, Experts the number of experts in each set.
	LayerSets, Experts int
	// Ranks is the number of ranks, SlotsPerRank the maximum number of experts of a set that one
	// rank holds.
	Ranks, SlotsPerRank int
	// MaxNewExperts is the maximum number of experts of a set that are new to a rank in one change;
	// zero means no limit.
	MaxNewExperts int
}

// Fits reports whether maps, one for each set of layers, have this shape: each expert is on a rank, and no rank
// holds more than it has slots for.
func (s Shape) Fits(maps []LayerMap) bool {
	if len(maps) != s.LayerSets {
		return false
	}
	for _, m := range maps {
		if !s.fitsSet(m) {
			return false
		}
	}
	return true
}

func (s Shape) fitsSet(m LayerMap) bool {
	if len(m) != s.Ranks {
		return false
	}
	isHeld := make([]bool, s.Experts)
	held := 0
	for _, experts := range m {
		if len(experts) > s.SlotsPerRank {
			return false
		}
		for _, expert := range experts {
			if expert < 0 || int(expert) >= s.Experts {
				return false
			}
			if !isHeld[expert] {
				isHeld[expert] = true
				held++
			}
		}
	}
	return held == s.Experts
}

// LayerPlannerConfig holds the parameters of a LayerPlanner. A zero field takes its default.
type LayerPlannerConfig struct {
	// TriggerSkew is the skew above which a change of maps is searched for, TargetSkew the skew at
	// which the search stops, while passes are short relative to the pauses that callers accept.
	// Defaults 1.6 and 1.25: callers would not notice a smaller skew, while each copy makes passes
	// longer as long as it runs and loses its value with the next change of popularity.
	TriggerSkew, TargetSkew float64
	// LongPassTriggerSkew and LongPassTargetSkew replace them while passes are long, as in a burst:
	// every fraction of a pass then decides whether streams are on time and how long requests are
	// queued. Defaults 1.2 and 1.1.
	LongPassTriggerSkew, LongPassTargetSkew float64
	// CopyTime is the time in which a rank copies one expert. Zero means that copies are free.
	CopyTime time.Duration
	// SwitchTime is the time of a change in addition to its copies. Default 150 ms, the time of
	// several passes.
	SwitchTime time.Duration
	// Horizon is how long a map is expected to fit. Default 2.5 s, the time between changes where
	// popularity changes fast.
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

// copyOverhead is the fraction by which passes take longer while ranks copy experts.
const copyOverhead = 0.15

// LayerPlanner plans the expert maps of a group whose layers are divided into sets, each with its
// own experts. A pass goes through the sets one after the other and waits in each for the busiest
// rank.
type LayerPlanner struct {
	shape Shape
	cfg   LayerPlannerConfig
	// popularity tracks the popularity of the experts.
	popularity popularityTracker
	// slowdowns is how many times slower than usual each rank is; nil when all are alike.
	slowdowns []float64
}

// NewLayerPlanner returns a planner without any observations.
func NewLayerPlanner(shape Shape, cfg LayerPlannerConfig) (*LayerPlanner, error) {
	if _, err := NewPlacement(shape.Experts, shape.Ranks, shape.SlotsPerRank); err != nil {
		return nil, err
	}
	return &LayerPlanner{shape: shape, cfg: cfg.withDefaults()}, nil
}

// Observe records how often each expert was chosen in the passes since the last observation, by set
// of layers. Counts that do not match the shape are ignored.
func (l *LayerPlanner) Observe(passes int64, counts [][]float64) {
	if l.matchesShape(counts) {
		l.popularity.observe(passes, counts)
	}
}

// Expect sets a popularity that was recorded before this planner was created, in tokens or any other
// unit. It is ignored once anything was observed, and if it does not match the shape.
//
// A group that opens after a power loss runs its whole queue on a map that fits nothing. With the
// popularity of a moment ago a map can be planned before the first pass is observed; if popularity has
// changed meanwhile, the first sample outweighs it.
func (l *LayerPlanner) Expect(popularity [][]float64) {
	if l.matchesShape(popularity) {
		l.popularity.expect(popularity)
	}
}

func (l *LayerPlanner) matchesShape(counts [][]float64) bool {
	if len(counts) != l.shape.LayerSets {
		return false
	}
	for _, set := range counts {
		if len(set) != l.shape.Experts {
			return false
		}
	}
	return true
}

// Popularity returns each expert's fraction of all tokens, by set of layers, or nil while nothing was
// observed. It must not be changed.
func (l *LayerPlanner) Popularity() [][]float64 { return l.popularity.fractions }

// SetSwitchTime sets the time of a change in addition to its copies.
//
// The passes of a group take most of a second when one engine is many times slower. With a switch
// time that is too short, the planner would plan changes of one copy each, and each of them would
// wait for another pass.
func (l *LayerPlanner) SetSwitchTime(d time.Duration) { l.cfg.SwitchTime = d }

// slowRankThreshold is the slowdown from which on a rank counts as slow. The reported slowdowns of
// healthy engines differ by a few hundredths; following them would copy experts for nothing.
const slowRankThreshold = 1.2

// ObserveSlowdowns records how many times slower than usual each rank is.
//
// Every pass waits for a rank whose accelerator is throttled or shares its host. Such a rank is
// given less work, down to none. Its experts have to be copied to other ranks, so only ranks that
// are far slower than usual count.
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

// demand returns the demand on the map of one set. The filler expert occupies the free slots and
// receives no tokens.
func (l *LayerPlanner) demand(set int) Demand {
	return Demand{Popularity: append(slices.Clone(l.popularity.fractions[set]), 0), Slowdowns: l.slowdowns}
}

// MapChange is a change of maps.
type MapChange struct {
	// Maps are the new maps, by set of layers.
	Maps []LayerMap
	// SkewBefore and SkewAfter are the skews of the current and of the new maps.
	SkewBefore, SkewAfter float64
	// MaxCopies is the maximum number of experts that one rank copies.
	MaxCopies int
}

// Plan returns the change to make from the current maps, or nil when none is worth it. longPasses
// says that passes are long relative to the pauses that callers accept.
//
// Half of the popularity can change within a few seconds, and a rank takes tenths of a second to
// copy each new expert, so waiting for a perfect map would leave the group slow meanwhile. The
// number of copies before the next change is chosen by the total cost over the horizon, including
// the changes that can follow.
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

// candidates returns the placements that the current maps can be changed to. The maps must match
// the group's shape.
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

// layerMaps returns the maps of a candidate, by set of layers.
func (l *LayerPlanner) layerMaps(c candidate) []LayerMap {
	maps := make([]LayerMap, 0, len(c.placements))
	for _, placement := range c.placements {
		maps = append(maps, l.layerMap(placement))
	}
	return maps
}

// maxCopies returns the maximum number of experts that a rank can be asked to copy: limited by what
// it can take, and by what can be copied within the horizon.
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

// Skew returns the time that a pass spends on experts with the given maps, relative to the time if
// all ranks were evenly busy. It is 1 while nothing was observed and for maps that do not match the
// shape.
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

// placement converts the map of one set to a placement, with the filler expert in free slots. It
// returns false if the map does not match the shape.
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

// layerMap converts a placement to the map of one set, without the filler expert and duplicates.
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
