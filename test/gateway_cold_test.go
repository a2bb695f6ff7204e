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
	coldRate = 20
	coldMost = coldRate*1.5 + 5
	// calmAfter is how long callers press once the disturbance is over.
	calmAfter = 4 * time.Second
)

// arrivalTimes are the times at which a server got requests.
type arrivalTimes struct {
	mu  sync.Mutex
	all []time.Duration
}

func (a *arrivalTimes) note(at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, at)
}

func (a *arrivalTimes) clear() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = nil
}

// last is when the last one came.
func (a *arrivalTimes) last() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Max(append(a.all, 0))
}

// busiest returns the most arrivals in any window, and when the first of them came.
func (a *arrivalTimes) busiest(window time.Duration) (most int, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.Sort(a.all)
	first := 0
	for last := range a.all {
		for first < last && a.all[last]-a.all[first] >= window {
			first++
		}
		if n := last - first + 1; n > most {
			most, at = n, a.all[first]
		}
	}
	return most, at
}

// stallWatch measures for how long this process stood still at most: what it notes may be as
// much too late.
type stallWatch struct {
	stop, done chan struct{}
	worst      time.Duration
}

func watchStalls() *stallWatch {
	const each = 5 * time.Millisecond
	w := &stallWatch{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for last := time.Now(); !isClosed(w.stop); {
			time.Sleep(each)
			now := time.Now()
			w.worst = max(w.worst, now.Sub(last)-each)
			last = now
		}
	}()
	return w
}

// end returns the longest stall, and a margin for goroutines that waited for others.
func (w *stallWatch) end() time.Duration {
	const margin = 100 * time.Millisecond
	close(w.stop)
	<-w.done
	return w.worst + margin
}

// A server is cold and bears little, and callers press for it through all entries. In no
// second may it get more than it bears, from all of them together: also when all entries are
// killed at once and none knows yet how many there are, when they are killed again and again,
// and when frozen ones, which the others have given up, wake. Afterwards callers are served.
func TestGatewaysSpareAColdServer(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		disturb func(s *site)
	}{
		{"calm", func(*site) {}},
		{"all are killed", func(s *site) {
			for range 3 {
				s.killAll()
				s.awaitWhole()
			}
		}},
		{"all are killed again before they know each other", func(s *site) {
			for range 12 {
				s.killAll()
				time.Sleep(250 * time.Millisecond)
			}
			s.awaitWhole()
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
				s.awaitWhole()
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			got := &arrivalTimes{}
			s := startSite(t, 4, func(seen fakeplatform.ReceivedRequest, conn net.Conn) bool {
				got.note(time.Since(began))
				return fakeplatform.Echo(seen, conn)
			})
			s.coldServer("i-a")
			stalls := watchStalls()
			got.clear()
			stop := s.callGateways(t, 16)
			c.disturb(s)
			time.Sleep(calmAfter)
			served := stop()
			// What came within a window that is shorter by the longest stall came within a
			// second, however late it was noted. After a stall of a whole second nothing is told.
			window := time.Second - stalls.end()
			most, at := got.busiest(window)
			t.Logf("at most %d requests in %s, from %s on; %d served in %s", most, window.Round(time.Millisecond), at.Round(time.Millisecond), served, time.Since(began).Round(time.Second))
			if most > coldMost {
				t.Errorf("the cold server got %d requests within a second, %v at most", most, coldMost)
			}
			if least := coldRate * calmAfter.Seconds() / 2; float64(served) < least {
				t.Errorf("callers got %d answers, %v at least", served, least)
			}
		})
	}
}

// coldServer leaves one server, which is cold, of a service that says what a cold one bears.
func (s *site) coldServer(id string) {
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

// killAll kills all gateways at the same moment and starts them again.
func (s *site) killAll() {
	for _, g := range s.gateways {
		g.Signal(syscall.SIGKILL)
	}
	for _, g := range s.gateways {
		g.Kill()
		g.Restart()
	}
}
