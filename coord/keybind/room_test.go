package keybind

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricothub/apricothub/api"
)

// equal gives customers 1 to n equal shares.
func equal(n byte) map[Customer]float64 {
	shares := map[Customer]float64{}
	for c := range n {
		shares[Customer{c + 1}] = 1 / float64(n)
	}
	return shares
}

// fill lets a customer take places until it is refused.
func fill(r *Room, c Customer) int {
	n := 0
	for verdict, _ := r.Ask(c, 0); verdict == Free; verdict, _ = r.Ask(c, 0) {
		r.count(c, 1)
		n++
	}
	return n
}

// Two customers press for all they can get, one after the other. The first is lent most
// of what is free; as places come free, as many as are taken in a time of holding and
// again, the two come to equal parts.
func TestRoomIsLentFairly(t *testing.T) {
	r, loud, second := NewRoom(10_000), Customer{1}, Customer{2}
	r.SetShares(equal(10))
	if got := fill(r, loud); got != 500+4000 {
		t.Errorf("one alone has %d places", got)
	}
	for range 2000 {
		fill(r, second)
		r.count(loud, -10)
		r.count(second, -10)
		fill(r, second)
		fill(r, loud)
	}
	if one, other := r.Held(loud), r.Held(second); max(one, other)-min(one, other) > one/20 {
		t.Errorf("%d and %d places", one, other)
	}
}

// Customers of random shares take and give back places in any order, and the shares
// change. One below its own part is never refused while shares stand; what is lent is
// never more than there is to lend, and never less of a customer's places must come free
// than let it have another one.
func TestRoomProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 60
		r := NewRoom(size)
		r.SetShares(equal(4))
		customer := func() Customer { return Customer{rapid.ByteRange(1, 6).Draw(t, "customer")} }
		changed := false
		t.Repeat(map[string]func(*rapid.T){
			"take": func(*rapid.T) {
				c := customer()
				verdict, n := r.Ask(c, 0)
				if verdict != Free && r.Held(c) < r.Own(c) && !changed {
					t.Fatalf("refused at %d of its own %d", r.Held(c), r.Own(c))
				}
				if verdict == Free {
					r.count(c, 1)
				}
				if verdict == BeyondShare {
					r.count(c, -n)
					enough, _ := r.Ask(c, 0)
					r.count(c, 1)
					fewer, _ := r.Ask(c, 0)
					r.count(c, n-1)
					if enough != Free || fewer == Free {
						t.Fatalf("told to wait for %d places: %v with these, %v with one less", n, enough, fewer)
					}
				}
			},
			"give": func(*rapid.T) {
				if c := customer(); r.Held(c) > 0 {
					r.count(c, -1)
				}
			},
			"shares": func(*rapid.T) {
				r.SetShares(equal(rapid.ByteRange(1, 6).Draw(t, "customers")))
				changed = r.Total() > 0
			},
			"": func(t *rapid.T) {
				lent, lendable := r.Lent()
				if !changed && (lent > lendable || r.Total() > size) || r.Total() > size+size/2 {
					t.Fatalf("%d of %d lent, %d held in all", lent, lendable, r.Total())
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
	b.Room().SetShares(equal(2))
	refused := 0
	for i := range 1000 {
		if err := b.Add(0, 0, Key{byte(i), byte(i >> 8)}, Request{}, &api.Ticket{Customer: []byte{1}}); err != nil {
			refused++
		}
	}
	if refused != 1000-250-400 {
		t.Errorf("%d of the burst are refused", refused)
	}
	one := Key{0, 0, 1}
	if err := b.Add(0, 0, one, Request{}, &api.Ticket{Customer: []byte{2}}); err != nil {
		t.Errorf("the other team: %v", err)
	}
	batch, _, _ := b.Take(0, 0, false)
	if !slices.ContainsFunc(batch, func(k *api.KeyBinding) bool { return Key(k.GetKey()) == one }) {
		t.Errorf("the other team's key waits for another record than the first of %d", len(batch))
	}
	b.Done()
	for range 2 {
		b.Take(time.Second, 0, false)
		b.Done()
	}
	if b.Room().Total() != 0 || len(b.last) != 0 {
		t.Errorf("%d are counted of none, %d turns are kept", b.Room().Total(), len(b.last))
	}
}

// Operators publish other customers while one has borrowed most of what is lent. The new
// ones have their own parts at once, and borrow nothing until places come free. A second
// such list must not let the sum grow without end: memory is bounded whatever they do.
func TestRoomWhenSharesChange(t *testing.T) {
	r := NewRoom(100)
	r.SetShares(equal(2))
	fill(r, Customer{1})
	for _, c := range []Customer{{2}, {3}, {4}, {5}} {
		r.SetShares(map[Customer]float64{c: 0.5, {6}: 0.5})
		if got, want := fill(r, c), min(25, 150-65-25*int(c[0]-2)); got != want {
			t.Errorf("customer %d gets %d places, want %d", c[0], got, want)
		}
	}
	if verdict, n := r.Ask(Customer{6}, 0); verdict != Full || n != 1 {
		t.Errorf("past the bound: %v, %d", verdict, n)
	}
	// One of little weight borrows one place at least.
	small := NewRoom(100)
	small.SetShares(map[Customer]float64{{1}: 0.9999, {2}: 0.0001})
	if got := fill(small, Customer{2}); got != 5 {
		t.Errorf("the small one gets %d places", got)
	}
}

// Two entries refuse a burst; each counts the other's promises too. Once the places came
// free nobody waits for them any more, and the next one is told of the next place.
func TestPromisesAreKept(t *testing.T) {
	r, c := NewRoom(10), Customer{1}
	r.count(c, 10)
	for i, want := range []int{1, 3, 5} {
		if got := r.Promise(c, 1, 2); got != want {
			t.Errorf("refusal %d is told of place %d, want %d", i, got, want)
		}
	}
	r.count(c, -4)
	if got := r.Promise(c, 1, 2); got != 3 {
		t.Errorf("after four came free: place %d", got)
	}
	r.count(c, -6)
	if got := r.Promise(c, 1, 2); got != 1 {
		t.Errorf("after all came free: place %d", got)
	}
}
