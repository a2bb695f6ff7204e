package test

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

const (
	// statedRate is the limit, in requests per second, that backend servers state in their answers.
	statedRate = 2
	// rateLimitWindow is the time over which a limit is checked: in any such window a server may get
	// one and a half times what its limit allows, and five requests more.
	rateLimitWindow     = 4 * time.Second
	maxPerRateWindow    = statedRate*4*1.5 + 5
	rateLimitSettleTime = 3 * time.Second
	// rateLimitCheckTime is how long a limit is observed after the last fault.
	rateLimitCheckTime = 3 * rateLimitWindow / 2
)

// limitedServers are backend servers that state a rate limit in their answers.
type limitedServers struct {
	// stated says whether each of them states its limit now, by its ID.
	stated map[string]*atomic.Bool
	// arrivals are the requests at each of them.
	arrivals map[string]*arrivalTimes
	began    time.Time
}

// newLimitedServers returns servers in all failure domains that do not state a limit yet.
func newLimitedServers() *limitedServers {
	l := &limitedServers{stated: make(map[string]*atomic.Bool), arrivals: make(map[string]*arrivalTimes), began: time.Now()}
	for _, domain := range domains {
		l.stated["i-"+domain] = &atomic.Bool{}
		l.arrivals["i-"+domain] = &arrivalTimes{}
	}
	return l
}

// answer is the handler of the servers.
func (l *limitedServers) answer(seen fakeplatform.ReceivedRequest, conn net.Conn) bool {
	id := seen.Request.Header.Get("Target-Instance")
	l.arrivals[id].record(time.Since(l.began))
	return fakeplatform.AddHeader(fakeplatform.Echo, "Server-Limit", func(fakeplatform.ReceivedRequest) string {
		if l.stated[id].Load() {
			return strconv.Itoa(statedRate)
		}
		return ""
	})(seen, conn)
}

// begin makes servers state their limit, and waits until entries must keep to it.
func (l *limitedServers) begin(ids ...string) {
	for _, id := range ids {
		l.stated[id].Store(true)
	}
	time.Sleep(rateLimitSettleTime)
	for _, id := range ids {
		l.arrivals[id].clear()
	}
}

// check checks that a server got no more requests than its limit allows in any window, and at least
// half of what it allows over the time since begin.
func (l *limitedServers) check(t *testing.T, id string, elapsed, stall time.Duration) {
	t.Helper()
	window := rateLimitWindow - stall
	count, start := l.arrivals[id].maxInWindow(window)
	total := l.arrivals[id].count()
	t.Logf("%s got %d requests in %s, at most %d in %s, from %s on", id, total, elapsed.Round(time.Millisecond), count, window.Round(time.Millisecond), start.Round(time.Millisecond))
	if count > maxPerRateWindow {
		t.Errorf("%s got %d requests within %s, want at most %v", id, count, window, maxPerRateWindow)
	}
	if least := statedRate * elapsed.Seconds() / 2; float64(total) < least {
		t.Errorf("%s got %d requests, want at least %v", id, total, least)
	}
}

// A backend server states a rate limit in its answers, and all entries together send it more than that.
func TestEntriesTogetherKeepTheRateLimitOfAServer(t *testing.T) {
	t.Parallel()
	const limited = "i-b"
	for _, c := range []struct {
		name    string
		disturb func(s *site)
		// long leaves the case out of short runs.
		long bool
	}{
		{"calm", func(*site) {}, false},
		{"an entry restarts", func(s *site) {
			s.gateways[3].Kill()
			s.gateways[3].Restart()
			s.waitUntilConnected()
		}, true},
		{"an entry starts late", func(s *site) {
			s.gateways[3].Kill()
			time.Sleep(2 * time.Second)
			s.gateways[3].Restart()
			s.waitUntilConnected()
		}, false},
		{"an entry is frozen, and wakes", func(s *site) {
			s.gateways[3].Pause()
			time.Sleep(2 * time.Second)
			s.gateways[3].Continue()
			s.waitUntilConnected()
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if c.long {
				skipIfShort(t)
			}
			l := newLimitedServers()
			s := startSite(t, 4, l.answer)
			stop := s.startCallersAt(t, 16, 25*time.Millisecond)
			l.begin(limited)
			stalls := startStallMonitor()
			from := time.Now()
			c.disturb(s)
			time.Sleep(rateLimitCheckTime)
			l.check(t, limited, time.Since(from), stalls.finish())
			l.stated[limited].Store(false)
			time.Sleep(rateLimitSettleTime)
			l.arrivals[limited].clear()
			time.Sleep(time.Second)
			if _, n := stop(), l.arrivals[limited].count(); n < 10*statedRate {
				t.Errorf("the server got %d requests in a second after it had withdrawn its limit, want it to be used as before", n)
			}
		})
	}
}

// All backend servers of a service state a rate limit: callers beyond it wait in vain, or the servers get
// more than their limits.
func TestCallersOfLimitedServersAreServedOrRefusedAtOnce(t *testing.T) {
	t.Parallel()
	const callers, maxRefusalTime = 16, time.Second
	l := newLimitedServers()
	s := startSite(t, 4, l.answer)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, refused, longest := 0, 0, time.Duration(0)
	for i := range callers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: siteTimeout}
			address := net.JoinHostPort(s.gateways[i%len(s.gateways)].ip, fakeplatform.PortCallers)
			for n := 0; !isClosed(stop); n++ {
				began := time.Now()
				status := fakeplatform.SendTo(client, address, "/look/1", strconv.Itoa(i)+"-"+strconv.Itoa(n))
				mu.Lock()
				if status == http.StatusOK {
					served++
				} else {
					refused++
					longest = max(longest, time.Since(began))
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	ids := []string{"i-a", "i-b", "i-c"}
	l.begin(ids...)
	stalls := startStallMonitor()
	from := time.Now()
	mu.Lock()
	served, refused, longest = 0, 0, 0
	mu.Unlock()
	time.Sleep(rateLimitCheckTime)
	elapsed, stall := time.Since(from), stalls.finish()
	for _, id := range ids {
		l.check(t, id, elapsed, stall)
	}
	close(stop)
	wg.Wait()
	t.Logf("%d served, %d refused, the longest after %s", served, refused, longest.Round(time.Millisecond))
	if longest > maxRefusalTime+stall {
		t.Errorf("a caller was refused after %s, want at once", longest)
	}
}
