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

// simulation models one VM, whose agent may be replaced, and callers whose requests arrive in
// any order, any number of times and at any time.
type simulation struct {
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

func (sim *simulation) restart() {
	sim.incarnation++
	name := fmt.Sprintf("i%d", sim.incarnation)
	sim.ledger = NewLedger(testVM, name, []byte(name), testLimits)
	sim.now = 0
	sim.startedRuns = map[string]*startedRun{}
}

// checkRefusal checks the ran value of a refusal against what has run so far.
func (sim *simulation) checkRefusal(t *rapid.T, id string, request byte, d Decision) {
	if d.Action != Refuse {
		return
	}
	switch d.Ran {
	case api.Ran_RAN_NO:
		sim.toldNotRun[id] = true
	case api.Ran_RAN_YES:
		if sim.ran[fmt.Sprint(id, request)] != 1 {
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
		sim := &simulation{minter: NewMinter(), ran: map[string]int{}, toldNotRun: map[string]bool{}}
		sim.restart()
		pick := func(t *rapid.T) (*api.Ticket, string) {
			if len(sim.tickets) == 0 {
				t.Skip("no ticket yet")
			}
			tk := rapid.SampledFrom(sim.tickets).Draw(t, "ticket")
			return tk, Encode(tk)
		}
		t.Repeat(map[string]func(*rapid.T){
			"grant": func(*rapid.T) { sim.minter.Add(sim.now, sim.ledger.Grant(sim.now)) },
			"mint": func(t *rapid.T) {
				if tk, ok := sim.minter.Mint(sim.now, testVM, testCustomer); ok {
					sim.tickets = append(sim.tickets, tk)
				}
			},
			"begin": func(t *rapid.T) {
				tk, id := pick(t)
				request := rapid.ByteRange(0, 1).Draw(t, "request")
				d := sim.ledger.Begin(sim.now, tk, testCustomer, [32]byte{request}, id+fmt.Sprint(request))
				if d.Action == Run {
					sim.startedRuns[id] = &startedRun{request: request}
				}
				if d.Action == Join && d.AnswerID != id+fmt.Sprint(request) {
					t.Fatalf("joined the answer of another request: %q", d.AnswerID)
				}
				sim.checkRefusal(t, id, request, d)
			},
			"void": func(t *rapid.T) {
				tk, id := pick(t)
				sim.checkRefusal(t, id, 0, sim.ledger.Void(sim.now, tk, testCustomer, [32]byte{0}, api.ResultCode_DRAINING))
			},
			"settle": func(t *rapid.T) {
				tk, id := pick(t)
				d := sim.ledger.Settle(sim.now, tk, testCustomer)
				if d.Action == Refuse && d.Ran == api.Ran_RAN_YES && sim.ran[id] != 1 {
					t.Fatalf("%s: settled as run, but it did not run once", id)
				}
				if d.Action == Refuse && d.Ran == api.Ran_RAN_NO {
					sim.toldNotRun[id] = true
				}
			},
			"send": func(t *rapid.T) {
				_, id := pick(t)
				if b := sim.startedRuns[id]; b != nil && !b.sent {
					b.sent = true
					sim.ran[id]++
					sim.ran[fmt.Sprint(id, b.request)]++
				}
			},
			"abandon": func(t *rapid.T) {
				tk, id := pick(t)
				if b := sim.startedRuns[id]; b != nil && !b.sent {
					sim.ledger.Abandon(tk)
					delete(sim.startedRuns, id)
					sim.toldNotRun[id] = true
				}
			},
			"end": func(t *rapid.T) {
				tk, id := pick(t)
				if b := sim.startedRuns[id]; b != nil && b.sent {
					sim.ledger.RecordOutcome(tk, api.Ran_RAN_YES)
					delete(sim.startedRuns, id)
				}
			},
			"forget":  func(t *rapid.T) { tk, _ := pick(t); sim.ledger.ForgetAnswer(tk) },
			"restart": func(*rapid.T) { sim.restart() },
			"drop":    func(*rapid.T) { sim.minter.Drop(testVM) },
			"pass":    func(t *rapid.T) { sim.now += time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second },
			"": func(t *rapid.T) {
				for id := range sim.toldNotRun {
					if sim.ran[id] != 0 {
						t.Fatalf("%s: ran, but a caller was told that it did not", id)
					}
				}
				for _, tk := range sim.tickets {
					if id := Encode(tk); sim.ran[id] > 1 {
						t.Fatalf("%s: ran %d times", id, sim.ran[id])
					}
				}
				if s := sim.ledger.Stats(); s.Blocks > testLimits.MaxBlocks {
					t.Fatalf("%d blocks held, the limit is %d", s.Blocks, testLimits.MaxBlocks)
				}
			},
		})
	})
}
