// Package journal keeps the newest requests of an entry or agent and the decisions made on them, so
// that a dump shows why a request was refused or where it was placed.
package journal

import (
	"context"
	"sync"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/result"
)

// maxAttempts is the number of attempts that a record keeps.
const maxAttempts = 8

// maxTextBytes is the length at which the error text of a record is truncated.
const maxTextBytes = 200

// unknownCustomerRecords is the number of records kept of requests without a known customer.
const unknownCustomerRecords = 50

// Record describes one request. Only the goroutine that serves the request writes it.
type Record struct {
	// Request is the request id, which the caller gets in a header of the answer.
	Request  string `json:"request,omitempty"`
	Customer string `json:"customer,omitempty"`
	// Offer is the requested model or service.
	Offer string `json:"offer,omitempty"`
	// AtMostOnce is set for a request that must run at most once.
	AtMostOnce bool `json:"once,omitempty"`
	// HasTicket is set if the caller sent a ticket, which determines the agent.
	HasTicket bool      `json:"ticket,omitempty"`
	Attempts  []Attempt `json:"attempts,omitempty"`
	// Result is the number and name of the result code. Ran and Text belong to it.
	Result string `json:"result"`
	Ran    string `json:"ran,omitempty"`
	Text   string `json:"text,omitempty"`
	// RetryAfterMs is the delay after which the caller was told to retry.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// WaitMs is the time spent in admission, TookMs the time from arrival to the end.
	WaitMs int64 `json:"wait_ms"`
	TookMs int64 `json:"took_ms"`
	// AgoMs is the time between the end of the request and the dump.
	AgoMs int64 `json:"ago_ms"`

	startedAt, endedAt time.Duration
}

// Attempt is one attempt at one agent.
type Attempt struct {
	VM     string `json:"vm"`
	Result string `json:"result"`
	Ran    string `json:"ran,omitempty"`
	TookMs int64  `json:"took_ms"`
}

// AddAttempt records an attempt that has ended; err is nil if it returned a complete answer.
func (r *Record) AddAttempt(vm string, took time.Duration, err *result.Error) {
	if len(r.Attempts) >= maxAttempts {
		return
	}
	attempt := Attempt{VM: vm, Result: result.Label(api.ResultCode_OK), TookMs: took.Milliseconds()}
	if err != nil {
		attempt.Result, attempt.Ran = result.Label(err.Code), result.RanName(err.Ran)
	}
	r.Attempts = append(r.Attempts, attempt)
}

// Journal keeps the newest records. Refused and served requests have separate rings, so that
// neither a large number of served requests nor a flood of refusals evicts the other kind.
type Journal struct {
	mu      sync.Mutex
	served  ring
	refused ring
	// unknownCustomer holds requests without a known customer. Anyone who can reach the entry can
	// send any number of them, and they must not evict the requests of customers.
	unknownCustomer ring
}

// New returns a journal of at most capacity served and capacity refused requests.
func New(capacity int) *Journal {
	return &Journal{
		served:          ring{capacity: capacity},
		refused:         ring{capacity: capacity},
		unknownCustomer: ring{capacity: unknownCustomerRecords},
	}
}

type contextKey struct{}

// Begin starts the record of a request and stores it in the context, from which From returns it.
// now is the time since the process started.
func Begin(ctx context.Context, now time.Duration) (context.Context, *Record) {
	r := &Record{startedAt: now}
	return context.WithValue(ctx, contextKey{}, r), r
}

// From returns the record of the request that the context belongs to. Without one, it returns a
// record that is never read.
func From(ctx context.Context) *Record {
	if r, ok := ctx.Value(contextKey{}).(*Record); ok {
		return r
	}
	return &Record{}
}

// End completes a record and adds it to the journal; err is nil for a complete answer.
func (j *Journal) End(r *Record, now time.Duration, err error) {
	r.endedAt = now
	r.TookMs = (now - r.startedAt).Milliseconds()
	r.Result = result.Label(api.ResultCode_OK)
	if err != nil {
		e := result.FromError(err)
		r.Result, r.Ran, r.Text = result.Label(e.Code), result.RanName(e.Ran), truncate(e.Text)
		r.RetryAfterMs = e.RetryAfter.Milliseconds()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case r.Customer == "":
		j.unknownCustomer.add(r)
	case err != nil:
		j.refused.add(r)
	default:
		j.served.add(r)
	}
}

// Dump is the content of a journal, newest records first.
type Dump struct {
	Refused []Record `json:"refused"`
	Served  []Record `json:"served"`
	// UnknownCustomer holds requests without a known customer, including requests for addresses.
	UnknownCustomer []Record `json:"strangers"`
}

// Dump returns a copy of the records.
func (j *Journal) Dump(now time.Duration) Dump {
	j.mu.Lock()
	defer j.mu.Unlock()
	return Dump{Refused: j.refused.newestFirst(now), Served: j.served.newestFirst(now), UnknownCustomer: j.unknownCustomer.newestFirst(now)}
}

// ring keeps the newest records up to its capacity.
type ring struct {
	capacity int
	records  []*Record
	// next is the index of the record that is overwritten next once the ring is full.
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

func (r *ring) newestFirst(now time.Duration) []Record {
	all := make([]Record, 0, len(r.records))
	for i := range r.records {
		index := (r.next + len(r.records) - 1 - i) % len(r.records)
		record := *r.records[index]
		record.AgoMs = (now - record.endedAt).Milliseconds()
		all = append(all, record)
	}
	return all
}

func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return text[:maxTextBytes] + "…"
}
