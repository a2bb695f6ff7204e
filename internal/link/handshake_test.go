package link

import (
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

// countingHandler is a handler that counts established links.
type countingHandler struct{ up atomic.Int32 }

func (c *countingHandler) Up(*Session)                                       { c.up.Add(1) }
func (c *countingHandler) Down(*Session, error)                              {}
func (c *countingHandler) Control(*Session, *api.Control, time.Duration)     {}
func (c *countingHandler) Stream(s *Session, open *api.Open, stream *Stream) {}
func (c *countingHandler) Heartbeat() *api.Heartbeat                         { return &api.Heartbeat{} }

func config(key string) Config {
	return Config{
		Self: &api.Hello{Vm: "vm", Incarnation: "1"}, Key: []byte(key),
		HeartbeatInterval: 20 * time.Millisecond, SuspectAfter: 200 * time.Millisecond, DeadAfter: 5 * time.Second,
	}
}

// listen accepts links with the key "right".
func listen(t *testing.T) (string, *countingHandler) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	h := &countingHandler{}
	go func() { _ = Serve(ln, config("right"), h) }()
	return ln.Addr().String(), h
}

func TestWrongKeyIsRejected(t *testing.T) {
	address, h := listen(t)
	if _, err := Dial(address, config("wrong"), &countingHandler{}); err == nil {
		t.Error("a link was established with the wrong key")
	}
	if h.up.Load() != 0 {
		t.Error("the listener accepted a link with the wrong key")
	}
	s, err := Dial(address, config("right"), &countingHandler{})
	if err != nil {
		t.Fatal(err)
	}
	s.Close(io.EOF)
}

// The link key is rotated VM by VM while links must stay possible. Each step is a process with a
// pair of keys, which must link in both directions to processes of the same and of adjacent steps.
// A key that neither side accepts must never open a link.
func TestKeyRotationKeepsLinks(t *testing.T) {
	keys := func(key, other string) Config {
		c := config(key)
		c.OtherKey = []byte(other)
		return c
	}
	steps := []Config{keys("old", ""), keys("old", "new"), keys("new", "old"), keys("new", "")}
	for i, listener := range steps {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		go func() { _ = Serve(ln, listener, &countingHandler{}) }()
		for j, dialler := range steps {
			compatible := i-j <= 1 && j-i <= 1
			s, err := Dial(ln.Addr().String(), dialler, &countingHandler{})
			if compatible && err != nil {
				t.Errorf("step %d cannot dial step %d: %v", j, i, err)
			}
			if err == nil {
				s.Close(io.EOF)
			}
		}
		for _, stranger := range []Config{keys("wrong", ""), keys("wrong", "old"), keys("", "")} {
			if s, err := Dial(ln.Addr().String(), stranger, &countingHandler{}); err == nil {
				t.Errorf("step %d accepts a link with the key %q", i, stranger.Key)
				s.Close(io.EOF)
			}
		}
	}
}

// dialWithoutKey connects without holding the key.
func dialWithoutKey(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	return conn
}

// Guards against a reflection attack: a client without the key returns the listener's own nonce and
// proof. The proof covers the side, so it must be rejected.
func TestReflectedProofIsRejected(t *testing.T) {
	address, h := listen(t)
	stream := newStream(dialWithoutKey(t, address))
	m := &api.Control{}
	if err := stream.Receive(m); err != nil {
		t.Fatal(err)
	}
	_ = stream.Send(m) // The listener's own nonce.
	if err := stream.Receive(m); err != nil || m.GetProof() == nil {
		t.Fatalf("no proof: %v", err)
	}
	_ = stream.Send(m) // The listener's own proof.
	if err := stream.Receive(m); err == nil {
		t.Errorf("the listener continued the handshake: %v", m)
	}
	if h.up.Load() != 0 {
		t.Error("a link was established")
	}
}

// A client without the key announces a message of 64 MB and sends none of it. Authenticated work
// may be that large, but before the proof each such connection would hold 64 MB of memory until it
// times out. The connection must be closed at once.
func TestHugeMessageBeforeAuthentication(t *testing.T) {
	address, _ := listen(t)
	raw := dialWithoutKey(t, address)
	if _, err := raw.Write(binary.AppendUvarint(nil, 64<<20)); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	// The connection has been closed once the listener's data ends.
	if _, err := io.Copy(io.Discard, raw); err != nil {
		t.Errorf("the connection was not closed: %v", err)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("the connection was closed after %v", took)
	}
}

// A client without the key opens many streams and fills the window of each, 256 KB, which would
// stay in memory until the streams are accepted. There must be no streams before the proof.
func TestStreamsBeforeAuthentication(t *testing.T) {
	address, _ := listen(t)
	mux, err := yamux.Client(dialWithoutKey(t, address), muxConfig(config("")))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := mux.Open(); err != nil { // Nothing is sent on the control stream.
		return // Closed before anything could be sent.
	}
	sent, window := 0, make([]byte, 256<<10)
	for range 64 {
		raw, err := mux.Open()
		if err != nil {
			break
		}
		_ = raw.SetDeadline(time.Now().Add(time.Second))
		n, err := raw.Write(window)
		sent += n
		if err != nil {
			break
		}
	}
	if sent > 4<<20 {
		t.Errorf("%d bytes were accepted from an unauthenticated client", sent)
	}
}

// FuzzReceive searches for input that crashes the reader of a link.
func FuzzReceive(f *testing.F) {
	for _, m := range []proto.Message{
		&api.Control{Body: &api.Control_Heartbeat{Heartbeat: &api.Heartbeat{Seq: 1}}},
		&api.Open{Body: &api.Open_Work{Work: &api.Work{RequestId: "r", Body: []byte("x")}}},
		&api.WorkEvent{Body: &api.WorkEvent_Part{Part: &api.Part{Number: 1, Data: []byte("x")}}},
	} {
		text, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(append(binary.AppendUvarint(nil, uint64(len(text))), text...))
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, message := range []proto.Message{&api.Control{}, &api.Open{}, &api.WorkEvent{}, &api.WorkSignal{}} {
			near, far := net.Pipe()
			go func() {
				_, _ = far.Write(data)
				_ = far.Close()
			}()
			stream := newStream(near)
			for stream.receive(message, maxHandshakeBytes) == nil {
			}
			_ = near.Close()
		}
	})
}
