package mapswitch

import (
	"testing"
	"time"
)

// The previous coordinator is still at work: it has prepared and held, arms all ranks and releases
// the hold. A new coordinator reads rank 2 before that, rank 0 in the middle and rank 1 after it.
// Rank 1 looks like the only one armed, for a map that rank 2 lacks. If it were disarmed, it would
// begin pass 33 with the old map, and callers would get wrong output that looks complete.
func TestNoRankIsDisarmedBeforeAllAreClaimed(t *testing.T) {
	held := int64(33)
	read := []Status{
		{Epoch: 1, Step: 30, Prepared: 513, Held: &held},
		{Epoch: 1, Step: 30, Prepared: 513, Armed: &Arming{Version: 513, Step: 33}},
		{Epoch: 1, Step: 30},
	}
	m := New(Config{})
	d := m.Decide(0, read, 769)
	if len(d.Orders) != len(read) || !d.InProgress {
		t.Fatalf("the first decision is %+v", d)
	}
	for rank, o := range d.Orders {
		if o.Kind != Claim || o.Rank != rank || o.Epoch != 1 {
			t.Errorf("the first orders are %+v", d.Orders)
		}
	}
	m.ClaimAccepted(0, 1)
	m.ClaimAccepted(1, 1)
	if d := m.Decide(m.cfg.RetryInterval, read, 769); len(d.Orders) != 1 || d.Orders[0].Kind != Claim || d.Orders[0].Rank != 2 {
		t.Errorf("with one rank not claimed yet: %+v", d.Orders)
	}
	m.ClaimAccepted(2, 1)
	armed := Status{Epoch: 1, Step: 31, Prepared: 513, Armed: &Arming{Version: 513, Step: 33}}
	if d := m.Decide(m.cfg.RetryInterval, []Status{armed, armed, armed}, 769); len(d.Orders) != 0 || !d.InProgress {
		t.Errorf("all armed and hold released: %+v", d)
	}
	// The group has restarted in a new epoch, in which its ranks have no fence yet.
	if d := m.Decide(m.cfg.RetryInterval, []Status{{Epoch: 2}, {Epoch: 2}, {Epoch: 2}}, 769); len(d.Orders) != 3 || d.Orders[0].Kind != Claim {
		t.Errorf("in a new epoch: %+v", d.Orders)
	}
}

// One of two ranks does not answer the order to arm it, and reports that it is not armed. Since the
// group is held, the order is sent again at once and not only after the retry interval.
func TestAnUnansweredOrderIsGivenAgain(t *testing.T) {
	held := int64(33)
	armed := &Arming{Version: 513, Step: held}
	m := New(Config{})
	m.ClaimAccepted(0, 1)
	m.ClaimAccepted(1, 1)
	ready := Status{Epoch: 1, Step: 30, Prepared: 513}
	holder := ready
	holder.Held = &held
	first := m.Decide(0, []Status{holder, ready}, 513)
	if len(first.Orders) != 2 || first.Orders[1].Kind != Arm {
		t.Fatalf("held and not armed: %+v", first.Orders)
	}
	holder.Armed = armed
	if d := m.Decide(1, []Status{holder, ready}, 513); len(d.Orders) != 0 {
		t.Errorf("while the answer may come: %+v", d.Orders)
	}
	m.OrderUnanswered(first.Orders[1])
	if d := m.Decide(2, []Status{holder, ready}, 513); len(d.Orders) != 1 || d.Orders[0] != first.Orders[1] {
		t.Errorf("after no answer: %+v", d.Orders)
	}
}

// Passes take most of a second, because one rank is many times slower. The group must be held at
// the next pass, so that it doesn't run a second such pass with the old map.
func TestALongPassIsNotWaitedForTwice(t *testing.T) {
	ready := Status{Epoch: 1, Step: 30, Prepared: 513}
	for pass, want := range map[time.Duration]int64{0: 32, 60 * time.Millisecond: 32, 700 * time.Millisecond: 31} {
		m := New(Config{})
		m.ClaimAccepted(0, 1)
		m.SetPassTime(pass)
		d := m.Decide(0, []Status{ready}, 513)
		if len(d.Orders) != 1 || d.Orders[0].Kind != Hold || d.Orders[0].Step != want {
			t.Errorf("passes of %v: %+v", pass, d.Orders)
		}
	}
}

// The order to hold the group arrives after its pass has begun, as in a group so large that its
// reports take as long as two passes. It is sent again at once for a later pass.
func TestARefusedHoldIsSentAgainForALaterPass(t *testing.T) {
	m := New(Config{})
	m.ClaimAccepted(0, 1)
	ready := Status{Epoch: 1, Step: 30, Prepared: 513}
	first := m.Decide(0, []Status{ready}, 513)
	if len(first.Orders) != 1 || first.Orders[0].Kind != Hold {
		t.Fatalf("all prepared: %+v", first.Orders)
	}
	ready.Step = 33
	if d := m.Decide(1, []Status{ready}, 513); len(d.Orders) != 0 {
		t.Errorf("while the answer may come: %+v", d.Orders)
	}
	m.HoldRefused(first.Orders[0])
	if d := m.Decide(2, []Status{ready}, 513); len(d.Orders) != 1 || d.Orders[0].Kind != Hold || d.Orders[0].Step != 35 {
		t.Errorf("after the refusal: %+v", d.Orders)
	}
}
