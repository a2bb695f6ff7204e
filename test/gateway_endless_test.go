package test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

const (
	// maxEndlessBytes is the most that may be read from a server on one connection that sends without end
	// what is no answer, and what the socket buffers hold. The largest part of an answer that is read before
	// it is passed on has 1 MB.
	maxEndlessBytes = 8 << 20
	// maxEndlessGrowth is by how much the memory of a gateway may grow meanwhile. The smallest VM of a
	// gateway has 184 MB.
	maxEndlessGrowth = 64 << 20
	// maxEndlessTime is how long a server sends at most on one connection.
	maxEndlessTime = 3 * time.Second
)

// endlessServer sends without end in answer to each request.
type endlessServer struct {
	// head is sent first, then part again and again. An X in head stands for the ID of the request.
	head, part string
	// most is the most that was written on one connection.
	most atomic.Int64
}

func (e *endlessServer) answer(seen fakeplatform.ReceivedRequest, conn net.Conn) bool {
	if seen.Request.Header.Get("Target-Instance") != "i-b" {
		return fakeplatform.Echo(seen, conn)
	}
	_ = conn.SetDeadline(time.Now().Add(maxEndlessTime))
	n, err := io.WriteString(conn, strings.Replace(e.head, "X", seen.ID(), 1))
	written := int64(n)
	part := strings.Repeat(e.part, max(1, 16<<10/len(e.part)))
	for err == nil {
		n, err = io.WriteString(conn, part)
		written += int64(n)
	}
	for most := e.most.Load(); written > most && !e.most.CompareAndSwap(most, written); most = e.most.Load() {
		continue
	}
	return false
}

// One of three servers sends without end what is no answer. Its gateways read on until their memory is
// full, or pass it on to callers in place of trying another server.
func TestServersThatSendWithoutEnd(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, path string
		head, part string
		long       bool
	}{
		{"a status line", "/look/x", "", "HTTP/1.1 200 O", false},
		{"header lines", "/look/x", "HTTP/1.1 200 OK\r\n", "Name: value\r\n", false},
		{"one header line", "/look/x", "HTTP/1.1 200 OK\r\nName: ", "value", true},
		{"interim answers", "/look/x", "", "HTTP/1.1 102 Processing\r\n\r\n", true},
		{"the answer to another request", "/look/x", "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", false},
		{"an error", "/look/x", "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: X\r\n\r\n", "sorry ", false},
		{"a refusal", "/look/x", "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: X\r\nNot-Executed: 1\r\n\r\n", "sorry ", true},
		{"a chunk extension", "/look/x", "HTTP/1.1 200 OK\r\nAttempt-Id: X\r\nTransfer-Encoding: chunked\r\n\r\n5;", "name=value;", true},
		{"a trailer", "/look/x", "HTTP/1.1 200 OK\r\nAttempt-Id: X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n", true},
		{"an event", "/draft/x", "HTTP/1.1 200 OK\r\nAttempt-Id: X\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "value", true},
		{"comments in a stream", "/draft/x", "HTTP/1.1 200 OK\r\nAttempt-Id: X\r\nContent-Type: text/event-stream\r\n\r\n", ": comment\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if c.long {
				skipIfShort(t)
			}
			server := &endlessServer{head: c.head, part: c.part}
			s := startSite(t, 2, server.answer)
			before := s.memoryOfGateways()
			const callers, requests = 20, 5
			var served atomic.Int64
			var wg sync.WaitGroup
			for caller := range callers {
				wg.Add(1)
				go func() {
					defer wg.Done()
					client := &http.Client{Timeout: 5 * time.Second}
					for n := range requests {
						status := fakeplatform.Send(client, s.gateways[caller%2].ip, c.path, fmt.Sprintf("%d-%d", caller, n))
						if status == http.StatusOK {
							served.Add(1)
						} else {
							t.Logf("request %d-%d got status %d", caller, n, status)
						}
					}
				}()
			}
			grown := s.watchMemory(before, &wg)
			t.Logf("%d MB read on one connection at most, a gateway grew by %d MB, %d of %d served",
				server.most.Load()>>20, grown>>20, served.Load(), callers*requests)
			if server.most.Load() > maxEndlessBytes {
				t.Errorf("%d bytes were read on one connection", server.most.Load())
			}
			if grown > maxEndlessGrowth {
				t.Errorf("the memory of a gateway grew by %d bytes", grown)
			}
			if served.Load() < callers*requests {
				t.Errorf("%d of %d requests were served", served.Load(), callers*requests)
			}
		})
	}
}

// memoryOfGateways returns the memory of each gateway, in bytes.
func (s *site) memoryOfGateways() []int64 {
	var memory []int64
	for _, g := range s.gateways {
		memory = append(memory, g.Usage().Resident)
	}
	return memory
}

// watchMemory waits for wg and returns by how much the memory of a gateway has grown at most meanwhile.
func (s *site) watchMemory(before []int64, wg *sync.WaitGroup) int64 {
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	grown := int64(0)
	for {
		for i, memory := range s.memoryOfGateways() {
			grown = max(grown, memory-before[i])
		}
		select {
		case <-done:
			return grown
		case <-time.After(20 * time.Millisecond):
		}
	}
}
