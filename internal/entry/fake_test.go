package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/ticket"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/platform"
	"github.com/apricothub/apricothub/internal/resources"
)

var testLinks = &api.Links{Key: "key", HeartbeatMs: 10, SuspectMs: 150, DeadMs: 400, FreshnessMs: 1000}

const testKey = "a customer's key"

// fakeAgent is an agent at the other end of a link over loopback. script handles each piece of work.
type fakeAgent struct {
	vm      string
	address string
	config  link.Config
	script  func(work *api.Work, stream *link.Stream)
	// attached handles an entry that attaches to an answer to get the rest of it.
	attached        func(attach *api.Attach, stream *link.Stream)
	status          *api.BackendStatus
	workCount       atomic.Int32
	draining        atomic.Bool
	frozen          atomic.Bool // sends no heartbeats
	heartbeatMissed atomic.Bool // while frozen, a heartbeat was due
	settleCount     atomic.Int32
	startedAt       time.Duration
	// offer is the agent's offer on the list of VMs; empty for none.
	offer string

	mu      sync.Mutex
	ledger  *ticket.Ledger
	session *link.Session
}

func newFakeAgent(t testing.TB, vm string, script func(work *api.Work, stream *link.Stream)) *fakeAgent {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &fakeAgent{
		vm: vm, address: ln.Addr().String(), script: script, startedAt: clock.Now(),
		status: &api.BackendStatus{Model: "m", Service: "", Limit: 8, FullLimit: 8},
		ledger: ticket.NewLedger(vm, "1", []byte("k"), ticket.Limits{}),
	}
	a.config = link.Config{
		Self: &api.Hello{Vm: vm, Role: api.Role_ROLE_AGENT, FailureDomain: "a", Incarnation: "1"}, Key: []byte("key"),
		HeartbeatInterval: 10 * time.Millisecond, SuspectAfter: 150 * time.Millisecond, DeadAfter: 400 * time.Millisecond,
		IdleInterval: 330 * time.Millisecond,
	}
	t.Cleanup(func() {
		_ = ln.Close()
		if s := a.link(); s != nil {
			s.Close(io.EOF)
		}
	})
	go func() { _ = link.Serve(ln, a.config, a) }()
	return a
}

func (a *fakeAgent) link() *link.Session {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.session
}

func (a *fakeAgent) Up(s *link.Session) {
	a.mu.Lock()
	a.session = s
	a.mu.Unlock()
	s.Post(&api.Control{Body: &api.Control_Status{Status: a.status}})
}

func (a *fakeAgent) Down(*link.Session, error) {}

func (a *fakeAgent) Control(s *link.Session, m *api.Control, _ time.Duration) {
	if m.GetBlockRequest() == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s.Post(&api.Control{Body: &api.Control_Block{Block: a.ledger.Grant(clock.Now())}})
}

func (a *fakeAgent) Stream(_ *link.Session, open *api.Open, stream *link.Stream) {
	if settle := open.GetSettle(); settle != nil {
		a.settleCount.Add(1)
		a.mu.Lock()
		d := a.ledger.Settle(clock.Now(), settle.GetTicket(), settle.GetCustomer())
		a.mu.Unlock()
		refuse(stream, d.Code, d.Ran)
		return
	}
	if attach := open.GetAttach(); attach != nil {
		a.attached(attach, stream)
		return
	}
	a.workCount.Add(1)
	a.script(open.GetWork(), stream)
}

func (a *fakeAgent) Heartbeat() *api.Heartbeat {
	for a.frozen.Load() {
		a.heartbeatMissed.Store(true)
		time.Sleep(5 * time.Millisecond)
	}
	return &api.Heartbeat{Draining: a.draining.Load(), Knowledge: &api.Knowledge{Applied: -1, EvidenceAgeMs: -1, QuorumAgeMs: -1, Ready: true}}
}

func send(stream *link.Stream, events ...*api.WorkEvent) {
	for _, event := range events {
		_ = stream.Send(event)
	}
}

func refuse(stream *link.Stream, code api.ResultCode, ran api.Ran) {
	send(stream, &api.WorkEvent{Body: &api.WorkEvent_Refusal{Refusal: &api.Refusal{Code: code, Ran: ran, RetryAfterMs: 10}}})
}

func accepted() *api.WorkEvent {
	return &api.WorkEvent{Body: &api.WorkEvent_Accepted{Accepted: &api.Accepted{AnswerId: "vm:1:1"}}}
}

func headOf(status int32, contentType string) *api.WorkEvent {
	h := &api.Head{Status: status, Headers: []*api.Header{{Name: "Content-Type", Value: contentType}}}
	return &api.WorkEvent{Body: &api.WorkEvent_Head{Head: h}}
}

func partOf(n uint64, text string) *api.WorkEvent {
	return &api.WorkEvent{Body: &api.WorkEvent_Part{Part: &api.Part{Number: n, Data: []byte(text)}}}
}

func endOf(parts, size uint64) *api.WorkEvent {
	return &api.WorkEvent{Body: &api.WorkEvent_End{End: &api.End{Parts: parts, Bytes: size}}}
}

// wholeAnswer returns a script that sends a complete answer.
func wholeAnswer(text string) func(*api.Work, *link.Stream) {
	return func(_ *api.Work, stream *link.Stream) {
		send(stream, accepted(), headOf(200, "text/plain"), partOf(1, text), endOf(1, uint64(len(text))))
		_ = stream.Receive(&api.WorkSignal{})
	}
}

// configRecords returns the records of the log: a customer of a plan with a model and a service.
func configRecords(t testing.TB) []map[string]any {
	t.Helper()
	sum := sha256.Sum256([]byte(testKey))
	customer := &api.Customer{KeySha256: []string{hex.EncodeToString(sum[:])}, Plan: "p", Weight: 1, Burst: 32}
	plan := &api.Plan{Models: []string{"m"}, Services: []string{"s"}, Share: 1}
	var records []map[string]any
	for i, change := range []*api.ListChange{
		{List: api.ListName_LIST_PLANS, Base: -1, Set: []*api.Section{{Name: "customer c", Body: &api.Section_Customer{Customer: customer}}}},
		{List: api.ListName_LIST_USES, Base: -1, Set: []*api.Section{
			{Name: "plan p", Body: &api.Section_Plan{Plan: plan}},
			{Name: "model m", Body: &api.Section_Model{Model: &api.Model{}}},
			{Name: "service s", Body: &api.Section_Service{Service: &api.Service{}}},
		}},
	} {
		data, err := proto.Marshal(&api.Record{ChangeId: string(rune('a' + i)), Author: "a", Body: &api.Record_List{List: change}})
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, map[string]any{"offset": i, "data": data})
	}
	return records
}

// startEntry runs an entry that is linked to the agents, and returns its URL for callers.
func startEntry(t testing.TB, agents ...*fakeAgent) (*entry, string) {
	t.Helper()
	return startLinkedEntry(t, testLinks, len(agents), agents...)
}

// startLinkedEntry runs an entry that links to the given number of the agents.
func startLinkedEntry(t testing.TB, links *api.Links, linked int, agents ...*fakeAgent) (*entry, string) {
	t.Helper()
	vms := []platform.VM{{ID: "e1", Role: platform.RoleEntry, FailureDomain: "a"}}
	for _, a := range agents {
		vms = append(vms, platform.VM{ID: a.vm, Role: platform.RoleBackend, FailureDomain: "a", Link: a.address, Offer: a.offer})
	}
	records := configRecords(t)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"vms": vms})
	})
	mux.HandleFunc("GET /log/records", func(w http.ResponseWriter, r *http.Request) {
		rest := records
		if r.FormValue("from") != "0" {
			rest = nil
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"first": 0, "next": len(records), "records": rest})
	})
	service := httptest.NewServer(mux)
	t.Cleanup(service.Close)
	e := newEntry(&api.EntrySettings{
		Self:     &api.Self{Vm: "e1", FailureDomain: "a"},
		Listen:   &api.EntryListen{Public: "127.0.0.1:1"},
		Platform: &api.Platform{Url: service.URL, RequestTimeoutMs: 1000, PollMs: 20},
		Limits:   &api.Limits{Connections: 1000, BodyBytes: 1 << 20, HeaderBytes: 1 << 16, DefaultDeadlineMs: 5000},
		Link:     links,
		Policy:   &api.EntryPolicy{AddressKeepMs: 100, DrainMs: 1000, QueueMs: 300},
		Keys:     &api.Keys{Stream: "keys", LifetimeMs: 600000, AppendsPerSecond: 100, Waiting: 8},
	}, log.NewNopLogger())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.node.Run(ctx, ln)
	}()
	public := httptest.NewUnstartedServer(nil)
	guard := e.newCallersGuard(resources.Of(0, 0))
	public.Config = guard.NewServer(e.handler())
	public.Listener = guard.Listener(public.Listener)
	public.Start()
	t.Cleanup(func() {
		public.Close()
		cancel()
		<-done
	})
	eventually(t, "the entry in service", func() bool {
		return e.node.State().UnreadyCode(clock.Now()) == api.ResultCode_OK && len(e.directory.backends()) == linked
	})
	return e, public.URL
}

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(8 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not seen: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// reply is the answer that a caller gets.
type reply struct {
	status int
	result string
	body   string
	ran    string
	cut    bool
	closes bool // the connection is closed after the answer
	// retryAfterMs is the retry delay that the caller is told.
	retryAfterMs int64
}

// sendRequest sends a completion, or a call of the service s.
func sendRequest(t *testing.T, url, path string, headers ...string) reply {
	t.Helper()
	return sendOver(t, http.DefaultClient, url, path, headers...)
}

// sendOver is sendRequest with a client.
func sendOver(t *testing.T, client *http.Client, url, path string, headers ...string) reply {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader(`{"model":"m","prompt":"p","max_tokens":5}`))
	if err != nil {
		t.Error(err)
		return reply{}
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(r)
	if err != nil {
		return reply{cut: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	var failed struct {
		Error struct {
			Ran          string `json:"ran"`
			RetryAfterMs int64  `json:"retry_after_ms"`
		} `json:"error"`
	}
	_ = json.Unmarshal(body, &failed)
	return reply{
		status: resp.StatusCode, result: resp.Header.Get("Apricothub-Result"), body: string(body),
		ran: failed.Error.Ran, cut: err != nil, closes: resp.Close, retryAfterMs: failed.Error.RetryAfterMs,
	}
}

const completions = "/v1/completions"
