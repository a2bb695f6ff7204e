package httpguard

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apricothub/apricothub/decide/shed"
	"github.com/apricothub/apricothub/internal/result"
)

// startGuarded serves a handler behind a guard.
func startGuarded(t *testing.T, guard *Guard, inner net.Listener, handler http.HandlerFunc) string {
	t.Helper()
	server := guard.NewServer(handler)
	go func() { _ = server.Serve(guard.Listener(inner)) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return inner
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not seen: %s", what)
}

func (g *Guard) countPhase(p shed.Phase) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Count(p)
}

func (g *Guard) heldBytes() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Bytes()
}

var generous = Limits{HeaderBytes: 1 << 16, HeaderTime: time.Minute, BodyTime: time.Minute, IdleTime: time.Minute}

// Guards against memory that is counted after its requests and connections have ended.
func TestNothingIsHeldAfterTheLastConnection(t *testing.T) {
	guard := newTestGuard(generous, 10, 64<<20)
	address := startGuarded(t, guard, listen(t), func(w http.ResponseWriter, r *http.Request) {
		_, _ = ReadBody(w, r, 1<<20)
	})
	client := &http.Client{Transport: &http.Transport{}}
	for n := range 20 {
		body := strings.NewReader(strings.Repeat("x", n*50_000))
		resp, err := client.Post("http://"+address, "text/plain", body)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	eventually(t, "the idle connection holds what a connection holds", func() bool { return guard.heldBytes() == connectionBytes })
	client.CloseIdleConnections()
	eventually(t, "nothing is held", func() bool { return guard.heldBytes() == 0 })
}

// Guards against a header of many short lines, which takes many times its bytes when it is parsed.
func TestShortHeaderLinesCountByWhatTheyTake(t *testing.T) {
	guard := newTestGuard(generous, 10, 2<<20)
	var served atomic.Int64
	address := startGuarded(t, guard, listen(t), func(http.ResponseWriter, *http.Request) { served.Add(1) })
	var lines strings.Builder
	for n := 0; lines.Len() < 60_000; n++ {
		fmt.Fprintf(&lines, "%x:\r\n", n)
	}
	conn := dial(t, address)
	go func() { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n"+lines.String()+"\r\n") }()
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" || answer.Header.Get(result.Header) != "201 SATURATED" {
		t.Errorf("got %+v, %v", answer, err)
	}
	if served.Load() > 0 {
		t.Error("the request was served")
	}
}

// Guards against limits that stay those of the start, while the configuration has others.
func TestLimitsOfTheConfigurationInForceApply(t *testing.T) {
	var headerBytes atomic.Int64
	headerBytes.Store(4096)
	options := newTestGuard(generous, 10, 64<<20).options
	options.Limits = func() Limits {
		return Limits{HeaderBytes: headerBytes.Load(), HeaderTime: time.Minute, IdleTime: time.Minute}
	}
	address := startGuarded(t, New(options), listen(t), func(http.ResponseWriter, *http.Request) {})
	ask := func() int {
		conn := dial(t, address)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nA: "+strings.Repeat("a", 3000)+"\r\n\r\n")
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		return answer.StatusCode
	}
	before := ask()
	headerBytes.Store(2048)
	if after := ask(); before != http.StatusOK || after != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, then %d", before, after)
	}
}

// Guards against bodies that stop and keep the room of others.
func TestABodyThatStopsMakesRoom(t *testing.T) {
	guard := newTestGuard(generous, 10, 4<<20)
	address := startGuarded(t, guard, listen(t), func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(w, r, 1<<20); err != nil {
			result.WriteHTTP(w, err)
		}
	})
	head := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n"
	for range 3 {
		_, _ = io.WriteString(dial(t, address), head+strings.Repeat("x", 900_000))
	}
	eventually(t, "the bodies are held", func() bool { return guard.heldBytes() > 3<<20 })
	time.Sleep(2 * minWait)
	conn := dial(t, address)
	go func() { _, _ = io.WriteString(conn, head+strings.Repeat("x", 1_000_000)) }()
	if answer, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || answer.StatusCode != http.StatusOK {
		t.Errorf("got %+v, %v", answer, err)
	}
}

// minWait is a time after which what is held by others has been held for longer.
const minWait = 200 * time.Millisecond

// Guards against clients that take nothing of their answers and keep the connections of others.
func TestAnAnswerThatIsNotTakenMakesRoom(t *testing.T) {
	guard := newTestGuard(generous, 2, 64<<20)
	address := startGuarded(t, guard, listen(t), func(w http.ResponseWriter, r *http.Request) {
		for n := 0; r.URL.Path == "/long" && n < 1000; n++ {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	})
	for range 2 {
		conn := dial(t, address)
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = io.WriteString(conn, "GET /long HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	eventually(t, "both answers are begun", func() bool { return guard.countPhase(shed.InFlight) == 2 })
	time.Sleep(stallTime + minWait)
	conn := dial(t, address)
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	if answer, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || answer.StatusCode != http.StatusOK {
		t.Errorf("got %+v, %v", answer, err)
	}
}

// Guards against a server that waits without end for a body that it does not need.
func TestAnAnswerDoesNotWaitForABodyThatIsNotRead(t *testing.T) {
	address := startGuarded(t, newTestGuard(generous, 10, 64<<20), listen(t), func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
	})
	conn := dial(t, address)
	_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n")
	if answer, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || answer.StatusCode != http.StatusNotFound {
		t.Errorf("got %+v, %v", answer, err)
	}
}

// failingListener fails to accept as a process without free descriptors does.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a listener, and so a process, that ends for lack of descriptors.
func TestAcceptGoesOnWithoutDescriptors(t *testing.T) {
	inner := &failingListener{Listener: listen(t)}
	inner.failures.Store(5)
	ln := newTestGuard(Limits{}, 1, 1<<20).Listener(inner)
	dial(t, inner.Addr().String())
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	_ = inner.Listener.Close()
	if _, err := ln.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a closed listener: %v", err)
	}
}

// Guards against links that are closed to make room for connections that prove nothing.
func TestEstablishedConnectionsAreNotClosed(t *testing.T) {
	options := newTestGuard(generous, 1, 1<<20).options
	options.Limits = nil
	inner := listen(t)
	guard := New(options)
	ln := guard.Listener(inner)
	link := dial(t, inner.Addr().String())
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	accepted.(*connection).Established()
	var accepting sync.WaitGroup
	accepting.Go(func() { _, _ = ln.Accept() })
	other := dial(t, inner.Addr().String())
	if _, err := other.Read(make([]byte, 1)); err == nil {
		t.Error("a connection beyond the bound was kept")
	}
	_, _ = io.WriteString(link, "x")
	if _, err := accepted.Read(make([]byte, 1)); err != nil {
		t.Errorf("the link: %v", err)
	}
	_ = ln.Close()
	accepting.Wait()
}

// Guards against closing a connection whose next request arrived while the process was paused past the idle limit.
func TestARequestThatArrivedInTimeIsReadAfterAPause(t *testing.T) {
	guard := newTestGuard(generous, 1, 1<<20)
	client, server := net.Pipe()
	c := &connection{Conn: &lateConn{Conn: server}, guard: guard}
	if !guard.open(c) {
		t.Fatal("not admitted")
	}
	c.beginHeader()
	go func() { _, _ = io.WriteString(client, "GET") }()
	if n, err := c.Read(make([]byte, 10)); n != 3 || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
}

// lateConn finds its deadline passed at the first read.
type lateConn struct {
	net.Conn
	reads int
}

func (c *lateConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads == 1 {
		return 0, &net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}
	}
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	return c.Conn.Read(p)
}

// Guards against a header whose end is found elsewhere than the library finds it, in one read or many.
func TestTheEndOfAHeaderIsFound(t *testing.T) {
	for _, c := range []struct {
		text                string
		isEnded             bool
		requestLine, fields int64
		lines               int64
	}{
		{"GET / HTTP/1.1\r\nA: b\r\n\r\nbody\r\n\r\n", true, 16, 8, 1},
		{"GET / HTTP/1.1\nA: b\n\nbody", true, 15, 6, 1},
		{"\r\n\r\nGET / HTTP/1.1\r\n\r\n", true, 20, 2, 0},
		{"GET / HTTP/1.1\r\nA: b\r\n\r", false, 16, 7, 1},
		{"GET / HTTP/1.1\r\n\r\r\nA: b\r\n", false, 16, 9, 2},
		{"\r\n\r\n\n\n", false, 6, 0, 0},
	} {
		for step := 1; step <= len(c.text); step++ {
			var h headerScan
			for from := 0; from < len(c.text); from += step {
				h.scan([]byte(c.text[from:min(len(c.text), from+step)]))
			}
			if h.isEnded != c.isEnded || h.requestLine != c.requestLine || h.fields != c.fields || h.lines != c.lines {
				t.Errorf("%q by %d bytes: %+v", c.text, step, h)
			}
		}
	}
}

// Guards against running a request whose connection has yielded while the end of its body was read.
func TestARequestOfAConnectionThatYieldedIsNotRead(t *testing.T) {
	guard := newTestGuard(generous, 1, 1<<20)
	_, server := net.Pipe()
	c := &connection{Conn: server, guard: guard}
	if !guard.open(c) {
		t.Fatal("not admitted")
	}
	guard.remove(c)
	body := &countedBody{ReadCloser: io.NopCloser(strings.NewReader("x")), c: c}
	if _, err := io.ReadAll(body); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v", err)
	}
}
