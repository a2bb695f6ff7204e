package test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

// statedLimit is the limit, in requests per second, that a backend server states in the soak.
const statedLimit = 4

// soakRest is the rest that a backend server asks for in the soak.
const soakRest = time.Second

// serverStatements holds what the plain backend servers of a soak say of themselves in answers, by ID.
type serverStatements struct {
	mu                     sync.Mutex
	limits, rests, leaving map[string]bool
}

func newServerStatements() *serverStatements {
	return &serverStatements{limits: make(map[string]bool), rests: make(map[string]bool), leaving: make(map[string]bool)}
}

// set changes one of the fields of s for a server.
func (s *serverStatements) set(statements map[string]bool, id string, value bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	statements[id] = value
}

// answer returns the handler for one request: that of the server, with what it says of itself.
func (s *serverStatements) answer(id string, handler fakeplatform.Handler) fakeplatform.Handler {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rests[id] {
		return fakeplatform.RefuseWith(http.StatusServiceUnavailable, fmt.Sprint(soakRest.Seconds()))
	}
	if s.limits[id] {
		handler = fakeplatform.AddHeader(handler, "Server-Limit", func(fakeplatform.ReceivedRequest) string { return fmt.Sprint(statedLimit) })
	}
	if s.leaving[id] {
		handler = fakeplatform.AddHeader(handler, "Server-Leaving", func(fakeplatform.ReceivedRequest) string { return "1" })
	}
	return handler
}

// randomPlainServer returns a plain backend server.
func (b *faultInjector) randomPlainServer() *fakeplatform.Server {
	return b.servers[b.rng.IntN(len(domains))]
}

// stateForAWhile lets a plain backend server say something of itself for a moment.
func (b *faultInjector) stateForAWhile(statements map[string]bool) *fakeplatform.Server {
	server := b.randomPlainServer()
	b.statements.set(statements, server.ID(), true)
	b.sleepRandomly()
	b.statements.set(statements, server.ID(), false)
	return server
}

// statementFaults are faults of backend servers that say so in their answers.
var statementFaults = []siteFault{
	{"server limits its requests", func(b *faultInjector) { b.stateForAWhile(b.statements.limits) }},
	{"server asks for rest", func(b *faultInjector) { b.stateForAWhile(b.statements.rests) }},
	{"server says that it leaves, and starts anew", func(b *faultInjector) {
		b.store.RegisterRestarted(b.stateForAWhile(b.statements.leaving))
	}},
}

// checkStatements checks, after the faults, that all gateways do what a server says of itself in answers.
func (s *siteSoak) checkStatements() {
	s.t.Helper()
	s.checkRateLimit()
	s.checkRest()
	s.checkLeaving()
}

// checkRest checks that a server that refuses everything gets little more than one request from each gateway
// in each time of rest.
func (s *siteSoak) checkRest() {
	s.t.Helper()
	const rests = 3
	server := s.servers[(s.seed+1)%uint64(len(domains))]
	from := time.Since(s.startedAt)
	s.statements.set(s.statements.rests, server.ID(), true)
	time.Sleep(rests * soakRest)
	s.statements.set(s.statements.rests, server.ID(), false)
	// Two more in each rest, and one beside each trial, may be under way.
	most := len(s.gateways) * (rests + 1) * 3
	if n := len(s.arrivals[server.ID()].since(from).times); n > most {
		s.t.Errorf("seed %d: %s asked for rest and got %d requests in %d rests, want at most %d", s.seed, server.ID(), n, rests, most)
	}
}

// checkLeaving checks that a server that says in its answers that it leaves gets nothing new soon after,
// also from a gateway that is replaced meanwhile.
func (s *siteSoak) checkLeaving() {
	s.t.Helper()
	const quietAfter = leavingLimit + 2*time.Second
	server := s.servers[(s.seed+2)%uint64(len(domains))]
	s.statements.set(s.statements.leaving, server.ID(), true)
	began := time.Since(s.startedAt)
	time.Sleep(leavingLimit)
	g := s.gateways[(s.seed+1)%uint64(len(s.gateways))]
	g.Kill()
	g.Restart()
	time.Sleep(quietAfter)
	if last := s.arrivals[server.ID()].last(); last > began+quietAfter {
		s.t.Errorf("seed %d: %s got a request %v after it had said that it leaves", s.seed, server.ID(), last-began)
	}
	s.statements.set(s.statements.leaving, server.ID(), false)
	s.store.RegisterRestarted(server)
}

// checkRateLimit checks, after the faults, that all gateways together keep to the limit of a server, also
// when one of them is replaced meanwhile.
func (s *siteSoak) checkRateLimit() {
	s.t.Helper()
	const window, settleTime = 4 * time.Second, 3 * time.Second
	id := "i-" + domains[s.seed%uint64(len(domains))]
	s.statements.set(s.statements.limits, id, true)
	defer s.statements.set(s.statements.limits, id, false)
	time.Sleep(settleTime)
	from := time.Since(s.startedAt)
	stalls := startStallMonitor()
	s.gateways[s.seed%uint64(len(s.gateways))].Kill()
	s.gateways[s.seed%uint64(len(s.gateways))].Restart()
	time.Sleep(window + time.Second)
	count, start := s.arrivals[id].since(from).maxInWindow(window - stalls.finish())
	if most := statedLimit*window.Seconds()*1.5 + 5; float64(count) > most {
		s.t.Errorf("seed %d: %s got %d requests in %s from %s on, its limit allows %v", s.seed, id, count, window, start.Round(time.Millisecond), most)
	}
}

// since returns the arrivals from a time on.
func (a *arrivalTimes) since(from time.Duration) *arrivalTimes {
	a.mu.Lock()
	defer a.mu.Unlock()
	later := &arrivalTimes{}
	for _, at := range a.times {
		if at >= from {
			later.times = append(later.times, at)
		}
	}
	return later
}

// answer is the handler of a plain backend server.
func (s *siteSoak) answer(seen fakeplatform.ReceivedRequest, conn net.Conn) bool {
	id := seen.Request.Header.Get("Target-Instance")
	s.arrivals[id].record(time.Since(s.startedAt))
	return s.malformed.answer(id, s.pushes, s.statements.answer(id, s.pushes.answer))(seen, conn)
}
