package balance

import (
	"container/heap"
	"slices"
)

// PlaceFromScratch returns the best placement for a demand, regardless of the current one. It is
// the reference for skew, and the first placement of a group whose popularity is known. It is not
// suited to follow drift, since it moves nearly every expert each time.
//
// Replicas are assigned one by one to the expert whose replicas are busiest. The replicas are then
// placed, busiest first, each on the least busy rank with a free slot.
func PlaceFromScratch(d Demand, ranks, slotsPerRank int) (*Placement, error) {
	popularity, slowdowns := d.Popularity, d.slowdownsOf(ranks)
	p, err := NewPlacement(len(popularity), ranks, slotsPerRank)
	if err != nil {
		return nil, err
	}
	replicas := apportionReplicas(popularity, len(p.Slots), ranks)
	type replica struct {
		expert int32
		load   float64
	}
	all := make([]replica, 0, len(p.Slots))
	for expert, n := range replicas {
		for range n {
			all = append(all, replica{int32(expert), popularity[expert] / float64(n)})
		}
	}
	slices.SortStableFunc(all, func(a, b replica) int {
		switch {
		case a.load > b.load:
			return -1
		case a.load < b.load:
			return 1
		}
		return 0
	})
	queue := newRankHeap(ranks)
	used := make([]int, ranks)
	for _, r := range all {
		rank := queue.popFor(r.expert, p, used)
		p.Slots[rank*slotsPerRank+used[rank]] = r.expert
		used[rank]++
		queue.add(rank, slowdowns[rank]*r.load, used[rank] < slotsPerRank)
	}
	return Improve(p, d, 1, len(p.Slots)), nil
}

// apportionReplicas gives each expert one replica and the remaining ones to the busiest experts. No
// expert gets more than one replica per rank as long as others can take one.
func apportionReplicas(popularity []float64, slots, ranks int) []int32 {
	h := &expertHeap{popularity: popularity, replicas: make([]int32, len(popularity))}
	for expert := range popularity {
		h.replicas[expert] = 1
		h.order = append(h.order, int32(expert))
	}
	heap.Init(h)
	for remaining := slots - len(popularity); remaining > 0; {
		if h.Len() == 0 {
			// Every rank has every expert; the remaining slots still have to hold something.
			h.replicas[remaining%len(popularity)]++
			remaining--
			continue
		}
		top := h.order[0]
		if int(h.replicas[top]) >= ranks {
			// Every rank has it; a second replica on one rank gains nothing.
			heap.Pop(h)
			continue
		}
		h.replicas[top]++
		remaining--
		heap.Fix(h, 0)
	}
	return h.replicas
}

// expertHeap orders experts by the load of each of their replicas, busiest first.
type expertHeap struct {
	popularity []float64
	replicas   []int32
	order      []int32
}

func (h *expertHeap) load(i int) float64 {
	expert := h.order[i]
	return h.popularity[expert] / float64(h.replicas[expert])
}

func (h *expertHeap) Len() int           { return len(h.order) }
func (h *expertHeap) Less(i, j int) bool { return h.load(i) > h.load(j) }
func (h *expertHeap) Swap(i, j int)      { h.order[i], h.order[j] = h.order[j], h.order[i] }
func (h *expertHeap) Push(any)           {}

// Pop implements heap.Interface.
func (h *expertHeap) Pop() any {
	last := h.order[len(h.order)-1]
	h.order = h.order[:len(h.order)-1]
	return last
}

// rankHeap orders the ranks with free slots by load, least busy first.
type rankHeap struct {
	loads []float64
	order []int
}

func newRankHeap(ranks int) *rankHeap {
	h := &rankHeap{loads: make([]float64, ranks), order: make([]int, ranks)}
	for i := range h.order {
		h.order[i] = i
	}
	return h
}

func (h *rankHeap) Len() int           { return len(h.order) }
func (h *rankHeap) Less(i, j int) bool { return h.loads[h.order[i]] < h.loads[h.order[j]] }
func (h *rankHeap) Swap(i, j int)      { h.order[i], h.order[j] = h.order[j], h.order[i] }
func (h *rankHeap) Push(rank any)      { h.order = append(h.order, rank.(int)) }

// Pop implements heap.Interface.
func (h *rankHeap) Pop() any {
	last := h.order[len(h.order)-1]
	h.order = h.order[:len(h.order)-1]
	return last
}

// popFor removes and returns the least busy rank that does not hold the expert yet, or the least
// busy rank if all with free slots hold it.
func (h *rankHeap) popFor(expert int32, p *Placement, used []int) int {
	var skipped []int
	defer func() {
		for _, rank := range skipped {
			heap.Push(h, rank)
		}
	}()
	for h.Len() > 0 {
		rank := heap.Pop(h).(int)
		held := p.Slots[rank*p.SlotsPerRank : rank*p.SlotsPerRank+used[rank]]
		if !slices.Contains(held, expert) {
			return rank
		}
		skipped = append(skipped, rank)
	}
	rank := skipped[0]
	skipped = skipped[1:]
	return rank
}

func (h *rankHeap) add(rank int, load float64, hasFreeSlot bool) {
	h.loads[rank] += load
	if hasFreeSlot {
		heap.Push(h, rank)
	}
}
