// Package link carries messages between apricothub processes over yamux. It knows
// how long a link has been silent: the heartbeats are its own, since a link that
// went silent must stop getting work within a second, and yamux's own keep-alive
// takes half a minute to notice.
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

// maxMessageBytes bounds one message, bytes: the largest body of a request and its
// header fit.
const maxMessageBytes = 72 << 20

// maxHandshakeBytes bounds a message of the handshake, bytes. A length is believed, and
// its memory taken, before the bytes are there: with the bound of work a stranger
// could take it all by a few connections that send nothing more.
const maxHandshakeBytes = 4 << 10

// Stream carries length-framed messages of one piece of work. One goroutine may
// receive while others send.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	mu     sync.Mutex
	buf    []byte
	// onClose, if set, is called once with the first Close.
	onClose func()
	once    sync.Once
}

// maxKeptBuffer bounds the buffer that a stream keeps for the next message, bytes.
const maxKeptBuffer = 64 << 10

func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReader(conn)}
}

// Send writes messages, by one write.
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

// appendMessage appends a message with its length before it.
func appendMessage(buf []byte, m proto.Message) ([]byte, error) {
	buf = binary.AppendUvarint(buf, uint64(proto.Size(m)))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, m)
}

// write writes messages that were appended.
func (s *Stream) write(buf []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.conn.Write(buf)
	return err
}

// Receive reads the next message into m.
func (s *Stream) Receive(m proto.Message) error { return s.receive(m, maxMessageBytes) }

// receive reads the next message if it has at most so many bytes.
func (s *Stream) receive(m proto.Message, maxBytes int64) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxBytes}
	return options.UnmarshalFrom(s.reader, m)
}

// HasBuffered says that a whole message has come that was not received yet.
func (s *Stream) HasBuffered() bool {
	head, _ := s.reader.Peek(min(s.reader.Buffered(), binary.MaxVarintLen64))
	size, n := binary.Uvarint(head)
	return n > 0 && size <= uint64(s.reader.Buffered()-n)
}

// SetDeadline bounds the reads and writes to come.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// Close ends the stream. A Receive that waits returns with an error.
func (s *Stream) Close() error {
	if s.onClose != nil {
		s.once.Do(s.onClose)
	}
	// yamux's Close ends only the writing side: a reader would wait until the
	// other side closes too, which a silent link never does.
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	return s.conn.Close()
}
