// Package fakeplatform is a fake of the users' platform for tests: its store, backend servers with
// handlers that a test supplies, and lock-step groups of engines.
package fakeplatform

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricothub/apricothub/platform"
	"github.com/apricothub/apricothub/test/harness"
)

// Store is a fake of the platform's store, as far as entries use it: one log of key-value records
// per topic.
type Store struct {
	*httptest.Server
	mu     sync.Mutex
	topics map[string][][2]string
	// odd are records that are no keyed ones, by topic and offset.
	odd map[string]map[int]OddRecord
	// firstOffsets are the lowest offsets still readable, by topic.
	firstOffsets map[string]int
	// Limits are the limits on callers in the configurations that are published from now on.
	Limits Limits
}

// Limits are the limits on what a caller may send; a limit of zero is left out.
type Limits struct {
	HeaderBytes     int `json:"max-header-bytes,omitempty"`
	BodyBytes       int `json:"max-body-bytes,omitempty"`
	HeaderTimeoutMs int `json:"header-timeout-ms,omitempty"`
	IdleTimeoutMs   int `json:"idle-timeout-ms,omitempty"`
}

// NewStore starts a store that stops at the end of the test.
func NewStore(report harness.Reporter) *Store {
	s := &Store{topics: make(map[string][][2]string), firstOffsets: make(map[string]int), Limits: Limits{BodyBytes: 1 << 20}}
	s.Server = httptest.NewServer(s.handler(func() bool { return false }))
	report.Cleanup(s.Close)
	return s
}

// handler serves the store's HTTP calls. Reads that wait for records end with 503 once
// isUnavailable returns true.
func (s *Store) handler(isUnavailable func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /apricothub/log-read", func(w http.ResponseWriter, r *http.Request) { s.read(w, r, isUnavailable) })
	mux.HandleFunc("GET /apricothub/log-newest", s.newest)
	mux.HandleFunc("POST /apricothub/log-append", s.append)
	return mux
}

// Endpoint is a further address of the store, for one process. It counts the calls and answers 503
// while Unavailable is set.
type Endpoint struct {
	Address     string
	Unavailable atomic.Bool
	// DelayMs is the time in milliseconds that each call takes longer.
	DelayMs atomic.Int64
	Calls   atomic.Int64
	// InFlight counts the calls in flight.
	InFlight atomic.Int64
}

// NewEndpoint starts a further address of the store.
func (s *Store) NewEndpoint(report harness.Reporter) *Endpoint {
	e := &Endpoint{}
	handler := s.handler(e.Unavailable.Load)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.Calls.Add(1)
		e.InFlight.Add(1)
		defer e.InFlight.Add(-1)
		if e.Unavailable.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(time.Duration(e.DelayMs.Load()) * time.Millisecond)
		handler.ServeHTTP(w, r)
	}))
	report.Cleanup(server.Close)
	e.Address = strings.TrimPrefix(server.URL, "http://")
	return e
}

// Put appends a record; an empty value deletes the key.
func (s *Store) Put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], [2]string{key, value})
}

// OddRecord is a record as no writer of keyed records leaves it.
type OddRecord struct {
	// Log holds its bytes in the log, without their length, and Item its JSON in listings; empty if it is in none.
	Log  []byte
	Item string
}

// PutOdd appends an odd record to a topic.
func (s *Store) PutOdd(topic string, r OddRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.odd == nil {
		s.odd = make(map[string]map[int]OddRecord)
	}
	if s.odd[topic] == nil {
		s.odd[topic] = make(map[int]OddRecord)
	}
	s.odd[topic][len(s.topics[topic])] = r
	s.topics[topic] = append(s.topics[topic], [2]string{})
}

// Truncate drops the history of all topics. A reader that is behind gets 410 Gone and must read the
// newest record of each key instead.
func (s *Store) Truncate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for topic, records := range s.topics {
		s.firstOffsets[topic] = len(records)
	}
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, isUnavailable func() bool) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		if isUnavailable() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.mu.Lock()
		records := s.topics[r.URL.Query().Get("topic")]
		first := s.firstOffsets[r.URL.Query().Get("topic")]
		odd := maps.Clone(s.odd[r.URL.Query().Get("topic")])
		s.mu.Unlock()
		if from < first {
			w.WriteHeader(http.StatusGone)
			_, _ = fmt.Fprintf(w, `{"first":%d}`, first)
			return
		}
		if len(records) <= from && time.Now().Before(until) {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		answer := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		answer = binary.BigEndian.AppendUint64(answer, uint64(first))
		for offset := min(from, len(records)); offset < len(records); offset++ {
			rec := records[offset]
			if raw, isOdd := odd[offset]; isOdd {
				answer = append(binary.BigEndian.AppendUint32(answer, uint32(len(raw.Log))), raw.Log...)
				continue
			}
			answer = binary.BigEndian.AppendUint32(answer, uint32(1+len(rec[0])+len(rec[1])))
			answer = append(answer, byte(len(rec[0])))
			answer = append(append(answer, rec[0]...), rec[1]...)
		}
		_, _ = w.Write(answer)
		return
	}
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[r.URL.Query().Get("topic")]
	last := map[string]int{}
	for i, rec := range records {
		last[rec[0]] = i
	}
	var items []string
	for _, r := range s.odd[r.URL.Query().Get("topic")] {
		if r.Item != "" {
			items = append(items, r.Item)
		}
	}
	for key, i := range last {
		if records[i][1] == "" {
			continue
		}
		item, _ := json.Marshal(map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString([]byte(records[i][1])), "offset": i})
		items = append(items, string(item))
	}
	_, _ = fmt.Fprintf(w, `{"items":[%s],"truncated":false,"end":%d}`, strings.Join(items, ","), len(records))
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	keyLen := int(body[4])
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(s.topics[topic])) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = fmt.Fprintf(w, `{"end":%d}`, len(s.topics[topic]))
		return
	}
	s.topics[topic] = append(s.topics[topic], [2]string{string(body[5 : 5+keyLen]), string(body[5+keyLen:])})
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end":%d}`, len(s.topics[topic])-1, len(s.topics[topic]))
}

// Address returns the address that the store listens on.
func (s *Store) Address() string { return strings.TrimPrefix(s.URL, "http://") }

// Route is a route in a published configuration.
type Route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"path-prefix"`
	Type     string  `json:"route-type"`
	Timeout  float64 `json:"timeout-ms"`
	Attempts int     `json:"attempts"`
	Resume   bool    `json:"resumable"`
	Service  string  `json:"service"`
	// MaxPauseMs is the longest pause between two events for which a stream is on time; zero for none.
	MaxPauseMs float64 `json:"gap-aim-ms,omitempty"`
	// Priority is the route's priority; 0 is the highest.
	Priority int `json:"priority"`
}

// Team is a team in a published configuration.
type Team struct {
	Name string   `json:"name"`
	Keys []string `json:"api-keys"`
	// Priority takes precedence over that of routes; nil for none.
	Priority *int `json:"priority,omitempty"`
}

// Routes returns one route of each kind, and one with a short timeout.
func Routes() []Route {
	return []Route{
		{"push", "h.example", "/push/", "non_idempotent", 5000, 3, false, "app", 0, 0},
		{"look", "h.example", "/look/", "idempotent", 5000, 2, false, "app", 0, 0},
		{"draft", "h.example", "/draft/", "stream", 8000, 2, true, "app", 0, 0},
		{"chat", "h.example", "/chat/", "stream", 8000, 2, false, "app", 0, 0},
		{"quick", "h.example", "/quick/", "idempotent", 300, 1, false, "app", 0, 0},
	}
}

// Service is a service in a published configuration.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health-path"`
	// ColdPerS is the number of requests per second that a cold backend server can handle;
	// ColdStartS is how many seconds it stays cold.
	ColdPerS   float64 `json:"cold-per-s,omitempty"`
	ColdStartS float64 `json:"cold-start-s,omitempty"`
	// Engine describes the engines of the service; nil if it has none.
	Engine *EngineShape `json:"engine,omitempty"`
}

// EngineShape is the part of a published configuration that describes the engines of a service.
type EngineShape struct {
	Concurrency   int     `json:"concurrency"`
	Sets          int     `json:"sets"`
	Experts       int     `json:"experts"`
	Places        int     `json:"places"`
	Spare         int     `json:"spare"`
	Stride        int     `json:"stride"`
	ExpertMB      float64 `json:"expert-mb"`
	BandwidthMbps float64 `json:"bandwidth-mbps"`
}

// Configure publishes a configuration with one service, app, and one team, north.
func (s *Store) Configure(version int, routes []Route, keys ...string) {
	s.ConfigureServices(version, []Service{{Name: "app", HealthPath: "/healthz"}}, routes, keys...)
}

// ConfigureServices publishes a configuration with services and one team, north.
func (s *Store) ConfigureServices(version int, services []Service, routes []Route, keys ...string) {
	s.ConfigureTeams(version, services, routes, []Team{{Name: "north", Keys: keys}})
}

// ConfigureTeams publishes a configuration with services and teams.
func (s *Store) ConfigureTeams(version int, services []Service, routes []Route, teams []Team) {
	cfg, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": services,
		"limits":   s.Limits,
		"tenants":  teams,
	})
	if err != nil {
		panic(err)
	}
	s.Put(platform.TopicOperators, "config", string(cfg))
}
