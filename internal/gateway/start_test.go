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

// Callers' connections would be refused if an entry reported itself ready and sent heartbeats
// before its listener is open. Here opening the listener is delayed; until it is open, the entry
// must do nothing that makes it known, and must not read the store.
func TestAnEntryListensBeforeItIsKnown(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore(t)
	store.Configure(1, fakeplatform.Routes(), "key-1")
	store.Serve(t, "i-a", fakeplatform.Echo)
	storeEndpoint := store.NewEndpoint(t)
	settings := settingsFor(store)
	settings.Store.Address = storeEndpoint.Address
	opening, open := make(chan struct{}), make(chan struct{})
	// The library may open more than one kind of socket. A gateway sets no options on it.
	signalOpening := sync.OnceFunc(func() { close(opening) })
	g := newGateway(settings, log.NewNopLogger())
	g.listen.Control = func(_, address string, _ syscall.RawConn) error {
		if address == settings.Listen.Callers {
			signalOpening()
			<-open
		}
		return nil
	}
	e := launch(t, g)
	<-opening
	time.Sleep(settleTime)
	if n := storeEndpoint.Calls.Load(); n != 0 {
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

// settleTime is long enough for an entry to read the store many times.
const settleTime = 300 * time.Millisecond

// The address for callers is in use by another process. The entry's process must end and say why.
func TestAnEntryThatCannotListenEnds(t *testing.T) {
	t.Parallel()
	settings := settingsFor(fakeplatform.NewStore(t))
	taken, err := net.Listen("tcp", settings.Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	err = newGateway(settings, log.NewNopLogger()).run(ctx)
	if err == nil || !strings.Contains(err.Error(), "listen for callers") {
		t.Errorf("the entry ended with %v", err)
	}
}

// A part of the entry has ended, here the one that receives heartbeats, and the entry goes on
// serving callers without applying any change. The process must end instead, so that the platform
// restarts it.
func TestAnEntryEndsWithAnyOfItsParts(t *testing.T) {
	t.Parallel()
	_, _, e := startWorld(t, fakeplatform.Echo)
	_ = e.socket.Close()
	select {
	case err := <-e.done:
		if err == nil || !strings.Contains(err.Error(), "receive heartbeats") {
			t.Errorf("the entry ended with %v", err)
		}
		e.done <- err
	case <-time.After(testTimeout):
		t.Error("the entry goes on without receiving heartbeats")
	}
}

// Many entries restart at once, and a caller's request reaches one that does not know the
// configuration yet. It must wait for the moment that the entry needs, and be served: its caller has
// few attempts, and the other entries start as well.
func TestARequestWaitsForAnEntryThatStarts(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore(t)
	e := launch(t, newGateway(settingsFor(store), log.NewNopLogger()))
	e.until("the entry listens", func() bool { return e.view.Load() != nil })
	answer := make(chan reply, 1)
	go func() { answer <- e.ask("GET", "/look/1", "a") }()
	time.Sleep(settleTime)
	store.Configure(1, fakeplatform.Routes(), "key-1")
	store.Serve(t, "i-a", fakeplatform.Echo)
	if r := <-answer; r.status != 200 {
		t.Errorf("the caller got %v", r)
	}
}
