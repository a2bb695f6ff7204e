// Package balance decides on which ranks the replicas of experts are placed as their popularity
// changes.
//
// All ranks of a group advance in lock-step, so the busiest rank determines the time of every step.
// A hot expert is given several replicas, and its tokens are split evenly among them. Replicas are
// placed so that the ranks are evenly busy, with as few moves as possible: each move loads an
// expert's weights through a rate-limited store. The package uses no clock, socket or goroutine.
package balance

import (
	"github.com/go-faster/errors"
)

// Placement says which expert occupies each slot of each rank. Slot s of rank r is element
// r*SlotsPerRank+s. Clone it before changing it.
type Placement struct {
	Experts      int
	Ranks        int
	SlotsPerRank int
	Slots        []int32
}

// ErrShape is returned when there are fewer slots than experts, or no experts, ranks or slots.
var ErrShape = errors.New("every expert needs a slot")

// NewPlacement spreads the experts over the slots in turn. A group starts with this placement,
// before the popularity of its experts is known.
func NewPlacement(experts, ranks, slotsPerRank int) (*Placement, error) {
	if experts < 1 || ranks < 1 || slotsPerRank < 1 || ranks*slotsPerRank < experts {
		return nil, ErrShape
	}
	p := &Placement{
		Experts:      experts,
		Ranks:        ranks,
		SlotsPerRank: slotsPerRank,
		Slots:        make([]int32, ranks*slotsPerRank),
	}
	for rank := range ranks {
		for slot := range slotsPerRank {
			// The second slot of a rank holds an expert far from the first.
			p.Slots[rank*slotsPerRank+slot] = int32((rank + slot*experts/slotsPerRank + slot) % experts)
		}
	}
	if !p.Complete() {
		for i := range p.Slots {
			p.Slots[i] = int32(i % experts)
		}
	}
	return p, nil
}

// Clone returns a deep copy.
func (p *Placement) Clone() *Placement {
	c := *p
	c.Slots = append([]int32(nil), p.Slots...)
	return &c
}

// Complete reports whether every expert has a replica. The tokens of an expert without one could
// not be processed.
func (p *Placement) Complete() bool {
	for _, n := range p.Replicas() {
		if n == 0 {
			return false
		}
	}
	return true
}

// Replicas returns the number of replicas of each expert.
func (p *Placement) Replicas() []int32 {
	replicas := make([]int32, p.Experts)
	for _, expert := range p.Slots {
		replicas[expert]++
	}
	return replicas
}

// Loads returns the load of each rank for the given popularity of the experts.
func (p *Placement) Loads(popularity []float64) []float64 {
	replicas := p.Replicas()
	loads := make([]float64, p.Ranks)
	for i, expert := range p.Slots {
		loads[i/p.SlotsPerRank] += popularity[expert] / float64(replicas[expert])
	}
	return loads
}

// Times returns how long each rank takes for a demand, relative to the time that a rank with
// slowdown 1 takes for all tokens.
func (p *Placement) Times(d Demand) []float64 {
	times := p.Loads(d.Popularity)
	for rank, slowdown := range d.Slowdowns {
		times[rank] *= slowdown
	}
	return times
}

// Skew returns the load of the busiest rank divided by the mean load; 1 is perfect.
func Skew(loads []float64) float64 {
	sum, peak := 0.0, 0.0
	for _, load := range loads {
		sum += load
		peak = max(peak, load)
	}
	if sum == 0 {
		return 1
	}
	return peak * float64(len(loads)) / sum
}

// Moves returns the number of slots whose expert must be loaded to change from one placement to
// another. An expert that the rank already holds, in whichever slot, is not loaded.
func Moves(from, to *Placement) int {
	moves := 0
	for rank := range to.Ranks {
		held := make(map[int32]int)
		for _, expert := range from.rankSlots(rank) {
			held[expert]++
		}
		for _, expert := range to.rankSlots(rank) {
			if held[expert] > 0 {
				held[expert]--
				continue
			}
			moves++
		}
	}
	return moves
}

// rankSlots returns the experts in the slots of one rank.
func (p *Placement) rankSlots(r int) []int32 {
	return p.Slots[r*p.SlotsPerRank : (r+1)*p.SlotsPerRank]
}
