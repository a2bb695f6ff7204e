package gateway

import (
	"bufio"
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/platform"
)

// generous is how long a test waits for what must happen: far more than it takes.
const generous = 20 * time.Second

// fakeStore is the platform's store, as far as an entry uses it: a log for each keyed topic.
type fakeStore struct {
	*httptest.Server
	mu     sync.Mutex
	topics map[string][][2]string
}

func newFakeStore(t *testing.T) *fakeStore {
	s := &fakeStore{topics: make(map[string][][2]string)}
	s.Server = httptest.NewServer(s.handler())
	t.Cleanup(s.Close)
	return s
}

func (s *fakeStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /apricothub/log-read", s.read)
	mux.HandleFunc("GET /apricothub/log-newest", s.newest)
	mux.HandleFunc("POST /apricothub/log-append", s.append)
	return mux
}

// door is another address of the store. It counts the calls, and turns callers away while it
// is shut.
type door struct {
	address string
	shut    atomic.Bool
	calls   atomic.Int64
	// under are the calls under way.
	under atomic.Int64
}

func (s *fakeStore) door(t *testing.T) *door {
	d := &door{}
	handler := s.handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.calls.Add(1)
		d.under.Add(1)
		defer d.under.Add(-1)
		if d.shut.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	d.address = strings.TrimPrefix(server.URL, "http://")
	return d
}

func (s *fakeStore) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], [2]string{key, value})
}

func (s *fakeStore) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records := s.topics[r.URL.Query().Get("topic")]
		s.mu.Unlock()
		if len(records) <= from && time.Now().Before(until) {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		answer := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		answer = binary.BigEndian.AppendUint64(answer, 0)
		for _, rec := range records[min(from, len(records)):] {
			answer = binary.BigEndian.AppendUint32(answer, uint32(1+len(rec[0])+len(rec[1])))
			answer = append(answer, byte(len(rec[0])))
			answer = append(append(answer, rec[0]...), rec[1]...)
		}
		_, _ = w.Write(answer)
		return
	}
}

func (s *fakeStore) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[r.URL.Query().Get("topic")]
	last := map[string]int{}
	for i, rec := range records {
		last[rec[0]] = i
	}
	items := []map[string]any{}
	for key, i := range last {
		if records[i][1] == "" {
			continue
		}
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString([]byte(records[i][1])), "offset": i})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": false, "end": len(records)})
}

func (s *fakeStore) append(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	keyLen := int(body[4])
	topic := r.URL.Query().Get("topic")
	s.put(topic, string(body[5:5+keyLen]), string(body[5+keyLen:]))
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end":%d}`, len(s.topics[topic])-1, len(s.topics[topic]))
}

// route is one route of the configuration that tests write.
type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"path-prefix"`
	Type     string  `json:"route-type"`
	Timeout  float64 `json:"timeout-ms"`
	Attempts int     `json:"attempts"`
	Resume   bool    `json:"resumable"`
	Service  string  `json:"service"`
}

func testRoutes() []route {
	return []route{
		{"push", "h.example", "/push/", "non_idempotent", 5000, 1, false, "app"},
		{"look", "h.example", "/look/", "idempotent", 5000, 2, false, "app"},
		{"draft", "h.example", "/draft/", "stream", 8000, 2, true, "app"},
		{"chat", "h.example", "/chat/", "stream", 8000, 2, false, "app"},
		{"quick", "h.example", "/quick/", "idempotent", 300, 1, false, "app"},
	}
}

func (s *fakeStore) configure(version int, routes []route, keys ...string) {
	cfg, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "app", "health-path": "/healthz"}},
		"limits":   map[string]any{"max-body-bytes": 1 << 20},
		"tenants":  []map[string]any{{"name": "north", "api-keys": keys}},
	})
	if err != nil {
		panic(err)
	}
	s.put(platform.TopicOperators, "config", string(cfg))
}

// seen is one request as a backend server got it.
type seen struct {
	request *http.Request
	body    string
	// first says that it is the first one on its connection.
	first bool
}

// fakeServer is a backend server on a socket of its own: answer writes what it likes, and
// returns whether the connection stays.
type fakeServer struct {
	t        *testing.T
	id       string
	listener net.Listener
	answer   func(s seen, conn net.Conn) bool
	mu       sync.Mutex
	requests []seen
}

func (s *fakeStore) serve(t *testing.T, id string, answer func(s seen, conn net.Conn) bool) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeServer{t: t, id: id, listener: listener, answer: answer}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.handle(conn)
		}
	}()
	s.register(f, "ready")
	return f
}

func (s *fakeStore) register(f *fakeServer, state string) {
	s.put(platform.TopicServers, f.id, fmt.Sprintf(
		`{"service":"app","address":"%s","zone":"a","concurrency":4,"state":"%s","cold-remaining-ms":0,"sequence":1,"born":1}`,
		f.listener.Addr(), state))
}

func (f *fakeServer) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		s := seen{request: req, body: string(body), first: first}
		f.mu.Lock()
		f.requests = append(f.requests, s)
		f.mu.Unlock()
		if !f.answer(s, conn) {
			return
		}
	}
}

func (f *fakeServer) got() []seen {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]seen(nil), f.requests...)
}

// whole answers with a body and the server's signature.
func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nUpstream-Signature: sig\r\nContent-Type: text/plain\r\nKeep-Alive: timeout=30\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func echo(s seen, conn net.Conn) bool {
	_, _ = io.WriteString(conn, whole(s.request.Header.Get("Attempt-Id"), "answer to "+s.request.Header.Get("Attempt-Id")))
	return true
}

// streamHead begins a stream in chunks.
func streamHead(s seen) string {
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + s.request.Header.Get("Attempt-Id") +
		"\r\nUpstream-Signature: sig\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: part %d\n\n", id, id) }

// entry is a running gateway.
type entry struct {
	*Gateway
	t      *testing.T
	cancel context.CancelFunc
	done   chan error
}

// addresses counts the loopback addresses given out, so that each entry has one of its own and
// no test takes a port that another one is about to listen on.
var addresses atomic.Int32

func ownIP() string {
	n := addresses.Add(1)
	return fmt.Sprintf("127.7.%d.%d", n/250, 1+n%250)
}

// peerPort is the port for beats, the same for all entries.
const peerPort = 7340

func (s *fakeStore) settings(seeds ...string) *platform.Settings {
	ip := ownIP()
	address := func(port string) string { return net.JoinHostPort(ip, port) }
	return &platform.Settings{
		VM: "vm-" + ip, IP: ip, FailureDomain: "a", PeerPort: peerPort, Seeds: seeds,
		Listen: platform.Listen{Callers: address("8001"), Readiness: address("8002"), Directory: address("8003"), Admin: address("8004")},
		Store:  platform.StoreSettings{Address: strings.TrimPrefix(s.URL, "http://")},
		Bounds: platform.Bounds{Grace: 2 * time.Second, RetryRatio: 0.2, RetrySlack: 90, ColdOver: 1.5, ColdSlack: 5, AddressTTL: 5 * time.Second},
	}
}

// start runs a gateway and waits until it is ready.
func start(t *testing.T, settings *platform.Settings) *entry {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{Gateway: newGateway(settings, log.NewNopLogger()), t: t, cancel: cancel, done: make(chan error, 1)}
	go func() { e.done <- e.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		select {
		case <-e.done:
		case <-time.After(generous):
			t.Error("the entry did not stop")
		}
	})
	e.until("the entry is ready", func() bool {
		select {
		case err := <-e.done:
			t.Fatalf("the entry ended with %v", err)
		default:
		}
		v := e.view.Load()
		return v != nil && v.ready
	})
	return e
}

func (e *entry) until(what string, is func() bool) {
	e.t.Helper()
	for end := time.Now().Add(generous); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if is() {
			return
		}
	}
	e.t.Fatalf("not within %v: %s", generous, what)
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (e *entry) ask(method, path, id string, change ...func(*http.Request)) reply {
	return e.askWith(http.DefaultClient, method, path, id, change...)
}

func (e *entry) askWith(client *http.Client, method, path, id string, change ...func(*http.Request)) reply {
	req, err := http.NewRequest(method, "http://"+e.settings.Listen.Callers+path, strings.NewReader("body of "+id))
	if err != nil {
		e.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Api-Key", "key-1")
	req.Header.Set("Deadline-Ms", "6000")
	for _, c := range change {
		c(req)
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}
