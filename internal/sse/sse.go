// Package sse splits a stream of server-sent events into complete events, with their bytes
// unchanged.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// maxEventBytes limits one event. It is far above the size of the text of one step of a model.
const maxEventBytes = 1 << 20

// ErrTooLong is returned for an event longer than maxEventBytes.
var ErrTooLong = errors.New("event exceeds the size limit")

// Event is a server-sent event.
type Event struct {
	// Raw is the complete event, including the empty line that ends it. It is valid until the next
	// call of Next.
	Raw []byte
	// ID is the value of the event's last id field, or empty if it has none.
	ID string
}

// Reader reads events from a stream.
type Reader struct {
	r   *bufio.Reader
	buf []byte
}

// NewReader returns a Reader of the events in r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReader(r)} }

// Next returns the next complete event. The error is io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if the stream ends within an event.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	event := Event{}
	for {
		start := len(r.buf)
		if err := r.readLine(); err != nil {
			if err == io.EOF && len(r.buf) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		line := bytes.TrimRight(r.buf[start:], "\r\n")
		if len(line) == 0 {
			event.Raw = r.buf
			return event, nil
		}
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			event.ID = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}

// readLine appends one line, including its line break, to the buffer.
func (r *Reader) readLine() error {
	for {
		chunk, err := r.r.ReadSlice('\n')
		r.buf = append(r.buf, chunk...)
		if len(r.buf) > maxEventBytes {
			return ErrTooLong
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		return err
	}
}
