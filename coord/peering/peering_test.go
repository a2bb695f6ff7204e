package peering

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
)

const msec = time.Millisecond

func heartbeat(ip string, incarnation, sequence uint64) *api.PeerBeat {
	return &api.PeerBeat{Ip: ip, Incarnation: incarnation, Sequence: sequence, Serving: true}
}

// An entry dies without announcing it. Callers are sent to it until it counts as silent, and no
// longer.
func TestSilentEntriesAreNotLive(t *testing.T) {
	table := New("10.0.0.1", Config{})
	table.HandleHeartbeat(heartbeat("10.0.0.2", 1, 1), 0)
	if n := len(table.Live(1200 * msec)); n != 1 {
		t.Fatalf("%d live after 1.2 s", n)
	}
	if n := len(table.Live(1201 * msec)); n != 0 {
		t.Errorf("%d live after more than 1.2 s", n)
	}
}

// An entry announces that it leaves, and an earlier heartbeat of it arrives late. Callers must not
// be sent to it again. After a restart the entry counts sequence numbers from one again and is
// heard.
func TestReorderedHeartbeatsAreIgnored(t *testing.T) {
	table := New("10.0.0.1", Config{})
	leaving := heartbeat("10.0.0.2", 7, 5)
	leaving.Serving = false
	table.HandleHeartbeat(leaving, 0)
	if table.HandleHeartbeat(heartbeat("10.0.0.2", 7, 4), 10*msec) {
		t.Error("an older heartbeat was accepted")
	}
	if table.Live(20 * msec)[0].GetServing() {
		t.Error("the leaving entry is shown as serving")
	}
	if !table.HandleHeartbeat(heartbeat("10.0.0.2", 8, 1), 30*msec) || !table.Live(40 * msec)[0].GetServing() {
		t.Error("the heartbeat after the restart was not accepted")
	}
}

// An entry learns of a third entry from a heartbeat, and does not add itself.
func TestPeersAreAddedFromHeartbeats(t *testing.T) {
	table := New("10.0.0.1", Config{})
	b := heartbeat("10.0.0.2", 1, 1)
	b.Others = []string{"10.0.0.1", "10.0.0.3"}
	b.OtherIps = PackIPs([]string{"10.0.0.1", "10.0.0.4", "not an IP"})
	table.HandleHeartbeat(b, 0)
	if due := table.TakeDue(0, false); !slices.Equal(due, []string{"10.0.0.2", "10.0.0.3", "10.0.0.4"}) {
		t.Errorf("heartbeats are due to %v", due)
	}
}

// With many entries each process stays within its heartbeat rate limit, and still sends often
// enough that no entry counts as silent.
func TestHeartbeatRateIsBounded(t *testing.T) {
	table := New("self", Config{})
	sent := 0
	for now := time.Duration(0); now < 10*time.Second; now += 50 * msec {
		for i := range 24 {
			table.HandleHeartbeat(heartbeat(string(rune('a'+i)), 1, uint64(now)+1), now)
		}
		sent += len(table.TakeDue(now, false))
	}
	if sent > 700 || sent < 400 {
		t.Errorf("%d heartbeats in ten seconds", sent)
	}
}

func TestSilentPeersAreForgotten(t *testing.T) {
	table := New("self", Config{})
	table.AddPeer("other", 0)
	if n := len(table.TakeDue(59*time.Second, false)); n != 1 {
		t.Fatalf("%d heartbeats due", n)
	}
	if n := len(table.TakeDue(61*time.Second, false)); n != 0 {
		t.Errorf("%d heartbeats due to an entry never heard", n)
	}
}

func TestSelectCoordinator(t *testing.T) {
	entry := func(ip string, fence int64) *api.PeerBeat {
		return &api.PeerBeat{Ip: ip, Fence: fence, Serving: true}
	}
	leaving := entry("a", 9)
	leaving.Leaving = true
	starting := entry("a", 0)
	starting.Serving = false
	for _, c := range []struct {
		name string
		self *api.PeerBeat
		live []*api.PeerBeat
		want string
	}{
		{"alone", entry("b", 0), nil, "b"},
		{"the first of several that start", entry("b", 0), []*api.PeerBeat{entry("c", 0), entry("a", 0)}, "a"},
		{"an entry that returns does not take over", entry("a", 0), []*api.PeerBeat{entry("b", 4), entry("c", 0)}, "b"},
		{"of two coordinators, the one with the higher fence", entry("a", 3), []*api.PeerBeat{entry("b", 4)}, "b"},
		{"a coordinator that leaves is replaced", entry("b", 0), []*api.PeerBeat{leaving, entry("c", 0)}, "b"},
		{"one that does not serve yet", starting, []*api.PeerBeat{entry("c", 0)}, "c"},
		{"none serves", starting, nil, ""},
	} {
		if got := SelectCoordinator(c.self, c.live); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against an entry or a failure domain whose loss leaves nobody who reads the store, and against
// more readers than two.
func TestSelectStoreReaders(t *testing.T) {
	entry := func(ip, domain string) *api.PeerBeat {
		return &api.PeerBeat{Ip: ip, FailureDomain: domain, Serving: true}
	}
	leaving := entry("a", "d1")
	leaving.Leaving = true
	starting := entry("a", "d1")
	starting.Serving = false
	for _, c := range []struct {
		name string
		self *api.PeerBeat
		live []*api.PeerBeat
		want []string
	}{
		{"alone", entry("b", "d1"), nil, []string{"b"}},
		{"one of another domain", entry("b", "d1"), []*api.PeerBeat{entry("a", "d1"), entry("z", "d2"), entry("y", "d3")}, []string{"a", "y"}},
		{"a single domain", entry("b", "d1"), []*api.PeerBeat{entry("a", "d1"), entry("c", "d1")}, []string{"a", "b"}},
		{"the first one leaves", entry("b", "d1"), []*api.PeerBeat{leaving, entry("z", "d2")}, []string{"b", "z"}},
		{"this one leaves", leaving, []*api.PeerBeat{entry("b", "d1")}, []string{"b"}},
		{"one that does not serve yet comes last", starting, []*api.PeerBeat{entry("b", "d2"), entry("c", "d2")}, []string{"b", "c"}},
		{"none serves yet", starting, nil, []string{"a"}},
		{"a second one that does not serve is better than none", starting, []*api.PeerBeat{entry("b", "d2")}, []string{"b", "a"}},
	} {
		if got := SelectStoreReaders(c.self, c.live); !slices.Equal(got, c.want) {
			t.Errorf("%s: readers %v, want %v", c.name, got, c.want)
		}
	}
}

// Three entries share the capacity of a cold server. One is frozen and will continue, one is killed
// and one shuts down gracefully. If the frozen one did not count, the others would use its share
// and too many requests would be sent. If the one that has left still counted, its share would be
// unused.
func TestMaybeLiveIncludesSilentEntries(t *testing.T) {
	table := New("10.0.0.1", Config{})
	if n := len(table.MaybeLive(0)); n != 0 {
		t.Fatalf("%d others at the start", n)
	}
	table.AddPeer("10.0.0.2", 0)
	table.AddPeer("10.0.0.9", 0)
	if n := len(table.MaybeLive(2 * time.Second)); n != 2 {
		t.Errorf("%d others may live before they had time to answer, want 2", n)
	}
	table.HandleHeartbeat(heartbeat("10.0.0.2", 1, 1), 2*time.Second)
	leaving := heartbeat("10.0.0.3", 1, 1)
	leaving.Leaving = true
	table.HandleHeartbeat(leaving, 2*time.Second)
	for at, want := range map[time.Duration]int{
		2001 * msec: 2, 3200 * msec: 2, 3201 * msec: 1, 62 * time.Second: 1, 62*time.Second + msec: 0,
	} {
		if n := len(table.MaybeLive(at)); n != want {
			t.Errorf("%d others may live after %v, want %d", n, at, want)
		}
	}
}

// The coordinator stalls while it holds a group: another entry takes over after four missed
// heartbeats, long before callers are no longer sent to the stalled one. With so many entries that
// the heartbeat interval grows, a takeover waits for as many heartbeats, but never longer than
// SilentAfter.
func TestDutyPassesOnBeforeAnEntryIsGone(t *testing.T) {
	table := New("10.0.0.1", Config{})
	table.HandleHeartbeat(heartbeat("10.0.0.2", 1, 1), 0)
	if n := len(table.OnTime(600 * msec)); n != 1 {
		t.Errorf("%d on time after four heartbeat intervals", n)
	}
	if live, onTime := len(table.Live(601*msec)), len(table.OnTime(601*msec)); live != 1 || onTime != 0 {
		t.Errorf("%d live and %d on time after more than four heartbeat intervals", live, onTime)
	}
	many := New("10.0.0.1", Config{})
	for i := range 400 {
		many.HandleHeartbeat(heartbeat(fmt.Sprintf("10.1.%d.%d", i/200, i%200), 1, 1), 0)
	}
	if n := len(many.OnTime(1200 * msec)); n != 400 {
		t.Errorf("%d of 400 on time after three of their heartbeat intervals", n)
	}
}
