package test

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

// leavingLimit is how soon after a server's first answer that says so nothing new may be sent to it.
const leavingLimit = time.Second

// A backend server says in its answers that it leaves, while its registration does not: it gets new work
// from an entry that has passed on such an answer, or from one that has started since and was not told.
func TestGatewaysSendNothingToAServerThatSaysItLeaves(t *testing.T) {
	t.Parallel()
	const leaving = "i-b"
	for _, c := range []struct {
		name string
		// disturb injects a fault after the first answer. quietAfter is the time after that answer from
		// which no request may arrive.
		disturb    func(s *site)
		quietAfter time.Duration
	}{
		{"plain", func(*site) {}, leavingLimit},
		{"the store is away", func(s *site) { s.setStoreAway(true) }, leavingLimit},
		{"an entry restarts", func(s *site) {
			s.gateways[3].Signal(syscall.SIGKILL)
			s.gateways[3].Kill()
			s.gateways[3].Restart()
			s.waitUntilConnected()
		}, leavingLimit + 2*time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var says atomic.Bool
			arrived := &lastArrival{}
			answer := fakeplatform.AddHeader(fakeplatform.Echo, "Server-Leaving", func(seen fakeplatform.ReceivedRequest) string {
				if says.Load() && seen.Request.Header.Get("Target-Instance") == leaving {
					return "1"
				}
				return ""
			})
			s := startSite(t, 4, func(seen fakeplatform.ReceivedRequest, conn net.Conn) bool {
				if seen.Request.Header.Get("Target-Instance") == leaving {
					arrived.record()
				}
				return answer(seen, conn)
			})
			stop := s.startCallersAt(t, 8, 25*time.Millisecond)
			waitFor(t, "the server gets requests", func() bool { _, n := arrived.get(); return n > 10 })
			says.Store(true)
			began := time.Now()
			time.Sleep(leavingLimit / 2)
			c.disturb(s)
			time.Sleep(time.Until(began.Add(c.quietAfter + 3*time.Second)))
			last, _ := arrived.get()
			t.Logf("the last request came %s after the first answer that said so", last.Sub(began).Round(time.Millisecond))
			if last.Sub(began) > c.quietAfter {
				t.Errorf("a request came %s after the server had said that it leaves", last.Sub(began))
			}
			s.setStoreAway(false)
			says.Store(false)
			s.store.RegisterRestarted(s.servers[1])
			waitFor(t, "the server gets requests after it has started anew", func() bool {
				latest, _ := arrived.get()
				return latest.After(last)
			})
			if served := stop(); served < 100 {
				t.Error("too few events: the test proves nothing")
			}
		})
	}
}

// setStoreAway sets whether the store refuses all gateways.
func (s *site) setStoreAway(away bool) {
	for _, g := range s.gateways {
		g.storeEndpoint.Unavailable.Store(away)
	}
}
