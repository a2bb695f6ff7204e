package test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/history"
	"github.com/apricothub/apricothub/test/fakeplatform"
	"github.com/apricothub/apricothub/test/harness"
)

const (
	// gatewayInForceLimit is how soon a mark or a configuration must be in force at a gateway that
	// can receive it. The brief asks for a few seconds.
	gatewayInForceLimit = 5 * time.Second
	// recoveryTime is how long a gateway that was paused or cut off must run undisturbed before
	// gatewayInForceLimit applies again.
	recoveryTime = 3 * time.Second
)

// lastArrival records when a server last received a request, and how many it received.
type lastArrival struct {
	mu    sync.Mutex
	last  time.Time
	count int
}

func (a *lastArrival) record() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = time.Now()
	a.count++
}

func (a *lastArrival) get() (time.Time, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last, a.count
}

// Operators take a failure domain out under load. After five seconds its server must get no new
// requests: also when the store refuses one gateway from just before the mark, which must learn of
// it from another gateway, and when a gateway is paused across the mark and resumes with requests
// that it had placed.
func TestGatewaysSendNothingIntoADomainThatIsOut(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// disturb injects a fault around the mark. quietAfter is the time after the mark from which
		// no request may arrive.
		disturb    func(g *gatewayProcess, mark func())
		quietAfter time.Duration
	}{
		{"plain", func(_ *gatewayProcess, mark func()) { mark() }, gatewayInForceLimit},
		{"the store turns one away", func(g *gatewayProcess, mark func()) {
			g.storeEndpoint.Unavailable.Store(true)
			mark()
		}, gatewayInForceLimit},
		{"one is frozen", func(g *gatewayProcess, mark func()) {
			g.Pause()
			mark()
			time.Sleep(2 * time.Second)
			g.Continue()
		}, 2*time.Second + recoveryTime + gatewayInForceLimit},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			checkNothingSentAfter(t, 2, c.quietAfter, func(s *site) time.Time {
				var marked time.Time
				c.disturb(s.gateways[1], func() {
					s.store.Put("keyed.op", "evacuate/b", "{}")
					marked = time.Now()
				})
				return marked
			})
		})
	}
}

// checkNothingSentAfter starts a site with callers, runs event, and checks that the server of
// failure domain b gets no new requests later than quietAfter after the time that event returns.
func checkNothingSentAfter(t *testing.T, gateways int, quietAfter time.Duration, event func(s *site) time.Time) {
	t.Helper()
	arrived := &lastArrival{}
	s := startSite(t, gateways, func(seen fakeplatform.ReceivedRequest, conn net.Conn) bool {
		if seen.Request.Header.Get("Target-Instance") == "i-b" {
			arrived.record()
		}
		return fakeplatform.Echo(seen, conn)
	})
	stop := s.startCallers(t, 8)
	waitFor(t, "the server gets requests", func() bool { _, n := arrived.get(); return n > 10 })
	eventAt := event(s)
	time.Sleep(time.Until(eventAt.Add(quietAfter + 2*time.Second)))
	served := stop()
	last, n := arrived.get()
	t.Logf("the last of %d requests came %s after the event; %d were served in all", n, last.Sub(eventAt).Round(time.Millisecond), served)
	if last.Sub(eventAt) > quietAfter {
		t.Errorf("a request came %s after the event", last.Sub(eventAt))
	}
	if served < 100 {
		t.Error("too few events: the test proves nothing")
	}
}

// A backend server leaves under load: it reports that it drains, or its registration is gone. After
// five seconds it must get no new requests, whatever had disturbed a gateway's reads of the store:
// a gateway whose reads failed some time before, while others read for it, must not keep using its
// stale registration, nor may one that the store refuses just then.
func TestGatewaysSendNothingToAServerThatLeaves(t *testing.T) {
	t.Parallel()
	leave := map[string]func(s *site){
		"drains":  func(s *site) { s.store.Register(s.servers[1], "draining") },
		"is gone": func(s *site) { s.store.Put("keyed.servers", s.servers[1].ID(), "") },
	}
	disturbances := map[string]func(g *gatewayProcess){
		"plain": func(*gatewayProcess) {},
		"one had been turned away": func(g *gatewayProcess) {
			g.storeEndpoint.Unavailable.Store(true)
			time.Sleep(time.Second)
			g.storeEndpoint.Unavailable.Store(false)
		},
		"the store turns one away": func(g *gatewayProcess) { g.storeEndpoint.Unavailable.Store(true) },
	}
	for how, leaves := range leave {
		for name, disturb := range disturbances {
			t.Run(how+", "+name, func(t *testing.T) {
				t.Parallel()
				// With four gateways one is not the first of its failure domain, so others read the
				// store for it.
				checkNothingSentAfter(t, 4, gatewayInForceLimit, func(s *site) time.Time {
					disturb(s.gateways[3])
					leaves(s)
					return time.Now()
				})
			})
		}
	}
}

// startCallers starts callers that send look-ups, each to one gateway, until the returned function
// is called. That function returns how many requests were served.
func (s *site) startCallers(t *testing.T, callers int) func() int {
	t.Helper()
	return s.startCallersAt(t, callers, 5*time.Millisecond)
}

// startCallersAt is startCallers with a pause between two requests of a caller. Caller i sends to
// gateway i modulo their number.
func (s *site) startCallersAt(t *testing.T, callers int, pause time.Duration) func() int {
	t.Helper()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := range callers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: stateTimeout}
			address := net.JoinHostPort(s.gateways[i%len(s.gateways)].ip, fakeplatform.PortCallers)
			for n := 0; !isClosed(stop); n++ {
				if fakeplatform.SendTo(client, address, "/look/1", fmt.Sprintf("l%d-%d", i, n)) == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
				}
				time.Sleep(pause)
			}
		})
	}
	return func() int {
		close(stop)
		wg.Wait()
		mu.Lock()
		defer mu.Unlock()
		return served
	}
}

// callerOf returns the number of the caller that sent a request, by its ID.
func callerOf(id string) int {
	var caller, n int
	_, _ = fmt.Sscanf(id, "l%d-%d", &caller, &n)
	return caller
}

// waitFor waits until a condition holds at a site.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	harness.Eventually(t, siteTimeout, what, func() error {
		if !done() {
			return errors.New("the condition does not hold yet")
		}
		return nil
	})
}

// Operators publish versions in a row while gateways are killed, paused and cut off from the store.
// The versions that gateways report must be those of one versioned register: no gateway, also one
// that was just replaced, returns to an older version, and none reports a version that was not
// published. After the faults the last version must be in force at all gateways.
func TestGatewaysNeverGoBackToAnOlderConfiguration(t *testing.T) {
	t.Parallel()
	const seed, versions = 7, 30
	s := startSite(t, 3, fakeplatform.Echo)
	began := time.Now()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	reads, last := 0, map[int]int{}
	h := &history.History{Publishes: []history.Publish{{Base: history.NeverPublished, Outcome: history.Accepted, Offset: 1}}}
	for i, g := range s.gateways {
		wg.Go(func() {
			for !isClosed(stop) {
				called := time.Since(began)
				state, err := g.state()
				if err == nil && state.Config != 0 {
					mu.Lock()
					last[i] = appendRead(h, history.Read{Process: i, Call: called, Return: time.Since(began), Offset: state.Config}, last[i])
					reads++
					mu.Unlock()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Go(func() {
		for v := int64(2); v <= versions; v++ {
			called := time.Since(began)
			s.store.Configure(int(v), fakeplatform.Routes(), fakeplatform.CallerKey)
			mu.Lock()
			h.Publishes = append(h.Publishes, history.Publish{
				Call: called, Return: time.Since(began), Base: v - 1, Outcome: history.Accepted, Offset: v,
			})
			mu.Unlock()
			time.Sleep(250 * time.Millisecond)
		}
	})
	rng := rand.New(rand.NewPCG(seed, 1))
	for range 6 {
		shut := s.gateways[rng.IntN(len(s.gateways))]
		shut.storeEndpoint.Unavailable.Store(true)
		s.injectGatewayFaults(rng, 2)
		shut.storeEndpoint.Unavailable.Store(false)
	}
	waitFor(t, "the last version is in force everywhere", func() bool {
		for _, g := range s.gateways {
			if state, err := g.state(); err != nil || state.Config != versions {
				return false
			}
		}
		return true
	})
	close(stop)
	wg.Wait()
	// Within its freshness limit a gateway may report a version that was in force a while ago. A
	// replaced gateway starts with the version that its peers or the store hold.
	if err := h.Check(gatewayInForceLimit+recoveryTime, time.Minute); err != nil {
		t.Error(err)
	}
	t.Logf("%d versions, %d reads", len(h.Publishes), reads)
	if reads < 100 {
		t.Error("too few events: the test proves nothing")
	}
}

// appendRead adds a read of a gateway. last is the index of its previous read plus one, or zero. Of
// consecutive reads of one version only the first and the last are kept, which prove as much as
// all.
func appendRead(h *history.History, read history.Read, last int) int {
	if last > 0 && h.Reads[last-1].Offset == read.Offset {
		h.Reads[last-1] = read
		return last
	}
	h.Reads = append(h.Reads, read, read)
	return len(h.Reads)
}
