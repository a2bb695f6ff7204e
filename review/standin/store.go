package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/apricothub/apricothub/internal/bounded"
)

// maxCallBytes limits the body of one call of the store.
const maxCallBytes = 2 << 20

// keyedRecord is one record of a keyed topic; without a value, it drops its key.
type keyedRecord struct {
	key   string
	value []byte
}

// store plays the platform's store: one log for each topic, in partition 0, which never loses a record.
type store struct {
	mu      sync.Mutex
	topics  map[string][]keyedRecord
	changed chan struct{}
	address string
}

// newStore starts a store on a loopback address.
func newStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{topics: make(map[string][]keyedRecord), changed: make(chan struct{}), address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /apricothub/log-read", s.read)
	mux.HandleFunc("GET /apricothub/log-newest", s.newest)
	mux.HandleFunc("POST /apricothub/log-append", s.append)
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	return s, nil
}

// put appends records, and returns the offset of the first one.
func (s *store) put(topic string, records ...keyedRecord) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

// records returns the records of a topic, and a channel that is closed at the next append to any.
func (s *store) records(topic string) ([]keyedRecord, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topics[topic], s.changed
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	records, changed := s.records(query.Get("topic"))
	for waiting := true; waiting && len(records) <= from; {
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
		records, changed = s.records(query.Get("topic"))
	}
	answer := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	answer = binary.BigEndian.AppendUint64(answer, 0)
	for _, rec := range records[min(from, len(records)):] {
		answer = binary.BigEndian.AppendUint32(answer, uint32(1+len(rec.key)+len(rec.value)))
		answer = append(answer, byte(len(rec.key)))
		answer = append(answer, rec.key...)
		answer = append(answer, rec.value...)
	}
	_, _ = w.Write(answer)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	records, _ := s.records(r.URL.Query().Get("topic"))
	newest := make(map[string]int)
	for i, rec := range records {
		newest[rec.key] = i
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for key, i := range newest {
		if len(records[i].value) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(records[i].value), i})
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": false, "end": len(records)})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := bounded.ReadAll(r.Body, maxCallBytes, "an append")
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var records []keyedRecord
	for len(body) >= 5 {
		size, keyLen := int(binary.BigEndian.Uint32(body)), int(body[4])
		if size > len(body)-4 || keyLen+1 > size {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, keyedRecord{string(body[5 : 5+keyLen]), append([]byte(nil), body[5+keyLen:4+size]...)})
		body = body[4+size:]
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	end := len(s.topics[topic])
	w.Header().Set("Content-Type", "application/json")
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		s.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": end})
		return
	}
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": end, "end": end + len(records)})
}
