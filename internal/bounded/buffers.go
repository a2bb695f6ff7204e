package bounded

import (
	"io"
	"sync/atomic"
)

// minRead is the least room for one read.
const minRead = 512

// Buffers limits the bytes that are held at the same time in all messages that are read whole. It is safe
// for concurrent use.
type Buffers struct {
	limit int64
	held  atomic.Int64
}

// NewBuffers returns Buffers that may hold limit bytes.
func NewBuffers(limit int64) *Buffers { return &Buffers{limit: limit} }

// Held returns how many bytes are held.
func (b *Buffers) Held() int64 { return b.held.Load() }

// Read reads a message of at most limit bytes. It stops, with isWhole false and no error, after limit bytes
// or when all messages together hold as much as they may. Release what it returns, also after an error.
func (b *Buffers) Read(r io.Reader, limit int) (data []byte, isWhole bool, err error) {
	for {
		if len(data) == cap(data) {
			data = grow(data, limit+1)
		}
		room := min(cap(data), limit+1) - len(data)
		n, err := r.Read(data[len(data) : len(data)+room])
		data = data[:len(data)+n]
		held := b.held.Add(int64(n))
		switch {
		case err == io.EOF:
			return data, len(data) <= limit, nil
		case err != nil:
			return data, false, err
		case len(data) > limit || held > b.limit:
			return data, false, nil
		}
	}
}

// grow returns data with twice the room, up to a limit. Room that grows in smaller steps leaves several times the message
// as garbage.
func grow(data []byte, limit int) []byte {
	grown := make([]byte, len(data), max(min(2*cap(data), limit), cap(data)+minRead))
	copy(grown, data)
	return grown
}

// Release gives back the room of a message that is held no longer.
func (b *Buffers) Release(data []byte) { b.held.Add(-int64(len(data))) }
