package balance

// Demand is what a placement has to carry, and how fast the ranks that carry it are.
type Demand struct {
	// Popularity is the part of all tokens that each expert gets.
	Popularity []float64
	// Slowdowns is the time that each rank takes for a token, in that of a usual one: 1.3 for
	// a rank that is a third slower. Nil when all are alike.
	Slowdowns []float64
}

// Stretch is the time of a step over that of an ideal placement, in which all ranks end
// at once; 1 is perfect. With ranks all alike it is the skew of their loads.
//
// The skew of the ranks' times would not do for decisions: it also falls when the ranks
// that wait are given more to do, which makes no step shorter.
func (d Demand) Stretch(p *Placement) float64 {
	ideal := d.idealTime(p.Ranks)
	if ideal == 0 {
		return 1
	}
	peak := 0.0
	for _, time := range p.Times(d) {
		peak = max(peak, time)
	}
	return peak / ideal
}

// idealTime is the time in which all ranks together, each as fast as it is, do the work.
func (d Demand) idealTime(ranks int) float64 {
	work := 0.0
	for _, fraction := range d.Popularity {
		work += fraction
	}
	speed := 0.0
	for _, slowdown := range d.slowdownsOf(ranks) {
		speed += 1 / slowdown
	}
	return work / speed
}

func (d Demand) slowdownsOf(ranks int) []float64 {
	if d.Slowdowns != nil {
		return d.Slowdowns
	}
	slowdowns := make([]float64, ranks)
	for rank := range slowdowns {
		slowdowns[rank] = 1
	}
	return slowdowns
}
