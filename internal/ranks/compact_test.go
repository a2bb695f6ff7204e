package ranks

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

// randomMap returns a map of the size of a large group.
func randomMap(rng *rand.Rand, sets, size, places, experts int) layers {
	m := make(layers, sets)
	for i := range m {
		for range size {
			var rank []int32
			for range places {
				rank = append(rank, int32(rng.IntN(experts)))
			}
			m[i] = append(m[i], rank)
		}
	}
	return sortedMap(m)
}

// changed returns a copy of a map in which some ranks hold other experts, as many as before or not.
func changed(rng *rand.Rand, m layers, cells int) layers {
	out := sortedMap(m)
	for range cells {
		set := out[rng.IntN(len(out))]
		rank := rng.IntN(len(set))
		set[rank] = nil
		for range rng.IntN(4) {
			set[rank] = append(set[rank], int32(rng.IntN(258)))
		}
	}
	return sortedMap(out)
}

// A rank that is given another map than the coordinator planned would break the rule that all ranks
// use one map in every pass. So changes must give exactly the new map, whatever they are.
func TestChangesGiveTheNewMap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 300 {
		base := randomMap(rng, 1+rng.IntN(4), 1+rng.IntN(40), 3, 258)
		m := changed(rng, base, i)
		changes, ok := mapChanges(base, m)
		if !ok {
			t.Fatal("no changes for two maps of one shape")
		}
		got, err := applyChanges(base, changes)
		if err != nil || mapHash(got) != mapHash(m) || !reflect.DeepEqual(sortedMap(got), sortedMap(m)) {
			t.Fatalf("changes of %d ranks do not give the new map: %v", i, err)
		}
	}
}

// Changes that do not fit the map that a rank agent holds, as from a coordinator of another version,
// must be refused without a panic.
func FuzzApplyChanges(f *testing.F) {
	f.Add([]byte{0, 1, 7})
	f.Add([]byte{255, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		var changes []uint32
		for _, b := range data {
			changes = append(changes, uint32(b)<<(b%24))
		}
		base := randomMap(rand.New(rand.NewPCG(1, 1)), 2, 5, 3, 16)
		hash := mapHash(base)
		_, _ = applyChanges(base, changes)
		if mapHash(base) != hash {
			t.Error("the map that the changes apply to was modified")
		}
	})
}

// Counts that are told by their changes must equal those read from the engine, small and large
// changes alike. After a restart of the engine they fall and must be told whole.
func TestCountChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for _, n := range []int{1, 2, 7, 4128} {
		base, counts := make([]int64, n), make([]int64, n)
		for i := range counts {
			base[i] = rng.Int64N(1 << 40)
			counts[i] = base[i] + rng.Int64N(20)
			if rng.IntN(10) == 0 {
				counts[i] += rng.Int64N(1 << 30)
			}
		}
		reply := &api.RankReply{}
		if !encodeCountChanges(reply, base, counts) {
			t.Fatalf("%d counts are not encoded", n)
		}
		rises := slices.Clone(base)
		if got := UpdateCounts(reply, slices.Clone(base), func(i int, rise int64) { rises[i] += rise }); !reflect.DeepEqual(got, counts) || !reflect.DeepEqual(rises, counts) {
			t.Errorf("%d counts differ after encoding", n)
		}
		if got := UpdateCounts(reply, base[:max(n-2, 0)], nil); got != nil {
			t.Error("changes of counts of another group were accepted")
		}
		counts[n-1] = base[n-1] - 1
		if encodeCountChanges(&api.RankReply{}, base, counts) {
			t.Error("falling counts were encoded as changes")
		}
	}
}

// A coordinator on a small VM tells a change of maps to 129 ranks, and reads their counts five times
// a second. What it sends and receives must fit its link with room for requests.
func TestMessagesOfALargeGroupAreSmall(t *testing.T) {
	const (
		size, sets, places, experts = 129, 16, 3, 258
		// copies is the number of experts that a rank copies in one change.
		copies       = 3
		maxMapBytes  = 5 << 10
		maxCountSize = 3 << 10
	)
	rng := rand.New(rand.NewPCG(5, 6))
	base := randomMap(rng, sets, size, places, experts)
	m := changed(rng, base, copies*size)
	order := &api.RankOrder{Kind: api.RankOrder_PREPARE, Version: 1 << 40}
	NewMapOrder(m, 1<<40-1, base).AddTo(order, false)
	if n := proto.Size(order); n > maxMapBytes {
		t.Errorf("an order to prepare a map takes %d bytes, want at most %d", n, maxMapBytes)
	}
	last, counts := make([]int64, sets*experts), make([]int64, sets*experts)
	for i := range counts {
		last[i] = 5000 + rng.Int64N(1000)
		counts[i] = last[i] + rng.Int64N(12)
	}
	reply := &api.RankReply{CountsId: rng.Uint64()}
	encodeCountChanges(reply, last, counts)
	if n := proto.Size(reply); n > maxCountSize {
		t.Errorf("counts take %d bytes, want at most %d", n, maxCountSize)
	}
}

// Guards against garbage in proportion to ranks, experts and polls: it took a coordinator of hundreds of ranks
// to the memory of a small VM.
func TestReadingCountsMakesNoGarbage(t *testing.T) {
	const ranks, counts = 129, 16 * 258
	base, next := make([]int64, counts), make([]int64, counts)
	for i := range next {
		next[i] = int64(i % 7)
	}
	reply := &api.RankReply{}
	if !encodeCountChanges(reply, base, next) {
		t.Fatal("the counts are not encoded")
	}
	sums := make([]float64, counts)
	add := func(i int, n int64) { sums[i] += float64(n) }
	allocations := testing.AllocsPerRun(3, func() {
		for range ranks {
			UpdateCounts(reply, base, add)
		}
	})
	if allocations > 0 {
		t.Errorf("%.0f allocations for the counts of %d ranks", allocations, ranks)
	}
}

// A reply that lacks a large change must not leave half of the counts changed.
func TestBrokenCountsChangeNothing(t *testing.T) {
	base := []int64{1, 2, 3, 4}
	reply := &api.RankReply{CountChanges: []byte{0x11, 0xff}, LargeCountChanges: []uint64{20}}
	if UpdateCounts(reply, base, nil) != nil || !slices.Equal(base, []int64{1, 2, 3, 4}) {
		t.Errorf("the counts are %v", base)
	}
}
