package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// meanSkewOver plans changes for one group after an abrupt change of popularity and returns the
// mean skew of its passes over the span. chooseStride returns how many candidates each change
// advances by.
func meanSkewOver(t *testing.T, l *LayerPlanner, maps []LayerMap, span time.Duration, chooseStride func(timing, []candidate) int) float64 {
	t.Helper()
	sum, left := 0.0, span
	for left > 0 {
		candidates := l.candidates(maps, l.cfg.LongPassTargetSkew)
		chosen := chooseStride(l.timing(), candidates)
		if chosen == 0 {
			break
		}
		took := min(left, time.Duration(candidates[chosen].maxCopies)*l.cfg.CopyTime+l.cfg.SwitchTime)
		sum += candidates[0].stretch * took.Seconds()
		left -= took
		next := l.layerMaps(candidates[chosen])
		checkChange(t, l.shape, maps, next)
		maps = next
	}
	return (sum + l.Skew(maps)*left.Seconds()) / span.Seconds()
}

// Guards against changes that are too small or too large for the engines. Popularity changes
// abruptly, and a copy takes from a hundredth of a second to over a second, in groups of several
// shapes. Over the next seconds the skew must be close to that of the best fixed size of change.
func TestSizeOfAChangeFollowsTheCopies(t *testing.T) {
	shapes := []Shape{
		{LayerSets: 3, Experts: 96, Ranks: 12, SlotsPerRank: 11, MaxNewExperts: 4},
		{LayerSets: 4, Experts: 72, Ranks: 12, SlotsPerRank: 8, MaxNewExperts: 3},
		{LayerSets: 16, Experts: 96, Ranks: 24, SlotsPerRank: 5, MaxNewExperts: 2},
		{LayerSets: 2, Experts: 40, Ranks: 6, SlotsPerRank: 9, MaxNewExperts: 1},
	}
	const span = 2500 * time.Millisecond
	for _, shape := range shapes {
		for _, copyTime := range []time.Duration{10 * time.Millisecond, 80 * time.Millisecond, 400 * time.Millisecond, 1200 * time.Millisecond} {
			t.Run(fmt.Sprint(shape, copyTime), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(7, uint64(shape.LayerSets)))
				l, err := NewLayerPlanner(shape, LayerPlannerConfig{CopyTime: copyTime})
				if err != nil {
					t.Fatal(err)
				}
				counts := zipfCounts(rng, shape, 1.2)
				l.Observe(20, counts)
				best := l.Skew(roundRobinMaps(shape))
				for _, size := range []int{1, 2, 4, 8, shape.LayerSets * max(shape.MaxNewExperts, 1)} {
					fixed := meanSkewOver(t, l, roundRobinMaps(shape), span, func(_ timing, candidates []candidate) int { return min(size, len(candidates)-1) })
					best = min(best, fixed)
				}
				got := meanSkewOver(t, l, roundRobinMaps(shape), span, timing.cheapestStride)
				if got > 1.07*best {
					t.Errorf("mean skew %.2f, with the best fixed size %.2f", got, best)
				}
			})
		}
	}
}

// One of three sets of layers delays the group. Ranks must copy experts of that set only: copies
// for the others would delay the relief.
func TestCopiesGoWhereTheGroupWaits(t *testing.T) {
	shape := Shape{LayerSets: 3, Experts: 48, Ranks: 8, SlotsPerRank: 8, MaxNewExperts: 4}
	l, err := NewLayerPlanner(shape, LayerPlannerConfig{CopyTime: 400 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	even := slices.Repeat([]float64{100}, shape.Experts)
	skewed := zipf(rand.New(rand.NewPCG(2, 1)), shape.Experts, 1.3)
	l.Observe(20, [][]float64{even, skewed, even})
	change := l.Plan(roundRobinMaps(shape), true)
	if change == nil || change.MaxCopies != 1 {
		t.Fatalf("want a change of one copy per rank: %+v", change)
	}
	for _, set := range []int{0, 2} {
		for rank, experts := range change.Maps[set] {
			if !slices.Equal(experts, roundRobinMaps(shape)[set][rank]) {
				t.Errorf("set %d: rank %d holds %v", set, rank, experts)
			}
		}
	}
}

// Each change waits for passes that take most of a second, as with one rank that is many times
// slower. The first change must then copy more than with short passes, so that less time is spent
// on switching.
func TestLongPassesMakeLargerChanges(t *testing.T) {
	shape := Shape{LayerSets: 3, Experts: 96, Ranks: 12, SlotsPerRank: 11, MaxNewExperts: 4}
	l, err := NewLayerPlanner(shape, LayerPlannerConfig{CopyTime: 80 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(3, 1))
	l.Observe(20, [][]float64{zipf(rng, 96, 1.3), zipf(rng, 96, 1.3), zipf(rng, 96, 1.3)})
	slowdowns := slices.Repeat([]float64{1}, shape.Ranks)
	slowdowns[5] = 12
	l.ObserveSlowdowns(slowdowns)
	maxCopies := func(switchTime time.Duration) int {
		l.SetSwitchTime(switchTime)
		return l.Plan(roundRobinMaps(shape), true).MaxCopies
	}
	if short, long := maxCopies(50*time.Millisecond), maxCopies(900*time.Millisecond); long <= short {
		t.Errorf("a rank copies %d experts with short passes, %d with long ones", short, long)
	}
}
