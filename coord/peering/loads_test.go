package peering

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/apricothub/apricothub/api"
)

// inFlightOf returns the requests in flight with the given counts by server.
func inFlightOf(counts map[string]int) []uint32 {
	var inFlight []uint32
	for id, n := range counts {
		for range n {
			inFlight = append(inFlight, ServerHash(id))
		}
	}
	return inFlight
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
		sums.Set(ip, inFlightOf(counts[ip]))
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
			if got := sums.At(ServerHash(id)); got != want {
				t.Fatalf("step %d: %d requests in flight at %s, want %d", step, got, id, want)
			}
		}
	}
}

// An entry dies with requests in flight. Its counts must not be held against the servers once it is
// silent, and the servers that become free are named.
func TestCountsOfASilentEntryAreDropped(t *testing.T) {
	sums := NewLoadSums()
	sums.Set("10.0.0.2", inFlightOf(map[string]int{"i-1": 3}))
	sums.Set("10.0.0.3", inFlightOf(map[string]int{"i-1": 1}))
	changed := sums.Retain([]*api.PeerBeat{{Ip: "10.0.0.3"}})
	if len(changed) != 1 || changed[0] != ServerHash("i-1") || sums.At(ServerHash("i-1")) != 1 {
		t.Errorf("changed %v, %d in flight, want 1 of the live entry", changed, sums.At(ServerHash("i-1")))
	}
	if changed := sums.Set("10.0.0.3", inFlightOf(map[string]int{"i-1": 1})); len(changed) != 0 {
		t.Errorf("equal counts changed %v", changed)
	}
}

// An entry of an earlier version sends its requests in flight by the IDs of servers. While versions
// are mixed, they must count as well.
func TestLoadsOfEarlierVersionsCount(t *testing.T) {
	sums := NewLoadSums()
	sums.Set("10.0.0.2", InFlight(&api.PeerBeat{Loads: []*api.ServerLoad{{Id: "i-1", InFlight: 2}}}))
	sums.Set("10.0.0.3", InFlight(&api.PeerBeat{InFlight: []uint32{ServerHash("i-1")}}))
	if n := sums.At(ServerHash("i-1")); n != 3 {
		t.Errorf("%d requests in flight, want 3", n)
	}
}
