// Package answer keeps the numbered parts of answers until callers have them
// whole, and puts them together again on the other side of a link.
//
// The answer to a request lives at the agent that runs it. A link that goes silent
// then costs a pause: the entry attaches to the answer again over a new link and
// goes on at the next part; another entry does the same for a caller that comes
// back with Last-Event-ID. The package holds no clock, socket or goroutine.
package answer

import (
	"container/list"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
)

// ErrFull says that the store holds as much as it may and nothing can be let go.
var ErrFull = errors.New("the memory for answers is full")

// partOverheadBytes is what a part costs beside its data, bytes.
const partOverheadBytes = 64

// Buffer is the answer to one request, as far as it has been made.
type Buffer struct {
	// ID names the answer in the whole system.
	ID string
	// Customer may read the answer; nobody else.
	Customer string

	head    *api.Head
	parts   [][]byte
	bytes   uint64
	end     *api.End
	refusal *api.Refusal

	endedAt   time.Duration
	delivered *list.Element // in Store.delivered once a caller has it whole
}

// IsEnded says that nothing more will be added.
func (b *Buffer) IsEnded() bool { return b.end != nil || b.refusal != nil }

// IsDelivered says that a caller has had the answer whole.
func (b *Buffer) IsDelivered() bool { return b.delivered != nil }

// Refusal returns how the answer failed; nil if it did not.
func (b *Buffer) Refusal() *api.Refusal { return b.refusal }

// Cursor is how far a reader has come. The zero value is the beginning.
type Cursor struct {
	headSent  bool
	partsSent uint64
	endSent   bool
}

// CursorAt returns a cursor whose next part is the one with this number.
func CursorAt(part uint64) Cursor {
	if part == 0 {
		part = 1
	}
	return Cursor{partsSent: part - 1}
}

// Next returns the event that follows the cursor, or nil when the reader has come
// to the end of what there is. The returned cursor is past the event.
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

// IsAtEnd says that the reader has had the end.
func (c Cursor) IsAtEnd() bool { return c.endSent }

// Store holds the answers of one agent within a bound of memory.
type Store struct {
	limitBytes int64
	retention  time.Duration
	bytes      int64
	answers    map[string]*Buffer
	delivered  *list.List // *Buffer, oldest first
}

// NewStore returns a store that holds up to limit bytes, and keeps an ended answer
// that no caller has had whole for as long as keep.
func NewStore(limitBytes int64, retention time.Duration) *Store {
	return &Store{
		limitBytes: limitBytes,
		retention:  retention,
		answers:    make(map[string]*Buffer),
		delivered:  list.New(),
	}
}

// Add begins an answer. It returns ErrFull when the memory is full of answers that
// somebody may still come for: work must then be refused before it runs, since its
// answer could not be kept.
func (s *Store) Add(id, customer string) (*Buffer, error) {
	s.evictDelivered()
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

// Append adds a part and returns its number. The caller must not change data
// afterwards. It returns ErrFull when the one answer has outgrown the store.
func (s *Store) Append(b *Buffer, data []byte) (uint64, error) {
	if int64(b.bytes) > s.limitBytes {
		return 0, ErrFull
	}
	b.parts = append(b.parts, data)
	b.bytes += uint64(len(data))
	s.bytes += int64(len(data)) + partOverheadBytes
	return uint64(len(b.parts)), nil
}

// End closes a whole answer.
func (s *Store) End(b *Buffer, now time.Duration) {
	if b.IsEnded() {
		return
	}
	b.end = &api.End{Parts: uint64(len(b.parts)), Bytes: b.bytes}
	b.endedAt = now
}

// Fail closes an answer that will not become whole.
func (s *Store) Fail(b *Buffer, now time.Duration, refusal *api.Refusal) {
	if b.IsEnded() {
		return
	}
	b.refusal = refusal
	b.endedAt = now
}

// MarkDelivered says that a caller has the answer whole. It is kept while there is
// room, for a caller that asks again with its ticket, and is the first to go.
func (s *Store) MarkDelivered(b *Buffer) {
	if b.delivered == nil && b.IsEnded() {
		b.delivered = s.delivered.PushBack(b)
	}
}

// Drop lets go of an answer that was never begun, such as that of refused work.
func (s *Store) Drop(b *Buffer) { s.remove(b) }

// Expire lets go of the ended answers whose time is over and returns their ids.
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

// Undelivered counts the answers that no caller has had whole.
func (s *Store) Undelivered() int { return len(s.answers) - s.delivered.Len() }

// Len counts the answers held; Bytes is the memory they take.
func (s *Store) Len() int { return len(s.answers) }

// Bytes is the memory the answers take.
func (s *Store) Bytes() int64 { return s.bytes }

// evictDelivered lets go of delivered answers, oldest first, while more than half of the
// memory is taken.
func (s *Store) evictDelivered() {
	for s.bytes > s.limitBytes/2 && s.delivered.Len() > 0 {
		s.remove(s.delivered.Front().Value.(*Buffer))
	}
}

func (s *Store) remove(b *Buffer) {
	if b.delivered != nil {
		s.delivered.Remove(b.delivered)
	}
	s.bytes -= int64(b.bytes) + int64(len(b.parts))*partOverheadBytes
	delete(s.answers, b.ID)
}
