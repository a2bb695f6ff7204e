package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apricothub/apricothub/internal/bounded"
)

// store is the platform's store, as far as gateways call it: topics of one partition whose records have keys.
type store struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
}

type record struct{ key, value string }

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), topics: make(map[string][]record), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /apricothub/log-read", s.read)
	mux.HandleFunc("GET /apricothub/log-newest", s.newest)
	mux.HandleFunc("POST /apricothub/log-append", s.append)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put adds a record; an empty value drops the key.
func (s *store) put(topic, key, value string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic])
}

func (s *store) read(w http.ResponseWriter, req *http.Request) {
	topic := req.URL.Query().Get("topic")
	from, _ := strconv.Atoi(req.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(req.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if len(records) > from {
			writeLog(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeLog(w, records, from)
			return
		case <-req.Context().Done():
			return
		}
	}
}

func writeLog(w http.ResponseWriter, records []record, from int) {
	answer := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	answer = binary.BigEndian.AppendUint64(answer, 0)
	for _, r := range records[min(from, len(records)):] {
		answer = binary.BigEndian.AppendUint32(answer, uint32(1+len(r.key)+len(r.value)))
		answer = append(answer, byte(len(r.key)))
		answer = append(append(answer, r.key...), r.value...)
	}
	_, _ = w.Write(answer)
}

func (s *store) newest(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[req.URL.Query().Get("topic")]
	last := make(map[string]int)
	for i, r := range records {
		last[r.key] = i
	}
	items := []map[string]any{}
	for key, i := range last {
		if records[i].value != "" {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString([]byte(records[i].value)), "offset": i})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": false, "end": len(records)})
}

const maxAppendBytes = 2 << 20

func (s *store) append(w http.ResponseWriter, req *http.Request) {
	body, err := bounded.ReadAll(req.Body, maxAppendBytes, "an append")
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	topic, at := req.URL.Query().Get("topic"), req.URL.Query().Get("at")
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topics[topic])
	if at != "" && at != strconv.Itoa(offset) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = fmt.Fprintf(w, `{"end":%d}`, offset)
		return
	}
	for len(body) > 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || 4+size > len(body) || 1+int(body[4]) > size {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		rec := body[4 : 4+size]
		body = body[4+size:]
		key := 1 + int(rec[0])
		s.topics[topic] = append(s.topics[topic], record{string(rec[1:key]), string(rec[key:])})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, len(s.topics[topic]))
}
