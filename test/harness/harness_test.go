package harness_test

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/apricothub/apricothub/internal/standin/service"
	"github.com/apricothub/apricothub/test/harness"
)

var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "apricothub-bin-")
	if err == nil {
		err = harness.Build(filepath.Join("..", ".."), dir)
	}
	if err != nil {
		panic(err)
	}
	bin = dir
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// startEchoServer starts a server that sends all data back, and returns its address.
func startEchoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// roundTrip sends one byte to the echo server and returns an error unless a byte comes back in
// time.
func roundTrip(conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

func dial(t *testing.T, f *harness.Forwarder) net.Conn {
	conn, err := net.Dial("tcp", f.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// Guards against a forwarder whose Silence closes connections or affects new ones. It must behave
// like a stateful firewall that has lost its connection table: existing connections drop all data
// without an error on either side, new ones work.
func TestForwarderSilence(t *testing.T) {
	f := harness.NewForwarder(t, startEchoServer(t))
	old := dial(t, f)
	if err := roundTrip(old); err != nil {
		t.Fatalf("before: %v", err)
	}
	f.Silence()
	if err := roundTrip(old); !isTimeout(err) {
		t.Errorf("an old connection ended with %v, want silence", err)
	}
	if err := roundTrip(dial(t, f)); err != nil {
		t.Errorf("a new connection: %v", err)
	}
}

// Cut closes existing connections; Block also refuses new ones until Unblock; Isolate drops the
// data of new ones without closing them.
func TestForwarderCutAndBlock(t *testing.T) {
	f := harness.NewForwarder(t, startEchoServer(t))
	old := dial(t, f)
	if err := roundTrip(old); err != nil {
		t.Fatalf("before: %v", err)
	}
	f.Cut()
	if err := roundTrip(old); err == nil || isTimeout(err) {
		t.Errorf("a cut connection: %v, want it closed", err)
	}
	f.Block()
	if err := roundTrip(dial(t, f)); err == nil || isTimeout(err) {
		t.Errorf("a blocked connection: %v, want it closed", err)
	}
	f.Unblock()
	if err := roundTrip(dial(t, f)); err != nil {
		t.Errorf("after the block: %v", err)
	}
	f.Isolate()
	if err := roundTrip(dial(t, f)); !isTimeout(err) {
		t.Errorf("an isolated connection ended with %v, want silence", err)
	}
}

// A paused process answers nothing until it continues; a process restarted after a kill has lost
// its state.
func TestProcessFaults(t *testing.T) {
	dir := t.TempDir()
	s := harness.Backend{StandIn: harness.StartStandIn(t, bin, dir, "labels", "service")}
	caller := harness.NewCaller("")
	push := harness.PushRequest("", "one")
	push.Path = "/push"
	if _, err := caller.Do(t.Context(), s.Address, push); err != nil {
		t.Fatal(err)
	}
	s.Pause()
	answered := make(chan error, 1)
	go func() {
		_, err := caller.Do(t.Context(), s.Address, push)
		answered <- err
	}()
	select {
	case err := <-answered:
		t.Fatalf("a paused process answered: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	s.Continue()
	if err := <-answered; err != nil {
		t.Errorf("after Continue: %v", err)
	}
	if got := len(s.Ledger()); got != 2 {
		t.Errorf("ledger has %d runs, want 2", got)
	}
	s.Kill()
	s.Restart()
	s.WaitRunning()
	if got := len(s.Ledger()); got != 0 {
		t.Errorf("ledger has %d runs after a restart, want none", got)
	}
	if status := s.Terminate(); status != 0 {
		t.Errorf("exit status %d, want 0: %s", status, s.Tail())
	}
}

// Guards against a caller whose transport retries: each call is recorded once in the ledger, also
// when the service closes the connection instead of answering, or redirects.
func TestCallerSendsOnce(t *testing.T) {
	s := harness.Backend{StandIn: harness.StartStandIn(t, bin, t.TempDir(), "labels", "service")}
	s.SetBehaviour(service.Behaviour{CloseAfterRead: true})
	for _, caller := range []*harness.Caller{harness.NewCaller(""), harness.NewKeepAliveCaller("")} {
		if _, err := caller.Do(t.Context(), s.Address, harness.PushRequest("", "cut")); err == nil {
			t.Error("an answer came over a cut connection")
		}
	}
	s.SetBehaviour(service.Behaviour{Redirect: true})
	if reply, err := harness.NewCaller("").Do(t.Context(), s.Address, harness.PushRequest("", "redirected")); err != nil || reply.Status != 307 {
		t.Errorf("redirect: %+v, %v", reply, err)
	}
	if got := len(s.Ledger()); got != 3 {
		t.Errorf("ledger has %d runs, want 3", got)
	}
}

// The text that a caller receives is the text that the engine generates, byte for byte, whether
// complete or streamed. A stream cut in the middle ends with an error.
func TestCallerReadsCompletions(t *testing.T) {
	e := harness.Backend{StandIn: harness.StartStandIn(t, bin, t.TempDir(), "engine", "engine", "-token", "1ms")}
	caller := harness.NewCaller("")
	p := harness.Prompt{Text: "a note", Seed: 7, Tokens: 20}
	text, _, err := caller.Complete(t.Context(), e.Address, p)
	if err != nil || text != p.Want() {
		t.Errorf("whole: %q, %v; want %q", text, err, p.Want())
	}
	var got harness.Streamed
	if err := caller.Stream(t.Context(), e.Address, p, &got, nil); err != nil || !got.Whole || got.Text != p.Want() {
		t.Errorf("streamed: %+v, %v; want %q", got, err, p.Want())
	}
	f := harness.NewForwarder(t, e.Address)
	got = harness.Streamed{}
	err = caller.Stream(t.Context(), f.Address, p, &got, func() {
		if got.Events == 5 {
			f.Cut()
		}
	})
	if err == nil || got.Whole {
		t.Errorf("a cut stream: %v, whole %v; want an error", err, got.Whole)
	}
}

// A cold engine crashes under more requests than it can handle and counts the overload. Without
// this, tests of the cold start could not detect an overload. Requests in flight when the engine
// turns cold without notice do not count.
func TestEngineInColdStart(t *testing.T) {
	e := harness.Backend{StandIn: harness.StartStandIn(t, bin, t.TempDir(), "engine", "engine", "-token", "10ms", "-warm-after", "1", "-fall", "100ms")}
	caller := harness.NewCaller("")
	p := harness.Prompt{Text: "x", Tokens: 5}
	if _, _, err := caller.Complete(t.Context(), e.Address, p); err != nil {
		t.Fatal(err)
	}
	if r := e.Record(); r.Cold || r.MaxRunningCold != 1 {
		t.Fatalf("after one request: %+v, want warm with a high-water mark of 1", r.State)
	}
	runConcurrently := func(n int) (whole int) {
		done := make(chan bool, n)
		for range n {
			go func() {
				text, _, err := caller.Complete(t.Context(), e.Address, p)
				done <- err == nil && text == p.Want()
			}()
		}
		for range n {
			if <-done {
				whole++
			}
		}
		return whole
	}
	if whole := runConcurrently(6); whole != 6 {
		t.Errorf("warm: %d of 6 answers are whole, want all", whole)
	}
	e.TurnCold(0)
	if whole := runConcurrently(3); whole != 0 {
		t.Errorf("cold: %d of 3 answers are whole, want none: the engine must crash under the overload", whole)
	}
	if r := e.Record(); r.Overloads != 1 || r.MaxRunningCold != 3 {
		t.Errorf("record %+v, want 1 overload at 3", r.State)
	}
}
