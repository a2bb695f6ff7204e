package keybind

import (
	"math"

	"github.com/apricothub/apricothub/api"
)

// customerSize is the size of a customer's digest as it stands in tickets, bytes.
const customerSize = 8

// Customer is the digest of a customer's name, as tickets carry it.
type Customer [customerSize]byte

// CustomerOf returns the customer of a ticket.
func CustomerOf(t *api.Ticket) Customer { return CustomerFrom(t.GetCustomer()) }

// CustomerFrom returns the customer of a digest. One of another size is cut or filled.
func CustomerFrom(digest []byte) Customer {
	var c Customer
	copy(c[:], digest)
	return c
}

const (
	// ownPart is the part of a room that customers have of their own, by their shares;
	// the rest is lent. What is lent can't be taken back, so that a place is either sure
	// or can be lent, and never both. With half, a customer can be sure of half of what
	// it has when all want more.
	ownPart = 0.5
	// leastOwn is the number of places that each customer has of its own whatever its
	// share, as long as these are not above ownPart: rounded down, the share of a small
	// one in thousands is none, and it could never bind a key.
	leastOwn = 4
	// eagerness is the ratio of what one customer may borrow to what it leaves for others
	// to borrow. One alone gets 4/5 of what is lent, and two 4/9 each: more would leave
	// too little for the next one until the first one's places come free.
	eagerness = 4
	// leastWeight is the weight in borrowing of a customer without share.
	leastWeight = 1.0 / 1024
	// hardFactor times the size is what a room takes at most. It is met only when shares
	// changed while places were lent.
	hardFactor = 1.5
)

// Room divides places between customers by their shares. A place that was given is not
// taken back before its time.
//
// Load: one customer that wants more than all places, beside others that want few, late.
// Harm prevented: the one takes all, and for as long as places are kept the others'
// price pushes and deposits are refused. So each customer has places of its own, that
// nobody borrows: whether it may take one of these depends on its own count alone, and
// on nothing that another does. The rest is lent, weighted max-min: a customer may have
// borrowed eagerness times its weight of what is left to borrow, so that several who
// want more come to equal parts by weight, and something is left for who comes late.
//
// A room counts what it is told, and refuses nobody by itself: see Ask.
type Room struct {
	size     int
	shares   map[Customer]float64
	most     float64
	least    float64
	lendable int
	held     map[Customer]int
	total    int
	// lent is how many places customers hold beyond their own, together.
	lent int
	// promised is how many places that come free were named to callers already.
	promised map[Customer]int
}

// NewRoom returns a room of so many places. Until SetShares only the sum counts.
func NewRoom(size int) *Room {
	return &Room{size: size, lendable: size, held: make(map[Customer]int), promised: make(map[Customer]int)}
}

// SetShares replaces the customers' parts of the whole, whose sum is 1 at most. Places
// that are held stay held.
func (r *Room) SetShares(shares map[Customer]float64) {
	r.shares, r.most, r.lendable = shares, 0, r.size
	r.least = min(leastOwn, ownPart*float64(r.size)/float64(max(len(shares), 1)))
	for c, share := range shares {
		r.most = max(r.most, share)
		r.lendable -= r.Own(c)
	}
	r.lent = 0
	for c, n := range r.held {
		r.lent += max(n-r.Own(c), 0)
	}
}

// Own is how many places are a customer's own.
func (r *Room) Own(c Customer) int {
	share, ok := r.shares[c]
	if !ok {
		return 0
	}
	rest := ownPart*float64(r.size) - r.least*float64(len(r.shares))
	return int(r.least + share*rest)
}

// Held is how many places a customer holds, Total all customers.
func (r *Room) Held(c Customer) int { return r.held[c] }

// Total is how many places are held.
func (r *Room) Total() int { return r.total }

// Lent is how many places are held beyond their customers' own, of how many.
func (r *Room) Lent() (lent, lendable int) { return r.lent, r.lendable }

// Customers returns how many places each customer holds. It must not be changed.
func (r *Room) Customers() map[Customer]int { return r.held }

// count changes the number of places that a customer holds.
func (r *Room) count(c Customer, by int) {
	own, before := r.Own(c), r.held[c]
	if by < 0 {
		r.keepPromises(c, -by)
	}
	after := before + by
	r.total += by
	r.lent += max(after-own, 0) - max(before-own, 0)
	if after == 0 {
		delete(r.held, c)
		return
	}
	r.held[c] = after
}

// Promise takes the number of a customer's places that must come free for a request, and
// returns the number for one more beside those who were told before, at any of so many
// entries.
//
// Load: a burst of which a thousand are refused in the same second, at all entries. Harm
// prevented: all are told when the next place comes free, come back together, and all but
// one are refused again. Each entry takes what the others tell to be as much as what it
// tells itself. The number is not much above what the customer holds: whoever comes back
// then has waited for a whole turn of its places.
func (r *Room) Promise(c Customer, n, entries int) int {
	n += r.promised[c]
	r.promised[c] = min(r.promised[c]+entries, r.held[c])
	return n
}

// keepPromises says that so many places have come free for those who were told.
func (r *Room) keepPromises(c Customer, places int) {
	if left := r.promised[c] - places; left > 0 {
		r.promised[c] = left
		return
	}
	delete(r.promised, c)
}

// empty forgets what is held.
func (r *Room) empty() {
	clear(r.held)
	clear(r.promised)
	r.total, r.lent = 0, 0
}

// weight is a customer's weight in borrowing, 1 for the largest share.
func (r *Room) weight(c Customer) float64 {
	if r.most == 0 {
		return 1
	}
	return max(r.shares[c]/r.most, leastWeight)
}

// Verdict says whether a customer may take one more place.
type Verdict int

// The verdicts.
const (
	// Free says that it may.
	Free Verdict = iota
	// BeyondShare says that the customer holds its part.
	BeyondShare
	// Full says that there is no place for anybody.
	Full
)

// Ask says whether a customer may take one more place, besides some that it is about to
// take already. If not it returns how many places must come free first: of the
// customer's own with BeyondShare, of all with Full.
func (r *Room) Ask(c Customer, taking int) (Verdict, int) {
	if r.shares == nil {
		return r.within(r.size)
	}
	own, held := r.Own(c), r.held[c]
	beyond := held + taking - own
	if beyond < 0 {
		return r.within(int(hardFactor * float64(r.size)))
	}
	weight := eagerness * r.weight(c)
	left := r.lendable - r.lent + max(held-own, 0) - beyond
	// With n places of its own back it has n less, and n more are left.
	byWeight := (float64(beyond+1) - weight*float64(left)) / (1 + weight)
	// The first place is lent whatever the weight, or one of little weight got none.
	n := max(min(int(math.Ceil(byWeight)), beyond), 1-left)
	switch {
	case n <= 0:
		return Free, 0
	case held+taking == 0:
		return Full, n
	}
	return BeyondShare, min(n, beyond+1)
}

// within says whether the sum of all places is below a limit.
func (r *Room) within(limit int) (Verdict, int) {
	if r.total < limit {
		return Free, 0
	}
	return Full, r.total - limit + 1
}
