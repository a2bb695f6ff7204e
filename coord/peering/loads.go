package peering

import "github.com/apricothub/apricothub/api"

// LoadSums sums the requests in flight at each backend server over the other entries.
//
// A heartbeat changes the counts of a few servers. With hundreds of entries, adding up all counts
// of all entries for each heartbeat would grow with the square of their number, so the sums are
// kept and only the differences are applied. LoadSums is not safe for concurrent use.
type LoadSums struct {
	byEntry map[string][]*api.ServerLoad
	sums    map[string]int
}

// NewLoadSums returns sums over no entries.
func NewLoadSums() *LoadSums {
	return &LoadSums{byEntry: make(map[string][]*api.ServerLoad), sums: make(map[string]int)}
}

// Set replaces the counts of the entry at ip, and returns the backend servers whose sums have
// changed.
func (l *LoadSums) Set(ip string, loads []*api.ServerLoad) []string {
	differences := make(map[string]int, len(loads))
	for _, load := range loads {
		differences[load.GetId()] += int(load.GetInFlight())
	}
	for _, load := range l.byEntry[ip] {
		differences[load.GetId()] -= int(load.GetInFlight())
	}
	var changed []string
	for id, difference := range differences {
		if difference == 0 {
			continue
		}
		changed = append(changed, id)
		if l.sums[id] += difference; l.sums[id] == 0 {
			delete(l.sums, id)
		}
	}
	if len(loads) == 0 {
		delete(l.byEntry, ip)
	} else {
		l.byEntry[ip] = loads
	}
	return changed
}

// Retain drops the counts of the entries that are not live, and returns the backend servers whose
// sums have changed.
func (l *LoadSums) Retain(live []*api.PeerBeat) []string {
	isLive := make(map[string]bool, len(live))
	for _, b := range live {
		isLive[b.GetIp()] = true
	}
	var changed []string
	for ip := range l.byEntry {
		if !isLive[ip] {
			changed = append(changed, l.Set(ip, nil)...)
		}
	}
	return changed
}

// At returns the requests in flight of the other entries at a backend server.
func (l *LoadSums) At(id string) int { return l.sums[id] }
