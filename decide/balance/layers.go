package balance

import (
	"slices"
	"time"
)

// LayerMap holds, for each rank, the experts that it holds in one set of layers.
type LayerMap [][]int32

// Shape is what bounds the expert maps of a group.
type Shape struct {
	// Sets is the number of sets of layers, Experts that of the experts in each.
	Sets, Experts int
	// Ranks is the number of ranks, Slots the most experts that one holds of a set.
	Ranks, Slots int
	// Spare is the most experts of a set that are new to a rank in one change; zero for no
	// bound.
	Spare int
}

// LayersConfig holds the limits of Layers. A zero field takes its default.
type LayersConfig struct {
	// Trigger is the skew past which a change of maps is looked for, Target the one at
	// which the search stops, while passes are short against the pauses that callers
	// accept. Defaults 1.6 and 1.25: callers notice no less, and each copy makes passes
	// longer while it is under way and is worn out by the next change of popularity.
	Trigger, Target float64
	// PressedTrigger and PressedTarget are the same while passes are long, as in a burst:
	// then each part of a pass decides whether streams are on time and requests wait.
	// Defaults 1.2 and 1.1.
	PressedTrigger, PressedTarget float64
	// LoadTime is the time in which a rank copies one expert. Zero counts copies as free.
	LoadTime time.Duration
	// SwitchTime is the time of a change beside its copies. Default 150 ms: some passes.
	SwitchTime time.Duration
	// Horizon is how long a map is expected to fit. Default 2.5 s, the time in which
	// popularity changes where it changes fast.
	Horizon time.Duration
}

func (c LayersConfig) withDefaults() LayersConfig {
	setFloat(&c.Trigger, 1.6)
	setFloat(&c.Target, 1.25)
	setFloat(&c.PressedTrigger, 1.2)
	setFloat(&c.PressedTarget, 1.1)
	setTime(&c.SwitchTime, 150*time.Millisecond)
	setTime(&c.Horizon, 2500*time.Millisecond)
	return c
}

// copyBurden is the part by which passes take longer while ranks copy experts.
const copyBurden = 0.15

// Layers plans the expert maps of a group whose layers come in sets, each with experts of
// its own. A pass goes through the sets one after the other, and in each of them waits for
// the busiest rank.
type Layers struct {
	shape Shape
	cfg   LayersConfig
	// seen is the popularity of the experts.
	seen popularity
	// pace is how many times slower than usual each rank is; nil when all are alike.
	pace []float64
}

// NewLayers returns a planner for a group of which nothing is known yet.
func NewLayers(shape Shape, cfg LayersConfig) (*Layers, error) {
	if _, err := NewPlacement(shape.Experts, shape.Ranks, shape.Slots); err != nil {
		return nil, err
	}
	return &Layers{shape: shape, cfg: cfg.withDefaults()}, nil
}

// Observe takes how often each expert was chosen in the passes since the last observation, by
// set.
func (l *Layers) Observe(passes int64, counts [][]float64) {
	if len(counts) != l.shape.Sets {
		return
	}
	for _, set := range counts {
		if len(set) != l.shape.Experts {
			return
		}
	}
	l.seen.observe(passes, counts)
}

// SetSwitchTime sets the time of a change beside its copies.
//
// Load: a group whose passes take most of a second, as with one engine many times slower.
// Harm prevented: changes of one copy each, of which every one waits for a further pass.
func (l *Layers) SetSwitchTime(d time.Duration) { l.cfg.SwitchTime = d }

// slowPace is the pace from which on a rank counts as slow. What ranks report of healthy
// engines differs by a few hundredths, and following that would copy experts for nothing.
const slowPace = 1.2

// ObservePaces takes how many times slower than usual each rank is.
//
// Load: a rank whose accelerator is throttled or shares its host. Harm prevented: every pass
// waits for it with its part of the experts. A slow rank is given less to do, down to
// nothing; what it loses is copied to others, so that only what is far from usual counts.
func (l *Layers) ObservePaces(paces []float64) {
	l.pace = nil
	if len(paces) != l.shape.Ranks {
		return
	}
	for _, pace := range paces {
		if pace >= slowPace {
			l.pace = make([]float64, len(paces))
		}
	}
	for rank := range l.pace {
		l.pace[rank] = max(paces[rank], 1)
	}
}

// demand is what one set's map has to carry. The additional expert stands in the slots that
// are free, and nobody chooses it.
func (l *Layers) demand(set int) Demand {
	return Demand{Popularity: append(slices.Clone(l.seen.parts[set]), 0), Pace: l.pace}
}

// Change is a change of maps.
type Change struct {
	// Maps are the maps to change to, by set of layers.
	Maps []LayerMap
	// Before and After are the skews of the maps in use and of those to change to.
	Before, After float64
	// Loads is the most experts that one rank copies.
	Loads int
}

// Plan returns the change to make from the maps in use, or nil when none is worth it.
// pressed says that passes are long against the pauses that callers accept.
//
// Load: a popularity of which half changes within a few seconds, and ranks that take tenths
// of a second for each expert that is new to them. Harm prevented: waiting for the perfect
// map while the group is slow. How much is copied before the next change of maps is weighed
// over the horizon, with the changes that can follow it.
func (l *Layers) Plan(current []LayerMap, pressed bool) *Change {
	trigger, target := l.cfg.Trigger, l.cfg.Target
	if pressed {
		trigger, target = l.cfg.PressedTrigger, l.cfg.PressedTarget
	}
	if l.Skew(current) <= trigger {
		return nil
	}
	plans := l.plans(current, target)
	at := l.timing().cheapest(plans)
	if at == 0 {
		return nil
	}
	return &Change{
		Maps: l.layerMaps(plans[at]), Before: plans[0].stretch, After: plans[at].stretch, Loads: plans[at].copies,
	}
}

// plans returns what the maps in use can be changed to. They must be of the group's shape.
func (l *Layers) plans(current []LayerMap, target float64) []plan {
	from, demands := make([]*Placement, l.shape.Sets), make([]Demand, l.shape.Sets)
	for i := range from {
		from[i], _ = l.placement(current[i])
		demands[i] = l.demand(i)
	}
	return newSequence(from, demands, l.shape.Spare, target, int32(l.shape.Experts)).plans(l.mostCopies())
}

func (l *Layers) timing() timing {
	return timing{copy: l.cfg.LoadTime, change: l.cfg.SwitchTime, horizon: l.cfg.Horizon}
}

// layerMaps are the maps of a plan, by set of layers.
func (l *Layers) layerMaps(p plan) []LayerMap {
	maps := make([]LayerMap, 0, len(p.placements))
	for _, placement := range p.placements {
		maps = append(maps, l.layerMap(placement))
	}
	return maps
}

// mostCopies is the most experts that a rank can be asked to copy: what it takes, and what is
// done within the horizon.
func (l *Layers) mostCopies() int {
	most := l.shape.Sets * l.shape.Slots
	if l.shape.Spare > 0 {
		most = l.shape.Sets * l.shape.Spare
	}
	if l.cfg.LoadTime > 0 {
		most = min(most, max(1, int(l.cfg.Horizon/l.cfg.LoadTime)))
	}
	return most
}

// Skew is the time that a pass spends on experts with the given maps, against the time if
// all ranks were evenly busy.
func (l *Layers) Skew(current []LayerMap) float64 {
	if len(current) != l.shape.Sets || l.seen.parts == nil {
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
	return sum / float64(l.shape.Sets)
}

// placement makes a placement of one set's map, with the additional expert in free slots.
func (l *Layers) placement(m LayerMap) (*Placement, bool) {
	if len(m) != l.shape.Ranks {
		return nil, false
	}
	none := int32(l.shape.Experts)
	p := &Placement{Experts: l.shape.Experts + 1, Ranks: l.shape.Ranks, SlotsPerRank: l.shape.Slots}
	for _, experts := range m {
		if len(experts) > l.shape.Slots {
			return nil, false
		}
		for _, expert := range experts {
			if expert < 0 || expert >= none {
				return nil, false
			}
		}
		p.Slots = append(p.Slots, experts...)
		for range l.shape.Slots - len(experts) {
			p.Slots = append(p.Slots, none)
		}
	}
	return p, true
}

func (l *Layers) layerMap(p *Placement) LayerMap {
	m := make(LayerMap, p.Ranks)
	for rank := range m {
		experts := []int32{}
		for _, expert := range p.rank(rank) {
			if int(expert) < l.shape.Experts && !slices.Contains(experts, expert) {
				experts = append(experts, expert)
			}
		}
		slices.Sort(experts)
		m[rank] = experts
	}
	return m
}
