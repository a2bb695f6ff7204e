package main

import (
	"bufio"
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apricothub/apricothub/internal/bounded"
)

const (
	host        = "ficu95.example"
	apiKey      = "n2ctnfzs989anu6wsjnb"
	maxAnswer   = 8 << 20
	connectTime = time.Second
)

// call is one request of a caller.
type call struct {
	method, path string
	attempt      string
	deadline     time.Duration
	header       string
	// key is the key of the caller; empty for that of the tenant.
	key string
}

// answer is what a caller got.
type answer struct {
	status    int
	signature string
	attempt   string
	body      string
	// isWhole means that the answer ended as complete in the protocol.
	isWhole bool
	// keeps means that the connection may be used again.
	keeps bool
	err   error
}

// caller is a connection of a caller to a gateway.
type caller struct {
	conn   net.Conn
	in     *bounded.Reader
	reader *bufio.Reader
}

func connect(address string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, connectTime)
	if err != nil {
		return nil, err
	}
	in := bounded.NewReader(conn, 0, "an answer")
	return &caller{conn: conn, in: in, reader: bufio.NewReader(in)}, nil
}

func (c *caller) close() { _ = c.conn.Close() }

// send sends a request and reads its answer.
func (c *caller) send(q call) answer {
	key := cmp.Or(q.key, apiKey)
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\n%s\r\n",
		q.method, q.path, host, q.attempt, q.deadline.Milliseconds(), key, q.header)
	if _, err := c.conn.Write([]byte(text)); err != nil {
		return answer{err: err}
	}
	c.in.Allow(maxAnswer, "an answer")
	reader := c.reader
	resp, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := bounded.ReadAll(resp.Body, maxAnswer, "an answer")
	return answer{
		status: resp.StatusCode, signature: resp.Header.Get("Upstream-Signature"), attempt: resp.Header.Get("Attempt-Id"),
		body: string(body), isWhole: err == nil, keeps: err == nil && !resp.Close, err: err,
	}
}

// newAttempt returns the ID of an attempt.
func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// every calls f in a goroutine of its own each interval until the end, and waits for all of them.
func every(interval time.Duration, end time.Time, f func(n int)) {
	var all sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		all.Add(1)
		go func() {
			defer all.Done()
			f(n)
		}()
		time.Sleep(interval)
	}
	all.Wait()
}
