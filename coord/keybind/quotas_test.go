package keybind

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricothub/apricothub/api"
)

// equalShares gives customers 1 to n equalShares shares.
func equalShares(n byte) map[Customer]float64 {
	shares := map[Customer]float64{}
	for c := range n {
		shares[Customer{c + 1}] = 1 / float64(n)
	}
	return shares
}

// fill lets a customer take places until it is refused.
func fill(q *Quotas, c Customer) int {
	n := 0
	for verdict, _ := q.Check(c, 0); verdict == Allowed; verdict, _ = q.Check(c, 0) {
		q.adjust(c, 1)
		n++
	}
	return n
}

// Two customers press for all they can get, one after the other. The first is lent most
// of what is free; as places come free, as many as are taken in a time of holding and
// again, the two come to equal parts.
func TestQuotasLendFairly(t *testing.T) {
	q, loud, second := NewQuotas(10_000), Customer{1}, Customer{2}
	q.SetShares(equalShares(10))
	if got := fill(q, loud); got != 500+4000 {
		t.Errorf("one alone has %d places", got)
	}
	for range 2000 {
		fill(q, second)
		q.adjust(loud, -10)
		q.adjust(second, -10)
		fill(q, second)
		fill(q, loud)
	}
	if first, other := q.Held(loud), q.Held(second); max(first, other)-min(first, other) > first/20 {
		t.Errorf("%d and %d places", first, other)
	}
}

// Customers of random shares take and give back places in any order, and the shares
// change. One below its own part is never refused while shares stand; what is lent is
// never more than there is to lend, and never less of a customer's places must come free
// than let it have another one.
func TestRoomProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 60
		q := NewQuotas(limit)
		q.SetShares(equalShares(4))
		customer := func() Customer { return Customer{rapid.ByteRange(1, 6).Draw(t, "customer")} }
		changed := false
		t.Repeat(map[string]func(*rapid.T){
			"take": func(*rapid.T) {
				c := customer()
				verdict, n := q.Check(c, 0)
				if verdict != Allowed && q.Held(c) < q.Guaranteed(c) && !changed {
					t.Fatalf("refused at %d of its own %d", q.Held(c), q.Guaranteed(c))
				}
				if verdict == Allowed {
					q.adjust(c, 1)
				}
				if verdict == OverShare {
					q.adjust(c, -n)
					enough, _ := q.Check(c, 0)
					q.adjust(c, 1)
					fewer, _ := q.Check(c, 0)
					q.adjust(c, n-1)
					if enough != Allowed || fewer == Allowed {
						t.Fatalf("told to wait for %d places: %v with these, %v with one less", n, enough, fewer)
					}
				}
			},
			"give": func(*rapid.T) {
				if c := customer(); q.Held(c) > 0 {
					q.adjust(c, -1)
				}
			},
			"shares": func(*rapid.T) {
				q.SetShares(equalShares(rapid.ByteRange(1, 6).Draw(t, "customers")))
				changed = q.Total() > 0
			},
			"": func(t *rapid.T) {
				lent, lendable := q.Borrowed()
				if !changed && (lent > lendable || q.Total() > limit) || q.Total() > limit+limit/2 {
					t.Fatalf("%d of %d lent, %d held in all", lent, lendable, q.Total())
				}
			},
		})
	})
}

// A till app's morning run asks for a thousand keys at once, then another team for one.
// The run fills no more than its part of what may wait, and the one key goes with the
// next record, not after all of the run.
func TestABurstDoesNotGoFirst(t *testing.T) {
	b := NewBatcher(1000, time.Minute)
	b.Quotas().SetShares(equalShares(2))
	refused := 0
	for i := range 1000 {
		if err := b.Add(0, 0, Key{byte(i), byte(i >> 8)}, Request{}, &api.Ticket{Customer: []byte{1}}); err != nil {
			refused++
		}
	}
	if refused != 1000-250-400 {
		t.Errorf("%d of the burst are refused", refused)
	}
	other := Key{0, 0, 1}
	if err := b.Add(0, 0, other, Request{}, &api.Ticket{Customer: []byte{2}}); err != nil {
		t.Errorf("the other team: %v", err)
	}
	batch, _, _ := b.BeginAppend(0, 0, false)
	if !slices.ContainsFunc(batch, func(k *api.KeyBinding) bool { return Key(k.GetKey()) == other }) {
		t.Errorf("the other team's key waits for another record than the first of %d", len(batch))
	}
	b.EndAppend()
	for range 2 {
		b.BeginAppend(time.Second, 0, false)
		b.EndAppend()
	}
	if b.Quotas().Total() != 0 || len(b.nextStart) != 0 {
		t.Errorf("%d are counted of none, %d turns are kept", b.Quotas().Total(), len(b.nextStart))
	}
}

// Operators publish other customers while one has borrowed most of what is lent. The new
// ones have their own parts at once, and borrow nothing until places come free. A second
// such list must not let the sum grow without end: memory is bounded whatever they do.
func TestQuotasWhenSharesChange(t *testing.T) {
	q := NewQuotas(100)
	q.SetShares(equalShares(2))
	fill(q, Customer{1})
	for _, c := range []Customer{{2}, {3}, {4}, {5}} {
		q.SetShares(map[Customer]float64{c: 0.5, {6}: 0.5})
		if got, want := fill(q, c), min(25, 150-65-25*int(c[0]-2)); got != want {
			t.Errorf("customer %d gets %d places, want %d", c[0], got, want)
		}
	}
	if verdict, n := q.Check(Customer{6}, 0); verdict != Full || n != 1 {
		t.Errorf("past the bound: %v, %d", verdict, n)
	}
	// One of little weight borrows one place at least.
	small := NewQuotas(100)
	small.SetShares(map[Customer]float64{{1}: 0.9999, {2}: 0.0001})
	if got := fill(small, Customer{2}); got != 5 {
		t.Errorf("the small one gets %d places", got)
	}
}

// Two entries refuse a burst; each counts the other's promises too. Once the places came
// free nobody waits for them any more, and the next one is told of the next place.
func TestStaggerRetryCountsReleases(t *testing.T) {
	q, c := NewQuotas(10), Customer{1}
	q.adjust(c, 10)
	for i, want := range []int{1, 3, 5} {
		if got := q.StaggerRetry(c, 1, 2); got != want {
			t.Errorf("refusal %d is told of place %d, want %d", i, got, want)
		}
	}
	q.adjust(c, -4)
	if got := q.StaggerRetry(c, 1, 2); got != 3 {
		t.Errorf("after four came free: place %d", got)
	}
	q.adjust(c, -6)
	if got := q.StaggerRetry(c, 1, 2); got != 1 {
		t.Errorf("after all came free: place %d", got)
	}
}
