package peering

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

// simulatedFleet is the tables of many entries with a network between them, in virtual time.
type simulatedFleet struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Duration
	nodes []*simulatedEntry
	byIP  map[string]*simulatedEntry
	// inTransit are the datagrams under way, by the tick at which they arrive.
	inTransit map[time.Duration][]datagram
	// lossRatio is the share of datagrams that are lost.
	lossRatio float64
	// isCut reports whether nothing passes from one entry to another; nil for no cut.
	isCut func(from, to *simulatedEntry) bool
}

type simulatedEntry struct {
	*Table
	ip, domain  string
	capacity    uint32
	incarnation uint64
	sequence    uint64
	alive       bool
	leaving     bool
	// isEarlierVersion means that it knows no digests.
	isEarlierVersion bool
	// urgent makes the next heartbeat due at once.
	urgent           bool
	operatorsChanged int64
	inFlight         []uint32
	// Totals since reset.
	sent, received, sentBytes, receivedBytes, handled int
}

type datagram struct {
	from, to *simulatedEntry
	data     []byte
}

const simulatedTick = 50 * msec

// newSimulatedFleet returns n entries that start at the same time, in five failure domains. Every tenth
// one is large.
func newSimulatedFleet(t *testing.T, n int, seed uint64) *simulatedFleet {
	f := &simulatedFleet{
		t: t, rng: rand.New(rand.NewPCG(seed, seed)), byIP: make(map[string]*simulatedEntry),
		inTransit: make(map[time.Duration][]datagram), lossRatio: 0.01,
	}
	for i := range n {
		e := &simulatedEntry{ip: fmt.Sprintf("10.%d.%d.%d", 1+i%5, i/250, 1+i%250), domain: fmt.Sprint("d", i%5), capacity: 384}
		if i/5%10 == 0 {
			e.capacity = 1600
		}
		f.nodes = append(f.nodes, e)
		f.byIP[e.ip] = e
	}
	for _, e := range f.nodes {
		f.start(e)
	}
	return f
}

// start starts an entry anew. It knows three seeds, as the settings name them.
func (f *simulatedFleet) start(e *simulatedEntry) {
	e.Table = New(e.ip, Config{FailureDomain: e.domain, Capacity: e.capacity})
	for i := range 3 {
		e.AddPeer(f.nodes[i*(len(f.nodes)/3)].ip, f.now)
	}
	e.incarnation, e.sequence, e.alive, e.leaving = uint64(1+f.now/msec)<<20|f.rng.Uint64N(1<<20), 0, true, false
}

// run runs the fleet for a while; before each tick it calls do, if set.
func (f *simulatedFleet) run(d time.Duration, do func()) {
	for end := f.now + d; f.now < end; {
		f.now += simulatedTick
		if do != nil {
			do()
		}
		arrived := f.inTransit[f.now]
		delete(f.inTransit, f.now)
		for _, dg := range arrived {
			f.deliver(dg)
		}
		for _, e := range f.nodes {
			if e.alive {
				f.tick(e)
			}
		}
	}
}

func (f *simulatedFleet) deliver(dg datagram) {
	if !dg.to.alive {
		return
	}
	b := &api.PeerBeat{}
	if err := proto.Unmarshal(dg.data, b); err != nil {
		f.t.Fatal(err)
	}
	dg.to.received++
	dg.to.receivedBytes += len(dg.data)
	dg.to.HandleHeartbeat(b, f.now)
	if dg.to.isEarlierVersion {
		return
	}
	dg.to.handled += 1 + len(dg.to.HandleDigest(b, f.now))
}

func (f *simulatedFleet) tick(e *simulatedEntry) {
	var others []string
	live := e.Live(f.now)
	for i := range min(8, len(live)) {
		others = append(others, live[(int(e.sequence)*8+i)%len(live)].GetIp())
	}
	var messages []Message
	if e.isEarlierVersion {
		messages = []Message{{IPs: e.TakeDue(f.now, false)}}
	} else {
		messages = e.TakeMessages(e.leaving, e.urgent, f.now)
	}
	e.urgent = false
	for _, m := range messages {
		e.sequence++
		b := &api.PeerBeat{
			Vm: "front-" + e.ip, Ip: e.ip, FailureDomain: e.domain, Capacity: e.capacity, Incarnation: e.incarnation, Sequence: e.sequence,
			CallersAddress: e.ip + ":8227", Serving: !e.leaving, Leaving: e.leaving, InFlight: e.inFlight, MembersKnown: e.MembersKnown(),
			OperatorsAgeMs: -1, ServersAgeMs: -1, OperatorsChanged: max(40, e.operatorsChanged), ServersChanged: 3000, Relay: e.Relay(), ReadsDigests: !e.isEarlierVersion, Digest: m.Digest, OtherIps: PackIPs(others),
		}
		data, err := proto.Marshal(b)
		if err != nil {
			f.t.Fatal(err)
		}
		for _, ip := range m.IPs {
			f.send(e, f.byIP[ip], data)
		}
	}
}

func (f *simulatedFleet) send(from, to *simulatedEntry, data []byte) {
	from.sent++
	from.sentBytes += len(data)
	if to == nil || f.isCut != nil && f.isCut(from, to) || f.rng.Float64() < f.lossRatio {
		return
	}
	at := f.now + simulatedTick
	f.inTransit[at] = append(f.inTransit[at], datagram{from, to, data})
}

// churnLoad gives a share of the entries other requests in flight.
func (f *simulatedFleet) churnLoad(perSecond float64) func() {
	return func() {
		for _, e := range f.nodes {
			if f.rng.Float64() < perSecond*simulatedTick.Seconds() {
				e.inFlight = []uint32{f.rng.Uint32N(1000)}
			}
		}
	}
}

// ignorance returns how many live entries some live entry does not know to be live, in all, and how many
// dead ones some take for live.
func (f *simulatedFleet) ignorance() (missing, ghosts int) {
	alive := 0
	for _, e := range f.nodes {
		if e.alive {
			alive++
		}
	}
	for _, e := range f.nodes {
		if !e.alive {
			continue
		}
		known := 0
		for _, b := range e.Live(f.now) {
			if f.byIP[b.GetIp()].alive {
				known++
			} else {
				ghosts++
			}
		}
		missing += alive - 1 - known
	}
	return missing, ghosts
}

// until runs the fleet until nothing is missing and nobody takes a dead entry for live, and returns how
// long that took.
func (f *simulatedFleet) until(limit time.Duration) time.Duration {
	f.t.Helper()
	began := f.now
	for f.now-began < limit {
		f.run(simulatedTick, nil)
		if missing, ghosts := f.ignorance(); missing == 0 && ghosts == 0 {
			return f.now - began
		}
	}
	missing, ghosts := f.ignorance()
	f.t.Errorf("after %v: %d live entries are missing at others, %d dead ones are taken for live", limit, missing, ghosts)
	return limit
}

func (f *simulatedFleet) reset() {
	for _, e := range f.nodes {
		e.sent, e.received, e.sentBytes, e.receivedBytes, e.handled = 0, 0, 0, 0, 0
	}
}

// most returns the largest value over all entries.
func (f *simulatedFleet) most(value func(*simulatedEntry) int) int {
	return slices.Max(f.all(value))
}

func (f *simulatedFleet) all(value func(*simulatedEntry) int) []int {
	var values []int
	for _, e := range f.nodes {
		values = append(values, value(e))
	}
	slices.Sort(values)
	return values
}

func (f *simulatedFleet) median(value func(*simulatedEntry) int) int {
	values := f.all(value)
	return values[len(values)/2]
}
