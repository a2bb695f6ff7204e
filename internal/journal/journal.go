// Package journal remembers the newest requests of an entry or agent and what was decided
// on them, so that a dump can answer why one was refused, or where it was placed.
package journal

import (
	"context"
	"sync"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/result"
)

// maxAttempts bounds the attempts that a record keeps.
const maxAttempts = 8

// maxText bounds the text that a record keeps of an error.
const maxText = 200

// strangerRecords is how many requests of no known customer are kept.
const strangerRecords = 50

// Record is one request. Only the goroutine that serves the request writes it.
type Record struct {
	// Request is the id that the caller was told, in the header of the answer.
	Request  string `json:"request,omitempty"`
	Customer string `json:"customer,omitempty"`
	// Offer is the model or service asked for.
	Offer string `json:"offer,omitempty"`
	// Once says that the request runs at most once.
	Once bool `json:"once,omitempty"`
	// Ticket says that the caller brought a ticket, which fixes the agent.
	Ticket   bool      `json:"ticket,omitempty"`
	Attempts []Attempt `json:"attempts,omitempty"`
	// Result is the number and name of the result code; Ran and Text go with it.
	Result string `json:"result"`
	Ran    string `json:"ran,omitempty"`
	Text   string `json:"text,omitempty"`
	// RetryAfterMs is when the caller was told to come back.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// WaitMs is the time in admission, TookMs that from arrival to the end.
	WaitMs int64 `json:"wait_ms"`
	TookMs int64 `json:"took_ms"`
	// AgoMs is the time since the end, as of the dump.
	AgoMs int64 `json:"ago_ms"`

	began, ended time.Duration
}

// Attempt is one try at one agent.
type Attempt struct {
	VM     string `json:"vm"`
	Result string `json:"result"`
	Ran    string `json:"ran,omitempty"`
	TookMs int64  `json:"took_ms"`
}

// Tried notes an attempt that has ended; err is nil for a whole answer.
func (r *Record) Tried(vm string, took time.Duration, err *result.Error) {
	if len(r.Attempts) >= maxAttempts {
		return
	}
	attempt := Attempt{VM: vm, Result: result.Label(api.ResultCode_OK), TookMs: took.Milliseconds()}
	if err != nil {
		attempt.Result, attempt.Ran = result.Label(err.Code), result.RanName(err.Ran)
	}
	r.Attempts = append(r.Attempts, attempt)
}

// Journal keeps the newest records. Refused requests have a ring of their own, so
// that the many that succeed do not push out the few that did not; and a flood of
// refusals does not push out what was served.
type Journal struct {
	mu      sync.Mutex
	served  ring
	refused ring
	// strangers are requests of no known customer: whoever can reach the entry
	// can make any number of them, and they must not push out customers' ones.
	strangers ring
}

// New makes a journal of at most capacity served and capacity refused requests.
func New(capacity int) *Journal {
	return &Journal{
		served:    ring{capacity: capacity},
		refused:   ring{capacity: capacity},
		strangers: ring{capacity: strangerRecords},
	}
}

type contextKey struct{}

// Begin starts the record of a request, which From finds in the context. now is the
// time since the process started.
func Begin(ctx context.Context, now time.Duration) (context.Context, *Record) {
	r := &Record{began: now}
	return context.WithValue(ctx, contextKey{}, r), r
}

// From returns the record of the request that the context belongs to, or one that
// nobody reads.
func From(ctx context.Context) *Record {
	if r, ok := ctx.Value(contextKey{}).(*Record); ok {
		return r
	}
	return &Record{}
}

// End closes a record and keeps it; err is nil for a whole answer.
func (j *Journal) End(r *Record, now time.Duration, err error) {
	r.ended = now
	r.TookMs = (now - r.began).Milliseconds()
	r.Result = result.Label(api.ResultCode_OK)
	if err != nil {
		e := result.FromError(err)
		r.Result, r.Ran, r.Text = result.Label(e.Code), result.RanName(e.Ran), clip(e.Text)
		r.RetryAfterMs = e.RetryAfter.Milliseconds()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case r.Customer == "":
		j.strangers.add(r)
	case err != nil:
		j.refused.add(r)
	default:
		j.served.add(r)
	}
}

// Dump is the journal's content, newest first.
type Dump struct {
	Refused []Record `json:"refused"`
	Served  []Record `json:"served"`
	// Strangers are requests of no known customer, addresses asked for among them.
	Strangers []Record `json:"strangers"`
}

// Dump copies the records.
func (j *Journal) Dump(now time.Duration) Dump {
	j.mu.Lock()
	defer j.mu.Unlock()
	return Dump{Refused: j.refused.newest(now), Served: j.served.newest(now), Strangers: j.strangers.newest(now)}
}

// ring keeps the newest records.
type ring struct {
	capacity int
	records  []*Record
	// next is where the next record goes once the ring is full.
	next int
}

func (r *ring) add(record *Record) {
	if len(r.records) < r.capacity {
		r.records = append(r.records, record)
		return
	}
	if r.capacity == 0 {
		return
	}
	r.records[r.next] = record
	r.next = (r.next + 1) % r.capacity
}

func (r *ring) newest(now time.Duration) []Record {
	all := make([]Record, 0, len(r.records))
	for i := range r.records {
		at := (r.next + len(r.records) - 1 - i) % len(r.records)
		record := *r.records[at]
		record.AgoMs = (now - record.ended).Milliseconds()
		all = append(all, record)
	}
	return all
}

func clip(text string) string {
	if len(text) <= maxText {
		return text
	}
	return text[:maxText] + "…"
}
