package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// relief follows one group after its popularity has changed at once, and returns the mean
// skew of its passes over the span. at chooses how many plans ahead each change goes.
func relief(t *testing.T, l *Layers, maps []LayerMap, span time.Duration, at func(timing, []plan) int) float64 {
	t.Helper()
	sum, left := 0.0, span
	for left > 0 {
		plans := l.plans(maps, l.cfg.PressedTarget)
		n := at(l.timing(), plans)
		if n == 0 {
			break
		}
		took := min(left, time.Duration(plans[n].copies)*l.cfg.LoadTime+l.cfg.SwitchTime)
		sum += plans[0].stretch * took.Seconds()
		left -= took
		next := l.layerMaps(plans[n])
		checkChange(t, l.shape, maps, next)
		maps = next
	}
	return (sum + l.Skew(maps)*left.Seconds()) / span.Seconds()
}

// Popularity changes at once, on engines whose copies take from a hundredth of a second to
// over a second, in groups of several shapes. Over the next seconds the group does about as
// well as with the best fixed size of a change, whatever the engines: neither the smallest
// change nor the largest is right for all.
func TestSizeOfAChangeFollowsTheCopies(t *testing.T) {
	shapes := []Shape{
		{Sets: 3, Experts: 96, Ranks: 12, Slots: 11, Spare: 4},
		{Sets: 4, Experts: 72, Ranks: 12, Slots: 8, Spare: 3},
		{Sets: 16, Experts: 96, Ranks: 24, Slots: 5, Spare: 2},
		{Sets: 2, Experts: 40, Ranks: 6, Slots: 9, Spare: 1},
	}
	const span = 2500 * time.Millisecond
	for _, shape := range shapes {
		for _, each := range []time.Duration{10 * time.Millisecond, 80 * time.Millisecond, 400 * time.Millisecond, 1200 * time.Millisecond} {
			t.Run(fmt.Sprint(shape, each), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(7, uint64(shape.Sets)))
				l, err := NewLayers(shape, LayersConfig{LoadTime: each})
				if err != nil {
					t.Fatal(err)
				}
				counts := zipfCounts(rng, shape, 1.2)
				l.Observe(20, counts)
				best := l.Skew(inTurn(shape))
				for _, size := range []int{1, 2, 4, 8, shape.Sets * max(shape.Spare, 1)} {
					fixed := relief(t, l, inTurn(shape), span, func(_ timing, plans []plan) int { return min(size, len(plans)-1) })
					best = min(best, fixed)
				}
				got := relief(t, l, inTurn(shape), span, timing.cheapest)
				if got > 1.07*best {
					t.Errorf("mean skew %.2f, with the best fixed size %.2f", got, best)
				}
			})
		}
	}
}

// Of three sets of layers one keeps the group waiting. A rank copies experts of that one
// only, and the copies of the others' experts do not delay the relief.
func TestCopiesGoWhereTheGroupWaits(t *testing.T) {
	shape := Shape{Sets: 3, Experts: 48, Ranks: 8, Slots: 8, Spare: 4}
	l, err := NewLayers(shape, LayersConfig{LoadTime: 400 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	even := slices.Repeat([]float64{100}, shape.Experts)
	skewed := zipf(rand.New(rand.NewPCG(2, 1)), shape.Experts, 1.3)
	l.Observe(20, [][]float64{even, skewed, even})
	change := l.Plan(inTurn(shape), true)
	if change == nil || change.Loads != 1 {
		t.Fatalf("not a change of one copy each: %+v", change)
	}
	for _, set := range []int{0, 2} {
		for rank, experts := range change.Maps[set] {
			if !slices.Equal(experts, inTurn(shape)[set][rank]) {
				t.Errorf("set %d: rank %d holds %v", set, rank, experts)
			}
		}
	}
}

// Each change waits for passes that take most of a second, as with one rank many times slower.
// The first change then copies more than where passes are short, and less of the time goes by
// between changes.
func TestLongPassesMakeLargerChanges(t *testing.T) {
	shape := Shape{Sets: 3, Experts: 96, Ranks: 12, Slots: 11, Spare: 4}
	l, err := NewLayers(shape, LayersConfig{LoadTime: 80 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(3, 1))
	l.Observe(20, [][]float64{zipf(rng, 96, 1.3), zipf(rng, 96, 1.3), zipf(rng, 96, 1.3)})
	paces := slices.Repeat([]float64{1}, shape.Ranks)
	paces[5] = 12
	l.ObservePaces(paces)
	loads := func(change time.Duration) int {
		l.SetSwitchTime(change)
		return l.Plan(inTurn(shape), true).Loads
	}
	if short, long := loads(50*time.Millisecond), loads(900*time.Millisecond); long <= short {
		t.Errorf("a rank copies %d experts with short passes, %d with long ones", short, long)
	}
}
