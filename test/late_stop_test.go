package test

import (
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
	"github.com/apricothub/apricothub/test/harness"
)

// longRoutes are the usual routes with limits far beyond the grace period of a stop.
func longRoutes() []fakeplatform.Route {
	routes := fakeplatform.Routes()
	for i := range routes {
		routes[i].Timeout = 20000
	}
	return routes
}

// repeatSignals sends a process a series of signals for a time: to stop, to read its settings, and configurations.
func (s *site) repeatSignals(g *gatewayProcess, d time.Duration) {
	for n := 0; n < int(d/(200*time.Millisecond)); n++ {
		switch n % 3 {
		case 0:
			g.Signal(syscall.SIGTERM)
		case 1:
			g.Signal(syscall.SIGHUP)
		default:
			s.store.Configure(10+n, longRoutes(), fakeplatform.CallerKey)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// Guards against requests that are cut in a planned stop because they came late and their limits reach beyond its end:
// with a queue before slow servers, while signals are repeated and the configuration changes, over connections that
// callers use until the process is gone.
func TestALatePlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	const callers = 120
	s := startSite(t, 1, func(r fakeplatform.ReceivedRequest, conn net.Conn) bool {
		time.Sleep(3*time.Second + spread(r.ID(), 2*time.Second))
		return fakeplatform.Echo(r, conn)
	})
	s.store.Configure(2, longRoutes(), fakeplatform.CallerKey)
	g := s.gateways[0]
	var mu sync.Mutex
	statuses := make(map[string]int)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
			path := []string{"/push/1", "/look/1"}[i%2]
			for n := 0; !isClosed(g.Ended()); n++ {
				id := fmt.Sprintf("r%d-%d", i, n)
				status := sendLong(client, g.ip, path, id)
				mu.Lock()
				statuses[id] = status
				mu.Unlock()
				if status != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	// The first requests have ended, so that it is known how long they take.
	time.Sleep(6 * time.Second)
	s.repeatSignals(g, 7*time.Second)
	select {
	case <-g.Ended():
	case <-time.After(siteTimeout):
		t.Fatal("the gateway has not exited")
	}
	wg.Wait()
	s.checkSentRequests(statuses)
}

// spread returns a time below a limit that depends on the request alone.
func spread(id string, limit time.Duration) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return time.Duration(h.Sum64() % uint64(limit))
}

// sendLong sends a request with a deadline far beyond the grace period of a stop.
func sendLong(client *http.Client, ip, path, id string) int {
	req, err := fakeplatform.NewRequest(net.JoinHostPort(ip, fakeplatform.PortCallers), path, id)
	if err != nil {
		return 0
	}
	req.Header.Set("Deadline-Ms", "20000")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// checkSentRequests checks that each request that a server has received was answered, and truly.
func (s *site) checkSentRequests(statuses map[string]int) {
	s.t.Helper()
	sent := make(map[string]int)
	for _, server := range s.servers {
		for _, r := range server.Requests() {
			sent[r.ID()]++
		}
	}
	counts := make(map[int]int)
	for id, status := range statuses {
		counts[status]++
		if sent[id] > 0 && (status == 0 || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			s.t.Errorf("%s was sent to a server, and its caller got status %d", id, status)
		}
	}
	s.t.Logf("callers got %v", counts)
	if counts[http.StatusOK] == 0 || counts[http.StatusServiceUnavailable] == 0 {
		s.t.Error("too few events: the test proves nothing")
	}
}

// Guards against an entry or an agent that a second signal to stop ends at once, with streams in flight.
func TestRepeatedStopSignalsAtEntriesAndAgents(t *testing.T) {
	t.Parallel()
	c := startCluster(t, stopSpec(2))
	load := c.StartLoad(harness.LoadSpec{Callers: 100, Tokens: 40, KeepAlive: true, Seed: 21})
	time.Sleep(2 * time.Second)
	for _, m := range []*harness.Member{c.Entries[0], c.EngineAgents()[0]} {
		for range 3 {
			m.Signal(syscall.SIGTERM)
			time.Sleep(100 * time.Millisecond)
		}
		checkGracefulStop(t, m)
	}
	checkServedThroughout(t, load)
}
