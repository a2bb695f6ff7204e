package ticket

import (
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
)

const (
	testVM       = "vm-a"
	testCustomer = "harbor"
)

var (
	testKey    = []byte("a key of one incarnation of agent")
	push       = [32]byte{1}
	otherPush  = [32]byte{2}
	testLimits = Limits{BlockSize: 4, Lifetime: time.Minute, MaxBlocks: 2, MaxAnswersGone: 2}
)

func newLedgerAndMinter(limits Limits) (*Ledger, *Minter) {
	l := NewLedger(testVM, "i1", testKey, limits)
	m := NewMinter()
	m.Add(0, l.Grant(0))
	return l, m
}

func mint(t *testing.T, m *Minter, now time.Duration) *api.Ticket {
	t.Helper()
	tk, ok := m.Mint(now, testVM, testCustomer)
	if !ok {
		t.Fatal("no ticket")
	}
	return tk
}

func wantDecision(t *testing.T, d Decision, action Action, code api.ResultCode, ran api.Ran) {
	t.Helper()
	if d.Action != action || d.Code != code || d.Ran != ran {
		t.Fatalf("decision = %+v, want %v %v %v", d, action, code, ran)
	}
}

// A caller sends one price push twice, the second time through another entry. The first copy
// runs; the second must join the same answer, during the run and after it, and must be told
// that the request ran once the answer is gone.
func TestBeginOnce(t *testing.T) {
	l, m := newLedgerAndMinter(testLimits)
	tk := mint(t, m, 0)
	d := l.Begin(0, tk, testCustomer, push, "a1")
	wantDecision(t, d, Run, 0, 0)
	d = l.Begin(0, tk, testCustomer, push, "a2")
	wantDecision(t, d, Join, 0, 0)
	if d.AnswerID != "a1" {
		t.Fatalf("joined %q, want the first answer", d.AnswerID)
	}
	wantDecision(t, l.Begin(0, tk, testCustomer, otherPush, "a3"), Refuse, api.ResultCode_TICKET_REUSED, api.Ran_RAN_UNKNOWN)
	l.RecordOutcome(tk, api.Ran_RAN_YES)
	wantDecision(t, l.Begin(2*time.Minute, tk, testCustomer, push, "a4"), Join, 0, 0)
	l.ForgetAnswer(tk)
	wantDecision(t, l.Begin(2*time.Minute, tk, testCustomer, push, "a5"), Refuse, api.ResultCode_RAN_ANSWER_GONE, api.Ran_RAN_YES)
	wantDecision(t, l.Begin(0, tk, testCustomer, otherPush, "a6"), Refuse, api.ResultCode_TICKET_REUSED, api.Ran_RAN_UNKNOWN)
}

// The backend server closes the connection without an answer, and the answer's record is
// discarded. The request may have run or not, so the caller must be told that the outcome is
// unknown.
func TestUnknownOutcomeWhenAnswerIsGone(t *testing.T) {
	for _, ended := range []api.Ran{api.Ran_RAN_UNSPECIFIED, api.Ran_RAN_UNKNOWN} {
		l, m := newLedgerAndMinter(testLimits)
		tk := mint(t, m, 0)
		wantDecision(t, l.Begin(0, tk, testCustomer, push, "a1"), Run, 0, 0)
		if ended != api.Ran_RAN_UNSPECIFIED {
			l.RecordOutcome(tk, ended)
		}
		l.ForgetAnswer(tk)
		wantDecision(t, l.Begin(0, tk, testCustomer, push, "a2"), Refuse, api.ResultCode_OUTCOME_UNKNOWN, api.Ran_RAN_UNKNOWN)
	}
}

// The request is dropped from the agent's queue, so nothing was sent, and the caller is told
// "not run". A copy that arrives later must not run. A ticket whose run has ended cannot be
// voided any more.
func TestAbandonedTicketNeverRuns(t *testing.T) {
	l, m := newLedgerAndMinter(testLimits)
	queued, ran := mint(t, m, 0), mint(t, m, 0)
	wantDecision(t, l.Begin(0, queued, testCustomer, push, "a1"), Run, 0, 0)
	l.RecordOutcome(queued, api.Ran_RAN_NO)
	wantDecision(t, l.Begin(0, queued, testCustomer, push, "a2"), Refuse, api.ResultCode_TICKET_VOID, api.Ran_RAN_NO)
	wantDecision(t, l.Begin(0, ran, testCustomer, push, "a3"), Run, 0, 0)
	l.RecordOutcome(ran, api.Ran_RAN_YES)
	l.Abandon(ran)
	wantDecision(t, l.Begin(0, ran, testCustomer, push, "a4"), Join, 0, 0)
}

// A draining agent tells the caller "not run". A copy of the request that was delayed in an
// unresponsive link arrives afterwards and must not run.
func TestVoidBeforeNotRun(t *testing.T) {
	l, m := newLedgerAndMinter(testLimits)
	tk := mint(t, m, 0)
	wantDecision(t, l.Void(0, tk, testCustomer, push, api.ResultCode_DRAINING), Refuse, api.ResultCode_DRAINING, api.Ran_RAN_NO)
	wantDecision(t, l.Begin(0, tk, testCustomer, push, "a1"), Refuse, api.ResultCode_TICKET_VOID, api.Ran_RAN_NO)
}

// The agent starts to drain while the request runs. A retry must join the run, because "not
// run" would make the caller push the price again.
func TestVoidOfUsed(t *testing.T) {
	l, m := newLedgerAndMinter(testLimits)
	tk := mint(t, m, 0)
	wantDecision(t, l.Begin(0, tk, testCustomer, push, "a1"), Run, 0, 0)
	wantDecision(t, l.Void(0, tk, testCustomer, push, api.ResultCode_DRAINING), Join, 0, 0)
	wantDecision(t, l.Void(0, tk, testCustomer, otherPush, api.ResultCode_DRAINING), Refuse, api.ResultCode_TICKET_REUSED, api.Ran_RAN_UNKNOWN)
}

// The caller asks for the outcome of its request, is told "not run", and pushes again with a
// new ticket. The first copy, delayed in an unresponsive link, arrives after that and must not
// run.
func TestSettledTicketNeverRuns(t *testing.T) {
	l, m := newLedgerAndMinter(testLimits)
	unseen, ran := mint(t, m, 0), mint(t, m, 0)
	wantDecision(t, l.Settle(0, unseen, testCustomer), Refuse, api.ResultCode_TICKET_VOID, api.Ran_RAN_NO)
	wantDecision(t, l.Begin(0, unseen, testCustomer, push, "a1"), Refuse, api.ResultCode_TICKET_VOID, api.Ran_RAN_NO)
	wantDecision(t, l.Begin(0, ran, testCustomer, push, "a2"), Run, 0, 0)
	if d := l.Settle(0, ran, testCustomer); d.Action != Join || d.AnswerID != "a2" {
		t.Fatalf("settle = %+v, want to join a2", d)
	}
}

// Each case is a ticket that was altered, or that the ledger did not grant to this caller.
func TestRefusesForeignAndAlteredTickets(t *testing.T) {
	cases := map[string]struct {
		alter    func(*api.Ticket)
		customer string
		code     api.ResultCode
		ran      api.Ran
	}{
		"mac":               {func(tk *api.Ticket) { tk.Mac[0] ^= 1 }, testCustomer, api.ResultCode_TICKET_INVALID, api.Ran_RAN_NO},
		"seq":               {func(tk *api.Ticket) { tk.Seq++ }, testCustomer, api.ResultCode_TICKET_INVALID, api.Ran_RAN_NO},
		"seq past block":    {func(tk *api.Ticket) { tk.Seq = 1 << 30 }, testCustomer, api.ResultCode_TICKET_INVALID, api.Ran_RAN_NO},
		"block":             {func(tk *api.Ticket) { tk.Block = 7 }, testCustomer, api.ResultCode_TICKET_INVALID, api.Ran_RAN_NO},
		"expiry":            {func(tk *api.Ticket) { tk.ExpiryMs++ }, testCustomer, api.ResultCode_TICKET_INVALID, api.Ran_RAN_NO},
		"customer":          {func(tk *api.Ticket) { tk.Customer = CustomerDigest("x") }, "x", api.ResultCode_TICKET_INVALID, api.Ran_RAN_NO},
		"other customer":    {func(*api.Ticket) {}, "x", api.ResultCode_TICKET_FOREIGN, api.Ran_RAN_UNKNOWN},
		"other vm":          {func(tk *api.Ticket) { tk.AgentVm = "vm-b" }, testCustomer, api.ResultCode_TICKET_FOREIGN, api.Ran_RAN_UNKNOWN},
		"other incarnation": {func(tk *api.Ticket) { tk.Incarnation = "i0" }, testCustomer, api.ResultCode_OUTCOME_UNKNOWN, api.Ran_RAN_UNKNOWN},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l, m := newLedgerAndMinter(testLimits)
			tk := mint(t, m, 0)
			c.alter(tk)
			wantDecision(t, l.Begin(0, tk, c.customer, push, "a1"), Refuse, c.code, c.ran)
			wantDecision(t, l.Void(0, tk, c.customer, push, api.ResultCode_DRAINING), Refuse, c.code, c.ran)
			wantDecision(t, l.Settle(0, tk, c.customer), Refuse, c.code, c.ran)
		})
	}
}

func TestNilTicket(t *testing.T) {
	l, _ := newLedgerAndMinter(testLimits)
	wantDecision(t, l.Begin(0, nil, testCustomer, push, "a1"), Refuse, api.ResultCode_TICKET_FOREIGN, api.Ran_RAN_UNKNOWN)
}

func TestExpiry(t *testing.T) {
	l, m := newLedgerAndMinter(testLimits)
	late, asked, drained := mint(t, m, 0), mint(t, m, 0), mint(t, m, 0)
	wantDecision(t, l.Begin(time.Minute, late, testCustomer, push, "a1"), Refuse, api.ResultCode_TICKET_EXPIRED, api.Ran_RAN_NO)
	wantDecision(t, l.Begin(time.Minute, late, testCustomer, push, "a1"), Refuse, api.ResultCode_TICKET_VOID, api.Ran_RAN_NO)
	wantDecision(t, l.Settle(time.Minute, asked, testCustomer), Refuse, api.ResultCode_TICKET_EXPIRED, api.Ran_RAN_NO)
	wantDecision(t, l.Void(time.Minute, drained, testCustomer, push, api.ResultCode_COLD), Refuse, api.ResultCode_TICKET_EXPIRED, api.Ran_RAN_NO)
}

// The ledger drops its oldest expired block to grant a new one. It then cannot tell whether a
// ticket of the dropped block was used, so it must say neither "not run" nor "ran", and run
// none of them.
func TestBlockLimit(t *testing.T) {
	l, m := newLedgerAndMinter(testLimits)
	ran, unseen := mint(t, m, 0), mint(t, m, 0)
	wantDecision(t, l.Begin(0, ran, testCustomer, push, "a1"), Run, 0, 0)
	if l.Grant(0) == nil {
		t.Fatal("no second block within the limit")
	}
	if l.Grant(0) != nil {
		t.Fatal("a block past the limit while the oldest has not expired")
	}
	if l.Grant(time.Minute) == nil {
		t.Fatal("no block although the oldest has expired")
	}
	for _, tk := range []*api.Ticket{ran, unseen} {
		wantDecision(t, l.Begin(time.Minute, tk, testCustomer, push, "a2"), Refuse, api.ResultCode_TICKET_UNKNOWN, api.Ran_RAN_UNKNOWN)
		wantDecision(t, l.Settle(time.Minute, tk, testCustomer), Refuse, api.ResultCode_TICKET_UNKNOWN, api.Ran_RAN_UNKNOWN)
		wantDecision(t, l.Void(time.Minute, tk, testCustomer, push, api.ResultCode_COLD), Refuse, api.ResultCode_TICKET_UNKNOWN, api.Ran_RAN_UNKNOWN)
	}
	if s := l.Stats(); s.Blocks != 2 || s.Bindings != 0 || s.Granted != 3 || s.Forgotten != 1 || s.Used != 1 {
		t.Fatalf("stats = %+v", s)
	}
}

func TestAnswersGoneLimit(t *testing.T) {
	l, m := newLedgerAndMinter(testLimits)
	var used []*api.Ticket
	for range testLimits.MaxAnswersGone + 1 {
		tk := mint(t, m, 0)
		wantDecision(t, l.Begin(0, tk, testCustomer, push, "a"), Run, 0, 0)
		l.RecordOutcome(tk, api.Ran_RAN_YES)
		l.ForgetAnswer(tk)
		used = append(used, tk)
	}
	wantDecision(t, l.Begin(0, used[0], testCustomer, push, "b"), Refuse, api.ResultCode_TICKET_UNKNOWN, api.Ran_RAN_UNKNOWN)
	wantDecision(t, l.Begin(0, used[1], testCustomer, push, "b"), Refuse, api.ResultCode_RAN_ANSWER_GONE, api.Ran_RAN_YES)
}
