package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/coord/peering"
	"github.com/apricothub/apricothub/platform"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

// listedIP returns the IP of a VM in the store's list of entries; empty for none.
func listedIP(t *testing.T, store *platform.Store, vm string) string {
	t.Helper()
	listing, err := store.ListNewest(context.Background(), topicMembers)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range listing.Records {
		if r.Key == vm {
			return string(r.Value)
		}
	}
	return ""
}

// An entry was cut off for so long that the others removed it from the list. Unless it writes
// itself again, entries that start later never learn of it, and each takes more than its share of
// what all entries may send.
func TestAnEntryAddsItselfToTheListAgain(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore(t)
	store.Configure(1, fakeplatform.Routes(), "key-1")
	store.Serve(t, "i-a", fakeplatform.Echo)
	g := newGateway(settingsFor(store), log.NewNopLogger())
	g.membersInterval = 20 * msec
	e := launch(t, g)
	e.untilReady()
	vm := e.settings.VM
	e.until("the entry is in the list", func() bool { return listedIP(t, g.store, vm) != "" })
	store.Put(topicMembers, vm, "")
	e.until("the entry is in the list again", func() bool { return listedIP(t, g.store, vm) == e.settings.IP })
}

// The list still holds VMs that were replaced long ago. Only the first of those that read the store for all
// may remove them, and nobody may remove an entry that is heard or has not been silent for long.
func TestTheFirstReaderRemovesSilentEntries(t *testing.T) {
	t.Parallel()
	w := newControlWorld(t)
	members := []peering.Member{{VM: "old", IP: "127.0.0.9"}, {VM: w.other.Vm, IP: w.other.Ip}, {VM: w.g.settings.VM, IP: w.g.settings.IP}}
	removalsAt := func(isFirstReader bool, now time.Duration) []peering.Member {
		t.Helper()
		w.heartbeat(0, now)
		w.isFirstReader = isFirstReader
		list := memberList{members: members, updates: make(chan memberUpdates, 1)}
		w.applyMembers(list, now)
		return (<-list.updates).removals
	}
	if removals := removalsAt(true, time.Minute); len(removals) != 0 {
		t.Errorf("%v are to be removed at once", removals)
	}
	if removals := removalsAt(false, time.Hour); len(removals) != 0 {
		t.Errorf("an entry that does not read for all removes %v", removals)
	}
	if removals := removalsAt(true, time.Hour+time.Second); len(removals) != 1 || removals[0] != members[0] {
		t.Errorf("the first reader removes %v", removals)
	}
}

// The store is away, and 99 entries want to read the list of entries. Together they may not call more
// often than storeRetriesPerSecond, or the calls of an outage grow with the number of entries and
// meet a store that has just returned.
func TestTheListIsReadSeldomInAnOutage(t *testing.T) {
	t.Parallel()
	settings := settingsFor(fakeplatform.NewStore(t))
	settings.Store.Address = "127.0.0.1:1"
	g := newGateway(settings, log.NewNopLogger())
	g.storeRetryInterval.Store(int64(storeRetryInterval(false, 99)))
	ctx, cancel := context.WithTimeout(t.Context(), 1500*msec)
	defer cancel()
	_ = g.maintainMembership(ctx)
	if reads := g.metrics.storeReads.Count(); reads > 1 {
		t.Errorf("%d reads in 1.5 s, want one in 3.3 s", reads)
	}
}

// Reads that only repair what heartbeats did not tell must not grow with the number of entries.
func TestRepairReadsAreLimited(t *testing.T) {
	g := newGateway(settingsFor(fakeplatform.NewStore(t)), log.NewNopLogger())
	for entries, want := range map[int]time.Duration{1: idleInterval, 3: idleInterval, 99: 490 * time.Second, 491: 2450 * time.Second} {
		g.view.Store(&view{entries: entries})
		if got := g.repairInterval(idleInterval); got != want {
			t.Errorf("%d entries: %v between two reads, want %v", entries, got, want)
		}
	}
}
