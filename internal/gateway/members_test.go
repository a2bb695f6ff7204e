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

// listedIP returns the IP that the store's list has for a VM; empty for none.
func listedIP(t *testing.T, store *platform.Store, vm string) string {
	t.Helper()
	listing, err := store.Newest(context.Background(), topicMembers)
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

// An entry was cut off from the others for so long that they took its name off the list. It
// lives: unless it writes its name again, entries that start later never learn of it, and each
// takes more of what all may send than its part.
func TestAnEntryWritesItsNameAgain(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore(t)
	store.Configure(1, fakeplatform.Routes(), "key-1")
	store.Serve(t, "i-a", fakeplatform.Echo)
	g := newGateway(settingsFor(store), log.NewNopLogger())
	g.membersInterval = 20 * msec
	e := launch(t, g)
	e.untilReady()
	vm := e.settings.VM
	e.until("its name stands in the list", func() bool { return listedIP(t, g.store, vm) != "" })
	store.Put(topicMembers, vm, "")
	e.until("its name stands in the list again", func() bool { return listedIP(t, g.store, vm) == e.settings.IP })
}

// VMs that were replaced long ago stand in the list. The entry that coordinates takes them off;
// others leave the list alone, and nobody takes off one that is heard or has not been silent
// for long.
func TestTheCoordinatorTakesNamesOffTheList(t *testing.T) {
	t.Parallel()
	w := newControlWorld(t)
	names := []peering.Member{{VM: "old", IP: "127.0.0.9"}, {VM: w.other.Vm, IP: w.other.Ip}, {VM: w.g.settings.VM, IP: w.g.settings.IP}}
	read := func(coordinates bool, now time.Duration) []peering.Member {
		t.Helper()
		w.heartbeat(0, now)
		w.g.view.Store(&view{isCoordinator: coordinates})
		r := memberList{members: names, removals: make(chan []peering.Member, 1)}
		w.applyMembers(r, now)
		return <-r.removals
	}
	if gone := read(true, time.Minute); len(gone) != 0 {
		t.Errorf("%v are gone at once", gone)
	}
	if gone := read(false, time.Hour); len(gone) != 0 {
		t.Errorf("an entry that does not coordinate takes %v off", gone)
	}
	if gone := read(true, time.Hour+time.Second); len(gone) != 1 || gone[0] != names[0] {
		t.Errorf("the coordinator takes %v off", gone)
	}
}
