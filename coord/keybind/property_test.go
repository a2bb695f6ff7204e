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

// The seed is fixed so that every run is the same; -rapid.seed, -rapid.checks and
// -rapid.steps on the command line go before these.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.steps", "200")
}

const (
	toldFor = 100 * time.Second // what callers are told
	hold    = 2 * toldFor
	margin  = time.Second
)

// world is a stream, entries that are replaced at any time, and the agents' view of the
// tickets that they minted.
type world struct {
	now     time.Duration
	records []record // by offset; those below first have expired
	first   int64
	// retention is how long the stream keeps records; less than it should at times.
	retention time.Duration
	entries   []*simEntry
	flights   []*flight
	tickets   []*simTicket
	sends     []simSend
	// ran holds the tickets that ran, by key.
	ran map[Key][]*simTicket
	// notRun holds the requests that were told so, by key.
	notRun map[Key][]simSend
}

type record struct {
	data []byte
	at   time.Duration
}

// flight is an append whose record may land at any later time, or never.
type flight struct{ data []byte }

type simEntry struct {
	fold    *Fold
	ages    *Ages
	batcher *Batcher
	waiting []simPress
	// arrivals wait for the gate, or for a process that is paused.
	arrivals []simPress
}

type simPress struct {
	key     Key
	request Request
	arrived time.Duration
}

// simSend is a request under way to the agent of its key's ticket.
type simSend struct {
	*simTicket
	press simPress
}

type simTicket struct {
	key     Key
	arrived time.Duration
	expiry  time.Duration
	void    bool
	ran     bool
}

func newEntry() *simEntry {
	return &simEntry{fold: New(), ages: NewAges(hold), batcher: NewBatcher(3, toldFor/2)}
}

func (w *world) proven(e *simEntry) bool {
	return e.fold.Proven(w.wall(), hold, margin)
}

func (w *world) wall() int64 { return (w.now + 1000*time.Hour).Milliseconds() }

// press is one request under a key, at an entry.
func (w *world) press(t *rapid.T, e *simEntry, p simPress) {
	if w.use(t, e, p) || !w.proven(e) {
		return
	}
	if verdict, _ := e.fold.Room().Ask(Customer{p.key[0]}, 0); verdict != Free {
		return
	}
	// The ticket was minted in the first half of its block's life.
	ticket := &simTicket{key: p.key, arrived: p.arrived, expiry: w.now + hold}
	name := &api.Ticket{Seq: uint32(len(w.tickets)), AgentVm: "vm", Customer: p.key[:1]}
	if e.batcher.Add(w.now, p.arrived, p.key, p.request, name) == nil {
		w.tickets = append(w.tickets, ticket)
		e.waiting = append(e.waiting, p)
	}
}

// use sends a request under the ticket that its key is bound to, if the entry knows it.
func (w *world) use(t *rapid.T, e *simEntry, p simPress) bool {
	b, ok := e.fold.Get(p.key)
	if !ok {
		return false
	}
	if b.Unsure || !w.proven(e) || b.Request != p.request || !b.Current(w.wall(), hold-toldFor/2, margin) {
		return true
	}
	ticket, err := b.OpenTicket()
	if err != nil {
		t.Fatal(err)
	}
	if w.tickets[ticket.GetSeq()].key != p.key {
		t.Fatal("a key is bound to the ticket of another one")
	}
	w.sends = append(w.sends, simSend{w.tickets[ticket.GetSeq()], p})
	return true
}

func (w *world) take(t *rapid.T, e *simEntry, beat bool) {
	batch, _, ok := e.batcher.Take(w.now, 0, beat)
	if !ok {
		return
	}
	data, err := Record(batch, e.fold.Next(), e.ages.Released(w.now), w.wall())
	if err != nil {
		t.Fatal(err)
	}
	w.flights = append(w.flights, &flight{data: data})
}

func (w *world) read(t *rapid.T, e *simEntry, limit int) {
	if e.fold.Next() < w.first {
		e.fold.Restart(w.first)
		e.batcher.Clear()
		e.waiting = nil
	}
	for n := e.fold.Next(); n < int64(len(w.records)) && limit > 0; n++ {
		keys, err := e.fold.Apply(n, w.records[n].data)
		if err != nil {
			t.Fatal(err)
		}
		for _, key := range keys {
			e.batcher.Drop(key)
		}
		limit--
	}
	e.ages.Saw(w.now, e.fold.Next()-1)
	var rest []simPress
	for _, p := range e.waiting {
		if !w.use(t, e, p) {
			rest = append(rest, p)
		}
	}
	e.waiting = rest
}

// land lets an append stand in the stream.
func (w *world) land(i int) {
	w.records = append(w.records, record{w.flights[i].data, w.now})
	w.flights = slices.Delete(w.flights, i, i+1)
}

func (w *world) deliverNewest() {
	if n := len(w.sends); n > 0 {
		w.deliver(w.sends[n-1])
	}
}

// deliver is the agent's decision on a ticket.
func (w *world) deliver(s simSend) {
	switch {
	case s.ran:
	case s.void || w.now >= s.expiry:
		s.void = true
		w.notRun[s.key] = append(w.notRun[s.key], s)
	default:
		s.ran = true
		w.ran[s.key] = append(w.ran[s.key], s.simTicket)
	}
}

// checkTold: who was told "not run" has not run, not by an earlier request either of
// which this one was a retry in good time.
func (w *world) checkTold(t *rapid.T) {
	for key, all := range w.notRun {
		for _, told := range all {
			for _, ran := range w.ran[key] {
				since := told.press.arrived - ran.arrived
				if ran != told.simTicket && since >= 0 && since < toldFor {
					t.Fatalf("told \"not run\" at a retry %v after a request that runs", since)
				}
			}
		}
	}
}

// check: a key runs again only for a request that arrived after the time that callers
// were told, counted from the request that it was first bound for.
func (w *world) check(t *rapid.T) {
	w.checkTold(t)
	for _, all := range w.ran {
		for i, a := range all {
			for _, b := range all[:i] {
				if gap := a.arrived - b.arrived; gap > -toldFor && gap < toldFor {
					t.Fatalf("a key ran twice, for requests that arrived %v apart", gap)
				}
			}
		}
	}
	for i, a := range w.entries {
		checkCounts(t, a.fold)
		for _, b := range w.entries[:i] {
			w.checkSame(t, a, b)
		}
	}
}

// checkCounts: the room of a fold counts what the fold holds.
func checkCounts(t *rapid.T, f *Fold) {
	counts := map[Customer]int{}
	for _, b := range f.bindings {
		counts[b.Customer]++
	}
	if !maps.Equal(counts, f.room.held) || f.room.total != len(f.bindings) || len(f.ends) > len(counts) {
		t.Fatalf("%v are counted, and %v held", f.room.held, counts)
	}
}

// checkSame: two folds at one offset that are sure of a key agree on its ticket.
func (w *world) checkSame(t *rapid.T, a, b *simEntry) {
	if a.fold.Next() != b.fold.Next() || !w.proven(a) || !w.proven(b) {
		return
	}
	for key, one := range a.fold.bindings {
		other, ok := b.fold.bindings[key]
		if ok && !one.Unsure && !other.Unsure && one.Ticket != other.Ticket {
			t.Fatal("two folds of the same records bind a key to two tickets")
		}
	}
}

// Till apps press under few keys through three entries at once. Appends land late, in
// another order, after their entry was replaced, or never, and their answers are lost;
// entries lag past what the stream keeps, agents refuse and die, and each entry refuses
// other keys for want of room. A key runs once in the time that callers were told.
func TestAKeyRunsOnceProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{ran: map[Key][]*simTicket{}, notRun: map[Key][]simSend{}}
		w.retention = rapid.SampledFrom([]time.Duration{toldFor / 5, hold, 2 * hold}).Draw(t, "retention")
		for range 3 {
			w.entries = append(w.entries, newEntry())
		}
		entry := func(t *rapid.T) *simEntry { return rapid.SampledFrom(w.entries).Draw(t, "entry") }
		pick := func(t *rapid.T, n int) int {
			if n == 0 {
				t.Skip("none")
			}
			return rapid.IntRange(0, n-1).Draw(t, "which")
		}
		press := func(t *rapid.T) simPress {
			return simPress{key: Key{rapid.ByteRange(0, 1).Draw(t, "key")}, request: Request{rapid.ByteRange(0, 9).Draw(t, "request") / 9}, arrived: w.now}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) { e := entry(t); e.arrivals = append(e.arrivals, press(t)) },
			"press": func(t *rapid.T) {
				e := entry(t)
				for _, p := range e.arrivals {
					w.press(t, e, p)
				}
				e.arrivals = nil
			},
			"press and go on": func(t *rapid.T) {
				e := entry(t)
				w.press(t, e, press(t))
				w.take(t, e, false)
			},
			"take": func(t *rapid.T) { w.take(t, entry(t), false) },
			"beat": func(t *rapid.T) { w.take(t, entry(t), true) },
			"land": func(t *rapid.T) { w.land(pick(t, len(w.flights))) },
			"land all": func(*rapid.T) {
				for len(w.flights) > 0 {
					w.land(0)
				}
			},
			"lose": func(t *rapid.T) { i := pick(t, len(w.flights)); w.flights = slices.Delete(w.flights, i, i+1) },
			"done": func(*rapid.T) {
				for _, e := range w.entries {
					e.batcher.Done()
				}
			},
			"read": func(t *rapid.T) { w.read(t, entry(t), rapid.IntRange(1, 4).Draw(t, "limit")) },
			"read all": func(t *rapid.T) {
				e := entry(t)
				w.read(t, e, len(w.records))
				w.deliverNewest()
			},
			"replace":        func(t *rapid.T) { w.entries[pick(t, len(w.entries))] = newEntry() },
			"deliver":        func(t *rapid.T) { w.deliver(w.sends[pick(t, len(w.sends))]) },
			"deliver newest": func(*rapid.T) { w.deliverNewest() },
			"void":           func(t *rapid.T) { s := w.sends[pick(t, len(w.sends))]; s.void = !s.ran || s.void },
			"pass":           func(t *rapid.T) { w.now += time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second },
			"pass long":      func(t *rapid.T) { w.now += time.Duration(rapid.IntRange(1, 250).Draw(t, "s")) * time.Second },
			"expire": func(*rapid.T) {
				for w.first < int64(len(w.records)) && w.now-w.records[w.first].at > w.retention {
					w.first++
				}
			},
			// Each entry has room and shares of its own: no two judge alike.
			"room": func(t *rapid.T) {
				f := entry(t).fold
				f.room.size = rapid.SampledFrom([]int{1, 2, MaxHeld}).Draw(t, "size")
				f.room.SetShares(equal(rapid.ByteRange(1, 3).Draw(t, "customers")))
			},
			"": w.check,
		})
	})
}
