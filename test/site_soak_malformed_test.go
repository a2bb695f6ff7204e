package test

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/apricothub/apricothub/platform"
	"github.com/apricothub/apricothub/test/fakeplatform"
	"github.com/apricothub/apricothub/test/malformed"
)

// malformedServers are the backend servers that run all requests and answer them with a malformed response. It is safe
// for concurrent use.
type malformedServers struct {
	mu        sync.Mutex
	responses map[string]malformed.Response
}

func (m *malformedServers) set(id string, r malformed.Response) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.responses[id] = r
}

func (m *malformedServers) clear(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.responses, id)
}

// answer is the handler of a backend server: a malformed response, or that of next.
func (m *malformedServers) answer(id string, pushes *pushLedger, next fakeplatform.Handler) fakeplatform.Handler {
	return func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		m.mu.Lock()
		r, isMalformed := m.responses[id]
		m.mu.Unlock()
		if !isMalformed {
			return next(s, conn)
		}
		pushes.run(s.ID())
		_, err := io.WriteString(conn, r.Text(s.ID()))
		return err == nil
	}
}

// oddRecords are records that another writer leaves among the registrations.
var oddRecords = []fakeplatform.OddRecord{{}, {Log: []byte{9, 'i'}, Item: `{"key":1,"value":"e30=","offset":0}`}, {Log: []byte{2, 'i', 0xff}, Item: `[]`}}

// malformedFaults are faults of what other processes send.
var malformedFaults = []siteFault{
	{"server answers with malformed responses", func(b *faultInjector) {
		server := b.randomPlainServer()
		responses := malformed.Responses()
		for range 5 {
			b.malformed.set(server.ID(), responses[b.rng.IntN(len(responses))])
			time.Sleep(time.Duration(b.rng.IntN(300)) * time.Millisecond)
		}
		b.malformed.clear(server.ID())
	}},
	{"odd record among the registrations", func(b *faultInjector) {
		b.store.PutOdd(platform.TopicServers, oddRecords[b.rng.IntN(len(oddRecords))])
		b.store.Put(platform.TopicServers, "odd", `{"service":"app","address":"127.0.0.1:99999","zone":"a","concurrency":1e300}`)
	}},
	{"gateway stopped by a series of signals", func(b *faultInjector) {
		g := b.randomGateway()
		for n := 0; n < 6 && !isClosed(g.Ended()); n++ {
			g.Signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[n%2])
			if n == 3 {
				b.configure()
			}
			time.Sleep(time.Duration(b.rng.IntN(200)) * time.Millisecond)
		}
		b.restartGracefully(g.Process)
	}},
}
