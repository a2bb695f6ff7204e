package gateway

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

// failFirst returns a handler that fails the first attempt of each request and answers the others.
func failFirst() fakeplatform.Handler {
	var seen sync.Map
	return func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		if _, again := seen.LoadOrStore(s.ID(), true); !again {
			_, _ = conn.Write([]byte("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + s.ID() + "\r\nContent-Length: 0\r\n\r\n"))
			return true
		}
		return fakeplatform.Echo(s, conn)
	}
}

// askAtOnce sends requests at the same time to entries in turn, and returns how many were served.
func askAtOnce(entries []*entry, prefix string, requests int) int {
	var served atomic.Int64
	var wg sync.WaitGroup
	for n := range requests {
		wg.Go(func() {
			if r := entries[n%len(entries)].ask("GET", "/look/x", prefix+strconv.Itoa(n)); r.status == http.StatusOK {
				served.Add(1)
			}
		})
	}
	wg.Wait()
	return int(served.Load())
}

// Several entries claim from the reserve at the same moment, and all but one of their writes meet a ledger
// that has changed.
func TestEntriesThatClaimTogetherAreAllServed(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore(t)
	store.Configure(1, fakeplatform.Routes(), "key-1")
	handler := failFirst()
	for _, id := range []string{"i-a", "i-b"} {
		store.Serve(t, id, handler)
	}
	first := start(t, settingsFor(store))
	entries := []*entry{first, start(t, settingsFor(store, first.settings.IP)), start(t, settingsFor(store, first.settings.IP))}
	const requests = 9
	if served := askAtOnce(entries, "r", requests); served != requests {
		t.Errorf("%d of %d requests were served", served, requests)
	}
	claimed := int64(0)
	for _, e := range entries {
		for _, b := range e.fleet.retries.dump() {
			claimed += b.Claimed
		}
	}
	if claimed < requests || claimed > 2*requests {
		t.Errorf("%d retries were claimed for %d requests", claimed, requests)
	}
}

// timeAwait returns how long a request waits for a token, and whether it gets one.
func timeAwait(t *testing.T, e *entry) (time.Duration, bool) {
	t.Helper()
	began := time.Now()
	_, ok := e.fleet.retries.await(t.Context(), "app", maxClaimWait)
	return time.Since(began), ok
}

// The reserve is spent, and each request waits in vain for a claim.
func TestRequestsDoNotWaitForASpentReserve(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore(t)
	store.Configure(1, fakeplatform.Routes(), "key-1")
	store.Serve(t, "i-a", fakeplatform.Echo)
	settings := settingsFor(store)
	settings.Bounds.RetryReserve = 10
	e := start(t, settings)
	const claimable = 9
	for n := range claimable {
		if took, ok := timeAwait(t, e); !ok {
			t.Fatalf("claim %d of %d was refused after %s", n+1, claimable, took)
		}
	}
	if _, ok := timeAwait(t, e); ok {
		t.Error("more was claimed than the reserve has")
	}
	for range 20 {
		if took, ok := timeAwait(t, e); ok || took > maxClaimWait/2 {
			t.Fatalf("with the reserve spent a request waited %s, granted %v", took, ok)
		}
	}
}

// The store does not answer, and requests wait for a claim until it does.
func TestRequestsDoNotWaitForAStoreThatIsAway(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore(t)
	store.Configure(1, fakeplatform.Routes(), "key-1")
	store.Serve(t, "i-a", fakeplatform.Echo)
	endpoint := store.NewEndpoint(t)
	settings := settingsFor(store)
	settings.Store.Address = endpoint.Address
	e := start(t, settings)
	endpoint.Unavailable.Store(true)
	if took, ok := timeAwait(t, e); ok || took > 2*maxClaimWait {
		t.Errorf("the first request waited %s, granted %v", took, ok)
	}
	if took, ok := timeAwait(t, e); ok || took > maxClaimWait/2 {
		t.Errorf("the next request waited %s, granted %v", took, ok)
	}
	endpoint.Unavailable.Store(false)
	e.until("retries are claimed again", func() bool {
		_, ok := timeAwait(t, e)
		return ok
	})
}

// The store is slow, and the retry of a request with seconds to go is lost before it answers.
func TestRetriesAreClaimedFromASlowStore(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore(t)
	store.Configure(1, fakeplatform.Routes(), "key-1")
	handler := failFirst()
	for _, id := range []string{"i-a", "i-b"} {
		store.Serve(t, id, handler)
	}
	endpoint := store.NewEndpoint(t)
	settings := settingsFor(store)
	settings.Store.Address = endpoint.Address
	e := start(t, settings)
	endpoint.DelayMs.Store(200)
	if r := e.ask("GET", "/look/x", "r1"); r.status != http.StatusOK {
		t.Errorf("got %s", r)
	}
}
