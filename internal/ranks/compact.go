package ranks

import (
	"encoding/binary"
	"hash/fnv"
	"slices"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
)

// Expert maps and counts of a large group are long, and most of each is known to the receiver: a
// change of maps moves a few of thousands of replicas, and a count rises by a few from one poll to
// the next. If they were sent whole, a coordinator with hundreds of ranks would be busy sending for
// most of the time that the popularity of experts lasts.

// layers is an expert map: the experts of each rank, by layer set.
type layers = [][][]int32

// maxDealtExperts limits the experts in a dealt map, far above the size of any model.
const maxDealtExperts = 1 << 20

// dealtMap returns the map in which each expert is on one rank, dealt in turn. It returns false for
// a shape that no group has.
func dealtMap(shape *api.DealtMap) (layers, bool) {
	sets, size, experts := int(shape.GetLayerSets()), int(shape.GetRanks()), int(shape.GetExperts())
	if sets < 1 || size < 1 || experts < 1 || max(sets, size, experts) > maxDealtExperts || sets*max(size, experts) > maxDealtExperts {
		return nil, false
	}
	m := make(layers, sets)
	for i := range m {
		m[i] = make([][]int32, size)
		for expert := range experts {
			m[i][expert%size] = append(m[i][expert%size], int32(expert))
		}
	}
	return m, true
}

// shapeOf returns the shape of a map, with as many experts as its highest one tells.
func shapeOf(m layers) *api.DealtMap {
	shape := &api.DealtMap{LayerSets: uint32(len(m))}
	for _, set := range m {
		shape.Ranks = max(shape.Ranks, uint32(len(set)))
		for _, experts := range set {
			for _, expert := range experts {
				shape.Experts = max(shape.Experts, uint32(expert)+1)
			}
		}
	}
	return shape
}

// sortedMap returns a map with the experts of each rank in ascending order, so that equal maps
// compare as equal.
func sortedMap(m layers) layers {
	sorted := make(layers, len(m))
	for i, set := range m {
		sorted[i] = make([][]int32, len(set))
		for rank, experts := range set {
			sorted[i][rank] = slices.Sorted(slices.Values(experts))
		}
	}
	return sorted
}

// mapHash returns a hash of an expert map.
func mapHash(m layers) uint64 {
	h := fnv.New64a()
	var buf [4]byte
	add := func(n int) {
		binary.LittleEndian.PutUint32(buf[:], uint32(n))
		_, _ = h.Write(buf[:])
	}
	for _, set := range m {
		add(len(set))
		for _, experts := range set {
			add(len(experts))
			for _, expert := range experts {
				add(int(expert))
			}
		}
	}
	return h.Sum64()
}

// mapChanges returns how a map differs from base, as in api.RankOrder. It returns false if they
// have different numbers of layer sets or ranks.
func mapChanges(base, m layers) ([]uint32, bool) {
	if len(base) != len(m) {
		return nil, false
	}
	var changes []uint32
	distance := uint32(0)
	for i, set := range m {
		if len(base[i]) != len(set) {
			return nil, false
		}
		for rank, experts := range set {
			if slices.Equal(base[i][rank], experts) {
				distance++
				continue
			}
			changes = append(changes, distance, uint32(len(experts)))
			for _, expert := range experts {
				changes = append(changes, uint32(expert))
			}
			distance = 1
		}
	}
	return changes, true
}

var errBadChanges = errors.New("the changes do not fit the map that they apply to")

// applyChanges returns the map that changes turn base into. base is not modified.
func applyChanges(base layers, changes []uint32) (layers, error) {
	m := make(layers, len(base))
	for i, set := range base {
		m[i] = slices.Clone(set)
	}
	set, rank := 0, 0
	for len(changes) > 0 {
		if len(changes) < 2 {
			return nil, errBadChanges
		}
		distance, count := int(changes[0]), int(changes[1])
		changes = changes[2:]
		if count > len(changes) {
			return nil, errBadChanges
		}
		for rank += distance; set < len(m) && rank >= len(m[set]); set++ {
			rank -= len(m[set])
		}
		if set == len(m) {
			return nil, errBadChanges
		}
		experts := make([]int32, count)
		for i, expert := range changes[:count] {
			experts[i] = int32(expert)
		}
		m[set][rank] = experts
		changes = changes[count:]
	}
	return m, nil
}

// largeCountChange stands for a count's change that does not fit into four bits.
const largeCountChange = 15

// encodeCountChanges sets in a reply how much counts have risen since base. It returns false if one
// has fallen, as after a restart of the engine.
func encodeCountChanges(reply *api.RankReply, base, counts []int64) bool {
	if len(base) != len(counts) {
		return false
	}
	packed := make([]byte, (len(counts)+1)/2)
	var large []uint64
	for i, n := range counts {
		change := n - base[i]
		if change < 0 {
			return false
		}
		if change >= largeCountChange {
			large = append(large, uint64(change))
			change = largeCountChange
		}
		packed[i/2] |= byte(change) << (4 * (i % 2))
	}
	reply.CountChanges, reply.LargeCountChanges = packed, large
	return true
}

// UpdateCounts updates the counts that the request named as the base with those in a reply, and calls rise, if
// it is not nil, with the index and the increase of each count that has risen. It changes base in place and
// returns it, or returns the counts of a reply that holds them whole. It returns nil, and changes nothing, if
// the reply has no counts or they do not fit the base.
//
// A coordinator reads thousands of counts of hundreds of ranks several times a second. New copies of them would
// be most of its garbage.
func UpdateCounts(reply *api.RankReply, base []int64, rise func(i int, n int64)) []int64 {
	packed, large := reply.GetCountChanges(), reply.GetLargeCountChanges()
	if len(packed) == 0 {
		return replaceCounts(reply.GetCounts(), base, rise)
	}
	if len(packed) != (len(base)+1)/2 || countLarge(packed) > len(large) {
		return nil
	}
	for i := range base {
		change := int64(packed[i/2] >> (4 * (i % 2)) & 15)
		if change == largeCountChange {
			change, large = int64(large[0]), large[1:]
		}
		base[i] += change
		if change != 0 && rise != nil {
			rise(i, change)
		}
	}
	return base
}

func replaceCounts(counts, base []int64, rise func(i int, n int64)) []int64 {
	if len(counts) == len(base) && rise != nil {
		for i, n := range counts {
			if n > base[i] {
				rise(i, n-base[i])
			}
		}
	}
	return counts
}

// countLarge returns how many packed changes stand for a large one.
func countLarge(packed []byte) int {
	n := 0
	for _, b := range packed {
		if b&15 == largeCountChange {
			n++
		}
		if b>>4 == largeCountChange {
			n++
		}
	}
	return n
}
