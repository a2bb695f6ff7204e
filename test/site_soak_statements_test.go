package test

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

// statedLimit is the limit, in requests per second, that a backend server states in the soak.
const statedLimit = 4

// serverStatements holds what the plain backend servers of a soak state in their answers, by ID.
type serverStatements struct {
	mu     sync.Mutex
	limits map[string]bool
}

func newServerStatements() *serverStatements {
	return &serverStatements{limits: make(map[string]bool)}
}

// setLimit sets whether a server states a rate limit.
func (s *serverStatements) setLimit(id string, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits[id] = limited
}

// limit returns the value of the header with the limit of the server that a request is for.
func (s *serverStatements) limit(seen fakeplatform.ReceivedRequest) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits[seen.Request.Header.Get("Target-Instance")] {
		return fmt.Sprint(statedLimit)
	}
	return ""
}

// withStatements returns a handler that adds to the answers of another one what the servers state.
func (s *serverStatements) withStatements(handler fakeplatform.Handler) fakeplatform.Handler {
	return fakeplatform.AddHeader(handler, "Server-Limit", s.limit)
}

// randomPlainServer returns the ID of a plain backend server.
func (b *faultInjector) randomPlainServer() string {
	return "i-" + domains[b.rng.IntN(len(domains))]
}

// statementFaults are faults of backend servers that say so in their answers.
var statementFaults = []siteFault{
	{"server limits its requests", func(b *faultInjector) {
		id := b.randomPlainServer()
		b.statements.setLimit(id, true)
		b.sleepRandomly()
		b.statements.setLimit(id, false)
	}},
}

// checkRateLimit checks, after the faults, that all gateways together keep to the limit of a server, also
// when one of them is replaced meanwhile.
func (s *siteSoak) checkRateLimit() {
	s.t.Helper()
	const window, settleTime = 4 * time.Second, 3 * time.Second
	id := "i-" + domains[s.seed%uint64(len(domains))]
	s.statements.setLimit(id, true)
	defer s.statements.setLimit(id, false)
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
	s.arrivals[seen.Request.Header.Get("Target-Instance")].record(time.Since(s.startedAt))
	return s.statements.withStatements(s.pushes.answer)(seen, conn)
}
