package test

import (
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

const (
	// coldRate is how many requests a second a cold server can take. maxColdPerSecond is the limit
	// for any one second over all gateways: the site's settings allow one and a half times coldRate
	// and five requests more.
	coldRate         = 20
	maxColdPerSecond = coldRate*1.5 + 5
	// calmDuration is how long callers send after the last fault.
	calmDuration = 4 * time.Second
)

// arrivalTimes records when a server received requests.
type arrivalTimes struct {
	mu    sync.Mutex
	times []time.Duration
}

func (a *arrivalTimes) record(at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, at)
}

func (a *arrivalTimes) clear() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = nil
}

// count returns the number of arrivals.
func (a *arrivalTimes) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.times)
}

// last returns the time of the last arrival.
func (a *arrivalTimes) last() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Max(append(a.times, 0))
}

// maxInWindow returns the largest number of arrivals in any window, and when that window starts.
func (a *arrivalTimes) maxInWindow(window time.Duration) (count int, start time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.Sort(a.times)
	first := 0
	for last := range a.times {
		for first < last && a.times[last]-a.times[first] >= window {
			first++
		}
		if n := last - first + 1; n > count {
			count, start = n, a.times[first]
		}
	}
	return count, start
}

// stallMonitor measures the longest stall of this process: recorded times may be late by as much.
type stallMonitor struct {
	stop, done chan struct{}
	longest    time.Duration
}

func startStallMonitor() *stallMonitor {
	const interval = 5 * time.Millisecond
	w := &stallMonitor{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for last := time.Now(); !isClosed(w.stop); {
			time.Sleep(interval)
			now := time.Now()
			w.longest = max(w.longest, now.Sub(last)-interval)
			last = now
		}
	}()
	return w
}

// finish returns the longest stall and a margin for goroutines that waited for others.
func (w *stallMonitor) finish() time.Duration {
	const margin = 100 * time.Millisecond
	close(w.stop)
	<-w.done
	return w.longest + margin
}

// A cold server can take few requests, and callers send to it through all gateways. In no second
// may all gateways together send it more than that: also when all gateways are killed at once and
// none knows yet how many there are, when this happens repeatedly, and when paused gateways resume
// that the others have already dropped. Afterwards callers must be served.
func TestGatewaysLimitRateToAColdServer(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		disturb func(s *site)
	}{
		{"calm", func(*site) {}},
		{"all are killed", func(s *site) {
			for range 3 {
				s.killAndRestartAll()
				s.waitUntilConnected()
			}
		}},
		{"all are killed again before they know each other", func(s *site) {
			for range 12 {
				s.killAndRestartAll()
				time.Sleep(250 * time.Millisecond)
			}
			s.waitUntilConnected()
		}},
		{"all but one are frozen, and wake", func(s *site) {
			for range 2 {
				for _, g := range s.gateways[1:] {
					g.Pause()
				}
				time.Sleep(2 * time.Second)
				for _, g := range s.gateways[1:] {
					g.Continue()
				}
				s.waitUntilConnected()
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			arrived := &arrivalTimes{}
			s := startSite(t, 4, func(seen fakeplatform.ReceivedRequest, conn net.Conn) bool {
				arrived.record(time.Since(began))
				return fakeplatform.Echo(seen, conn)
			})
			s.keepOneColdServer("i-a")
			stalls := startStallMonitor()
			arrived.clear()
			stop := s.startCallers(t, 16)
			c.disturb(s)
			time.Sleep(calmDuration)
			served := stop()
			// Arrivals within a window that is shorter by the longest stall happened within one
			// second, however late they were recorded. A stall of a whole second leaves nothing to
			// check.
			window := time.Second - stalls.finish()
			count, start := arrived.maxInWindow(window)
			t.Logf("at most %d requests in %s, from %s on; %d served in %s", count, window.Round(time.Millisecond), start.Round(time.Millisecond), served, time.Since(began).Round(time.Second))
			if count > maxColdPerSecond {
				t.Errorf("the cold server got %d requests within a second, want at most %v", count, maxColdPerSecond)
			}
			if minServed := coldRate * calmDuration.Seconds() / 2; float64(served) < minServed {
				t.Errorf("callers got %d answers, want at least %v", served, minServed)
			}
		})
	}
}

// keepOneColdServer removes all servers but one, which is cold, of a service with a cold limit.
func (s *site) keepOneColdServer(id string) {
	s.t.Helper()
	services := []fakeplatform.Service{{Name: "app", HealthPath: "/healthz", ColdPerS: coldRate, ColdStartS: 60}}
	s.store.ConfigureServices(2, services, fakeplatform.Routes(), fakeplatform.CallerKey)
	for _, server := range s.servers {
		if server.ID() != id {
			s.store.Put("keyed.servers", server.ID(), "")
		}
	}
	s.servers = slices.DeleteFunc(s.servers, func(server *fakeplatform.Server) bool { return server.ID() != id })
	waitFor(s.t, "the cold server is the only one", func() bool {
		for _, g := range s.gateways {
			if state, err := g.state(); err != nil || state.Config != 2 || len(state.Servers) != 1 {
				return false
			}
		}
		return true
	})
}

// killAndRestartAll kills all gateways at the same moment and starts them again.
func (s *site) killAndRestartAll() {
	for _, g := range s.gateways {
		g.Signal(syscall.SIGKILL)
	}
	for _, g := range s.gateways {
		g.Kill()
		g.Restart()
	}
}
