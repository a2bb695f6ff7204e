package keybind

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricothub/apricothub/api"
)

// equalShares gives customers 1 to n equal shares.
func equalShares(n byte) map[Customer]float64 {
	shares := map[Customer]float64{}
	for c := range n {
		shares[Customer{c + 1}] = 1 / float64(n)
	}
	return shares
}

// fill adds bindings of a customer until it is refused, and returns their number.
func fill(q *Quotas, c Customer) int {
	n := 0
	for verdict, _ := q.Check(c, 0); verdict == Allowed; verdict, _ = q.Check(c, 0) {
		q.adjust(c, 1)
		n++
	}
	return n
}

// Two customers want as much as they can get, one after the other. The first borrows most of
// the lendable capacity. As bindings expire and are replaced, the two must converge to equal
// parts.
func TestQuotasLendFairly(t *testing.T) {
	q, loud, second := NewQuotas(10_000), Customer{1}, Customer{2}
	q.SetShares(equalShares(10))
	if got := fill(q, loud); got != 500+4000 {
		t.Errorf("a single customer gets %d bindings", got)
	}
	for range 2000 {
		fill(q, second)
		q.adjust(loud, -10)
		q.adjust(second, -10)
		fill(q, second)
		fill(q, loud)
	}
	if first, other := q.Held(loud), q.Held(second); max(first, other)-min(first, other) > first/20 {
		t.Errorf("%d and %d bindings", first, other)
	}
}

// Customers add and release bindings in any order, and the shares change. As long as the shares
// stay the same, a customer below its guaranteed quota must not be refused, and no more may be
// borrowed than is lendable. The number of bindings that a refused customer waits for must be
// exactly what admits the next one.
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
					t.Fatalf("refused at %d of %d guaranteed", q.Held(c), q.Guaranteed(c))
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
						t.Fatalf("told to wait for %d bindings: %v with these, %v with one less", n, enough, fewer)
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
				borrowed, lendable := q.Borrowed()
				if !changed && (borrowed > lendable || q.Total() > limit) || q.Total() > limit+limit/2 {
					t.Fatalf("%d of %d borrowed, %d held in all", borrowed, lendable, q.Total())
				}
			},
		})
	})
}

// One team sends a thousand keys at once, then another team sends one. The burst must not use
// more than its part of the queue, and the single key must be appended with the next record
// instead of after the burst.
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
		t.Errorf("%d keys of the burst are refused", refused)
	}
	other := Key{0, 0, 1}
	if err := b.Add(0, 0, other, Request{}, &api.Ticket{Customer: []byte{2}}); err != nil {
		t.Errorf("the other team: %v", err)
	}
	batch, _, _ := b.BeginAppend(0, 0, false)
	if !slices.ContainsFunc(batch, func(k *api.KeyBinding) bool { return Key(k.GetKey()) == other }) {
		t.Errorf("the other team's key is not in the first record of %d", len(batch))
	}
	b.EndAppend()
	for range 2 {
		b.BeginAppend(time.Second, 0, false)
		b.EndAppend()
	}
	if b.Quotas().Total() != 0 || len(b.nextStart) != 0 {
		t.Errorf("with an empty queue %d bindings are counted, %d start tags are kept", b.Quotas().Total(), len(b.nextStart))
	}
}

// Operators publish a list of other customers while one customer has borrowed most of the
// lendable capacity. The new customers get their guaranteed quotas at once, and borrow nothing
// until bindings expire. Repeated changes of the list must not let the total exceed the hard
// limit.
func TestQuotasWhenSharesChange(t *testing.T) {
	q := NewQuotas(100)
	q.SetShares(equalShares(2))
	fill(q, Customer{1})
	for _, c := range []Customer{{2}, {3}, {4}, {5}} {
		q.SetShares(map[Customer]float64{c: 0.5, {6}: 0.5})
		if got, want := fill(q, c), min(25, 150-65-25*int(c[0]-2)); got != want {
			t.Errorf("customer %d gets %d bindings, want %d", c[0], got, want)
		}
	}
	if verdict, n := q.Check(Customer{6}, 0); verdict != Full || n != 1 {
		t.Errorf("past the hard limit: %v, %d", verdict, n)
	}
	// A customer of little weight can borrow at least one binding.
	small := NewQuotas(100)
	small.SetShares(map[Customer]float64{{1}: 0.9999, {2}: 0.0001})
	if got := fill(small, Customer{2}); got != 5 {
		t.Errorf("the customer of little weight gets %d bindings", got)
	}
}

// Two entries refuse a burst, and each counts the refusals of the other too, so that no two
// callers wait for the same binding to expire. Expired bindings reduce the count again.
func TestStaggerRetryCountsReleases(t *testing.T) {
	q, c := NewQuotas(10), Customer{1}
	q.adjust(c, 10)
	for i, want := range []int{1, 3, 5} {
		if got := q.StaggerRetry(c, 1, 2); got != want {
			t.Errorf("refusal %d waits for %d bindings, want %d", i, got, want)
		}
	}
	q.adjust(c, -4)
	if got := q.StaggerRetry(c, 1, 2); got != 3 {
		t.Errorf("after four expired: waits for %d bindings", got)
	}
	q.adjust(c, -6)
	if got := q.StaggerRetry(c, 1, 2); got != 1 {
		t.Errorf("after all expired: waits for %d bindings", got)
	}
}
