package link

import (
	"io"
	"net"
	"slices"
	"testing"

	"github.com/apricothub/apricothub/api"
)

// drainingHandler reads and discards the messages of its streams.
type drainingHandler struct{ *countingHandler }

func (drainingHandler) Stream(_ *Session, _ *api.Open, stream *Stream) {
	for stream.Receive(&api.WorkEvent{}) == nil {
	}
}

// BenchmarkSmallMessages sends many small messages, like the tokens of a stream.
func BenchmarkSmallMessages(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go func() { _ = Serve(ln, config("right"), drainingHandler{&countingHandler{}}) }()
	address := ln.Addr().String()
	s, err := Dial(address, config("right"), &countingHandler{})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close(io.EOF)
	stream, err := s.Open(&api.Open{})
	if err != nil {
		b.Fatal(err)
	}
	message := &api.WorkEvent{Body: &api.WorkEvent_Part{Part: &api.Part{Number: 1, Data: make([]byte, 200)}}}
	for b.Loop() {
		if err := stream.Send(message); err != nil {
			b.Fatal(err)
		}
	}
}

// recordingConn records the size of each write.
type recordingConn struct {
	net.Conn
	writes []int
}

func (r *recordingConn) Write(p []byte) (int, error) {
	r.writes = append(r.writes, len(p))
	return len(p), nil
}

// The header of a frame must be written with its body. A frame without a body, such as a window
// update, must not be held back: the peer would wait for window space forever. A frame that opens a
// stream is written with the next frame, and one that closes a stream at once.
func TestFrameHeaderIsWrittenWithItsBody(t *testing.T) {
	header := func(kind byte, length byte) []byte {
		return []byte{0, kind, 0, 0, 0, 0, 0, 1, 0, 0, 0, length}
	}
	openFrame := func(flags byte) []byte {
		return []byte{0, 1, 0, flags, 0, 0, 0, 1, 0, 0, 0, 0}
	}
	r := &recordingConn{}
	c := &coalescingConn{Conn: r}
	large := make([]byte, maxCoalescedBytes+1)
	for _, p := range [][]byte{header(0, 12), make([]byte, 12), header(1, 9), header(0, 0), header(0, 1), large, header(2, 0), openFrame(1), header(0, 12), make([]byte, 12), openFrame(2), header(1, 9), openFrame(5)} {
		if n, err := c.Write(p); n != len(p) || err != nil {
			t.Fatalf("%d of %d bytes, %v", n, len(p), err)
		}
	}
	want := []int{24, 12, 12, 12, maxCoalescedBytes + 1, 12, 36, 24, 12}
	if !slices.Equal(r.writes, want) {
		t.Errorf("writes of %v bytes, want %v", r.writes, want)
	}
}

// Messages that arrived together are forwarded together. A message that has arrived in part must
// not hold back the ones before it, or a token would wait for the next one.
func TestHasBuffered(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	stream := newStream(near)
	part := &api.WorkEvent{Body: &api.WorkEvent_Part{Part: &api.Part{Number: 1, Data: make([]byte, 200)}}}
	frame, _ := appendMessage(nil, part)
	go func() { _, _ = far.Write(slices.Concat(frame, frame, frame[:100])) }()
	for i, waiting := range []bool{true, false} {
		if err := stream.Receive(&api.WorkEvent{}); err != nil || stream.HasBuffered() != waiting {
			t.Errorf("after message %d: buffered %v, %v", i, stream.HasBuffered(), err)
		}
	}
}
