package test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

const (
	// rest is what a backend server asks for with each refusal.
	rest = 2 * time.Second
	// restSlack is the time after a request for rest in which requests that were under way may arrive,
	// maxInRest the number of those that may arrive later.
	restSlack = 500 * time.Millisecond
	maxInRest = 2
)

// restingServers are backend servers that refuse requests and ask for rest.
type restingServers struct {
	// status is the status of refusals.
	status int
	// gateways is the number of gateways.
	gateways int

	mu sync.Mutex
	// refuses says whether each of them refuses requests now, by its ID.
	refuses map[string]bool
	// arrivals are the requests at each of them from each gateway, served and refused, in order.
	arrivals map[string]map[int][]restArrival
}

// restArrival is a request at a server.
type restArrival struct {
	at      time.Time
	refused bool
}

func newRestingServers(status, gateways int) *restingServers {
	return &restingServers{
		status: status, gateways: gateways,
		refuses: make(map[string]bool), arrivals: make(map[string]map[int][]restArrival),
	}
}

// setRefusing sets whether servers refuse requests.
func (r *restingServers) setRefusing(refusing bool, ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		r.refuses[id] = refusing
	}
}

// answer is the handler of the servers.
func (r *restingServers) answer(seen fakeplatform.ReceivedRequest, conn net.Conn) bool {
	server, gateway := seen.Request.Header.Get("Target-Instance"), callerOf(seen.ID())%r.gateways
	r.mu.Lock()
	refuses := r.refuses[server]
	if r.arrivals[server] == nil {
		r.arrivals[server] = make(map[int][]restArrival)
	}
	r.arrivals[server][gateway] = append(r.arrivals[server][gateway], restArrival{time.Now(), refuses})
	r.mu.Unlock()
	if refuses {
		return fakeplatform.RefuseWith(r.status, strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))(seen, conn)
	}
	return fakeplatform.Echo(seen, conn)
}

// check checks that a server got its rest from each gateway after each refusal, given how late this
// process may have recorded an arrival. It returns the number of refusals.
func (r *restingServers) check(t *testing.T, server string, stall time.Duration) (refusals int) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for gateway, arrivals := range r.arrivals[server] {
		for i, refused := range arrivals {
			if !refused.refused {
				continue
			}
			refusals++
			during := 0
			for _, later := range arrivals[i+1:] {
				if since := later.at.Sub(refused.at); since > restSlack && since < rest-stall {
					during++
				}
			}
			if during > maxInRest {
				t.Errorf("%s got %d requests from gateway %d within the rest that it had asked for, want at most %d", server, during, gateway+1, maxInRest)
				return refusals
			}
		}
	}
	return refusals
}

// A backend server refuses a request and asks for rest, and the same entry goes on sending to it.
func TestAServerThatAsksForRestGetsIt(t *testing.T) {
	t.Parallel()
	const resting = "i-b"
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			t.Parallel()
			const gateways = 2
			r := newRestingServers(status, gateways)
			s := startSite(t, gateways, r.answer)
			stop := s.startCallersAt(t, 8, 25*time.Millisecond)
			stalls := startStallMonitor()
			r.setRefusing(true, resting)
			time.Sleep(3 * rest)
			r.setRefusing(false, resting)
			time.Sleep(rest + time.Second)
			served := stop()
			refusals := r.check(t, resting, stalls.finish())
			t.Logf("%d refusals, %d requests served", refusals, served)
			if refusals == 0 || served < 200 {
				t.Error("too few events: the test proves nothing")
			}
			used := 0
			for _, arrivals := range r.arrivals[resting] {
				for _, a := range arrivals {
					if !a.refused && time.Since(a.at) < time.Second {
						used++
					}
				}
			}
			if used < 10 {
				t.Errorf("the server got %d requests in a second after its rest, want it to be used as before", used)
			}
		})
	}
}

// All backend servers of a service ask for rest: callers wait in vain, or the servers get no rest.
func TestCallersOfRestingServersAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	const gateways, maxRefusalTime = 2, time.Second
	r := newRestingServers(http.StatusServiceUnavailable, gateways)
	s := startSite(t, gateways, r.answer)
	ids := []string{"i-a", "i-b", "i-c"}
	r.setRefusing(true, ids...)
	stalls := startStallMonitor()
	client := &http.Client{Transport: &http.Transport{}, Timeout: siteTimeout}
	refused, longest, end := 0, time.Duration(0), time.Now().Add(3*rest)
	for n := 0; time.Now().Before(end); n++ {
		began := time.Now()
		gateway := s.gateways[n%gateways]
		req, err := fakeplatform.NewRequest(net.JoinHostPort(gateway.ip, fakeplatform.PortCallers), "/look/1", "l"+strconv.Itoa(n%gateways)+"-"+strconv.Itoa(n))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Errorf("a caller got status %d with Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
		}
		refused++
		longest = max(longest, time.Since(began))
		time.Sleep(20 * time.Millisecond)
	}
	r.setRefusing(false, ids...)
	stall := stalls.finish()
	refusals := 0
	for _, id := range ids {
		refusals += r.check(t, id, stall)
	}
	t.Logf("%d callers refused, the longest after %s, with %d requests refused by servers", refused, longest.Round(time.Millisecond), refusals)
	if longest > maxRefusalTime+stall {
		t.Errorf("a caller was refused after %s, want at once", longest)
	}
	waitFor(t, "callers are served after the rest", func() bool {
		return fakeplatform.Send(client, s.gateways[0].ip, "/look/1", "l0-1") == http.StatusOK
	})
}
