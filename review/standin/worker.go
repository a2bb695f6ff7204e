package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apricothub/apricothub/internal/bounded"
)

const (
	// heartbeatInterval is the time between two records of a worker in the store.
	heartbeatInterval = 1200 * time.Millisecond
	// keepAliveSeconds is how long a worker keeps an idle connection open.
	keepAliveSeconds = 5
	// defaultQueue is the number of requests that wait at a worker for a slot.
	defaultQueue   = 24
	maxRequestBody = 1 << 20
	// repeatFor is how long a worker sends some answers twice.
	repeatFor = 5 * time.Second
)

// worker plays one backend server in a process of its own.
type worker struct {
	id, service, address, zone, store string
	concurrency                       int
	// repeatShare is the share of its answers that the worker sends twice, refusals only; zero for none. It does so
	// for repeatFor from each of the times in repeatFrom on, which are Unix milliseconds. The second answer arrives
	// late, at the point where the next answer on the connection is expected. It lacks the ID of its request unless
	// repeatID is set.
	repeatShare          float64
	repeatFrom           []int64
	repeatID             bool
	repeated, repeatable atomic.Int64
	// queue is the number of requests that wait for a slot.
	queue int
	// unframedEvery is the number of answers after which one has no length and ends with its connection; zero
	// for never.
	unframedEvery int64

	startedAt int64
	draining  atomic.Bool
	answers   atomic.Int64
	held      atomic.Int64
	slots     chan struct{}
	out       sync.Mutex
}

// runWorker runs one worker until it is killed, or for some seconds after SIGTERM.
func runWorker(args []string) int {
	w := &worker{startedAt: time.Now().UnixMilli()}
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	flags.StringVar(&w.id, "id", "", "ID")
	flags.StringVar(&w.service, "service", "app", "service")
	flags.StringVar(&w.address, "address", "", "IP and port")
	flags.StringVar(&w.zone, "zone", "zone-a", "failure domain")
	flags.StringVar(&w.store, "store", "", "address of the store")
	flags.IntVar(&w.concurrency, "concurrency", 12, "requests at a time")
	flags.Float64Var(&w.repeatShare, "repeat-share", 0, "share of answers, refusals only, that are sent twice")
	flags.Func("repeat-from", "a time from which on answers are sent twice, in Unix ms", func(text string) error {
		from, err := strconv.ParseInt(text, 10, 64)
		w.repeatFrom = append(w.repeatFrom, from)
		return err
	})
	flags.BoolVar(&w.repeatID, "repeat-id", false, "a second answer bears the ID of its request")
	flags.IntVar(&w.queue, "queue", defaultQueue, "requests that wait for a slot")
	flags.Int64Var(&w.unframedEvery, "unframed-every", 0, "answers until one has no length")
	if err := flags.Parse(args); err != nil {
		return exitNotRun
	}
	w.slots = make(chan struct{}, w.concurrency)
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	go w.register(terminated)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return exitHeld
		}
		go w.serve(conn)
	}
}

// register keeps the record of the worker in the store up to date.
func (w *worker) register(terminated <-chan os.Signal) {
	client := &http.Client{Timeout: time.Second, Transport: bounded.Transport(&http.Transport{})}
	target := "http://" + w.store + "/apricothub/log-append?" + url.Values{"topic": {"keyed.servers"}, "part": {"0"}}.Encode()
	for sequence := 1; ; sequence++ {
		state := "ready"
		if w.draining.Load() {
			state = "draining"
		}
		record, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "concurrency": w.concurrency,
			"state": state, "cold-remaining-ms": 0, "sequence": sequence, "born": w.startedAt,
		})
		body := binary.BigEndian.AppendUint32(nil, uint32(1+len(w.id)+len(record)))
		body = append(append(append(body, byte(len(w.id))), w.id...), record...)
		resp, err := client.Post(target, "application/octet-stream", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
			if w.draining.Load() {
				w.log("draining", "", "")
			}
		}
		select {
		case <-terminated:
			w.draining.Store(true)
		case <-time.After(heartbeatInterval):
		}
	}
}

// log writes one line for the record of the case.
func (w *worker) log(event, attempt, detail string) {
	w.out.Lock()
	defer w.out.Unlock()
	fmt.Printf("%d worker %s %s %s %s\n", time.Now().UnixMilli(), w.id, event, attempt, detail)
}

// serve answers the requests of one connection, one at a time.
func (w *worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	// stray is what arrives late, at the point where the next answer is expected.
	var stray []byte
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := bounded.ReadAll(req.Body, maxRequestBody, "a request"); err != nil {
			return
		}
		attempt := req.Header.Get("Attempt-Id")
		if stray != nil {
			w.log("stray", attempt, fmt.Sprintf("%d bytes of an earlier answer come first", len(stray)))
			if _, err := conn.Write(stray); err != nil {
				return
			}
			stray = nil
		}
		keep, refusal := w.answer(conn, req, attempt)
		if !keep {
			return
		}
		if refusal != nil && w.repeats() {
			stray = refusal
		}
	}
}

// isFaulty reports whether the worker sends some answers twice now.
func (w *worker) isFaulty() bool {
	now := time.Now().UnixMilli()
	return slices.ContainsFunc(w.repeatFrom, func(from int64) bool { return now >= from && now < from+repeatFor.Milliseconds() })
}

// repeats reports whether the refusal that has just been sent is sent again.
func (w *worker) repeats() bool {
	if w.repeatShare == 0 || !w.isFaulty() {
		return false
	}
	if float64(w.repeated.Load()+1) > w.repeatShare*float64(w.repeatable.Load()) {
		return false
	}
	w.repeated.Add(1)
	return true
}

// refuse sends a refusal, and returns what a faulty worker sends a second time.
func (w *worker) refuse(conn net.Conn, status, attempt string) (keep bool, again []byte) {
	const format = "HTTP/1.1 %s\r\n%sNot-Executed: 1\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n"
	id := "Attempt-Id: " + attempt + "\r\n"
	_, err := fmt.Fprintf(conn, format, status, id, w.id)
	if !w.repeatID {
		id = ""
	}
	return err == nil, fmt.Appendf(nil, format, status, id, w.id)
}

// answer answers one request. It returns whether the connection stays open, and for a refusal what a faulty
// worker sends a second time.
func (w *worker) answer(conn net.Conn, req *http.Request, attempt string) (keep bool, refusal []byte) {
	if w.isFaulty() {
		w.repeatable.Add(1)
	}
	switch {
	case strings.HasPrefix(req.URL.Path, "/healthz"):
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
		return err == nil, nil
	case req.Header.Get("Target-Instance") != "" && req.Header.Get("Target-Instance") != w.id:
		return w.refuse(conn, "421 Misdirected Request", attempt)
	}
	if w.held.Add(1) > int64(w.concurrency+w.queue) {
		w.held.Add(-1)
		w.log("refuse", attempt, "503, full")
		return w.refuse(conn, "503 Service Unavailable", attempt)
	}
	defer w.held.Add(-1)
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	w.log("run", attempt, req.Method+" "+req.URL.Path)
	pieces, pause, size := workOf(req.URL.Query())
	all := piecesOf(w.id, attempt, pieces, size)
	whole := bytes.Join(all, nil)
	isUnframed := w.unframedEvery > 0 && w.answers.Add(1)%w.unframedEvery == 0
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nUpstream-Signature: %s\r\nContent-Type: text/event-stream\r\n", attempt, signature(w.id, attempt, whole))
	if isUnframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += fmt.Sprintf("Keep-Alive: timeout=%d\r\nTransfer-Encoding: chunked\r\n\r\n", keepAliveSeconds)
	}
	if !strings.HasPrefix(req.URL.Path, "/draft/") {
		head = strings.Replace(head, "text/event-stream", "text/plain", 1)
	}
	for i, piece := range all {
		time.Sleep(pause)
		if !isUnframed {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if i == 0 {
			piece = append([]byte(head), piece...)
		}
		if _, err := conn.Write(piece); err != nil {
			w.log("dropped", attempt, "")
			return false, nil
		}
		if i == 0 && isUnframed {
			w.log("begun", attempt, "without a length, of "+strconv.Itoa(len(all))+" pieces")
		}
	}
	if isUnframed {
		w.log("whole", attempt, "")
		return false, nil
	}
	if _, err := conn.Write([]byte("0\r\n\r\n")); err != nil {
		return false, nil
	}
	return true, nil
}

// workOf returns the number of pieces of an answer, the time that each of them takes, and its least size.
func workOf(query url.Values) (pieces int, pause time.Duration, size int) {
	pieces, _ = strconv.Atoi(query.Get("pieces"))
	ms, _ := strconv.Atoi(query.Get("ms"))
	size, _ = strconv.Atoi(query.Get("bytes"))
	return max(pieces, 1), time.Duration(ms) * time.Millisecond, size
}

// piecesOf returns the pieces of the answer to a request, as events of a least size.
func piecesOf(worker, attempt string, n, size int) [][]byte {
	pieces := make([][]byte, n)
	for i := range pieces {
		text := fmt.Sprintf("id: %d\ndata: piece %d of %d by %s for %s", i+1, i+1, n, worker, attempt)
		pieces[i] = []byte(text + strings.Repeat(".", max(size-len(text)-2, 0)) + "\n\n")
	}
	return pieces
}

// signature returns the signature of an answer, by which a caller knows the whole body.
func signature(worker, attempt string, body []byte) string {
	sum := sha256.Sum256(body)
	return worker + "." + attempt + "." + strconv.Itoa(len(body)) + "." + hex.EncodeToString(sum[:8])
}
