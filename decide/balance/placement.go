// Package balance decides where the replicas of experts stand as their popularity
// drifts.
//
// All ranks of a group advance in lock-step, so the busiest rank sets the time of
// every step. A hot expert is given several replicas, among which its tokens are
// split evenly; the rest of the work is to stand replicas on ranks so that the ranks
// are evenly busy, and to move few of them: each move loads an expert's weights
// through a rate-limited store. The package holds no clock, socket or goroutine.
package balance

import (
	"github.com/go-faster/errors"
)

// Placement says which expert stands in each slot of each rank. Slot s of rank r is
// element r*SlotsPerRank+s. It is a value: Clone before changing it.
type Placement struct {
	Experts      int
	Ranks        int
	SlotsPerRank int
	Slots        []int32
}

// ErrShape says that experts, ranks and slots do not fit together.
var ErrShape = errors.New("every expert needs a slot")

// NewPlacement spreads experts over the slots in turn, as a group starts before it
// knows anything of their popularity.
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

// Clone returns a copy that shares nothing.
func (p *Placement) Clone() *Placement {
	c := *p
	c.Slots = append([]int32(nil), p.Slots...)
	return &c
}

// Complete says that every expert has a replica. A map without one would leave its
// tokens nowhere to go.
func (p *Placement) Complete() bool {
	for _, n := range p.Replicas() {
		if n == 0 {
			return false
		}
	}
	return true
}

// Replicas counts the replicas of each expert.
func (p *Placement) Replicas() []int32 {
	replicas := make([]int32, p.Experts)
	for _, expert := range p.Slots {
		replicas[expert]++
	}
	return replicas
}

// Loads returns how busy each rank is when experts are as popular as given.
func (p *Placement) Loads(popularity []float64) []float64 {
	replicas := p.Replicas()
	loads := make([]float64, p.Ranks)
	for i, expert := range p.Slots {
		loads[i/p.SlotsPerRank] += popularity[expert] / float64(replicas[expert])
	}
	return loads
}

// Times returns how long each rank takes for a demand, in the time that a rank of pace 1
// takes for all tokens.
func (p *Placement) Times(d Demand) []float64 {
	times := p.Loads(d.Popularity)
	for rank, slowdown := range d.Slowdowns {
		times[rank] *= slowdown
	}
	return times
}

// Skew returns the busiest rank's load over the mean; 1 is perfect.
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

// Moves counts the slots whose expert must be loaded to come from one placement to
// another: an expert that its rank holds already, in whichever slot, is not loaded.
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

func (p *Placement) rankSlots(r int) []int32 {
	return p.Slots[r*p.SlotsPerRank : (r+1)*p.SlotsPerRank]
}
