package balance

import "math"

// popularity follows how often the experts of all sets of layers are chosen.
//
// Load: each pass chooses a few dozen experts a rank, so that what is seen of some passes is
// noisy; and popularity that changes at once, every few seconds. Harm prevented: experts
// copied after noise, and an average that mixes the popularity before a change with the one
// after it and places for neither. The noise is measured, so that a change stands out by
// more than it, whatever the size of the group.
type popularity struct {
	// parts are the parts of all tokens of each expert, by set.
	parts [][]float64
	// passes is the number of passes that the average stands for.
	passes float64
	// noise is the usual distance of one pass from the average; zero for unknown.
	noise float64
}

const (
	// mostPasses is the number of passes that are averaged at most: with more, slow drift is
	// followed late, with fewer the average is noise itself.
	mostPasses = 32
	// leastChange is the distance in parts of all tokens up to which nothing counts as a change.
	leastChange = 0.05
	// noiseRatio is how many times farther than usual a change is. The distances of samples
	// that differ by noise alone spread by a few hundredths of their mean.
	noiseRatio = 2
	// noiseWeight is the weight of the newest distance in the usual one.
	noiseWeight = 0.1
	// unknownNoise stands for the noise of one pass until it is known.
	unknownNoise = 0.2
)

// observe takes the tokens that each expert got in some passes, by set.
func (p *popularity) observe(passes int64, tokens [][]float64) {
	sample := make([][]float64, len(tokens))
	for i, set := range tokens {
		if sample[i] = shares(set); sample[i] == nil {
			return
		}
	}
	n := float64(max(passes, 1))
	if p.parts == nil {
		p.parts, p.passes = sample, min(n, mostPasses)
		return
	}
	spread := math.Sqrt(1/n + 1/p.passes)
	d := distance(p.parts, sample)
	if d > leastChange && d > noiseRatio*p.usual()*spread {
		p.change(sample)
		return
	}
	if p.noise == 0 {
		p.noise = d / spread
	}
	p.noise += noiseWeight * (d/spread - p.noise)
	p.passes = min(p.passes+n, mostPasses)
	weight := min(n/p.passes, 1)
	for i, set := range p.parts {
		for expert := range set {
			set[expert] += weight * (sample[i][expert] - set[expert])
		}
	}
}

func (p *popularity) usual() float64 {
	if p.noise == 0 {
		return unknownNoise
	}
	return p.noise
}

// change begins the average anew. The sample in which popularity changed is of both sides of
// the change and stands for one pass only.
func (p *popularity) change(sample [][]float64) {
	p.parts, p.passes = sample, 1
}

// shares returns the parts of all tokens; nil for none.
func shares(tokens []float64) []float64 {
	sum := 0.0
	for _, n := range tokens {
		sum += n
	}
	if sum == 0 {
		return nil
	}
	parts := make([]float64, len(tokens))
	for i, n := range tokens {
		parts[i] = n / sum
	}
	return parts
}

// distance is how far the popularities of all sets are from each other; the mean over the sets.
func distance(a, b [][]float64) float64 {
	sum := 0.0
	for i := range a {
		sum += apart(a[i], b[i])
	}
	return sum / float64(len(a))
}

// apart is how far two popularities are from each other, in parts of all tokens.
func apart(a, b []float64) float64 {
	sum := 0.0
	for expert := range a {
		sum += math.Abs(a[expert] - b[expert])
	}
	return sum / 2
}
