package gateway

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/keyed"
	"github.com/apricothub/apricothub/coord/peering"
	"github.com/apricothub/apricothub/platform"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

// controlFleet is the control of many entries in virtual time, with a network and a store between them.
type controlFleet struct {
	t       *testing.T
	now     time.Duration
	entries []*simulatedControl
	byIP    map[string]*simulatedControl
	// events happen at a tick.
	events map[time.Duration][]func()
	// operators and servers are the records of the store, listed its list of entries; isStoreDown means
	// that it answers nobody.
	operators, servers platform.Listing
	listed             []peering.Member
	isStoreDown        bool
	// storeCalls counts the calls to the store, stateBytes the bytes of records that entries fetched.
	storeCalls, stateBytes int
}

// simulatedControl is the control of one entry.
type simulatedControl struct {
	*control
	nextRead map[string]time.Duration
	hasAsked bool
	// fetches counts the records being fetched from it.
	fetches int
}

const (
	controlTick = 50 * msec
	// fetchTime is how long fetching records takes.
	fetchTime = 150 * msec
	// maxStartCalls limits the calls of a start or return of all at any size, since the same few ask. A return of
	// 528 entries is to take less than 2,000.
	maxStartCalls = 500
	// listingCalls is the number of calls of a complete listing: pages of 200 of a thousand servers.
	listingCalls = 5
)

func newControlFleet(t *testing.T, n, servers int) *controlFleet {
	store := fakeplatform.NewStore(t)
	store.Configure(1, fakeplatform.Routes(), "key-1")
	client := platform.NewStore(store.Address(), newGateway(settingsFor(store), log.NewNopLogger()).peerClient.Transport)
	operators, err := client.ListNewest(context.Background(), platform.TopicOperators)
	if err != nil {
		t.Fatal(err)
	}
	f := &controlFleet{t: t, byIP: make(map[string]*simulatedControl), events: make(map[time.Duration][]func()), operators: operators}
	for i := range servers {
		f.putServer(i, 1)
	}
	for i := range n {
		settings := settingsFor(store)
		settings.IP = fmt.Sprintf("10.%d.%d.%d", 1+i%5, i/250, 1+i%250)
		settings.VM, settings.FailureDomain = "vm-"+settings.IP, fmt.Sprint("d", i%5)
		for s := range 3 {
			settings.Seeds = append(settings.Seeds, fmt.Sprintf("10.%d.0.%d", 1+s, 1+s))
		}
		f.start(settings)
	}
	return f
}

// putServer writes a registration; a new generation of it differs from the last one.
func (f *controlFleet) putServer(i, generation int) {
	record := keyed.Record{
		Key: fmt.Sprint("i-", i), Offset: f.servers.End,
		Value: fmt.Appendf(nil, `{"service":"app","address":"10.0.%d.%d:80","zone":"a","concurrency":%d,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":1}`, i/250, i%250, 3+generation),
	}
	f.servers.Records = slices.DeleteFunc(f.servers.Records, func(r keyed.Record) bool { return r.Key == record.Key })
	f.servers.Records = append(f.servers.Records, record)
	f.servers.End++
}

func (f *controlFleet) start(settings *platform.Settings) {
	g := newGateway(settings, log.NewNopLogger())
	g.incarnation = uint64(1 + f.now/msec)
	e := &simulatedControl{control: newControl(g, log.NewNopLogger(), f.now), nextRead: make(map[string]time.Duration)}
	e.send = func(b *api.PeerBeat, ips []string) {
		data, err := proto.Marshal(b)
		if err != nil {
			f.t.Fatal(err)
		}
		for _, ip := range ips {
			f.after(controlTick, func() { f.deliver(ip, data) })
		}
	}
	e.fetch = func(ip string, operators, servers int64) { f.fetch(e, ip, operators, servers) }
	i := slices.IndexFunc(f.entries, func(old *simulatedControl) bool { return old.g.settings.IP == settings.IP })
	if i >= 0 {
		f.entries[i] = e
	} else {
		f.entries = append(f.entries, e)
	}
	f.byIP[settings.IP] = e
}

func (f *controlFleet) after(d time.Duration, do func()) {
	f.events[f.now+d] = append(f.events[f.now+d], do)
}

func (f *controlFleet) deliver(ip string, data []byte) {
	b := &api.PeerBeat{}
	if err := proto.Unmarshal(data, b); err != nil {
		f.t.Fatal(err)
	}
	if e := f.byIP[ip]; e != nil {
		e.applyHeartbeat(b, f.now)
	}
}

// fetch answers after fetchTime with the records of another entry, unless too many fetch from it.
func (f *controlFleet) fetch(e *simulatedControl, ip string, operators, servers int64) {
	from := f.byIP[ip]
	if from.fetches >= maxStateResponses {
		f.after(controlTick, func() { e.applyPeerState(fetchedState{from: ip, err: errFull}, f.now) })
		return
	}
	from.fetches++
	f.after(fetchTime, func() {
		from.fetches--
		state := from.stateBeyond(stateRequest{operators: operators, servers: servers})
		f.stateBytes += proto.Size(state)
		e.applyPeerState(fetchedState{from: ip, state: state}, f.now)
	})
}

var errFull = fmt.Errorf("status 503")

// run runs all entries for a while.
func (f *controlFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += controlTick
		due := f.events[f.now]
		delete(f.events, f.now)
		for _, do := range due {
			do()
		}
		for _, e := range f.entries {
			f.readStore(e)
			e.reconcile(f.now)
		}
	}
}

// readStore makes the calls to the store that an entry makes.
func (f *controlFleet) readStore(e *simulatedControl) {
	if isClosed(e.g.askStore) && !e.hasAsked && !f.isStoreDown {
		// Its own name, the list of entries, the quarantines.
		f.storeCalls += 2 + listingCalls
		e.hasAsked = true
		list := memberList{members: f.listed, updates: make(chan memberUpdates, 1)}
		e.applyMembers(list, f.now)
	}
	if !e.g.readsStore.Load() {
		return
	}
	for topic, listing := range map[string]*platform.Listing{platform.TopicOperators: &f.operators, platform.TopicServers: &f.servers} {
		if f.now < e.nextRead[topic] {
			continue
		}
		if f.isStoreDown {
			f.storeCalls++
			e.nextRead[topic] = f.now + max(maxRetryInterval, e.g.minStoreBackoff())
			e.applyUpdate(topicUpdate{topic: topic, err: errFull, at: f.now})
			continue
		}
		f.storeCalls++
		if e.nextRead[topic] == 0 {
			f.storeCalls += listingCalls - 1
		}
		e.nextRead[topic] = f.now + e.g.timing.serversInterval
		if topic == platform.TopicOperators {
			e.nextRead[topic] = f.now + e.g.timing.operatorsLongPoll
		}
		e.applyUpdate(topicUpdate{topic: topic, listing: listing, at: f.now})
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// ready returns how many entries are ready, and how many of them know all others.
func (f *controlFleet) ready() (ready, knowAll int) {
	for _, e := range f.entries {
		if v := e.g.view.Load(); v != nil && v.ready && !e.g.leaving.Load() {
			ready++
			if v.entries == len(f.entries) {
				knowAll++
			}
		}
	}
	return ready, knowAll
}

// untilReady runs until all entries are ready and know each other, and returns how long that takes.
func (f *controlFleet) untilReady(limit time.Duration) time.Duration {
	f.t.Helper()
	for began := f.now; f.now-began < limit; {
		f.run(controlTick)
		if _, knowAll := f.ready(); knowAll == len(f.entries) {
			return f.now - began
		}
	}
	ready, knowAll := f.ready()
	f.t.Errorf("after %v, %d of %d entries are ready, %d of them know all", limit, ready, len(f.entries), knowAll)
	return limit
}

func fleetSizes() []int {
	if testing.Short() {
		return []int{50, 200}
	}
	return []int{50, 200, 800}
}

// Guards against starts and a return of all that call the store once or more for each entry.
func TestAReturnOfAllTakesFewCalls(t *testing.T) {
	t.Parallel()
	for _, n := range fleetSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			f := newControlFleet(t, n, 50)
			f.untilReady(3 * time.Second)
			for _, e := range f.entries {
				f.listed = append(f.listed, peering.Member{VM: e.g.settings.VM, IP: e.g.settings.IP})
			}
			if f.storeCalls > maxStartCalls {
				t.Errorf("the start took %d calls, want %d at most", f.storeCalls, maxStartCalls)
			}
			f.storeCalls = 0
			for _, e := range slices.Clone(f.entries) {
				f.start(e.g.settings)
			}
			f.untilReady(3 * time.Second)
			if f.storeCalls > maxStartCalls {
				t.Errorf("the return took %d calls, want %d at most", f.storeCalls, maxStartCalls)
			}
		})
	}
}

// Guards against a first start at which every entry asks the store, since there is no configuration yet that
// another one could tell.
func TestAStartBeforeTheFirstConfigurationTakesFewCalls(t *testing.T) {
	t.Parallel()
	for _, n := range fleetSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			f := newControlFleet(t, n, 50)
			operators := f.operators
			f.operators = platform.Listing{}
			f.run(4 * time.Second)
			f.operators = operators
			f.untilReady(4 * time.Second)
			if f.storeCalls > maxStartCalls {
				t.Errorf("the start took %d calls, want %d at most", f.storeCalls, maxStartCalls)
			}
		})
	}
}

// Guards against a start at which most entries ask the store, since the seeds started a moment after them and
// did not hear their first heartbeats.
func TestSeedsThatStartLastTellTheOthers(t *testing.T) {
	t.Parallel()
	for _, n := range fleetSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			f := newControlFleet(t, n, 50)
			const seeds = 3
			late := slices.Clone(f.entries[:seeds])
			f.entries = f.entries[seeds:]
			for _, e := range late {
				delete(f.byIP, e.g.settings.IP)
			}
			f.run(200 * msec)
			for _, e := range late {
				f.start(e.g.settings)
			}
			f.untilReady(3 * time.Second)
			if f.storeCalls > maxStartCalls {
				t.Errorf("the start took %d calls, want %d at most", f.storeCalls, maxStartCalls)
			}
		})
	}
}

// Guards against calls that grow with the number of entries, in peace and while the store is away.
func TestCallsToTheStoreDoNotGrowWithTheFleet(t *testing.T) {
	t.Parallel()
	for _, n := range fleetSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			f := newControlFleet(t, n, 50)
			f.untilReady(3 * time.Second)
			f.run(time.Second)
			f.storeCalls = 0
			f.run(5 * time.Second)
			// Two readers, a read in 0.7 s and one in 1.2 s.
			if f.storeCalls > 5*5 {
				t.Errorf("%d calls in 5 s, want 5 a second at most", f.storeCalls)
			}
			f.storeCalls, f.isStoreDown = 0, true
			f.run(5 * time.Second)
			// The first call of each entry is spread over storeRetryInterval, which the simulated store
			// leaves out.
			if limit := 2*n + 5*(2*storeRetriesPerSecond+2*2*3); f.storeCalls > limit {
				t.Errorf("%d calls in an outage of 5 s, want %d at most", f.storeCalls, limit)
			}
		})
	}
}

// Guards against a change of one registration that sends all registrations to all entries.
func TestAChangeIsPassedOnAlone(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, 50, 500)
	f.untilReady(3 * time.Second)
	f.run(time.Second)
	f.stateBytes = 0
	f.putServer(7, 2)
	f.run(2 * time.Second)
	for _, e := range f.entries {
		if r, ok := e.servers.Newest("i-7"); !ok || r.Offset != f.servers.End-1 {
			t.Fatalf("entry %s does not know the change", e.g.settings.IP)
		}
	}
	const maxBytesPerEntry = 400
	if f.stateBytes > 50*maxBytesPerEntry {
		t.Errorf("%d bytes of records for one change and 50 entries", f.stateBytes)
	}
}
