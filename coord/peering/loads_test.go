package peering

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/apricothub/apricothub/api"
)

func loadsOf(counts map[string]int) []*api.ServerLoad {
	var loads []*api.ServerLoad
	for id, n := range counts {
		loads = append(loads, &api.ServerLoad{Id: id, InFlight: uint32(n)})
	}
	return loads
}

// Counts are updated by difference, for as many heartbeats as there are. A difference that is
// applied twice or lost would make a backend server look full, or idle, for good.
func TestSumsByDifferenceMatchSumsOfAll(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	sums := NewLoadSums()
	counts := make(map[string]map[string]int)
	for step := range 5000 {
		ip := fmt.Sprintf("10.0.0.%d", rng.IntN(99))
		counts[ip] = map[string]int{}
		for range rng.IntN(4) {
			counts[ip][fmt.Sprint("i-", rng.IntN(20))] = rng.IntN(3)
		}
		sums.Set(ip, loadsOf(counts[ip]))
		if step%100 == 0 {
			var live []*api.PeerBeat
			for ip := range counts {
				if rng.IntN(10) == 0 {
					delete(counts, ip)
					continue
				}
				live = append(live, &api.PeerBeat{Ip: ip})
			}
			sums.Retain(live)
		}
		for i := range 20 {
			id, want := fmt.Sprint("i-", i), 0
			for _, c := range counts {
				want += c[id]
			}
			if got := sums.At(id); got != want {
				t.Fatalf("step %d: %d requests in flight at %s, want %d", step, got, id, want)
			}
		}
	}
}

// An entry dies with requests in flight. Its counts must not be held against the servers once it is
// silent, and the servers that become free are named.
func TestCountsOfASilentEntryAreDropped(t *testing.T) {
	sums := NewLoadSums()
	sums.Set("10.0.0.2", loadsOf(map[string]int{"i-1": 3}))
	sums.Set("10.0.0.3", loadsOf(map[string]int{"i-1": 1}))
	changed := sums.Retain([]*api.PeerBeat{{Ip: "10.0.0.3"}})
	if len(changed) != 1 || changed[0] != "i-1" || sums.At("i-1") != 1 {
		t.Errorf("changed %v, %d in flight, want 1 of the live entry", changed, sums.At("i-1"))
	}
	if changed := sums.Set("10.0.0.3", loadsOf(map[string]int{"i-1": 1})); len(changed) != 0 {
		t.Errorf("equal counts changed %v", changed)
	}
}
