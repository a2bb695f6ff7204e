package balance

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// rankWork returns what the ranks report under a placement, each with its slowdown.
func rankWork(p *Placement, d Demand) []RankWork {
	tokens, times := p.Loads(d.Popularity), p.Times(d)
	work := make([]RankWork, len(tokens))
	for rank := range work {
		work[rank] = RankWork{Tokens: tokens[rank] * 1e6, Time: time.Duration(times[rank] * float64(time.Second))}
	}
	return work
}

// runBalancer observes and decides the given number of times, one second apart, and returns the
// number of experts moved.
func runBalancer(b *Balancer, d Demand, from, times int) int {
	moves := 0
	for i := range times {
		now := time.Duration(from+i) * time.Second
		b.Observe(now, d.Popularity)
		b.ObserveRanks(rankWork(b.Placement(), d))
		before := b.Placement()
		if p, ok := b.Decide(now); ok {
			moves += Moves(before, p)
		}
	}
	return moves
}

// oneSlowRank returns slowdowns of 1 for all ranks but one.
func oneSlowRank(ranks, rank int, slowdown float64) []float64 {
	slowdowns := Demand{}.slowdownsOf(ranks)
	slowdowns[rank] = slowdown
	return slowdowns
}

// One accelerator is throttled and takes 1.3 times as long for each token. The tokens are evenly
// spread, yet every step of the group takes 1.3 times as long. Experts must be placed by time.
func TestSlowRankGetsLess(t *testing.T) {
	popularity := zipfPopularity(1, 256, 0.8)
	start, err := PlaceFromScratch(Demand{Popularity: popularity}, 256, 2)
	if err != nil {
		t.Fatal(err)
	}
	d := Demand{Popularity: popularity, Slowdowns: oneSlowRank(256, 17, 1.3)}
	b := New(Config{}, start, 0)
	before := d.Stretch(start)
	moves := runBalancer(b, d, 1, 15)
	after := d.Stretch(b.Placement())
	t.Logf("stretch %.3f, then %.3f after %d moves", before, after, moves)
	if before < 1.25 || after > 1.05 {
		t.Errorf("stretch %v, then %v", before, after)
	}
	if moves > 32 {
		t.Errorf("%d experts moved for one rank", moves)
	}
}

// A rank stalls for two seconds and then continues. Its experts must not be moved: loading them
// elsewhere and back would cost more steps than the stall.
func TestStalledRankKeepsItsExperts(t *testing.T) {
	popularity := zipfPopularity(1, 256, 0.8)
	start, err := PlaceFromScratch(Demand{Popularity: popularity}, 256, 2)
	if err != nil {
		t.Fatal(err)
	}
	b := New(Config{}, start, 0)
	moves := runBalancer(b, Demand{Popularity: popularity}, 1, 10)
	moves += runBalancer(b, Demand{Popularity: popularity, Slowdowns: oneSlowRank(256, 17, 20)}, 11, 2)
	moves += runBalancer(b, Demand{Popularity: popularity}, 13, 10)
	if moves != 0 {
		t.Errorf("%d experts moved", moves)
	}
}

// Guards against slowdowns derived from reports that have no times or lack ranks.
func TestPacesNeedAllRanks(t *testing.T) {
	for name, report := range map[string][]RankWork{
		"one without tokens": {{Tokens: 10, Time: time.Second}, {}},
		"too few":            {{Tokens: 10, Time: time.Second}},
		"negative":           {{Tokens: 10, Time: time.Second}, {Tokens: 10, Time: -time.Second}},
	} {
		start, err := NewPlacement(2, 2, 1)
		if err != nil {
			t.Fatal(err)
		}
		b := New(Config{}, start, 0)
		for range 2 * slowdownWindow {
			b.ObserveRanks(report)
		}
		if slowdowns := b.Demand().Slowdowns; slowdowns != nil {
			t.Errorf("%s: %v", name, slowdowns)
		}
	}
}

// Guards against a new placement that makes steps longer or loses an expert's last replica, for any
// popularity and any slowdowns.
func TestNoStepGetsLonger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		experts := rapid.IntRange(1, 24).Draw(t, "experts")
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		ranks := rapid.IntRange((experts+slots-1)/slots, 24+experts).Draw(t, "ranks")
		p, err := NewPlacement(experts, ranks, slots)
		if err != nil {
			t.Fatal(err)
		}
		for range 3 {
			d := Demand{Popularity: make([]float64, experts), Slowdowns: make([]float64, ranks)}
			for i := range d.Popularity {
				d.Popularity[i] = float64(rapid.IntRange(0, 100).Draw(t, "tokens"))
			}
			for i := range d.Slowdowns {
				d.Slowdowns[i] = float64(rapid.IntRange(4, 30).Draw(t, "pace")) / 10
			}
			moves := rapid.IntRange(0, 20).Draw(t, "moves")
			better := Improve(p, d, 1, moves)
			if before, after := d.Stretch(p), d.Stretch(better); after > before+1e-9 {
				t.Fatalf("stretch %v became %v", before, after)
			}
			p = Repack(better, d, 1, moves)
			if !better.Complete() || !p.Complete() {
				t.Fatalf("an expert has no replica: %v, %v", better.Slots, p.Slots)
			}
		}
	})
}

// One rank takes 8 times as long permanently. Its experts cannot all be moved away, so every step
// waits for it until it is replaced: it must be reported. A rank that stalls for two observations,
// or whose slowdown is below the limit, must not be reported, since it needs no operator.
func TestRankBeyondTheBoundIsNamed(t *testing.T) {
	for _, c := range []struct {
		slowdown     float64
		times        int
		wantReported bool
	}{{8, 5, true}, {8, 2, false}, {2.5, 5, false}} {
		popularity := zipfPopularity(1, 64, 0.8)
		start, err := PlaceFromScratch(Demand{Popularity: popularity}, 64, 2)
		if err != nil {
			t.Fatal(err)
		}
		b := New(Config{}, start, 0)
		runBalancer(b, Demand{Popularity: popularity}, 1, 5)
		runBalancer(b, Demand{Popularity: popularity, Slowdowns: oneSlowRank(64, 17, c.slowdown)}, 6, c.times)
		reported := b.SlowRanks()
		if (len(reported) == 1) != c.wantReported {
			t.Errorf("%v times slower in %d observations: %v", c.slowdown, c.times, reported)
		}
		if c.wantReported && (len(reported) != 1 || reported[0].Rank != 17 || reported[0].Slowdown < 7.9 || reported[0].Slowdown > 8.1) {
			t.Errorf("%v", reported)
		}
	}
}
