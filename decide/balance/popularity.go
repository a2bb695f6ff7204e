package balance

import "math"

// popularityTracker tracks how often the experts of all sets of layers are chosen.
//
// Each pass chooses a few dozen experts per rank, so that counts of a few passes are noisy, and
// popularity can change abruptly every few seconds. If noise and changes were not told apart,
// experts would be copied because of noise, and the average would mix the popularity before and
// after a change and produce maps that fit neither. The noise is measured, so that a change is
// detected by exceeding it, whatever the size of the group.
type popularityTracker struct {
	// fractions holds each expert's fraction of all tokens, by set.
	fractions [][]float64
	// passes is the number of passes that the average represents.
	passes float64
	// noise is the average distance of one pass from the average popularity; zero while unknown.
	noise float64
	// isExpected means that nothing was observed yet, and fractions were recorded earlier.
	isExpected bool
}

const (
	// maxAveragedPasses limits the number of passes that are averaged: with more, the average lags
	// behind slow drift; with fewer, it is dominated by noise.
	maxAveragedPasses = 32
	// minChangeDistance is the distance, as a fraction of all tokens, up to which nothing counts as
	// a change.
	minChangeDistance = 0.05
	// changeToNoiseRatio is how many times the expected distance counts as a change. The distances
	// of samples that differ by noise alone vary by a few hundredths of their mean.
	changeToNoiseRatio = 2
	// noiseWeight is the weight of the latest distance in the moving average of the noise.
	noiseWeight = 0.1
	// initialNoise is used as the noise of one pass until it is known.
	initialNoise = 0.2
)

// expect sets a popularity that was recorded earlier, unless one was observed. It counts as one pass,
// so that the first sample outweighs it.
func (p *popularityTracker) expect(tokens [][]float64) {
	if p.fractions != nil {
		return
	}
	expected := normalizeAll(tokens)
	if expected == nil {
		return
	}
	p.fractions, p.passes, p.isExpected = expected, 1, true
}

// observe records the tokens that each expert received in some passes, by set.
func (p *popularityTracker) observe(passes int64, tokens [][]float64) {
	sample := normalizeAll(tokens)
	if sample == nil {
		return
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
	// The distance from a popularity of long ago is no noise.
	if !p.isExpected {
		p.learnNoise(d / scale)
	}
	p.isExpected = false
	p.passes = min(p.passes+n, maxAveragedPasses)
	weight := min(n/p.passes, 1)
	for i, set := range p.fractions {
		for expert := range set {
			set[expert] += weight * (sample[i][expert] - set[expert])
		}
	}
}

// learnNoise adds the distance of one pass to the moving average of the noise.
func (p *popularityTracker) learnNoise(distance float64) {
	if p.noise == 0 {
		p.noise = distance
	}
	p.noise += noiseWeight * (distance - p.noise)
}

// expectedNoise returns the measured noise of one pass, or initialNoise while it is unknown.
func (p *popularityTracker) expectedNoise() float64 {
	if p.noise == 0 {
		return initialNoise
	}
	return p.noise
}

// reset restarts the average. The sample in which the change was detected spans both sides of the
// change, and therefore counts as one pass only.
func (p *popularityTracker) reset(sample [][]float64) {
	p.fractions, p.passes, p.isExpected = sample, 1, false
}

// normalizeAll returns the fractions of all sets, or nil if one of them has no tokens.
func normalizeAll(tokens [][]float64) [][]float64 {
	fractions := make([][]float64, len(tokens))
	for i, set := range tokens {
		if fractions[i] = normalize(set); fractions[i] == nil {
			return nil
		}
	}
	return fractions
}

// normalize returns the fraction of all tokens that each expert received; nil if there are none.
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

// meanDistance returns the mean distance between two popularities over all sets.
func meanDistance(a, b [][]float64) float64 {
	sum := 0.0
	for i := range a {
		sum += distance(a[i], b[i])
	}
	return sum / float64(len(a))
}

// distance returns the distance between two popularities, as a fraction of all tokens.
func distance(a, b []float64) float64 {
	sum := 0.0
	for expert := range a {
		sum += math.Abs(a[expert] - b[expert])
	}
	return sum / 2
}
