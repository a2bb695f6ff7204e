package member

import (
	"bytes"
	"context"
	"encoding/json"
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
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/platform"
)

// fakePlatform serves a log and a list of VMs from memory.
type fakePlatform struct {
	mu         sync.Mutex
	client     *platform.Client
	records    [][]byte
	oldest     int64 // the oldest offset kept
	vms        []platform.VM
	down       bool
	full       bool // appends fail
	maxRecords int  // a response with more records is truncated; 0 for no limit
	appends    int
	reads      int
}

func newFakePlatform(t *testing.T) *fakePlatform {
	f := &fakePlatform{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/records", f.append)
	mux.HandleFunc("GET /log/records", f.read)
	mux.HandleFunc("GET /vms", f.list)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	f.client = platform.New(server.URL, time.Second)
	return f
}

// withoutLog returns a client of the same platform for which the log does not answer.
func (f *fakePlatform) withoutLog(t *testing.T) *platform.Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/vms" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f.list(w, r)
	}))
	t.Cleanup(server.Close)
	return platform.New(server.URL, time.Second)
}

func (f *fakePlatform) list(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"vms": f.vms})
}

func (f *fakePlatform) append(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.appends++
	if f.down || f.full {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data := make([]byte, r.ContentLength+1<<16)
	n, _ := r.Body.Read(data)
	f.records = append(f.records, data[:n])
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": len(f.records) - 1})
}

func (f *fakePlatform) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.FormValue("from"), 10, 64)
	limit, _ := strconv.Atoi(r.FormValue("limit"))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	next := int64(len(f.records))
	response := map[string]any{"first": f.oldest, "next": next}
	switch {
	case f.down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case from < f.oldest:
		w.WriteHeader(http.StatusGone)
	case f.maxRecords > 0 && min(next-from, int64(limit)) > int64(f.maxRecords):
		_, _ = w.Write([]byte(`{"first":0,"next":1,"records":[`))
		return
	default:
		records := []map[string]any{}
		for offset := from; offset < next && len(records) < limit; offset++ {
			records = append(records, map[string]any{"offset": offset, "data": f.records[offset]})
		}
		response["records"] = records
	}
	_ = json.NewEncoder(w).Encode(response)
}

// set changes the platform's state under its lock.
func (f *fakePlatform) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// mark appends a mark of a VM that does not exist.
func (f *fakePlatform) mark(t *testing.T, id string, base int64) {
	t.Helper()
	body := &api.Mark{Target: api.MarkTarget_TARGET_VM, Name: "elsewhere", Out: true, Base: base}
	data, err := proto.Marshal(&api.Record{ChangeId: id, Author: "a", Body: &api.Record_Mark{Mark: body}})
	if err != nil {
		t.Fatal(err)
	}
	f.set(func() { f.records = append(f.records, data) })
}

// testNode is a member that listens on the loopback interface.
type testNode struct {
	*Node
	stop func()
}

// fastLinks has short times, so that faults are detected within a fraction of a second.
var fastLinks = &api.Links{Key: "key", HeartbeatMs: 10, SuspectMs: 150, DeadMs: 400, FreshnessMs: 600}

// start runs a member and adds its VM to the platform's list.
func (f *fakePlatform) start(t *testing.T, vm, role string, change func(*Options)) *testNode {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return f.startOn(t, ln, vm, role, change)
}

// startOn starts a member that serves links on a listener.
func (f *fakePlatform) startOn(t *testing.T, ln net.Listener, vm, role string, change func(*Options)) *testNode {
	t.Helper()
	listed := platform.VM{ID: vm, Role: role, FailureDomain: "a", Link: ln.Addr().String()}
	f.set(func() {
		for i := range f.vms {
			if f.vms[i].ID == vm {
				f.vms[i] = listed
				return
			}
		}
		f.vms = append(f.vms, listed)
	})
	o := Options{
		Self:     &api.Hello{Vm: vm, Role: roleOf(listed), FailureDomain: "a", Incarnation: ln.Addr().String()},
		Platform: f.client, Links: fastLinks, LogPollInterval: 20 * time.Millisecond, VMsPollInterval: 20 * time.Millisecond, Logger: log.NewNopLogger(),
		ShouldDial: func(other platform.VM) bool { return other.ID > vm },
	}
	if change != nil {
		change(&o)
	}
	n := &testNode{Node: New(o)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx, ln)
	}()
	n.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(n.stop)
	return n
}

// logBuffer collects log lines for a test.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) count(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), part)
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(8 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (n *testNode) applied() int64 { return n.State().View.Applied() }

func (n *testNode) peer(vm string) *Peer { return n.State().Peers[vm] }

// closeLink closes the link to a VM.
func (n *testNode) closeLink(vm string) {
	if p := n.peer(vm); p != nil {
		p.Session.Close(link.ErrWrongKey)
	}
}

// forwarder forwards connections between two members and can drop the traffic of those that exist.
type forwarder struct {
	address  string
	mu       sync.Mutex
	dropping []*atomic.Bool
}

func forward(t *testing.T, to string) *forwarder {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{address: ln.Addr().String()}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			lost := &atomic.Bool{}
			f.mu.Lock()
			f.dropping = append(f.dropping, lost)
			f.mu.Unlock()
			go copyUnlessLost(far, near, lost)
			go copyUnlessLost(near, far, lost)
		}
	}()
	return f
}

func copyUnlessLost(to, from net.Conn, lost *atomic.Bool) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if !lost.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

// dropAll discards all further bytes of the existing connections.
func (f *forwarder) dropAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, lost := range f.dropping {
		lost.Store(true)
	}
}
