package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkPlan is the time of one decision after popularity has changed at once.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct {
		shape Shape
		skew  float64
		each  time.Duration
	}{
		{Shape{Sets: 3, Experts: 96, Ranks: 12, Slots: 11, Spare: 4}, 1.3, 400 * time.Millisecond},
		{Shape{Sets: 4, Experts: 72, Ranks: 12, Slots: 8, Spare: 3}, 1.3, 100 * time.Millisecond},
		{Shape{Sets: 16, Experts: 96, Ranks: 24, Slots: 5, Spare: 2}, 0.94, 76 * time.Millisecond},
		{Shape{Sets: 8, Experts: 252, Ranks: 63, Slots: 5, Spare: 2}, 0.66, 14 * time.Millisecond},
		{Shape{Sets: 16, Experts: 256, Ranks: 256, Slots: 2, Spare: 1}, 0.66, 100 * time.Millisecond},
	} {
		b.Run(fmt.Sprint(c.shape), func(b *testing.B) {
			l, err := NewLayers(c.shape, LayersConfig{LoadTime: c.each})
			if err != nil {
				b.Fatal(err)
			}
			rng := rand.New(rand.NewPCG(1, 1))
			counts := zipfCounts(rng, c.shape, c.skew)
			l.Observe(20, counts)
			maps := inTurn(c.shape)
			for b.Loop() {
				if l.Plan(maps, true) == nil {
					b.Fatal("no change")
				}
			}
		})
	}
}
