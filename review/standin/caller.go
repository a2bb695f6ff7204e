package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/apricothub/apricothub/internal/bounded"
)

const (
	maxAnswerBytes = 1 << 20
	// smallBuffer is the receive buffer, in bytes, of a caller that reads slowly.
	smallBuffer = 2048
)

// request is one request of a caller.
type request struct {
	method, path string
	deadline     time.Duration
}

// answer is what a caller gets.
type answer struct {
	attempt string
	// address is the gateway's, sentAt when the request had been sent, endedAt when its answer ended.
	address         string
	sentAt, endedAt time.Time
	status          int
	header          http.Header
	body            []byte
	// err means that the answer did not come to an end.
	err error
}

// caller plays one caller: it asks where to connect, keeps its connection for many requests, and sends one
// request at a time.
type caller struct {
	f         *fleet
	directory string
	conn      net.Conn
	reader    *bufio.Reader
	addresses []string
	askedAt   time.Time
	// pause is how long the caller waits before it reads the body of an answer, with a small receive buffer; zero
	// for not.
	pause time.Duration
}

// dial connects to a gateway.
func (c *caller) dial(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second}
	if c.pause > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
			})
			if controlErr != nil {
				return controlErr
			}
			return err
		}
	}
	return d.Dial("tcp", address)
}

// resolve asks where to connect, at most every two seconds.
func (c *caller) resolve() error {
	if len(c.addresses) > 0 && time.Since(c.askedAt) < 2*time.Second {
		return nil
	}
	client := &http.Client{Timeout: time.Second, Transport: bounded.Transport(&http.Transport{DisableKeepAlives: true})}
	resp, err := client.Get("http://" + c.directory + "/apricothub/resolve?name=" + host + "&region=home&zone=zone-a")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := bounded.ReadAll(resp.Body, maxAnswerBytes, "an answer of the directory")
	if err != nil {
		return err
	}
	var list struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.Unmarshal(body, &list); err != nil || len(list.Addresses) == 0 {
		return fmt.Errorf("the directory answers %d %q", resp.StatusCode, body)
	}
	c.addresses, c.askedAt = list.Addresses, time.Now()
	return nil
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reads its answer.
func (c *caller) send(r request) (a answer) {
	a = answer{attempt: fmt.Sprintf("%016x", rand.Uint64())}
	if c.conn == nil {
		if a.err = c.resolve(); a.err != nil {
			return a
		}
		c.conn, a.err = c.dial(c.addresses[rand.IntN(len(c.addresses))])
		if a.err != nil {
			c.conn = nil
			return a
		}
		c.reader = bufio.NewReader(bounded.NewReader(c.conn, 1<<40, "answers"))
	}
	a.address = c.conn.RemoteAddr().String()
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	_, a.err = fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: 0\r\n\r\n",
		r.method, r.path, host, a.attempt, r.deadline.Milliseconds(), apiKey)
	if a.err != nil {
		c.close()
		return a
	}
	a.sentAt = time.Now()
	defer func() { a.endedAt = time.Now() }()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	a.status, a.header = resp.StatusCode, resp.Header
	time.Sleep(c.pause)
	a.body, a.err = bounded.ReadAll(resp.Body, maxAnswerBytes, "an answer")
	if a.err != nil || resp.Close {
		c.close()
	}
	return a
}

// mixed returns what is wrong with a success: that it lacks the signature of a worker, or is not the whole
// body that the worker has signed for this request. It is empty for an answer that is right or no success.
func (a *answer) mixed() string {
	if a.err != nil || a.status/100 != 2 {
		return ""
	}
	signed := a.header.Get("Upstream-Signature")
	worker, _, _ := strings.Cut(signed, ".")
	switch {
	case signed == "":
		return fmt.Sprintf("the caller of %s got %d without a signature: %q", a.attempt, a.status, clip(a.body))
	case signed != signature(worker, a.attempt, a.body):
		return fmt.Sprintf("the caller of %s got %d, signed %s, with a complete body of %d bytes that is not the worker's, ending with %q",
			a.attempt, a.status, signed, len(a.body), clip(a.body[max(0, len(a.body)-100):]))
	}
	return ""
}

func clip(b []byte) string { return string(b[:min(len(b), 120)]) }

// load is what callers do.
type load struct {
	callers int
	// pause is the mean time between two requests of a caller.
	pause time.Duration
	until time.Time
	next  func() request
	// slow is the number of callers that read slowly, readPause how long they wait before they read a body.
	slow      int
	readPause time.Duration
}

// run lets callers send requests, and returns their answers.
func (f *fleet) run(l load) []answer {
	var mu sync.Mutex
	var answers []answer
	var wait sync.WaitGroup
	for i := range l.callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &caller{f: f, directory: net.JoinHostPort(f.gateways[i%len(f.gateways)].ip, portDirectory)}
			if i < l.slow {
				c.pause = l.readPause
			}
			defer c.close()
			for time.Now().Before(l.until) {
				r := l.next()
				a := c.send(r)
				f.note("caller %d at %s %s %s, attempt %s: %d, %d bytes, signature %q, %s", i, a.address, r.method, r.path, a.attempt, a.status, len(a.body), a.header.Get("Upstream-Signature"), errText(a.err))
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(l.pause/2 + rand.N(l.pause+1))
			}
		}()
	}
	wait.Wait()
	return answers
}

// mixed returns what is wrong with successes.
func mixed(answers []answer) []string {
	var broken []string
	for _, a := range answers {
		if wrong := a.mixed(); wrong != "" {
			broken = append(broken, wrong)
		}
	}
	return broken
}

func errText(err error) string {
	if err == nil {
		return "complete"
	}
	return "not complete: " + err.Error()
}
