package gateway

import (
	"context"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

// Callers are told to connect to an entry, and their connections are refused: the entry has
// called itself ready, and beaten to the others, before its listener was open. Here opening it
// takes as long as the test likes; until then the entry may do nothing that makes it known,
// and does not read the store.
func TestAnEntryListensBeforeItIsKnown(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore(t)
	store.Configure(1, fakeplatform.Routes(), "key-1")
	store.Serve(t, "i-a", fakeplatform.Echo)
	door := store.Door(t)
	settings := settingsFor(store)
	settings.Store.Address = door.Address
	opening, open := make(chan struct{}), make(chan struct{})
	// The library may try a second kind of socket.
	signalOpening := sync.OnceFunc(func() { close(opening) })
	g := newGateway(settings, log.NewNopLogger())
	usual := g.listen.Control
	g.listen.Control = func(network, address string, c syscall.RawConn) error {
		if address == settings.Listen.Callers {
			signalOpening()
			<-open
		}
		return usual(network, address, c)
	}
	e := launch(t, g)
	<-opening
	time.Sleep(settleTime)
	if n := door.Calls.Load(); n != 0 {
		t.Errorf("the entry called the store %d times while it did not listen", n)
	}
	if e.view.Load() != nil {
		t.Error("the entry knew of its readiness while it did not listen")
	}
	close(open)
	e.untilReady()
	if r := e.ask("GET", "/look/1", "a"); r.err != nil {
		t.Errorf("the caller got %v", r)
	}
}

// settleTime is time enough for an entry to read the store many times over.
const settleTime = 300 * time.Millisecond

// The address for callers is taken by another process. The entry's process ends and says why.
func TestAnEntryThatCannotListenEnds(t *testing.T) {
	t.Parallel()
	settings := settingsFor(fakeplatform.NewStore(t))
	taken, err := net.Listen("tcp", settings.Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), generous)
	defer cancel()
	err = newGateway(settings, log.NewNopLogger()).run(ctx)
	if err == nil || !strings.Contains(err.Error(), "listen for callers") {
		t.Errorf("the entry ended with %v", err)
	}
}

// Callers go on being served by an entry that no longer takes in any change: a part of it has
// ended, here the one that hears other entries, and the rest waits for it for good. The
// process must end instead, so that the platform starts it again.
func TestAnEntryEndsWithAnyOfItsParts(t *testing.T) {
	t.Parallel()
	_, _, e := startWorld(t, fakeplatform.Echo)
	_ = e.socket.Close()
	select {
	case err := <-e.done:
		if err == nil || !strings.Contains(err.Error(), "beats") {
			t.Errorf("the entry ended with %v", err)
		}
		e.done <- err
	case <-time.After(generous):
		t.Error("the entry goes on without hearing others")
	}
}
