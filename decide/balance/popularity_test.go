package balance

import (
	"math/rand/v2"
	"testing"
)

// choices draws the tokens of some passes, each of which chooses so many experts of a set.
func choices(rng *rand.Rand, popularity [][]float64, passes, picks int) [][]float64 {
	counts := make([][]float64, len(popularity))
	for i, set := range popularity {
		counts[i] = make([]float64, len(set))
		sum := 0.0
		for _, p := range set {
			sum += p
		}
		for range passes * picks {
			at := rng.Float64() * sum
			expert := 0
			for at -= set[0]; at > 0 && expert < len(set)-1; at -= set[expert] {
				expert++
			}
			counts[i][expert]++
		}
	}
	return counts
}

func zipfSets(rng *rand.Rand, sets, experts int, skew float64) [][]float64 {
	return sampleOf(zipfCounts(rng, Shape{Sets: sets, Experts: experts}, skew))
}

// A popularity that stays is seen through the noise of single passes: nothing counts as a
// change, and the average comes far closer to the truth than what was seen last.
func TestPopularityThroughNoise(t *testing.T) {
	for _, picks := range []int{100, 480, 3000} {
		rng := rand.New(rand.NewPCG(4, uint64(picks)))
		truth := zipfSets(rng, 3, 96, 1.2)
		p := popularity{}
		for range 200 {
			passes := 1 + rng.IntN(4)
			p.observe(int64(passes), choices(rng, truth, passes, picks))
			if p.passes < 1 {
				t.Fatal("the average stands for nothing")
			}
		}
		if p.passes < mostPasses {
			t.Errorf("%d choices a pass: noise was taken for a change", picks)
		}
		one := distance(truth, sampleOf(choices(rng, truth, 1, picks)))
		if d := distance(truth, p.parts); d > one/3 {
			t.Errorf("%d choices a pass: the average is off by %.3f, one pass by %.3f", picks, d, one)
		}
	}
}

func sampleOf(tokens [][]float64) [][]float64 {
	for i := range tokens {
		tokens[i] = shares(tokens[i])
	}
	return tokens
}

// Half of what is liked changes in the middle of a sample. Two samples later the average is
// of the new popularity: a map made by it does not serve the old one.
func TestPopularityChangesAtOnce(t *testing.T) {
	for _, picks := range []int{480, 3000} {
		rng := rand.New(rand.NewPCG(9, uint64(picks)))
		before, other := zipfSets(rng, 3, 96, 1.2), zipfSets(rng, 3, 96, 1.2)
		after := make([][]float64, len(before))
		for i := range after {
			after[i] = make([]float64, len(before[i]))
			for e := range after[i] {
				after[i][e] = 0.5*before[i][e] + 0.5*other[i][e]
			}
		}
		p := popularity{}
		for range 30 {
			p.observe(3, choices(rng, before, 3, picks))
		}
		mixed := choices(rng, before, 1, picks)
		for i, set := range choices(rng, after, 2, picks) {
			for e, n := range set {
				mixed[i][e] += n
			}
		}
		p.observe(3, mixed)
		p.observe(3, choices(rng, after, 3, picks))
		p.observe(3, choices(rng, after, 3, picks))
		if old, is := distance(before, p.parts), distance(after, p.parts); is > old/2 {
			t.Errorf("%d choices a pass: %.3f from the new popularity, %.3f from the old", picks, is, old)
		}
	}
}
