package peering

import (
	"hash/fnv"
	"slices"

	"github.com/apricothub/apricothub/api"
)

// ServerHash returns the hash of a backend server's ID by which heartbeats name it. Two servers with
// the same hash would share their counts; among thousands that is unlikely, and only makes both look
// busier than they are.
func ServerHash(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// maxInFlight limits the requests of one entry at one backend server that a heartbeat tells, far above what a
// server takes. A broken heartbeat could otherwise fill the memory.
const maxInFlight = 1 << 12

// InFlight returns the requests in flight that a heartbeat tells: the hash of a backend server for
// each of them.
func InFlight(heartbeat *api.PeerBeat) []uint32 {
	inFlight := heartbeat.GetInFlight()
	for _, load := range heartbeat.GetLoads() {
		for range min(load.GetInFlight(), maxInFlight) {
			inFlight = append(inFlight, ServerHash(load.GetId()))
		}
	}
	return inFlight
}

// LoadSums sums the requests in flight at each backend server over the other entries.
//
// A heartbeat changes the counts of a few servers. With hundreds of entries, adding up all counts
// of all entries for each heartbeat would grow with the square of their number, so the sums are
// kept and only the differences are applied. LoadSums is not safe for concurrent use.
type LoadSums struct {
	byEntry map[string][]uint32
	sums    map[uint32]int
}

// NewLoadSums returns sums over no entries.
func NewLoadSums() *LoadSums {
	return &LoadSums{byEntry: make(map[string][]uint32), sums: make(map[uint32]int)}
}

// Set replaces the requests in flight of the entry at ip, and returns the backend servers whose sums
// have changed. Each request is given by the hash of its server.
func (l *LoadSums) Set(ip string, inFlight []uint32) []uint32 {
	differences := make(map[uint32]int, len(inFlight))
	for _, server := range inFlight {
		differences[server]++
	}
	for _, server := range l.byEntry[ip] {
		differences[server]--
	}
	var changed []uint32
	for server, difference := range differences {
		if difference == 0 {
			continue
		}
		changed = append(changed, server)
		if l.sums[server] += difference; l.sums[server] == 0 {
			delete(l.sums, server)
		}
	}
	if len(inFlight) == 0 {
		delete(l.byEntry, ip)
	} else {
		l.byEntry[ip] = slices.Clone(inFlight)
	}
	return changed
}

// Retain drops the counts of the entries that are not live, and returns the backend servers whose
// sums have changed.
func (l *LoadSums) Retain(live []*api.PeerBeat) []uint32 {
	isLive := make(map[string]bool, len(live))
	for _, b := range live {
		isLive[b.GetIp()] = true
	}
	var changed []uint32
	for ip := range l.byEntry {
		if !isLive[ip] {
			changed = append(changed, l.Set(ip, nil)...)
		}
	}
	return changed
}

// At returns the requests in flight of the other entries at a backend server.
func (l *LoadSums) At(server uint32) int { return l.sums[server] }
