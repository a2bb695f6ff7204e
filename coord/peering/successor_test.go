package peering

import (
	"slices"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
)

func ms(n int) time.Duration { return time.Duration(n) * msec }

func entryIn(domain, ip string) *api.PeerBeat {
	return &api.PeerBeat{Ip: ip, FailureDomain: domain, Serving: true}
}

func TestSelectSuccessor(t *testing.T) {
	self := entryIn("a", "10.0.0.1")
	leaving := entryIn("b", "10.0.0.3")
	leaving.Leaving = true
	starting := entryIn("b", "10.0.0.4")
	starting.Serving = false
	sameDomain, near, far := entryIn("a", "10.0.0.2"), entryIn("b", "10.0.0.5"), entryIn("c", "10.0.0.6")
	for _, c := range []struct {
		name    string
		live    []*api.PeerBeat
		current string
		want    string
	}{
		{"no other entry", nil, "", ""},
		{"another failure domain is preferred", []*api.PeerBeat{sameDomain, near, far}, "", near.GetIp()},
		{"the same domain is better than none", []*api.PeerBeat{sameDomain}, "", sameDomain.GetIp()},
		{"an entry that leaves or starts is passed over", []*api.PeerBeat{leaving, starting, far}, "", far.GetIp()},
		{"the current one stays", []*api.PeerBeat{sameDomain, near, far}, far.GetIp(), far.GetIp()},
		{"the current one leaves", []*api.PeerBeat{sameDomain, leaving, far}, leaving.GetIp(), far.GetIp()},
	} {
		if got := SelectSuccessor(self, c.live, c.current); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// Among many entries heartbeats are rare. The successor of a coordinator that stalls must miss it within
// a fraction of a second, and no other entry may: they would take over one after the other.
func TestOnlyTheSuccessorMissesTheCoordinatorEarly(t *testing.T) {
	for _, c := range []struct {
		name      string
		successor string
		fence     int64
		want      bool
	}{
		{"successor", "10.0.0.1", 3, false},
		{"another entry", "10.0.0.9", 3, true},
		{"sender does not coordinate any more", "10.0.0.1", 0, true},
	} {
		table := New("10.0.0.1", Config{})
		for i := range 36 {
			table.HandleHeartbeat(heartbeat(unpackIP(0x0a010000+uint32(i)), 1, 1), 0)
		}
		coordinator := heartbeat("10.0.0.2", 1, 1)
		coordinator.Fence, coordinator.Successor = c.fence, c.successor
		table.HandleHeartbeat(coordinator, 0)
		isOnTime := func(at int) bool {
			return slices.ContainsFunc(table.OnTime(ms(at)), func(b *api.PeerBeat) bool { return b.GetIp() == "10.0.0.2" })
		}
		if !isOnTime(350) || isOnTime(351) != c.want {
			t.Errorf("%s: on time after 350 ms: %v, after 351 ms: %v, want true, %v", c.name, isOnTime(350), isOnTime(351), c.want)
		}
	}
}

// The successor is sent heartbeats several times as often as the others, and only while it is one.
func TestTheSuccessorGetsMoreHeartbeats(t *testing.T) {
	table := New("10.0.0.1", Config{})
	for i := range 36 {
		table.HandleHeartbeat(heartbeat(unpackIP(0x0a010000+uint32(i)), 1, 1), 0)
	}
	const successor, other = "10.1.0.5", "10.1.0.6"
	count := func(from, to int) (toSuccessor, toOther int) {
		for at := from; at < to; at += 50 {
			due := table.TakeDue(ms(at), false)
			if slices.Contains(due, successor) {
				toSuccessor++
			}
			if slices.Contains(due, other) {
				toOther++
			}
		}
		return toSuccessor, toOther
	}
	table.SetSuccessor(successor)
	if n, other := count(0, 1200); n != 12 || other != 3 {
		t.Errorf("%d heartbeats to the successor and %d to another entry in 1.2 s, want 12 and 3", n, other)
	}
	table.SetSuccessor("")
	if n, other := count(1200, 2400); n > other+1 {
		t.Errorf("%d heartbeats to the former successor and %d to another entry", n, other)
	}
}

// The coordinator of many entries stalls. Its successor, which has no special IP, must coordinate at
// once, and all others stay out of it until the coordinator is silent for all.
func TestTheSuccessorCoordinatesFirst(t *testing.T) {
	const coordinatorIP, successorIP, lowestIP = "10.1.0.7", "10.1.0.20", "10.1.0.0"
	tableOf := func(self string) *Table {
		table := New(self, Config{})
		for i := range 36 {
			b := heartbeat(unpackIP(0x0a010000+uint32(i)), 1, 1)
			if b.GetIp() == coordinatorIP {
				b.Fence, b.Successor = 3, successorIP
			}
			table.HandleHeartbeat(b, 0)
		}
		return table
	}
	// Heartbeats of all but the coordinator go on.
	hear := func(table *Table, at time.Duration) {
		for i := range 36 {
			if ip := unpackIP(0x0a010000 + uint32(i)); ip != coordinatorIP {
				table.HandleHeartbeat(heartbeat(ip, 1, uint64(1+at/msec)), at)
			}
		}
	}
	for _, c := range []struct {
		self                string
		at                  int
		comparesFences      bool
		leaving, wantDuties bool
	}{
		{successorIP, 350, true, false, false},
		{successorIP, 351, true, false, true},
		{successorIP, 351, true, true, false},
		{successorIP, 351, false, false, false},
		{lowestIP, 351, true, false, false},
		{lowestIP, 1200, true, false, false},
		{lowestIP, 1201, true, false, true},
		{lowestIP, 1201, false, false, true},
	} {
		table := tableOf(c.self)
		hear(table, ms(c.at))
		self := &api.PeerBeat{Ip: c.self, Serving: true, Leaving: c.leaving}
		if got := table.Coordinates(self, c.comparesFences, ms(c.at)); got != c.wantDuties {
			t.Errorf("%s coordinates %d ms after the last heartbeat (fences compared: %v, leaving: %v): %v, want %v",
				c.self, c.at, c.comparesFences, c.leaving, got, c.wantDuties)
		}
	}
}
