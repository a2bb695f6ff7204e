// Package sse splits a stream of server-sent events into whole events, unchanged.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// maxEventBytes bounds one event, bytes: far more than the text of one step of a model.
const maxEventBytes = 1 << 20

// ErrTooLong says that an event does not end within maxEvent bytes.
var ErrTooLong = errors.New("an event is too long")

// Event is one event.
type Event struct {
	// Raw is the whole event with the empty line that ends it. It is valid until the next
	// call of Next.
	Raw []byte
	// ID is the value of its last id field; empty when it has none.
	ID string
}

// Reader reads events.
type Reader struct {
	r   *bufio.Reader
	buf []byte
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReader(r)} }

// Next returns the next whole event. The error is io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF when the stream ends within an event.
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

// readLine appends one readLine with its end to the buffer.
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
