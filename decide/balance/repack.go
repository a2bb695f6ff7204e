package balance

import "slices"

// Repack returns a placement with the number of replicas of each expert that its popularity calls
// for. It keeps each replica in its slot where possible, and so moves more than Improve and far
// fewer than PlaceFromScratch.
//
// It serves when the popularity has drifted so far that no single step of Improve relieves the
// busiest rank. Without it the group would keep that skew.
func Repack(p *Placement, d Demand, target float64, maxMoves int) *Placement {
	wanted := apportionReplicas(d.Popularity, len(p.Slots), p.Ranks)
	r := &repacking{p: p.Clone(), popularity: d.Popularity, slowdowns: d.slowdownsOf(p.Ranks), wanted: wanted}
	r.computeTimes()
	r.removeSurplus()
	r.fillDeficits()
	return Improve(r.p, d, target, maxMoves)
}

// emptySlot marks a slot whose replica was dropped.
const emptySlot = int32(-1)

type repacking struct {
	p          *Placement
	popularity []float64
	slowdowns  []float64
	wanted     []int32
	times      []float64 // by rank
}

func (r *repacking) unitLoad(expert int32) float64 {
	return r.popularity[expert] / float64(r.wanted[expert])
}

// computeTimes computes the ranks' times as if every expert had the wanted number of replicas.
func (r *repacking) computeTimes() {
	r.times = make([]float64, r.p.Ranks)
	for slot, expert := range r.p.Slots {
		r.addLoad(slot, r.unitLoad(expert))
	}
}

// addLoad adds load to the rank of a slot; a negative load is removed.
func (r *repacking) addLoad(slot int, load float64) {
	rank := slot / r.p.SlotsPerRank
	r.times[rank] += r.slowdowns[rank] * load
}

// removeSurplus drops surplus replicas, those on the busiest ranks first.
func (r *repacking) removeSurplus() {
	for expert, held := range r.p.Replicas() {
		for held > r.wanted[expert] {
			slot := r.busiestSlotOf(int32(expert))
			r.addLoad(slot, -r.unitLoad(int32(expert)))
			r.p.Slots[slot] = emptySlot
			held--
		}
	}
}

func (r *repacking) busiestSlotOf(expert int32) int {
	best := -1
	for slot, held := range r.p.Slots {
		if held != expert {
			continue
		}
		if best < 0 || r.times[slot/r.p.SlotsPerRank] > r.times[best/r.p.SlotsPerRank] {
			best = slot
		}
	}
	return best
}

// fillDeficits places the missing replicas, busiest first, on the least busy ranks with empty
// slots.
func (r *repacking) fillDeficits() {
	for _, expert := range r.missing() {
		slot := r.leastBusySlotFor(expert)
		r.p.Slots[slot] = expert
		r.addLoad(slot, r.unitLoad(expert))
	}
}

// missing returns the experts of the missing replicas, busiest first.
func (r *repacking) missing() []int32 {
	held := make([]int32, r.p.Experts)
	for _, expert := range r.p.Slots {
		if expert != emptySlot {
			held[expert]++
		}
	}
	var missing []int32
	for expert, n := range r.wanted {
		for ; held[expert] < n; n-- {
			missing = append(missing, int32(expert))
		}
	}
	slices.SortStableFunc(missing, func(a, b int32) int {
		switch {
		case r.unitLoad(a) > r.unitLoad(b):
			return -1
		case r.unitLoad(a) < r.unitLoad(b):
			return 1
		}
		return 0
	})
	return missing
}

// leastBusySlotFor returns the empty slot on the least busy rank, preferring ranks that do not hold
// the expert.
func (r *repacking) leastBusySlotFor(expert int32) int {
	best, bestHolds := -1, true
	for slot, held := range r.p.Slots {
		if held != emptySlot {
			continue
		}
		rank := slot / r.p.SlotsPerRank
		holds := slices.Contains(r.p.rankSlots(rank), expert)
		lessBusy := best < 0 || r.times[rank] < r.times[best/r.p.SlotsPerRank]
		if best < 0 || bestHolds && !holds || bestHolds == holds && lessBusy {
			best, bestHolds = slot, holds
		}
	}
	return best
}
