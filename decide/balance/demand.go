package balance

// Demand is the work that a placement has to carry and the speed of the ranks that carry it.
type Demand struct {
	// Popularity is the fraction of all tokens that each expert receives.
	Popularity []float64
	// Slowdowns is the time that each rank takes for a token relative to a typical rank: 1.3 for a
	// rank that is a third slower. Nil when all ranks are alike.
	Slowdowns []float64
}

// Stretch returns the time of a step relative to that of an ideal placement, in which all ranks
// finish at the same time; 1 is perfect. When all ranks are alike it is the skew of their loads.
//
// The skew of the ranks' times is no basis for decisions: it also falls when the waiting ranks are
// given more work, which does not make steps shorter.
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

// idealTime returns the time in which all ranks together do the work, each at its own speed.
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

// slowdownsOf returns the slowdown of each rank, 1 for all when none are known.
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
