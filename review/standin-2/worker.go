package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricothub/apricothub/internal/bounded"
)

// worker is a backend server that runs as a process of its own and registers itself.
type worker struct {
	r                *rig
	id, zone         string
	service, address string
	concurrency      int
	born             int64
	cmd              *exec.Cmd
	orders           io.Writer

	stopped chan struct{}
	once    sync.Once
}

// startWorker starts a worker process with further flags and registers it.
func (r *rig) startWorker(id, service, zone string, concurrency int, flags ...string) *worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	address := listener.Addr().String()
	must(listener.Close())
	self, err := os.Executable()
	must(err)
	w := &worker{
		r: r, id: id, zone: zone, service: service, address: address, concurrency: concurrency,
		born: time.Now().UnixMilli(), stopped: make(chan struct{}),
	}
	args := append([]string{"worker", "-listen", address, "-id", id, "-concurrency", strconv.Itoa(concurrency)}, flags...)
	w.cmd = exec.Command(self, args...)
	out, err := w.cmd.StdoutPipe()
	must(err)
	w.orders, err = w.cmd.StdinPipe()
	must(err)
	must(w.cmd.Start())
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		panic(setupError{fmt.Errorf("worker %s does not start", id)})
	}
	go func() {
		for lines.Scan() {
			r.heard(id, lines.Text())
		}
	}()
	r.note("worker %s of service %s starts at %s", id, service, address)
	r.mu.Lock()
	r.workers = append(r.workers, w)
	r.mu.Unlock()
	w.register()
	go w.beat()
	return w
}

// register writes the registration of the worker.
func (w *worker) register() {
	w.r.store.put("keyed.servers", w.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","concurrency":%d,"state":"ready","cold-remaining-ms":0,"sequence":0,"born":%d}`,
		w.service, w.address, w.zone, w.concurrency, w.born))
}

func (w *worker) beat() {
	for {
		select {
		case <-time.After(heartbeat):
			w.register()
		case <-w.stopped:
			return
		}
	}
}

// spoil makes the worker spoil some of its answers for a time.
func (w *worker) spoil(d time.Duration) {
	w.r.note("worker %s spoils some of its answers for %v", w.id, d)
	_, _ = fmt.Fprintf(w.orders, "%d\n", d.Milliseconds())
}

// kill ends the process at once. Its registration stays until it lapses.
func (w *worker) kill() {
	w.once.Do(func() {
		close(w.stopped)
		_ = w.cmd.Process.Kill()
		_ = w.cmd.Wait()
		w.r.note("worker %s was killed", w.id)
		time.AfterFunc(lapse, func() { w.r.store.put("keyed.servers", w.id, "") })
	})
}

// wholeCall returns the whole answer to a request.
func wholeCall(attempt string) string { return strings.Repeat("the answer to "+attempt+"\n", 25) }

// server is the worker in its own process.
type server struct {
	id       string
	slots    chan struct{}
	workTime time.Duration
	// spoiled is the percentage of answers with a status that HTTP does not have, until a time in Unix
	// milliseconds.
	spoiled      int
	spoiledUntil atomic.Int64
	out          sync.Mutex
}

func runWorker(args []string) {
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	id := flags.String("id", "", "id of the worker")
	concurrency := flags.Int("concurrency", 12, "requests at a time")
	workTime := flags.Duration("work-time", 30*time.Millisecond, "time of a request")
	spoiled := flags.Int("spoiled", 0, "percentage of answers that are spoiled, while told to")
	_ = flags.Parse(args)
	s := &server{id: *id, slots: make(chan struct{}, *concurrency), workTime: *workTime, spoiled: *spoiled}
	go s.obey()
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusCannot)
	}
	s.say("listens")
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// obey reads from the standard input for how many milliseconds some answers are spoiled. At its end, the process
// that started the worker is gone.
func (s *server) obey() {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		if ms, err := strconv.ParseInt(lines.Text(), 10, 64); err == nil {
			s.spoiledUntil.Store(time.Now().UnixMilli() + ms)
		}
	}
	os.Exit(statusHeld)
}

// statusOf returns the status of the next answer.
func (s *server) statusOf() string {
	if time.Now().UnixMilli() < s.spoiledUntil.Load() && rand.IntN(100) < s.spoiled {
		return spoiledStatus
	}
	return "200"
}

// spoiledStatus is no status of HTTP: its first digit is spoiled.
const spoiledStatus = "000"

func (s *server) say(format string, args ...any) {
	s.out.Lock()
	defer s.out.Unlock()
	fmt.Printf(format+"\n", args...)
}

const (
	maxRequestHeader = 64 << 10
	maxRequestBody   = 4 << 20
)

// serve answers the requests on one connection.
func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bounded.NewReader(conn, 0, "a request")
	br := bufio.NewReader(in)
	for {
		in.Allow(maxRequestHeader+maxRequestBody, "a request")
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := bounded.ReadAll(req.Body, maxRequestBody, "a body"); err != nil {
			return
		}
		if !s.answer(req, conn) {
			return
		}
	}
}

// answer answers one request and returns whether the connection stays open.
func (s *server) answer(req *http.Request, conn net.Conn) bool {
	attempt := req.Header.Get("Attempt-Id")
	if target := req.Header.Get("Target-Instance"); target != "" && target != s.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id, attempt)
		return err == nil
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt)
		return err == nil
	}
	s.say("runs %s %s %s", attempt, req.Method, req.RequestURI)
	time.Sleep(s.workTime)
	body, status := wholeCall(attempt), s.statusOf()
	if status == spoiledStatus {
		s.say("spoils the answer to %s", attempt)
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s OK\r\nAttempt-Id: %s\r\nUpstream-Signature: %s.%s\r\nContent-Type: text/plain\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s",
		status, attempt, s.id, attempt, len(body), body)
	return err == nil
}
