package balance

import "slices"

// Improve returns a better placement for a demand that differs from p by at most maxMoves moves. It
// stops as soon as the stretch is at or below the target. It does not modify p.
//
// When popularity has drifted from the one that the placement was made for, a few moves restore the
// balance, where a placement from scratch would move nearly every expert. Each round takes the
// busiest rank and applies the change that relieves it most: another replica of one of its experts
// in place of a replica that another rank can spare; a lighter replica in place of one that it can
// spare itself; or an exchange of one of its replicas for a lighter one of another rank. The search
// ends when a round finds no improvement.
func Improve(p *Placement, d Demand, target float64, maxMoves int) *Placement {
	s := newSearch(p.Clone(), d)
	for maxMoves > 0 {
		hot, peak := s.busiest()
		if peak <= target*s.idealTime {
			break
		}
		best := s.bestChange(hot, peak, maxMoves)
		if best.loads == 0 {
			break
		}
		s.apply(best)
		maxMoves -= best.loads
	}
	return s.p
}

// search is a placement with the data that is needed to evaluate changes quickly.
type search struct {
	p          *Placement
	popularity []float64
	slowdowns  []float64 // by rank
	replicas   []int32
	times      []float64 // by rank
	idealTime  float64
	// busiestHolders holds, by expert, the two busiest ranks that hold it once one of its replicas
	// is dropped.
	busiestHolders []holderTimes
	// copyLimit limits the experts that ranks copy; nil for no limit.
	copyLimit *copyLimit
}

// holderTimes holds the times of the two busiest ranks that hold an expert, and which rank is the
// busiest. The times are those after one replica is dropped and each rank takes over a share for
// each replica that it holds.
type holderTimes struct {
	first, second float64
	rank          int
}

func newSearch(p *Placement, d Demand) *search {
	s := &search{
		p:              p,
		popularity:     d.Popularity,
		slowdowns:      d.slowdownsOf(p.Ranks),
		replicas:       p.Replicas(),
		times:          p.Times(d),
		busiestHolders: make([]holderTimes, p.Experts),
		idealTime:      d.idealTime(p.Ranks),
	}
	s.updateBusiestHolders()
	return s
}

// updateBusiestHolders computes busiestHolders anew. It runs once per round, so that the cost of
// evaluating a spare replica does not depend on the number of replicas.
//
// A rank that holds an expert twice takes over two shares when a replica on another rank is
// dropped. If it were counted as one share, the rank could become busier than the busiest rank was,
// and a move meant to shorten the group's steps would lengthen them.
func (s *search) updateBusiestHolders() {
	for expert := range s.busiestHolders {
		s.busiestHolders[expert] = holderTimes{rank: -1}
	}
	for rank := range s.times {
		held := s.p.rankSlots(rank)
		for i, expert := range held {
			// Dropping a replica of an expert that receives no tokens adds no load to its other
			// holders.
			if s.replicas[expert] < 2 || s.popularity[expert] == 0 || slices.Contains(held[:i], expert) {
				continue
			}
			extra := float64(countReplicas(held, expert)) * s.extraLoadPerReplica(expert)
			s.busiestHolders[expert].add(rank, s.times[rank]+s.slowdowns[rank]*extra)
		}
	}
}

// add records the time of one holder, if it is among the two busiest.
func (h *holderTimes) add(rank int, time float64) {
	switch {
	case h.rank < 0 || time > h.first:
		*h = holderTimes{first: time, second: h.first, rank: rank}
	case time > h.second:
		h.second = time
	}
}

// maxExcept returns the time of the busiest holder other than the given rank.
func (h holderTimes) maxExcept(rank int) float64 {
	if h.rank == rank {
		return h.second
	}
	return h.first
}

// extraLoadPerReplica returns the load that each remaining replica of an expert gains when one is
// dropped.
func (s *search) extraLoadPerReplica(expert int32) float64 {
	n := float64(s.replicas[expert])
	return s.popularity[expert]/(n-1) - s.popularity[expert]/n
}

// timeAfterDropping returns the time of a rank that drops one of its replicas of an expert and
// takes over its share of the load for each other replica that it holds.
func (s *search) timeAfterDropping(rank int, expert int32) float64 {
	remaining := countReplicas(s.p.rankSlots(rank), expert) - 1
	return s.times[rank] - s.slowdowns[rank]*(s.unitLoad(expert)-float64(remaining)*s.extraLoadPerReplica(expert))
}

// countReplicas returns how many of the held replicas are of the expert.
func countReplicas(held []int32, expert int32) int {
	n := 0
	for _, e := range held {
		if e == expert {
			n++
		}
	}
	return n
}

// busiest returns the busiest rank and its time.
func (s *search) busiest() (int, float64) {
	hot := 0
	for rank, time := range s.times {
		if time > s.times[hot] {
			hot = rank
		}
	}
	return hot, s.times[hot]
}

// change is one step of the search: the slot gets the expert, and in an exchange the other slot
// gets the expert that was in the first.
type change struct {
	slot       int
	expert     int32
	otherSlot  int // second slot of an exchange; -1 for none
	loads      int // experts to load; 0 for no change
	gain       float64
	isExchange bool
}

// isBetterThan prefers the change that relieves the busiest rank most per expert loaded.
func (c change) isBetterThan(other change) bool {
	return other.loads == 0 || c.gain/float64(c.loads) > other.gain/float64(other.loads)
}

// unitLoad returns the load of one replica of an expert.
func (s *search) unitLoad(expert int32) float64 {
	return s.popularity[expert] / float64(s.replicas[expert])
}

// bestChange returns the best change that relieves the busiest rank, or one without loads if there
// is none.
func (s *search) bestChange(hot int, peak float64, maxMoves int) change {
	best := change{}
	for i, expert := range s.p.rankSlots(hot) {
		slot := hot*s.p.SlotsPerRank + i
		s.tryAddReplica(&best, hot, peak, expert)
		s.tryReplaceReplica(&best, slot, peak, expert)
		if maxMoves >= 2 {
			s.tryExchange(&best, peak, slot, expert)
		}
	}
	return best
}

// tryAddReplica looks for a spare replica on another rank to replace with another replica of the
// busiest rank's expert.
func (s *search) tryAddReplica(best *change, hot int, peak float64, expert int32) {
	n := float64(s.replicas[expert])
	relief := s.slowdowns[hot] * (s.popularity[expert]/n - s.popularity[expert]/(n+1))
	added := s.popularity[expert] / (n + 1)
	for slot, spare := range s.p.Slots {
		rank := slot / s.p.SlotsPerRank
		if spare == expert || s.replicas[spare] < 2 || rank == hot || s.holds(rank, expert) {
			continue
		}
		after := s.times[rank] - s.slowdowns[rank]*(s.unitLoad(spare)-added)
		c := change{slot: slot, expert: expert, otherSlot: -1, loads: 1, gain: min(relief, peak-after)}
		if c.gain <= minGainFraction*s.idealTime || !c.isBetterThan(*best) || !s.copyLimit.allows(s.p, rank, expert) {
			continue
		}
		// The expensive part comes last: the load that moves to the other holders of the spare.
		after = s.timeAfterDropping(rank, spare) + s.slowdowns[rank]*added
		c.gain = min(c.gain, peak-after, peak-s.busiestHolders[spare].maxExcept(rank))
		if c.gain > minGainFraction*s.idealTime && c.isBetterThan(*best) {
			*best = c
		}
	}
}

// tryReplaceReplica looks for a lighter expert for the busiest rank's slot, in place of a replica
// whose load the other replicas of its expert can take over.
func (s *search) tryReplaceReplica(best *change, slot int, peak float64, expert int32) {
	if s.replicas[expert] < 2 {
		return
	}
	hot := slot / s.p.SlotsPerRank
	maxGain := peak - s.busiestHolders[expert].maxExcept(hot)
	hotTime := s.timeAfterDropping(hot, expert)
	for other := range s.popularity {
		lighter := int32(other)
		diff := peak - hotTime - s.slowdowns[hot]*s.popularity[lighter]/float64(s.replicas[lighter]+1)
		if diff <= 0 || lighter == expert || s.holds(hot, lighter) {
			continue
		}
		c := change{slot: slot, expert: lighter, otherSlot: -1, loads: 1, gain: min(diff, maxGain)}
		if c.gain > minGainFraction*s.idealTime && c.isBetterThan(*best) && s.copyLimit.allows(s.p, hot, lighter) {
			*best = c
		}
	}
}

// minGainFraction is the minimum relief, as a fraction of the ideal time, for which a replica is
// loaded. Smaller gains are lost in the sampling noise.
const minGainFraction = 0.002

// tryExchange looks for a lighter replica on another rank to exchange with the busiest rank's.
func (s *search) tryExchange(best *change, peak float64, slot int, expert int32) {
	ownLoad := s.unitLoad(expert)
	hot := slot / s.p.SlotsPerRank
	for otherSlot, lighter := range s.p.Slots {
		rank := otherSlot / s.p.SlotsPerRank
		diff := ownLoad - s.unitLoad(lighter)
		if diff <= 0 || rank == hot || s.holds(rank, expert) || s.holds(hot, lighter) {
			continue
		}
		gain := min(s.slowdowns[hot]*diff, peak-s.times[rank]-s.slowdowns[rank]*diff)
		c := change{slot: slot, expert: lighter, otherSlot: otherSlot, loads: 2, gain: gain, isExchange: true}
		if gain > minGainFraction*s.idealTime && c.isBetterThan(*best) && s.copyLimit.allows(s.p, hot, lighter) && s.copyLimit.allows(s.p, rank, expert) {
			*best = c
		}
	}
}

func (s *search) holds(rank int, expert int32) bool {
	return slices.Contains(s.p.rankSlots(rank), expert)
}

func (s *search) apply(c change) {
	if c.isExchange {
		moved := s.p.Slots[c.slot]
		s.setSlot(c.slot, c.expert)
		s.setSlot(c.otherSlot, moved)
	} else {
		s.setSlot(c.slot, c.expert)
	}
	s.times = s.p.Times(Demand{Popularity: s.popularity, Slowdowns: s.slowdowns})
	s.updateBusiestHolders()
}

// setSlot replaces the expert in a slot.
func (s *search) setSlot(slot int, expert int32) {
	rank := slot / s.p.SlotsPerRank
	s.copyLimit.addToTotal(s.p, rank, -1)
	old := s.p.Slots[slot]
	s.replicas[old]--
	s.p.Slots[slot] = expert
	s.replicas[expert]++
	s.copyLimit.addToTotal(s.p, rank, 1)
}
