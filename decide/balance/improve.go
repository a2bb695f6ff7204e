package balance

import "slices"

// Improve returns a placement that is better for a demand, with at most so many moves,
// and stops as soon as the stretch is at or under the target. It changes nothing in
// place.
//
// Load: a popularity that has drifted from the one the placement was made for. Harm
// prevented: moving nearly everything, as a fresh placement would, to mend what a few
// moves mend. Each round takes the busiest rank and tries what lightens it most:
// another replica of one of its experts, in place of a replica that can be spared
// elsewhere; a lighter replica in place of one that it can spare itself; or an
// exchange of one of its replicas for a lighter one of another rank. A round
// that finds nothing better ends the search.
func Improve(p *Placement, d Demand, target float64, moves int) *Placement {
	s := newSearch(p.Clone(), d)
	for moves > 0 {
		hot, peak := s.busiest()
		if peak <= target*s.ideal {
			break
		}
		best := s.bestChange(hot, peak, moves)
		if best.cost == 0 {
			break
		}
		s.apply(best)
		moves -= best.cost
	}
	return s.p
}

// search is a placement with what is needed to judge changes quickly.
type search struct {
	p          *Placement
	popularity []float64
	pace       []float64 // of each rank
	replicas   []int32
	times      []float64 // of each rank
	ideal      float64
	// heaviest are, by expert, the two busiest of its holders once one of its replicas
	// is given up.
	heaviest []heaviest
	// limit bounds the experts that ranks copy; nil for no bound.
	limit *copyLimit
}

// heaviest holds the times of an expert's two busiest ranks, as they are when one
// replica fewer stands and each rank takes over a part for each replica it holds, and
// which rank is the busiest.
type heaviest struct {
	first, second float64
	rank          int
}

func newSearch(p *Placement, d Demand) *search {
	s := &search{
		p:          p,
		popularity: d.Popularity,
		pace:       d.paces(p.Ranks),
		replicas:   p.Replicas(),
		times:      p.Times(d),
		heaviest:   make([]heaviest, p.Experts),
		ideal:      d.ideal(p.Ranks),
	}
	s.findHeaviest()
	return s
}

// findHeaviest is done once a round, so that judging a spare replica takes the same
// time however many replicas there are.
//
// A rank that holds an expert twice takes over two parts when a replica elsewhere is
// given up. Counted as one part, the rank could come out busier than the busiest was,
// and the group's steps longer after a move meant to shorten them.
func (s *search) findHeaviest() {
	for expert := range s.heaviest {
		s.heaviest[expert] = heaviest{rank: -1}
	}
	for rank := range s.times {
		held := s.p.rank(rank)
		for i, expert := range held {
			// Whoever holds an expert that nobody chooses takes over nothing.
			if s.replicas[expert] < 2 || s.popularity[expert] == 0 || slices.Contains(held[:i], expert) {
				continue
			}
			more := float64(count(held, expert)) * s.takenOver(expert)
			s.heaviest[expert].add(rank, s.times[rank]+s.pace[rank]*more)
		}
	}
}

func (h *heaviest) add(rank int, time float64) {
	switch {
	case h.rank < 0 || time > h.first:
		*h = heaviest{first: time, second: h.first, rank: rank}
	case time > h.second:
		h.second = time
	}
}

// without is the time of the busiest holder beside a rank.
func (h heaviest) without(rank int) float64 {
	if h.rank == rank {
		return h.second
	}
	return h.first
}

// takenOver is what each replica of an expert gets more when one is given up.
func (s *search) takenOver(expert int32) float64 {
	n := float64(s.replicas[expert])
	return s.popularity[expert]/(n-1) - s.popularity[expert]/n
}

// givenUp is the time of a rank that gives up one of its replicas of an expert, and
// takes over its part for each further one that it holds.
func (s *search) givenUp(rank int, expert int32) float64 {
	further := count(s.p.rank(rank), expert) - 1
	return s.times[rank] - s.pace[rank]*(s.unitLoad(expert)-float64(further)*s.takenOver(expert))
}

func count(held []int32, expert int32) int {
	n := 0
	for _, e := range held {
		if e == expert {
			n++
		}
	}
	return n
}

func (s *search) busiest() (int, float64) {
	hot := 0
	for rank, time := range s.times {
		if time > s.times[hot] {
			hot = rank
		}
	}
	return hot, s.times[hot]
}

// change is one step of the search: the slot gets the expert, and for an exchange the
// other slot gets what stood in the first.
type change struct {
	slot     int
	expert   int32
	other    int // slot of an exchange; -1 for none
	cost     int // experts to be loaded; 0 for no change
	value    float64
	exchange bool
}

// better prefers what lightens the busiest rank most for each expert loaded.
func (c change) better(than change) bool {
	return than.cost == 0 || c.value/float64(c.cost) > than.value/float64(than.cost)
}

// unitLoad is the load of one replica of an expert.
func (s *search) unitLoad(expert int32) float64 {
	return s.popularity[expert] / float64(s.replicas[expert])
}

func (s *search) bestChange(hot int, peak float64, moves int) change {
	best := change{}
	for i, expert := range s.p.rank(hot) {
		slot := hot*s.p.SlotsPerRank + i
		s.tryReplicas(&best, hot, peak, expert)
		s.trySpare(&best, slot, peak, expert)
		if moves >= 2 {
			s.tryExchanges(&best, peak, slot, expert)
		}
	}
	return best
}

// tryReplicas looks for a slot that gives up a spare replica for another of the hot
// rank's expert.
func (s *search) tryReplicas(best *change, hot int, peak float64, expert int32) {
	n := float64(s.replicas[expert])
	relief := s.pace[hot] * (s.popularity[expert]/n - s.popularity[expert]/(n+1))
	added := s.popularity[expert] / (n + 1)
	for slot, spare := range s.p.Slots {
		rank := slot / s.p.SlotsPerRank
		if spare == expert || s.replicas[spare] < 2 || rank == hot || s.holds(rank, expert) {
			continue
		}
		after := s.times[rank] - s.pace[rank]*(s.unitLoad(spare)-added)
		c := change{slot: slot, expert: expert, other: -1, cost: 1, value: min(relief, peak-after)}
		if c.value <= minGain*s.ideal || !c.better(*best) || !s.limit.allows(s.p, rank, expert) {
			continue
		}
		// Only now the costly part: what the holders of the spare must bear.
		after = s.givenUp(rank, spare) + s.pace[rank]*added
		c.value = min(c.value, peak-after, peak-s.heaviest[spare].without(rank))
		if c.value > minGain*s.ideal && c.better(*best) {
			*best = c
		}
	}
}

// trySpare looks for an expert to stand in the hot rank's slot in place of a replica
// that the others of its expert can do without.
func (s *search) trySpare(best *change, slot int, peak float64, expert int32) {
	if s.replicas[expert] < 2 {
		return
	}
	hot := slot / s.p.SlotsPerRank
	room := peak - s.heaviest[expert].without(hot)
	lightened := s.givenUp(hot, expert)
	for other := range s.popularity {
		lighter := int32(other)
		diff := peak - lightened - s.pace[hot]*s.popularity[lighter]/float64(s.replicas[lighter]+1)
		if diff <= 0 || lighter == expert || s.holds(hot, lighter) {
			continue
		}
		c := change{slot: slot, expert: lighter, other: -1, cost: 1, value: min(diff, room)}
		if c.value > minGain*s.ideal && c.better(*best) && s.limit.allows(s.p, hot, lighter) {
			*best = c
		}
	}
}

// minGain is the least relief, as a part of the ideal time, for which a replica is
// loaded; less is lost in the noise of sampling.
const minGain = 0.002

// tryExchanges looks for a lighter replica on another rank to change places with.
func (s *search) tryExchanges(best *change, peak float64, slot int, expert int32) {
	own := s.unitLoad(expert)
	hot := slot / s.p.SlotsPerRank
	for other, lighter := range s.p.Slots {
		rank := other / s.p.SlotsPerRank
		diff := own - s.unitLoad(lighter)
		if diff <= 0 || rank == hot || s.holds(rank, expert) || s.holds(hot, lighter) {
			continue
		}
		value := min(s.pace[hot]*diff, peak-s.times[rank]-s.pace[rank]*diff)
		c := change{slot: slot, expert: lighter, other: other, cost: 2, value: value, exchange: true}
		if value > minGain*s.ideal && c.better(*best) && s.limit.allows(s.p, hot, lighter) && s.limit.allows(s.p, rank, expert) {
			*best = c
		}
	}
}

func (s *search) holds(rank int, expert int32) bool {
	return slices.Contains(s.p.rank(rank), expert)
}

func (s *search) apply(c change) {
	if c.exchange {
		moved := s.p.Slots[c.slot]
		s.put(c.slot, c.expert)
		s.put(c.other, moved)
	} else {
		s.put(c.slot, c.expert)
	}
	s.times = s.p.Times(Demand{Popularity: s.popularity, Pace: s.pace})
	s.findHeaviest()
}

// put stands an expert in a slot in place of another.
func (s *search) put(slot int, expert int32) {
	rank := slot / s.p.SlotsPerRank
	s.limit.count(s.p, rank, -1)
	old := s.p.Slots[slot]
	s.replicas[old]--
	s.p.Slots[slot] = expert
	s.replicas[expert]++
	s.limit.count(s.p, rank, 1)
}
