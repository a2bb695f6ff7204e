package balance

// Demand is what a placement has to carry, and how fast the ranks that carry it are.
type Demand struct {
	// Popularity is the part of all tokens that each expert gets.
	Popularity []float64
	// Pace is the time that each rank takes for a token, in that of a usual one: 1.3 for
	// a rank that is a third slower. Nil when all are alike.
	Pace []float64
}

// Stretch is the time of a step over that of an ideal placement, in which all ranks end
// at once; 1 is perfect. With ranks all alike it is the skew of their loads.
//
// The skew of the ranks' times would not do for decisions: it also falls when the ranks
// that wait are given more to do, which makes no step shorter.
func (d Demand) Stretch(p *Placement) float64 {
	ideal := d.ideal(p.Ranks)
	if ideal == 0 {
		return 1
	}
	peak := 0.0
	for _, time := range p.Times(d) {
		peak = max(peak, time)
	}
	return peak / ideal
}

// ideal is the time in which all ranks together, each as fast as it is, do the work.
func (d Demand) ideal(ranks int) float64 {
	work := 0.0
	for _, part := range d.Popularity {
		work += part
	}
	speed := 0.0
	for _, pace := range d.paces(ranks) {
		speed += 1 / pace
	}
	return work / speed
}

func (d Demand) paces(ranks int) []float64 {
	if d.Pace != nil {
		return d.Pace
	}
	pace := make([]float64, ranks)
	for rank := range pace {
		pace[rank] = 1
	}
	return pace
}
