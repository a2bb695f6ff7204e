package ticket

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricothub/apricothub/api"
)

// The fixed seed makes runs repeatable; -rapid.seed, -rapid.checks and -rapid.steps on the
// command line override these values.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.steps", "100")
}

// world models one VM, whose agent may be replaced, and callers whose requests arrive in any
// order, any number of times and at any time.
type world struct {
	ledger      *Ledger
	minter      *Minter
	now         time.Duration
	incarnation int
	tickets     []*api.Ticket
	// ran counts the runs that reached the backend server, by ticket and by request.
	ran map[string]int
	// toldNotRun holds tickets for which a caller was told "not run".
	toldNotRun map[string]bool
	// startedRuns holds the runs that this incarnation has begun and not ended, by ticket.
	startedRuns map[string]*startedRun
}

// startedRun is a request that the ledger let run. It may still be queued in the agent.
type startedRun struct {
	request byte
	sent    bool
}

func (w *world) restart() {
	w.incarnation++
	name := fmt.Sprintf("i%d", w.incarnation)
	w.ledger = NewLedger(testVM, name, []byte(name), testLimits)
	w.now = 0
	w.startedRuns = map[string]*startedRun{}
}

// checkRefusal checks the ran value of a refusal against what has run so far.
func (w *world) checkRefusal(t *rapid.T, id string, request byte, d Decision) {
	if d.Action != Refuse {
		return
	}
	switch d.Ran {
	case api.Ran_RAN_NO:
		w.toldNotRun[id] = true
	case api.Ran_RAN_YES:
		if w.ran[fmt.Sprint(id, request)] != 1 {
			t.Fatalf("%s: %v says that the request ran, but the backend server did not run it once", id, d.Code)
		}
	case api.Ran_RAN_UNSPECIFIED:
		t.Fatalf("%s: %v does not say whether the request ran", id, d.Code)
	}
}

// A request may be duplicated, reordered, delivered after it was settled, and presented to a
// replaced agent. In any order, the backend server must run each ticket at most once, and no
// request may run for which a caller was told "not run".
func TestAtMostOnceProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{minter: NewMinter(), ran: map[string]int{}, toldNotRun: map[string]bool{}}
		w.restart()
		pick := func(t *rapid.T) (*api.Ticket, string) {
			if len(w.tickets) == 0 {
				t.Skip("no ticket yet")
			}
			tk := rapid.SampledFrom(w.tickets).Draw(t, "ticket")
			return tk, Encode(tk)
		}
		t.Repeat(map[string]func(*rapid.T){
			"grant": func(*rapid.T) { w.minter.Add(w.now, w.ledger.Grant(w.now)) },
			"mint": func(t *rapid.T) {
				if tk, ok := w.minter.Mint(w.now, testVM, testCustomer); ok {
					w.tickets = append(w.tickets, tk)
				}
			},
			"begin": func(t *rapid.T) {
				tk, id := pick(t)
				request := rapid.ByteRange(0, 1).Draw(t, "request")
				d := w.ledger.Begin(w.now, tk, testCustomer, [32]byte{request}, id+fmt.Sprint(request))
				if d.Action == Run {
					w.startedRuns[id] = &startedRun{request: request}
				}
				if d.Action == Join && d.AnswerID != id+fmt.Sprint(request) {
					t.Fatalf("joined the answer of another request: %q", d.AnswerID)
				}
				w.checkRefusal(t, id, request, d)
			},
			"void": func(t *rapid.T) {
				tk, id := pick(t)
				w.checkRefusal(t, id, 0, w.ledger.Void(w.now, tk, testCustomer, [32]byte{0}, api.ResultCode_DRAINING))
			},
			"settle": func(t *rapid.T) {
				tk, id := pick(t)
				d := w.ledger.Settle(w.now, tk, testCustomer)
				if d.Action == Refuse && d.Ran == api.Ran_RAN_YES && w.ran[id] != 1 {
					t.Fatalf("%s: settled as run, but it did not run once", id)
				}
				if d.Action == Refuse && d.Ran == api.Ran_RAN_NO {
					w.toldNotRun[id] = true
				}
			},
			"send": func(t *rapid.T) {
				_, id := pick(t)
				if b := w.startedRuns[id]; b != nil && !b.sent {
					b.sent = true
					w.ran[id]++
					w.ran[fmt.Sprint(id, b.request)]++
				}
			},
			"abandon": func(t *rapid.T) {
				tk, id := pick(t)
				if b := w.startedRuns[id]; b != nil && !b.sent {
					w.ledger.Abandon(tk)
					delete(w.startedRuns, id)
					w.toldNotRun[id] = true
				}
			},
			"end": func(t *rapid.T) {
				tk, id := pick(t)
				if b := w.startedRuns[id]; b != nil && b.sent {
					w.ledger.RecordOutcome(tk, api.Ran_RAN_YES)
					delete(w.startedRuns, id)
				}
			},
			"forget":  func(t *rapid.T) { tk, _ := pick(t); w.ledger.ForgetAnswer(tk) },
			"restart": func(*rapid.T) { w.restart() },
			"drop":    func(*rapid.T) { w.minter.Drop(testVM) },
			"pass":    func(t *rapid.T) { w.now += time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second },
			"": func(t *rapid.T) {
				for id := range w.toldNotRun {
					if w.ran[id] != 0 {
						t.Fatalf("%s: ran, but a caller was told that it did not", id)
					}
				}
				for _, tk := range w.tickets {
					if id := Encode(tk); w.ran[id] > 1 {
						t.Fatalf("%s: ran %d times", id, w.ran[id])
					}
				}
				if s := w.ledger.Stats(); s.Blocks > testLimits.MaxBlocks {
					t.Fatalf("%d blocks held, the limit is %d", s.Blocks, testLimits.MaxBlocks)
				}
			},
		})
	})
}
