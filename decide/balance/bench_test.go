package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkPlan measures one decision after an abrupt change of popularity.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct {
		shape    Shape
		skew     float64
		copyTime time.Duration
	}{
		{Shape{LayerSets: 3, Experts: 96, Ranks: 12, SlotsPerRank: 11, MaxNewExperts: 4}, 1.3, 400 * time.Millisecond},
		{Shape{LayerSets: 4, Experts: 72, Ranks: 12, SlotsPerRank: 8, MaxNewExperts: 3}, 1.3, 100 * time.Millisecond},
		{Shape{LayerSets: 16, Experts: 96, Ranks: 24, SlotsPerRank: 5, MaxNewExperts: 2}, 0.94, 76 * time.Millisecond},
		{Shape{LayerSets: 8, Experts: 252, Ranks: 63, SlotsPerRank: 5, MaxNewExperts: 2}, 0.66, 14 * time.Millisecond},
		{Shape{LayerSets: 16, Experts: 256, Ranks: 256, SlotsPerRank: 2, MaxNewExperts: 1}, 0.66, 100 * time.Millisecond},
	} {
		b.Run(fmt.Sprint(c.shape), func(b *testing.B) {
			l, err := NewLayerPlanner(c.shape, LayerPlannerConfig{CopyTime: c.copyTime})
			if err != nil {
				b.Fatal(err)
			}
			rng := rand.New(rand.NewPCG(1, 1))
			counts := zipfCounts(rng, c.shape, c.skew)
			l.Observe(20, counts)
			maps := roundRobinMaps(c.shape)
			for b.Loop() {
				if l.Plan(maps, true) == nil {
					b.Fatal("no change")
				}
			}
		})
	}
}
