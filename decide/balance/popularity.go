package balance

import "math"

// popularityTracker follows how often the experts of all sets of layers are chosen.
//
// Load: each pass chooses a few dozen experts a rank, so that what is seen of some passes is
// noisy; and popularityTracker that changes at once, every few seconds. Harm prevented: experts
// copied after noise, and an average that mixes the popularityTracker before a change with the one
// after it and places for neither. The noise is measured, so that a change stands out by
// more than it, whatever the size of the group.
type popularityTracker struct {
	// fractions are the fractions of all tokens of each expert, by set.
	fractions [][]float64
	// passes is the number of passes that the average stands for.
	passes float64
	// noise is the usual distance of one pass from the average; zero for unknown.
	noise float64
}

const (
	// maxAveragedPasses is the number of passes that are averaged at most: with more, slow drift is
	// followed late, with fewer the average is noise itself.
	maxAveragedPasses = 32
	// minChangeDistance is the distance in parts of all tokens up to which nothing counts as a change.
	minChangeDistance = 0.05
	// changeToNoiseRatio is how many times farther than usual a change is. The distances of samples
	// that differ by noise alone spread by a few hundredths of their mean.
	changeToNoiseRatio = 2
	// noiseWeight is the weight of the newest distance in the usual one.
	noiseWeight = 0.1
	// initialNoise stands for the noise of one pass until it is known.
	initialNoise = 0.2
)

// observe takes the tokens that each expert got in some passes, by set.
func (p *popularityTracker) observe(passes int64, tokens [][]float64) {
	sample := make([][]float64, len(tokens))
	for i, set := range tokens {
		if sample[i] = normalize(set); sample[i] == nil {
			return
		}
	}
	n := float64(max(passes, 1))
	if p.fractions == nil {
		p.fractions, p.passes = sample, min(n, maxAveragedPasses)
		return
	}
	scale := math.Sqrt(1/n + 1/p.passes)
	d := meanDistance(p.fractions, sample)
	if d > minChangeDistance && d > changeToNoiseRatio*p.expectedNoise()*scale {
		p.reset(sample)
		return
	}
	if p.noise == 0 {
		p.noise = d / scale
	}
	p.noise += noiseWeight * (d/scale - p.noise)
	p.passes = min(p.passes+n, maxAveragedPasses)
	weight := min(n/p.passes, 1)
	for i, set := range p.fractions {
		for expert := range set {
			set[expert] += weight * (sample[i][expert] - set[expert])
		}
	}
}

func (p *popularityTracker) expectedNoise() float64 {
	if p.noise == 0 {
		return initialNoise
	}
	return p.noise
}

// reset begins the average anew. The sample in which popularity changed is of both sides of
// the reset and stands for one pass only.
func (p *popularityTracker) reset(sample [][]float64) {
	p.fractions, p.passes = sample, 1
}

// normalize returns the parts of all tokens; nil for none.
func normalize(tokens []float64) []float64 {
	sum := 0.0
	for _, n := range tokens {
		sum += n
	}
	if sum == 0 {
		return nil
	}
	fractions := make([]float64, len(tokens))
	for i, n := range tokens {
		fractions[i] = n / sum
	}
	return fractions
}

// meanDistance is how far the popularities of all sets are from each other; the mean over the sets.
func meanDistance(a, b [][]float64) float64 {
	sum := 0.0
	for i := range a {
		sum += distance(a[i], b[i])
	}
	return sum / float64(len(a))
}

// distance is how far two popularities are from each other, in parts of all tokens.
func distance(a, b []float64) float64 {
	sum := 0.0
	for expert := range a {
		sum += math.Abs(a[expert] - b[expert])
	}
	return sum / 2
}
