package balance

import (
	"math/rand/v2"
	"testing"
)

// drawTokens draws the tokens of some passes, each of which chooses choicesPerPass experts of a
// set.
func drawTokens(rng *rand.Rand, popularity [][]float64, passes, choicesPerPass int) [][]float64 {
	counts := make([][]float64, len(popularity))
	for i, set := range popularity {
		counts[i] = make([]float64, len(set))
		sum := 0.0
		for _, p := range set {
			sum += p
		}
		for range passes * choicesPerPass {
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

func zipfFractions(rng *rand.Rand, sets, experts int, skew float64) [][]float64 {
	return normalizeSets(zipfCounts(rng, Shape{LayerSets: sets, Experts: experts}, skew))
}

// Guards against noise that is taken for a change. With a constant popularity, the average must be
// far closer to it than a single pass.
func TestPopularityThroughNoise(t *testing.T) {
	for _, choicesPerPass := range []int{100, 480, 3000} {
		rng := rand.New(rand.NewPCG(4, uint64(choicesPerPass)))
		truth := zipfFractions(rng, 3, 96, 1.2)
		p := popularityTracker{}
		for range 200 {
			passes := 1 + rng.IntN(4)
			p.observe(int64(passes), drawTokens(rng, truth, passes, choicesPerPass))
			if p.passes < 1 {
				t.Fatal("the average represents less than one pass")
			}
		}
		if p.passes < maxAveragedPasses {
			t.Errorf("%d choices a pass: noise was taken for a change", choicesPerPass)
		}
		onePass := meanDistance(truth, normalizeSets(drawTokens(rng, truth, 1, choicesPerPass)))
		if d := meanDistance(truth, p.fractions); d > onePass/3 {
			t.Errorf("%d choices a pass: the average is off by %.3f, one pass by %.3f", choicesPerPass, d, onePass)
		}
	}
}

func normalizeSets(tokens [][]float64) [][]float64 {
	for i := range tokens {
		tokens[i] = normalize(tokens[i])
	}
	return tokens
}

// Half of the popularity changes in the middle of a sample. Two samples later the average must be
// that of the new popularity, since a map made for the old one does not serve it.
func TestPopularityChangesAtOnce(t *testing.T) {
	for _, choicesPerPass := range []int{480, 3000} {
		rng := rand.New(rand.NewPCG(9, uint64(choicesPerPass)))
		before, other := zipfFractions(rng, 3, 96, 1.2), zipfFractions(rng, 3, 96, 1.2)
		after := make([][]float64, len(before))
		for i := range after {
			after[i] = make([]float64, len(before[i]))
			for e := range after[i] {
				after[i][e] = 0.5*before[i][e] + 0.5*other[i][e]
			}
		}
		p := popularityTracker{}
		for range 30 {
			p.observe(3, drawTokens(rng, before, 3, choicesPerPass))
		}
		mixed := drawTokens(rng, before, 1, choicesPerPass)
		for i, set := range drawTokens(rng, after, 2, choicesPerPass) {
			for e, n := range set {
				mixed[i][e] += n
			}
		}
		p.observe(3, mixed)
		p.observe(3, drawTokens(rng, after, 3, choicesPerPass))
		p.observe(3, drawTokens(rng, after, 3, choicesPerPass))
		if fromOld, fromNew := meanDistance(before, p.fractions), meanDistance(after, p.fractions); fromNew > fromOld/2 {
			t.Errorf("%d choices a pass: %.3f from the new popularity, %.3f from the old", choicesPerPass, fromNew, fromOld)
		}
	}
}
