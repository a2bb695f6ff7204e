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

// forwarder forwards connections between two processes. It can drop one direction: the bytes are
// discarded and both connections stay open.
type forwarder struct {
	address string
	to      string
	// dropping has a flag for each direction, from the dialer and to it.
	dropping [2]atomic.Bool
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
			go f.copy(far, near, &f.dropping[0])
			go f.copy(near, far, &f.dropping[1])
		}
	}()
	return f
}

func (f *forwarder) copy(to, from net.Conn, dropping *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		if !dropping.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

// recordingHandler is a handler that records its calls.
type recordingHandler struct {
	mu        sync.Mutex
	session   *Session
	down      chan error
	stream    func(stream *Stream)
	control   func(m *api.Control)
	blockDown chan struct{} // if set, Down blocks until it is closed
}

func newRecordingHandler() *recordingHandler { return &recordingHandler{down: make(chan error, 8)} }

func (r *recordingHandler) Up(s *Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.session = s
}

func (r *recordingHandler) Down(_ *Session, cause error) {
	if r.blockDown != nil {
		<-r.blockDown
	}
	r.down <- cause
}

func (r *recordingHandler) Control(_ *Session, m *api.Control, _ time.Duration) {
	if r.control != nil && m.GetHeartbeat() == nil {
		r.control(m)
	}
}

func (r *recordingHandler) Stream(_ *Session, _ *api.Open, stream *Stream) {
	if r.stream != nil {
		r.stream(stream)
	}
}

func (r *recordingHandler) Heartbeat() *api.Heartbeat { return &api.Heartbeat{} }

// pair links two processes through a forwarder.
func pair(t *testing.T, near, far *recordingHandler) (*Session, *forwarder) {
	t.Helper()
	return pairWith(t, near, far, Config{HeartbeatInterval: 10 * time.Millisecond, SuspectAfter: 100 * time.Millisecond, DeadAfter: 400 * time.Millisecond})
}

func pairWith(t *testing.T, near, far *recordingHandler, intervals Config) (*Session, *forwarder) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	cfg := config("right")
	cfg.HeartbeatInterval, cfg.IdleInterval, cfg.SuspectAfter, cfg.DeadAfter = intervals.HeartbeatInterval, intervals.IdleInterval, intervals.SuspectAfter, intervals.DeadAfter
	go func() { _ = Serve(ln, cfg, far) }()
	f := forward(t, ln.Addr().String())
	s, err := Dial(f.address, cfg, near)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close(io.EOF) })
	return s, f
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// A connection is lost between two processes, in one direction or in both. Each side must stop
// sending work over the link while it is suspect, and close it when it is dead, even if its own
// direction still works.
func TestSilentLinkIsSuspectThenClosed(t *testing.T) {
	for name, dropping := range map[string][2]bool{"from the dialer": {true, false}, "to the dialer": {false, true}, "both": {true, true}} {
		near, far := newRecordingHandler(), newRecordingHandler()
		s, f := pair(t, near, far)
		time.Sleep(50 * time.Millisecond)
		if s.Suspect() {
			t.Errorf("%s: a healthy link is suspect", name)
		}
		f.dropping[0].Store(dropping[0])
		f.dropping[1].Store(dropping[1])
		eventually(t, name+": suspect on both sides", func() bool {
			far.mu.Lock()
			defer far.mu.Unlock()
			return s.Suspect() && far.session.Suspect()
		})
		start := time.Now()
		for _, r := range []*recordingHandler{near, far} {
			select {
			case <-r.down:
			case <-time.After(2 * time.Second):
				t.Fatalf("%s: a dead link was not closed", name)
			}
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("%s: closed only after %v", name, took)
		}
	}
}

// A peer does not read control messages while many are sent to it. Post must not block. When the
// queue is full, that link must be closed and no other. Post must not wait for Down either, since
// the goroutine that posts may be the one that Down waits for.
func TestFullControlQueueClosesOnlyItsLink(t *testing.T) {
	release := make(chan struct{})
	near, far := newRecordingHandler(), newRecordingHandler()
	near.blockDown = make(chan struct{})
	far.control = func(*api.Control) { <-release }
	defer close(release)
	s, _ := pair(t, near, far)
	other, _ := pair(t, newRecordingHandler(), newRecordingHandler())
	message := &api.Control{Body: &api.Control_Records{Records: &api.LogRecords{Records: []*api.LogRecord{{Data: make([]byte, 4<<10)}}}}}
	posted := make(chan struct{})
	go func() {
		defer close(posted)
		for range 4 * maxQueuedMessages {
			s.Post(message)
		}
	}()
	select {
	case <-posted:
	case <-time.After(3 * time.Second):
		t.Error("Post blocks")
	}
	close(near.blockDown)
	select {
	case <-near.down:
	case <-time.After(2 * time.Second):
		t.Error("the link was not closed")
	}
	select {
	case <-other.Closed():
		t.Error("another link was closed")
	default:
	}
}

// A caller does not read its answer, and the window of that stream is full. Heartbeats and the
// other streams of the link must continue.
func TestFullWindowBlocksOnlyItsStream(t *testing.T) {
	far := newRecordingHandler()
	release := make(chan struct{})
	defer close(release)
	var streams atomic.Int32
	far.stream = func(stream *Stream) {
		if streams.Add(1) == 1 {
			<-release // Reads nothing.
			return
		}
		m := &api.WorkSignal{}
		if stream.Receive(m) == nil {
			_ = stream.Send(m)
		}
	}
	s, _ := pair(t, newRecordingHandler(), far)
	blocked, err := s.Open(&api.Open{})
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the first stream", func() bool { return streams.Load() == 1 })
	full := make(chan error, 1)
	go func() {
		full <- blocked.Send(&api.Work{Body: make([]byte, 4<<20)})
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
		t.Error("the heartbeats are blocked")
	}
	select {
	case err := <-full:
		t.Errorf("the window accepted 4 MB: %v", err)
	default:
	}
}
