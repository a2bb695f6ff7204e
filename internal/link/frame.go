// Package link carries messages between apricothub processes over yamux. It sends its own
// heartbeats to measure how long a link has been silent: a silent link must get no more work within
// a second, and yamux's keep-alive takes half a minute to detect one.
package link

import (
	"bufio"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// maxMessageBytes limits the size of a message. The largest request body and its header fit.
const maxMessageBytes = 72 << 20

// maxHandshakeBytes limits the size of a handshake message. The memory for a message is allocated
// from its announced length, before its bytes arrive. With the limit for work, an unauthenticated
// peer could exhaust the memory with a few connections that send nothing more.
const maxHandshakeBytes = 4 << 10

// Stream carries the length-prefixed messages of one request. One goroutine may receive while
// others send.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	mu     sync.Mutex
	buf    []byte
	// onClose, if set, is called once, by the first Close.
	onClose func()
	once    sync.Once
}

// maxKeptBuffer is the size up to which a stream keeps its buffer for the next message.
const maxKeptBuffer = 64 << 10

func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReader(conn)}
}

// Send writes messages with one write.
func (s *Stream) Send(messages ...proto.Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	buf := s.buf[:0]
	for _, m := range messages {
		var err error
		if buf, err = appendMessage(buf, m); err != nil {
			return err
		}
	}
	_, err := s.conn.Write(buf)
	if cap(buf) <= maxKeptBuffer {
		s.buf = buf
	}
	return err
}

// appendMessage appends a message, prefixed with its length.
func appendMessage(buf []byte, m proto.Message) ([]byte, error) {
	buf = binary.AppendUvarint(buf, uint64(proto.Size(m)))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, m)
}

// write writes messages that were encoded by appendMessage.
func (s *Stream) write(buf []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.conn.Write(buf)
	return err
}

// Receive reads the next message into m.
func (s *Stream) Receive(m proto.Message) error { return s.receive(m, maxMessageBytes) }

// receive reads the next message into m and fails if it has more than maxBytes.
func (s *Stream) receive(m proto.Message, maxBytes int64) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxBytes}
	return options.UnmarshalFrom(s.reader, m)
}

// HasBuffered reports whether a complete message is buffered and has not been received yet.
func (s *Stream) HasBuffered() bool {
	head, _ := s.reader.Peek(min(s.reader.Buffered(), binary.MaxVarintLen64))
	size, n := binary.Uvarint(head)
	return n > 0 && size <= uint64(s.reader.Buffered()-n)
}

// SetDeadline sets the deadline of future reads and writes.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// Close ends the stream. A pending Receive returns with an error.
func (s *Stream) Close() error {
	if s.onClose != nil {
		s.once.Do(s.onClose)
	}
	// yamux's Close ends only the writing side. A reader would wait until the peer closes too,
	// which never happens on a silent link.
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	return s.conn.Close()
}
