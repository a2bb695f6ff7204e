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

// echo answers each line with itself.
func echo(t *testing.T) string {
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

// hears says whether a connection still answers.
func hears(conn net.Conn) error {
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

// Old connections go silent, without an error at either side, while new ones work:
// what a stateful network box does when it forgets its connections.
func TestForwarderSilence(t *testing.T) {
	f := harness.NewForwarder(t, echo(t))
	old := dial(t, f)
	if err := hears(old); err != nil {
		t.Fatalf("before: %v", err)
	}
	f.Silence()
	if err := hears(old); !isTimeout(err) {
		t.Errorf("an old connection ended with %v, want silence", err)
	}
	if err := hears(dial(t, f)); err != nil {
		t.Errorf("a new connection: %v", err)
	}
}

// A cut closes what is open; a block refuses new connections too until it ends.
func TestForwarderCutAndBlock(t *testing.T) {
	f := harness.NewForwarder(t, echo(t))
	old := dial(t, f)
	if err := hears(old); err != nil {
		t.Fatalf("before: %v", err)
	}
	f.Cut()
	if err := hears(old); err == nil || isTimeout(err) {
		t.Errorf("a cut connection: %v, want it closed", err)
	}
	f.Block()
	if err := hears(dial(t, f)); err == nil || isTimeout(err) {
		t.Errorf("a blocked connection: %v, want it closed", err)
	}
	f.Unblock()
	if err := hears(dial(t, f)); err != nil {
		t.Errorf("after the block: %v", err)
	}
	f.Isolate()
	if err := hears(dial(t, f)); !isTimeout(err) {
		t.Errorf("an isolated connection ended with %v, want silence", err)
	}
}

// A paused process answers nothing and then goes on; a killed one starts again with
// no memory.
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
		t.Errorf("after the pause: %v", err)
	}
	if got := len(s.Ledger()); got != 2 {
		t.Errorf("ledger has %d runs, want 2", got)
	}
	s.Kill()
	s.Restart()
	s.WaitUp()
	if got := len(s.Ledger()); got != 0 {
		t.Errorf("ledger has %d runs after a restart, want none", got)
	}
	if status := s.Terminate(); status != 0 {
		t.Errorf("exit status %d, want 0: %s", status, s.Tail())
	}
}

// A caller counts each run of its call once in the ledger, also when the service
// closes in place of an answer.
func TestCallerSendsOnce(t *testing.T) {
	s := harness.Backend{StandIn: harness.StartStandIn(t, bin, t.TempDir(), "labels", "service")}
	s.Behave(service.Behaviour{CloseAfterRead: true})
	for _, caller := range []*harness.Caller{harness.NewCaller(""), harness.NewKeepingCaller("")} {
		if _, err := caller.Do(t.Context(), s.Address, harness.PushRequest("", "cut")); err == nil {
			t.Error("an answer came over a cut connection")
		}
	}
	s.Behave(service.Behaviour{Redirect: true})
	if reply, err := harness.NewCaller("").Do(t.Context(), s.Address, harness.PushRequest("", "redirected")); err != nil || reply.Status != 307 {
		t.Errorf("redirect: %+v, %v", reply, err)
	}
	if got := len(s.Ledger()); got != 3 {
		t.Errorf("ledger has %d runs, want 3", got)
	}
}

// The caller's text is what the engine makes, byte for byte, whole or streamed, and
// a stream that was cut goes on after the last event.
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

// A cold engine falls over under more than it can bear and counts it; what runs
// when it turns cold without a word is spared.
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
	together := func(n int) (whole int) {
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
	if whole := together(6); whole != 6 {
		t.Errorf("warm: %d of 6 whole", whole)
	}
	e.TurnCold(0)
	if whole := together(3); whole != 0 {
		t.Errorf("cold: %d of 3 whole, want it to fall over", whole)
	}
	if r := e.Record(); r.Overloads != 1 || r.MaxRunningCold != 3 {
		t.Errorf("record %+v, want 1 overload at 3", r.State)
	}
}
