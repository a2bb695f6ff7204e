package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/peering"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

// manyEntries is the number of other entries in the tests at scale.
const manyEntries = 98

// heartbeatsOf returns one heartbeat of each of n other entries, with a few requests in flight.
func heartbeatsOf(n int, sequence uint64) []*api.PeerBeat {
	var heartbeats []*api.PeerBeat
	for i := range n {
		b := &api.PeerBeat{
			Vm: fmt.Sprint("front-", i), Ip: fmt.Sprintf("10.0.1.%d", i+1), FailureDomain: "a", Incarnation: 1, Sequence: sequence, Serving: true,
		}
		for j := range 8 {
			b.InFlight = append(b.InFlight, peering.ServerHash(fmt.Sprint("i-", (i+int(sequence)+16*j)%129)))
		}
		heartbeats = append(heartbeats, b)
	}
	return heartbeats
}

// Guards against placing requests by outdated loads: heartbeats that are not urgent wait for the
// next tick, but their requests in flight must be known at once.
func TestLoadsOfAHeartbeatApplyAtOnce(t *testing.T) {
	t.Parallel()
	w := newControlWorld(t)
	w.g.fleet.setServers(registrations(129, 6), nil, serviceTable(0), entryCounts{1, 1}, 0)
	for _, b := range heartbeatsOf(manyEntries, 1) {
		w.applyHeartbeat(b, time.Second)
	}
	want := 0
	for _, s := range w.g.fleet.servers {
		if s.othersInFlight != w.peerLoads.At(s.hash) {
			t.Errorf("%d requests in flight known at %s, want %d", s.othersInFlight, s.ID, w.peerLoads.At(s.hash))
		}
		want += s.othersInFlight
	}
	if want != 8*manyEntries {
		t.Errorf("%d requests in flight in total, want %d", want, 8*manyEntries)
	}
}

// Guards against acting late on what cannot wait for a tick: an entry that begins to leave, a new
// coordinator, an impaired server, and records of the store that this entry lacks.
func TestUrgentHeartbeats(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		change func(b *api.PeerBeat)
		want   bool
	}{
		"same state":        {func(*api.PeerBeat) {}, false},
		"other loads":       {func(b *api.PeerBeat) { b.InFlight = nil }, false},
		"begins to leave":   {func(b *api.PeerBeat) { b.Leaving = true }, true},
		"new fence":         {func(b *api.PeerBeat) { b.Fence = 7 }, true},
		"impaired server":   {func(b *api.PeerBeat) { b.Paces = []*api.ServerPace{{Id: "i-1", Pace: 3}} }, true},
		"newer records":     {func(b *api.PeerBeat) { b.ServersChanged = 100 }, true},
		"older heartbeat":   {func(b *api.PeerBeat) { b.Sequence, b.Leaving = 1, true }, false},
		"records known yet": {func(b *api.PeerBeat) { b.ServersChanged = 1 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newControlWorld(t)
			w.applyHeartbeat(heartbeatsOf(1, 1)[0], time.Second)
			w.reconcile(time.Second)
			b := heartbeatsOf(1, 2)[0]
			c.change(b)
			if got := w.applyHeartbeat(b, time.Second+msec); got != c.want {
				t.Errorf("urgent: %v, want %v", got, c.want)
			}
		})
	}
}

// An entry with requests in flight dies. Its requests must stop counting once it is silent.
func TestLoadsOfASilentEntryAreDropped(t *testing.T) {
	t.Parallel()
	w := newControlWorld(t)
	w.applyHeartbeat(heartbeatsOf(1, 1)[0], time.Second)
	w.reconcile(time.Second)
	w.reconcile(3 * time.Second)
	if n := w.peerLoads.At(peering.ServerHash("i-1")); n != 0 {
		t.Errorf("%d requests in flight are known of a silent entry", n)
	}
}

func newBenchmarkControl(b *testing.B) *control {
	store := fakeplatform.NewStore(b)
	g := newGateway(settingsFor(store), log.NewNopLogger())
	c := newControl(g, log.NewNopLogger(), 0)
	g.fleet.setServers(registrations(129, 6), nil, serviceTable(0), entryCounts{manyEntries + 1, manyEntries + 1}, 0)
	return c
}

// BenchmarkHeartbeats measures one heartbeat of each of 98 other entries.
func BenchmarkHeartbeats(b *testing.B) {
	c := newBenchmarkControl(b)
	sequence := uint64(0)
	for b.Loop() {
		sequence++
		for _, heartbeat := range heartbeatsOf(manyEntries, sequence) {
			c.applyHeartbeat(heartbeat, time.Second)
		}
	}
}

// BenchmarkTick measures one tick with 98 other entries and 129 servers.
func BenchmarkTick(b *testing.B) {
	c := newBenchmarkControl(b)
	for _, heartbeat := range heartbeatsOf(manyEntries, 1) {
		c.applyHeartbeat(heartbeat, time.Second)
	}
	for b.Loop() {
		c.g.fleet.setPeerReports(c.peerLoads, nil, time.Second)
		live := c.peers.Live(time.Second)
		c.logPeerChanges(live)
		c.publishView(live, time.Second)
	}
}

// With 99 entries, heartbeats are most of the bytes between failure domains. One must stay small.
func TestAHeartbeatIsSmall(t *testing.T) {
	const maxBytes = 180
	b := heartbeatsOf(1, 1<<20)[0]
	b.Vm, b.FailureDomain, b.Ip, b.CallersAddress = "front-south-a-12", "south-a", "10.1.0.12", "10.1.0.12:8600"
	b.Incarnation, b.OperatorsNext, b.ServersNext, b.OperatorsChanged, b.ServersChanged = 1<<60, 40, 3000, 40, 3000
	b.OperatorsAgeMs, b.ServersAgeMs = 900, 300
	var others []string
	for i := range maxOthers {
		others = append(others, fmt.Sprint("10.1.0.", i))
	}
	b.OtherIps = peering.PackIPs(others)
	if n := proto.Size(b); n > maxBytes {
		t.Errorf("a heartbeat takes %d bytes, want at most %d", n, maxBytes)
	}
}
