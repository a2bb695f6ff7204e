package link

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
)

// forwarder stands between two processes. It can lose track of a direction: bytes go
// nowhere and both connections stay open.
type forwarder struct {
	address string
	to      string
	// lost is one flag for each direction, from the dialer and to it.
	lost [2]atomic.Bool
}

func forward(t *testing.T, to string) *forwarder {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{address: ln.Addr().String(), to: to}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			t.Cleanup(func() { _, _ = near.Close(), far.Close() })
			go f.copy(far, near, &f.lost[0])
			go f.copy(near, far, &f.lost[1])
		}
	}()
	return f
}

func (f *forwarder) copy(to, from net.Conn, lost *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		if !lost.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

// recorder is a handler that keeps what it is told.
type recorder struct {
	mu       sync.Mutex
	session  *Session
	down     chan error
	stream   func(stream *Stream)
	control  func(m *api.Control)
	downHeld chan struct{} // Down waits for it, if set
}

func newRecorder() *recorder { return &recorder{down: make(chan error, 8)} }

func (r *recorder) Up(s *Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.session = s
}

func (r *recorder) Down(_ *Session, cause error) {
	if r.downHeld != nil {
		<-r.downHeld
	}
	r.down <- cause
}

func (r *recorder) Control(_ *Session, m *api.Control, _ time.Duration) {
	if r.control != nil && m.GetHeartbeat() == nil {
		r.control(m)
	}
}

func (r *recorder) Stream(_ *Session, _ *api.Open, stream *Stream) {
	if r.stream != nil {
		r.stream(stream)
	}
}

func (r *recorder) Heartbeat() *api.Heartbeat { return &api.Heartbeat{} }

// pair links two processes through a forwarder.
func pair(t *testing.T, near, far *recorder) (*Session, *forwarder) {
	t.Helper()
	return pairWith(t, near, far, Config{Heartbeat: 10 * time.Millisecond, Suspect: 100 * time.Millisecond, Dead: 400 * time.Millisecond})
}

func pairWith(t *testing.T, near, far *recorder, times Config) (*Session, *forwarder) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	cfg := config("right")
	cfg.Heartbeat, cfg.Idle, cfg.Suspect, cfg.Dead = times.Heartbeat, times.Idle, times.Suspect, times.Dead
	go func() { _ = Serve(ln, cfg, far) }()
	f := forward(t, ln.Addr().String())
	s, err := Dial(f.address, cfg, near)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close(io.EOF) })
	return s, f
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	limit := time.Now().Add(5 * time.Second)
	for !holds() {
		if time.Now().After(limit) {
			t.Fatalf("not seen: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// Something between two processes loses track of their connection, in one direction or
// in both. Each side must stop giving work to it while it is suspect, and close it when
// it is dead, although its own direction may still work.
func TestSilence(t *testing.T) {
	for name, lost := range map[string][2]bool{"from the dialer": {true, false}, "to the dialer": {false, true}, "both": {true, true}} {
		near, far := newRecorder(), newRecorder()
		s, f := pair(t, near, far)
		time.Sleep(50 * time.Millisecond)
		if s.Suspect() {
			t.Errorf("%s: suspect while all is well", name)
		}
		f.lost[0].Store(lost[0])
		f.lost[1].Store(lost[1])
		eventually(t, name+": suspect on both sides", func() bool {
			far.mu.Lock()
			defer far.mu.Unlock()
			return s.Suspect() && far.session.Suspect()
		})
		began := time.Now()
		for _, r := range []*recorder{near, far} {
			select {
			case <-r.down:
			case <-time.After(2 * time.Second):
				t.Fatalf("%s: a dead link stands", name)
			}
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("%s: dead only after %v", name, took)
		}
	}
}

// A peer takes no control messages while this process has many for it. Post never waits;
// past the bound that link is closed and no other; and it does not wait for Down either:
// the goroutine that posts is the one that Down hands its news to.
func TestAFloodClosesOnlyItsLink(t *testing.T) {
	held := make(chan struct{})
	near, far := newRecorder(), newRecorder()
	near.downHeld = make(chan struct{})
	far.control = func(*api.Control) { <-held }
	defer close(held)
	s, _ := pair(t, near, far)
	other, _ := pair(t, newRecorder(), newRecorder())
	message := &api.Control{Body: &api.Control_Records{Records: &api.LogRecords{Records: []*api.LogRecord{{Data: make([]byte, 4<<10)}}}}}
	posted := make(chan struct{})
	go func() {
		defer close(posted)
		for range 4 * sendQueue {
			s.Post(message)
		}
	}()
	select {
	case <-posted:
	case <-time.After(3 * time.Second):
		t.Error("Post waits")
	}
	close(near.downHeld)
	select {
	case <-near.down:
	case <-time.After(2 * time.Second):
		t.Error("the link stands")
	}
	select {
	case <-other.Closed():
		t.Error("another link was closed")
	default:
	}
}

// A caller does not read its answer, and the window of that stream is full. Heartbeats
// and the other streams of the link must go on.
func TestAFullWindowStallsOnlyItsStream(t *testing.T) {
	far := newRecorder()
	held := make(chan struct{})
	defer close(held)
	var streams atomic.Int32
	far.stream = func(stream *Stream) {
		if streams.Add(1) == 1 {
			<-held // Reads nothing.
			return
		}
		m := &api.WorkSignal{}
		if stream.Receive(m) == nil {
			_ = stream.Send(m)
		}
	}
	s, _ := pair(t, newRecorder(), far)
	stuck, err := s.Open(&api.Open{})
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the first stream", func() bool { return streams.Load() == 1 })
	full := make(chan error, 1)
	go func() {
		full <- stuck.Send(&api.Work{Body: make([]byte, 4<<20)})
	}()
	for range 20 {
		stream, err := s.Open(&api.Open{})
		if err != nil {
			t.Fatal(err)
		}
		_ = stream.SetDeadline(time.Now().Add(time.Second))
		if err := stream.Send(&api.WorkSignal{Done: true}); err != nil {
			t.Fatal(err)
		}
		if err := stream.Receive(&api.WorkSignal{}); err != nil {
			t.Fatal(err)
		}
		_ = stream.Close()
		time.Sleep(10 * time.Millisecond)
	}
	if s.Suspect() {
		t.Error("the heartbeats are held up")
	}
	select {
	case err := <-full:
		t.Errorf("the window took 4 MB: %v", err)
	default:
	}
}
