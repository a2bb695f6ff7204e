package balance

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// rankWork is what the ranks report of a placement, each with its pace.
func rankWork(p *Placement, d Demand) []RankWork {
	tokens, times := p.Loads(d.Popularity), p.Times(d)
	work := make([]RankWork, len(tokens))
	for rank := range work {
		work[rank] = RankWork{Tokens: tokens[rank] * 1e6, Time: time.Duration(times[rank] * float64(time.Second))}
	}
	return work
}

// runBalancer observes and decides so many times, a second apart, and returns the experts moved.
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

// oneSlowRank returns the paces of ranks that are all alike but for one.
func oneSlowRank(ranks, rank int, slowdown float64) []float64 {
	slowdowns := Demand{}.slowdownsOf(ranks)
	slowdowns[rank] = slowdown
	return slowdowns
}

// One accelerator is throttled and takes 1.3 times as long for each token. By tokens all is
// even, and every step of the group is 1.3 times as long. The experts must be placed by time.
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

// A rank stalls for two seconds and goes on. Its experts stay where they are: to load them
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

// A rank that gives no times, and reports of too few ranks, say nothing of any pace.
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

// Whatever the popularity and however slow each rank, no step gets longer by a placement
// that was meant to shorten it, and every expert keeps a replica.
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

// One rank takes 8 times as long for good. Its experts cannot be moved away altogether, so
// every step waits for it until somebody replaces it: it must be named. One that stalls for
// two observations, or is slower by less than the bound, must not be: nobody is woken for it.
func TestRankBeyondTheBoundIsNamed(t *testing.T) {
	for _, c := range []struct {
		slowdown float64
		times    int
		named    bool
	}{{8, 5, true}, {8, 2, false}, {2.5, 5, false}} {
		popularity := zipfPopularity(1, 64, 0.8)
		start, err := PlaceFromScratch(Demand{Popularity: popularity}, 64, 2)
		if err != nil {
			t.Fatal(err)
		}
		b := New(Config{}, start, 0)
		runBalancer(b, Demand{Popularity: popularity}, 1, 5)
		runBalancer(b, Demand{Popularity: popularity, Slowdowns: oneSlowRank(64, 17, c.slowdown)}, 6, c.times)
		named := b.SlowRanks()
		if (len(named) == 1) != c.named {
			t.Errorf("%v times slower in %d observations: %v", c.slowdown, c.times, named)
		}
		if c.named && (len(named) != 1 || named[0].Rank != 17 || named[0].Slowdown < 7.9 || named[0].Slowdown > 8.1) {
			t.Errorf("%v", named)
		}
	}
}
