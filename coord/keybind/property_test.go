package keybind

import (
	"flag"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricothub/apricothub/api"
)

// The fixed seed makes runs repeatable; -rapid.seed, -rapid.checks and -rapid.steps on the
// command line override these values.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.steps", "200")
}

const (
	promisedLifetime = 100 * time.Second // what callers are told
	holdTime         = 2 * promisedLifetime
	clockMargin      = time.Second
)

// simulation models a stream, entries that may be replaced at any time, and the agents' state
// of the tickets that the entries minted.
type simulation struct {
	now           time.Duration
	records       []record // by offset; those below firstRetained have expired
	firstRetained int64
	// retention is how long the stream keeps records. It may be less than holdTime.
	retention time.Duration
	entries   []*simEntry
	inFlight  []*pendingAppend
	tickets   []*simTicket
	sent      []sentRequest
	// ran holds the tickets that ran, by key.
	ran map[Key][]*simTicket
	// toldNotRun holds the requests whose callers were told "not run", by key.
	toldNotRun map[Key][]sentRequest
}

type record struct {
	data []byte
	at   time.Duration
}

// pendingAppend is an append whose record may enter the stream at any later time, or never.
type pendingAppend struct{ data []byte }

type simEntry struct {
	fold    *Fold
	ages    *AgeTracker
	batcher *Batcher
	// awaitingBinding are requests whose keys wait to be bound.
	awaitingBinding []simRequest
	// arrivals are requests that wait for admission, or for a paused process.
	arrivals []simRequest
}

type simRequest struct {
	key     Key
	request Request
	arrived time.Duration
}

// sentRequest is a request in flight to the agent of its key's ticket.
type sentRequest struct {
	*simTicket
	request simRequest
}

type simTicket struct {
	key     Key
	arrived time.Duration
	expiry  time.Duration
	void    bool
	ran     bool
}

func newEntry() *simEntry {
	return &simEntry{fold: NewFold(), ages: NewAgeTracker(holdTime), batcher: NewBatcher(3, promisedLifetime/2)}
}

func (sim *simulation) isComplete(e *simEntry) bool {
	return e.fold.IsComplete(sim.wallMs(), holdTime, clockMargin)
}

func (sim *simulation) wallMs() int64 { return (sim.now + 1000*time.Hour).Milliseconds() }

// handle lets an entry handle one request.
func (sim *simulation) handle(t *rapid.T, e *simEntry, r simRequest) {
	if sim.sendIfBound(t, e, r) || !sim.isComplete(e) {
		return
	}
	if verdict, _ := e.fold.Quotas().Check(Customer{r.key[0]}, 0); verdict != Allowed {
		return
	}
	// The ticket was minted in the first half of its block's lifetime.
	ticket := &simTicket{key: r.key, arrived: r.arrived, expiry: sim.now + holdTime}
	minted := &api.Ticket{Seq: uint32(len(sim.tickets)), AgentVm: "vm", Customer: r.key[:1]}
	if e.batcher.Add(sim.now, r.arrived, r.key, r.request, minted) == nil {
		sim.tickets = append(sim.tickets, ticket)
		e.awaitingBinding = append(e.awaitingBinding, r)
	}
}

// sendIfBound sends a request under the ticket that its key is bound to, and reports whether
// the entry holds a binding of the key.
func (sim *simulation) sendIfBound(t *rapid.T, e *simEntry, r simRequest) bool {
	b, ok := e.fold.Lookup(r.key)
	if !ok {
		return false
	}
	if b.Unconfirmed || !sim.isComplete(e) || b.Request != r.request || !b.IsCurrent(sim.wallMs(), holdTime-promisedLifetime/2, clockMargin) {
		return true
	}
	ticket, err := b.DecodeTicket()
	if err != nil {
		t.Fatal(err)
	}
	if sim.tickets[ticket.GetSeq()].key != r.key {
		t.Fatal("a key is bound to the ticket of another one")
	}
	sim.sent = append(sim.sent, sentRequest{sim.tickets[ticket.GetSeq()], r})
	return true
}

func (sim *simulation) beginAppend(t *rapid.T, e *simEntry, allowEmpty bool) {
	batch, _, ok := e.batcher.BeginAppend(sim.now, 0, allowEmpty)
	if !ok {
		return
	}
	data, err := EncodeRecord(batch, e.fold.Next(), e.ages.ExpiredThrough(sim.now), sim.wallMs())
	if err != nil {
		t.Fatal(err)
	}
	sim.inFlight = append(sim.inFlight, &pendingAppend{data: data})
}

func (sim *simulation) read(t *rapid.T, e *simEntry, limit int) {
	if e.fold.Next() < sim.firstRetained {
		e.fold.Restart(sim.firstRetained)
		e.batcher.Clear()
		e.awaitingBinding = nil
	}
	for n := e.fold.Next(); n < int64(len(sim.records)) && limit > 0; n++ {
		keys, err := e.fold.Apply(n, sim.records[n].data)
		if err != nil {
			t.Fatal(err)
		}
		for _, key := range keys {
			e.batcher.Drop(key)
		}
		limit--
	}
	e.ages.Observe(sim.now, e.fold.Next()-1)
	var stillWaiting []simRequest
	for _, r := range e.awaitingBinding {
		if !sim.sendIfBound(t, e, r) {
			stillWaiting = append(stillWaiting, r)
		}
	}
	e.awaitingBinding = stillWaiting
}

// commitAppend adds the record of an append to the stream.
func (sim *simulation) commitAppend(i int) {
	sim.records = append(sim.records, record{sim.inFlight[i].data, sim.now})
	sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
}

func (sim *simulation) deliverNewest() {
	if n := len(sim.sent); n > 0 {
		sim.deliver(sim.sent[n-1])
	}
}

// deliver lets the agent decide on the ticket of a request.
func (sim *simulation) deliver(s sentRequest) {
	switch {
	case s.ran:
	case s.void || sim.now >= s.expiry:
		s.void = true
		sim.toldNotRun[s.key] = append(sim.toldNotRun[s.key], s)
	default:
		s.ran = true
		sim.ran[s.key] = append(sim.ran[s.key], s.simTicket)
	}
}

// checkToldNotRun checks that no request was told "not run" although an earlier request ran of
// which it was a retry within the promised lifetime.
func (sim *simulation) checkToldNotRun(t *rapid.T) {
	for key, all := range sim.toldNotRun {
		for _, refused := range all {
			for _, ran := range sim.ran[key] {
				since := refused.request.arrived - ran.arrived
				if ran != refused.simTicket && since >= 0 && since < promisedLifetime {
					t.Fatalf("told \"not run\" at a retry %v after a request that runs", since)
				}
			}
		}
	}
}

// check checks that a key runs a second time only for a request that arrived after the promised
// lifetime, counted from the request that it was first bound for.
func (sim *simulation) check(t *rapid.T) {
	sim.checkToldNotRun(t)
	for _, all := range sim.ran {
		for i, a := range all {
			for _, b := range all[:i] {
				if gap := a.arrived - b.arrived; gap > -promisedLifetime && gap < promisedLifetime {
					t.Fatalf("a key ran twice, for requests that arrived %v apart", gap)
				}
			}
		}
	}
	for i, a := range sim.entries {
		checkQuotas(t, a.fold)
		for _, b := range sim.entries[:i] {
			sim.checkFoldsAgree(t, a, b)
		}
	}
}

// checkQuotas checks that the quotas of a fold count the bindings that it holds.
func checkQuotas(t *rapid.T, f *Fold) {
	counts := map[Customer]int{}
	for _, b := range f.bindings {
		counts[b.Customer]++
	}
	if !maps.Equal(counts, f.quotas.held) || f.quotas.total != len(f.bindings) || len(f.recordsOf) > len(counts) {
		t.Fatalf("%v are counted, and %v held", f.quotas.held, counts)
	}
}

// checkFoldsAgree checks that two folds at the same offset with a confirmed binding of a key
// agree on its ticket.
func (sim *simulation) checkFoldsAgree(t *rapid.T, a, b *simEntry) {
	if a.fold.Next() != b.fold.Next() || !sim.isComplete(a) || !sim.isComplete(b) {
		return
	}
	for key, inA := range a.fold.bindings {
		inB, ok := b.fold.bindings[key]
		if ok && !inA.Unconfirmed && !inB.Unconfirmed && inA.Ticket != inB.Ticket {
			t.Fatal("two folds of the same records bind a key to two tickets")
		}
	}
}

// Callers send requests under few keys through three entries at once. Records of appends enter
// the stream late, in another order, after their entry was replaced, or never, and the replies
// to appends are lost; entries lag behind the oldest record of the stream, agents refuse
// requests and are replaced, and the quotas of each entry refuse different keys. A key must run
// at most once within the promised lifetime.
func TestAKeyRunsOnceProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{ran: map[Key][]*simTicket{}, toldNotRun: map[Key][]sentRequest{}}
		sim.retention = rapid.SampledFrom([]time.Duration{promisedLifetime / 5, holdTime, 2 * holdTime}).Draw(t, "retention")
		for range 3 {
			sim.entries = append(sim.entries, newEntry())
		}
		pickEntry := func(t *rapid.T) *simEntry { return rapid.SampledFrom(sim.entries).Draw(t, "entry") }
		pick := func(t *rapid.T, n int) int {
			if n == 0 {
				t.Skip("none")
			}
			return rapid.IntRange(0, n-1).Draw(t, "which")
		}
		newRequest := func(t *rapid.T) simRequest {
			return simRequest{key: Key{rapid.ByteRange(0, 1).Draw(t, "key")}, request: Request{rapid.ByteRange(0, 9).Draw(t, "request") / 9}, arrived: sim.now}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) { e := pickEntry(t); e.arrivals = append(e.arrivals, newRequest(t)) },
			"press": func(t *rapid.T) {
				e := pickEntry(t)
				for _, r := range e.arrivals {
					sim.handle(t, e, r)
				}
				e.arrivals = nil
			},
			"press and go on": func(t *rapid.T) {
				e := pickEntry(t)
				sim.handle(t, e, newRequest(t))
				sim.beginAppend(t, e, false)
			},
			"take": func(t *rapid.T) { sim.beginAppend(t, pickEntry(t), false) },
			"beat": func(t *rapid.T) { sim.beginAppend(t, pickEntry(t), true) },
			"land": func(t *rapid.T) { sim.commitAppend(pick(t, len(sim.inFlight))) },
			"land all": func(*rapid.T) {
				for len(sim.inFlight) > 0 {
					sim.commitAppend(0)
				}
			},
			"lose": func(t *rapid.T) { i := pick(t, len(sim.inFlight)); sim.inFlight = slices.Delete(sim.inFlight, i, i+1) },
			"done": func(*rapid.T) {
				for _, e := range sim.entries {
					e.batcher.EndAppend()
				}
			},
			"read": func(t *rapid.T) { sim.read(t, pickEntry(t), rapid.IntRange(1, 4).Draw(t, "limit")) },
			"read all": func(t *rapid.T) {
				e := pickEntry(t)
				sim.read(t, e, len(sim.records))
				sim.deliverNewest()
			},
			"replace":        func(t *rapid.T) { sim.entries[pick(t, len(sim.entries))] = newEntry() },
			"deliver":        func(t *rapid.T) { sim.deliver(sim.sent[pick(t, len(sim.sent))]) },
			"deliver newest": func(*rapid.T) { sim.deliverNewest() },
			"void":           func(t *rapid.T) { s := sim.sent[pick(t, len(sim.sent))]; s.void = !s.ran || s.void },
			"pass":           func(t *rapid.T) { sim.now += time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second },
			"pass long":      func(t *rapid.T) { sim.now += time.Duration(rapid.IntRange(1, 250).Draw(t, "s")) * time.Second },
			"expire": func(*rapid.T) {
				for sim.firstRetained < int64(len(sim.records)) && sim.now-sim.records[sim.firstRetained].at > sim.retention {
					sim.firstRetained++
				}
			},
			// The limit and the shares differ between entries, and so do their decisions.
			"room": func(t *rapid.T) {
				f := pickEntry(t).fold
				f.quotas.limit = rapid.SampledFrom([]int{1, 2, MaxHeldBindings}).Draw(t, "size")
				f.quotas.SetShares(equalShares(rapid.ByteRange(1, 3).Draw(t, "customers")))
			},
			"": sim.check,
		})
	})
}
