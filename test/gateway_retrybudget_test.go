package test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

const (
	// retryRatio, retryReserve and retryWindow are the retry budget of all gateways: in any such window a
	// service may get retryRatio times the requests for it, and retryReserve more, as repeated arrivals.
	retryRatio   = 0.2
	retryReserve = 90
	retryWindow  = 10 * time.Second
)

// retryMeter counts the requests that callers send, and the arrivals beyond the first of each.
type retryMeter struct {
	mu            sync.Mutex
	began         time.Time
	sent, repeats []time.Duration
	arrived       map[string]int
}

func newRetryMeter() *retryMeter {
	return &retryMeter{began: time.Now(), arrived: make(map[string]int)}
}

// recordSent records that a caller sends a request.
func (m *retryMeter) recordSent() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent = append(m.sent, time.Since(m.began))
}

// recordArrival records that a request arrives at a backend server, and returns how often it has arrived.
func (m *retryMeter) recordArrival(id string) int { return m.recordArrivalAt(id, time.Now()) }

func (m *retryMeter) recordArrivalAt(id string, at time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrived[id]++
	if m.arrived[id] > 1 {
		m.repeats = append(m.repeats, at.Sub(m.began))
	}
	return m.arrived[id]
}

// check checks that the repeated arrivals of no window exceed the budget. The requests for it are those of
// the window, of the one before or of the one half a window before, whichever has most.
func (m *retryMeter) check(t *testing.T) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	slices.Sort(m.sent)
	slices.Sort(m.repeats)
	in := func(times []time.Duration, from time.Duration) int {
		first, _ := slices.BinarySearch(times, from)
		end, _ := slices.BinarySearch(times, from+retryWindow)
		return end - first
	}
	for _, from := range m.repeats {
		repeats := in(m.repeats, from)
		requests := max(in(m.sent, from), in(m.sent, from-retryWindow/2), in(m.sent, from-retryWindow))
		if allowed := retryRatio*float64(requests) + retryReserve; float64(repeats) > allowed {
			t.Errorf("%d arrivals beyond the first in %s from %s on, for %d requests: at most %.0f are allowed",
				repeats, retryWindow, from.Round(time.Millisecond), requests, allowed)
			return
		}
	}
	t.Logf("%d requests, %d arrivals beyond the first", len(m.sent), len(m.repeats))
}

// failAll is a handler that fails all requests.
func failAll(_ fakeplatform.ReceivedRequest, conn net.Conn) bool {
	_, _ = fmt.Fprint(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	return true
}

// All servers fail, and entries are killed in series or are paused: together they send more requests again
// than their common budget allows.
func TestEntriesTogetherKeepTheRetryBudget(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		disturb func(s *site)
		// long leaves the case out of short runs.
		long bool
	}{
		{"entries are killed in series", func(s *site) {
			for _, g := range s.gateways {
				g.Kill()
				g.Restart()
			}
			time.Sleep(time.Second)
		}, false},
		{"entries are paused in turn", func(s *site) {
			for _, g := range s.gateways {
				g.Pause()
				time.Sleep(time.Second)
				g.Continue()
			}
		}, true},
		{"the store goes away and comes back", func(s *site) {
			s.setStoreAway(true)
			time.Sleep(2 * time.Second)
			s.setStoreAway(false)
			time.Sleep(time.Second)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if c.long {
				skipIfShort(t)
			}
			meter := newRetryMeter()
			s := startSite(t, 4, func(seen fakeplatform.ReceivedRequest, conn net.Conn) bool {
				meter.recordArrival(seen.Request.Header.Get("Attempt-Id"))
				return failAll(seen, conn)
			})
			stop := s.startMeteredCallers(meter, 16, 50*time.Millisecond)
			for began := time.Now(); time.Since(began) < retryWindow; {
				c.disturb(s)
			}
			stop()
			meter.check(t)
			if len(meter.repeats) < retryReserve/2 {
				t.Errorf("%d arrivals beyond the first: the test proves nothing", len(meter.repeats))
			}
		})
	}
}

// startMeteredCallers starts callers that send requests that may be repeated to all gateways in turn, each
// after the pause. The returned function stops them.
func (s *site) startMeteredCallers(meter *retryMeter, callers int, pause time.Duration) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(pause):
				}
				meter.recordSent()
				fakeplatform.Send(client, s.gateways[(caller+n)%len(s.gateways)].ip, "/look/x", fmt.Sprintf("%d-%d", caller, n))
			}
		}()
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// Requests fail now and then, always at the same entry: their retries are refused although the others use
// nothing of the budget.
func TestOneEntryMayUseTheRetriesOfAll(t *testing.T) {
	t.Parallel()
	meter := newRetryMeter()
	s := startSite(t, 4, func(seen fakeplatform.ReceivedRequest, conn net.Conn) bool {
		if meter.recordArrival(seen.Request.Header.Get("Attempt-Id")) == 1 {
			return failAll(seen, conn)
		}
		return fakeplatform.Echo(seen, conn)
	})
	const requests = retryReserve / 2
	client := &http.Client{Timeout: 2 * time.Second}
	served := 0
	for n := range requests {
		meter.recordSent()
		if fakeplatform.Send(client, s.gateways[0].ip, "/look/x", fmt.Sprint(n)) == http.StatusOK {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	meter.check(t)
	if served < requests {
		t.Errorf("%d of %d requests were served whose first attempt failed", served, requests)
	}
}
