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
	// coldRate is what a cold server bears, requests a second, coldMost the most that it may
	// get in any one second from all entries together: by the settings of the site one and a
	// half times as many and five besides.
	coldRate         = 20
	maxColdPerSecond = coldRate*1.5 + 5
	// calmDuration is how long callers press once the disturbance is over.
	calmDuration = 4 * time.Second
)

// arrivalTimes are the times at which a server got requests.
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

// last is when the last one came.
func (a *arrivalTimes) last() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Max(append(a.times, 0))
}

// maxInWindow returns the most arrivals in any window, and when the first of them came.
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

// stallMonitor measures for how long this process stood still at most: what it notes may be as
// much too late.
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

// finish returns the longest stall, and a margin for goroutines that waited for others.
func (w *stallMonitor) finish() time.Duration {
	const margin = 100 * time.Millisecond
	close(w.stop)
	<-w.done
	return w.longest + margin
}

// A server is cold and bears little, and callers press for it through all entries. In no
// second may it get more than it bears, from all of them together: also when all entries are
// killed at once and none knows yet how many there are, when they are killed again and again,
// and when frozen ones, which the others have given up, wake. Afterwards callers are served.
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
			s := startSite(t, 4, func(seen fakeplatform.Seen, conn net.Conn) bool {
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
			// What came within a window that is shorter by the longest stall came within a
			// second, however late it was noted. After a stall of a whole second nothing is told.
			window := time.Second - stalls.finish()
			count, start := arrived.maxInWindow(window)
			t.Logf("at most %d requests in %s, from %s on; %d served in %s", count, window.Round(time.Millisecond), start.Round(time.Millisecond), served, time.Since(began).Round(time.Second))
			if count > maxColdPerSecond {
				t.Errorf("the cold server got %d requests within a second, %v at most", count, maxColdPerSecond)
			}
			if minServed := coldRate * calmDuration.Seconds() / 2; float64(served) < minServed {
				t.Errorf("callers got %d answers, %v at least", served, minServed)
			}
		})
	}
}

// keepOneColdServer leaves one server, which is cold, of a service that says what a cold one bears.
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
