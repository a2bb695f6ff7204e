// Package answer buffers the numbered parts of answers until callers have received them
// completely, and reassembles them on the other side of a link.
//
// The answer to a request is held by the agent that runs the request. If a link fails, the
// answer is only delayed: the entry attaches to it again over a new link and continues with
// the next part. Another entry does the same for a caller that reconnects with Last-Event-ID.
// The package reads no clock, opens no socket and starts no goroutine.
package answer

import (
	"container/list"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
)

// ErrFull is returned when the store has reached its limit and can evict nothing.
var ErrFull = errors.New("the memory for answers is full")

// partOverheadBytes is the memory that a part takes besides its data.
const partOverheadBytes = 64

// Buffer holds the answer to one request, as far as it has been produced.
type Buffer struct {
	// ID identifies the answer in the whole system.
	ID string
	// Customer is the only customer that may read the answer.
	Customer string

	head    *api.Head
	parts   [][]byte
	bytes   uint64
	end     *api.End
	refusal *api.Refusal

	endedAt time.Duration
	// delivered and failed are the places in the lists of that name, once a caller has the whole answer, and once
	// the answer has failed.
	delivered, failed *list.Element
}

// size returns the memory that the answer takes, in bytes.
func (b *Buffer) size() int64 { return int64(b.bytes) + int64(len(b.parts))*partOverheadBytes }

// IsEnded reports whether the answer is closed, so that nothing more will be added.
func (b *Buffer) IsEnded() bool { return b.end != nil || b.refusal != nil }

// IsDelivered reports whether a caller has received the whole answer.
func (b *Buffer) IsDelivered() bool { return b.delivered != nil }

// Refusal returns why the answer failed, or nil if it did not.
func (b *Buffer) Refusal() *api.Refusal { return b.refusal }

// Cursor is the position of a reader in an answer. The zero value is the beginning.
type Cursor struct {
	headSent  bool
	partsSent uint64
	endSent   bool
}

// CursorAt returns a cursor whose next part has this number.
func CursorAt(part uint64) Cursor {
	if part == 0 {
		part = 1
	}
	return Cursor{partsSent: part - 1}
}

// Next returns the event at the cursor and the cursor after it, or nil if there is no event
// yet or the end was read.
func (b *Buffer) Next(c Cursor) (*api.WorkEvent, Cursor) {
	switch {
	case b.head != nil && !c.headSent:
		c.headSent = true
		return &api.WorkEvent{Body: &api.WorkEvent_Head{Head: b.head}}, c
	case c.partsSent < uint64(len(b.parts)):
		c.partsSent++
		part := &api.Part{Number: c.partsSent, Data: b.parts[c.partsSent-1]}
		return &api.WorkEvent{Body: &api.WorkEvent_Part{Part: part}}, c
	case c.endSent:
		return nil, c
	case b.end != nil:
		c.endSent = true
		return &api.WorkEvent{Body: &api.WorkEvent_End{End: b.end}}, c
	case b.refusal != nil:
		c.endSent = true
		return &api.WorkEvent{Body: &api.WorkEvent_Refusal{Refusal: b.refusal}}, c
	}
	return nil, c
}

// IsAtEnd reports whether the reader has read the end of the answer.
func (c Cursor) IsAtEnd() bool { return c.endSent }

// Store holds the answers of one agent within a limit on memory.
type Store struct {
	limitBytes int64
	retention  time.Duration
	bytes      int64
	answers    map[string]*Buffer
	// delivered and failed hold answers, oldest first. Those that have failed hold parts that nobody may use.
	delivered, failed *list.List
}

// NewStore returns a store that holds up to limitBytes of answers, each for as long as
// retention after its end.
func NewStore(limitBytes int64, retention time.Duration) *Store {
	return &Store{
		limitBytes: limitBytes,
		retention:  retention,
		answers:    make(map[string]*Buffer),
		delivered:  list.New(),
		failed:     list.New(),
	}
}

// Add begins an answer. It returns ErrFull if the memory is full of answers that callers may
// still ask for: the work must then be refused before it runs, because its answer could not be
// held.
func (s *Store) Add(id, customer string) (*Buffer, error) {
	s.makeRoom()
	if s.bytes >= s.limitBytes {
		return nil, ErrFull
	}
	b := &Buffer{ID: id, Customer: customer}
	s.answers[id] = b
	return b, nil
}

// Lookup returns an answer by its id.
func (s *Store) Lookup(id string) (*Buffer, bool) {
	b, ok := s.answers[id]
	return b, ok
}

// SetHead sets the status and header of an answer.
func (s *Store) SetHead(b *Buffer, head *api.Head) { b.head = head }

// Append adds a part and returns its number. The caller must not change data afterwards. It
// returns ErrFull if the store has reached its limit and the answer takes more than its share of it.
//
// The share lets short answers go on beside one without end. All answers together take at most twice the limit, and the
// last part of each.
func (s *Store) Append(b *Buffer, data []byte) (uint64, error) {
	if s.bytes > s.limitBytes {
		s.makeRoom()
	}
	if s.bytes > s.limitBytes && b.size() > s.limitBytes/int64(max(1, len(s.answers))) {
		return 0, ErrFull
	}
	b.parts = append(b.parts, data)
	b.bytes += uint64(len(data))
	s.bytes += int64(len(data)) + partOverheadBytes
	return uint64(len(b.parts)), nil
}

// End closes a complete answer.
func (s *Store) End(b *Buffer, now time.Duration) {
	if b.IsEnded() {
		return
	}
	b.end = &api.End{Parts: uint64(len(b.parts)), Bytes: b.bytes}
	b.endedAt = now
}

// Fail closes an answer that will not become complete.
func (s *Store) Fail(b *Buffer, now time.Duration, refusal *api.Refusal) {
	if b.IsEnded() {
		return
	}
	b.refusal = refusal
	b.endedAt = now
	b.failed = s.failed.PushBack(b)
}

// MarkDelivered records that a caller has received the whole answer. The answer is kept for
// callers that ask for it again with their ticket, but is evicted first when memory is needed.
func (s *Store) MarkDelivered(b *Buffer) {
	if b.delivered == nil && b.IsEnded() {
		b.delivered = s.delivered.PushBack(b)
	}
}

// Drop removes an answer whose work did not start, such as that of refused work.
func (s *Store) Drop(b *Buffer) { s.remove(b) }

// Expire removes the answers that ended longer than the retention ago, and returns their ids.
func (s *Store) Expire(now time.Duration) []string {
	var expired []string
	for id, b := range s.answers {
		if b.IsEnded() && now-b.endedAt > s.retention {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		s.remove(s.answers[id])
	}
	return expired
}

// Undelivered returns the number of answers that no caller has received completely.
func (s *Store) Undelivered() int { return len(s.answers) - s.delivered.Len() }

// Len returns the number of answers held.
func (s *Store) Len() int { return len(s.answers) }

// Bytes returns the memory that the answers take.
func (s *Store) Bytes() int64 { return s.bytes }

// makeRoom removes delivered answers and drops the parts of failed ones, oldest first, while more than half of the
// memory is in use. What became of a failed answer stays known.
func (s *Store) makeRoom() {
	for s.bytes > s.limitBytes/2 && s.delivered.Len() > 0 {
		s.remove(s.delivered.Front().Value.(*Buffer))
	}
	for s.bytes > s.limitBytes/2 && s.failed.Len() > 0 {
		b := s.failed.Remove(s.failed.Front()).(*Buffer)
		s.bytes -= b.size()
		b.parts, b.bytes, b.failed = nil, 0, nil
	}
}

func (s *Store) remove(b *Buffer) {
	if b.delivered != nil {
		s.delivered.Remove(b.delivered)
	}
	if b.failed != nil {
		s.failed.Remove(b.failed)
	}
	s.bytes -= b.size()
	delete(s.answers, b.ID)
}
