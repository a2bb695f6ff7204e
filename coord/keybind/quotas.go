package keybind

import (
	"math"

	"github.com/apricothub/apricothub/api"
)

// customerDigestSize is the size of a customer's digest as it stands in tickets, bytes.
const customerDigestSize = 8

// Customer is the digest of a customer's name, as tickets carry it.
type Customer [customerDigestSize]byte

// CustomerOfTicket returns the customer of a ticket.
func CustomerOfTicket(t *api.Ticket) Customer { return CustomerFromDigest(t.GetCustomer()) }

// CustomerFromDigest returns the customer of a digest. One of another size is cut or filled.
func CustomerFromDigest(digest []byte) Customer {
	var c Customer
	copy(c[:], digest)
	return c
}

const (
	// guaranteedFraction is the part of a room that customers have of their own, by their shares;
	// the rest is lent. What is lent can't be taken back, so that a place is either sure
	// or can be lent, and never both. With half, a customer can be sure of half of what
	// it has when all want more.
	guaranteedFraction = 0.5
	// minGuaranteedBindings is the number of places that each customer has of its own whatever its
	// share, as long as these are not above ownPart: rounded down, the share of a small
	// one in thousands is none, and it could never bind a key.
	minGuaranteedBindings = 4
	// borrowFactor is the ratio of what one customer may borrow to what it leaves for others
	// to borrow. One alone gets 4/5 of what is lent, and two 4/9 each: more would leave
	// too little for the next one until the first one's places come free.
	borrowFactor = 4
	// minWeight is the weight in borrowing of a customer without share.
	minWeight = 1.0 / 1024
	// hardLimitFactor times the size is what a room takes at most. It is met only when shares
	// changed while places were lent.
	hardLimitFactor = 1.5
)

// Quotas divides places between customers by their shares. A place that was given is not
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
type Quotas struct {
	limit         int
	shares        map[Customer]float64
	maxShare      float64
	minGuaranteed float64
	lendable      int
	held          map[Customer]int
	total         int
	// borrowed is how many places customers hold beyond their own, together.
	borrowed int
	// announced is how many places that come free were named to callers already.
	announced map[Customer]int
}

// NewQuotas returns a room of so many places. Until SetShares only the sum counts.
func NewQuotas(limit int) *Quotas {
	return &Quotas{limit: limit, lendable: limit, held: make(map[Customer]int), announced: make(map[Customer]int)}
}

// SetShares replaces the customers' parts of the whole, whose sum is 1 at most. Places
// that are held stay held.
func (q *Quotas) SetShares(shares map[Customer]float64) {
	q.shares, q.maxShare, q.lendable = shares, 0, q.limit
	q.minGuaranteed = min(minGuaranteedBindings, guaranteedFraction*float64(q.limit)/float64(max(len(shares), 1)))
	for c, share := range shares {
		q.maxShare = max(q.maxShare, share)
		q.lendable -= q.Guaranteed(c)
	}
	q.borrowed = 0
	for c, n := range q.held {
		q.borrowed += max(n-q.Guaranteed(c), 0)
	}
}

// Guaranteed is how many places are a customer's own.
func (q *Quotas) Guaranteed(c Customer) int {
	share, ok := q.shares[c]
	if !ok {
		return 0
	}
	proportional := guaranteedFraction*float64(q.limit) - q.minGuaranteed*float64(len(q.shares))
	return int(q.minGuaranteed + share*proportional)
}

// Held is how many places a customer holds, Total all customers.
func (q *Quotas) Held(c Customer) int { return q.held[c] }

// Total is how many places are held.
func (q *Quotas) Total() int { return q.total }

// Borrowed is how many places are held beyond their customers' own, of how many.
func (q *Quotas) Borrowed() (borrowed, lendable int) { return q.borrowed, q.lendable }

// HeldByCustomer returns how many places each customer holds. It must not be changed.
func (q *Quotas) HeldByCustomer() map[Customer]int { return q.held }

// adjust changes the number of places that a customer holds.
func (q *Quotas) adjust(c Customer, delta int) {
	guaranteed, before := q.Guaranteed(c), q.held[c]
	if delta < 0 {
		q.reduceAnnounced(c, -delta)
	}
	after := before + delta
	q.total += delta
	q.borrowed += max(after-guaranteed, 0) - max(before-guaranteed, 0)
	if after == 0 {
		delete(q.held, c)
		return
	}
	q.held[c] = after
}

// StaggerRetry takes the number of a customer's places that must come free for a request, and
// returns the number for one more beside those who were told before, at any of so many
// entries.
//
// Load: a burst of which a thousand are refused in the same second, at all entries. Harm
// prevented: all are told when the next place comes free, come back together, and all but
// one are refused again. Each entry takes what the others tell to be as much as what it
// tells itself. The number is not much above what the customer holds: whoever comes back
// then has waited for a whole turn of its places.
func (q *Quotas) StaggerRetry(c Customer, n, entries int) int {
	n += q.announced[c]
	q.announced[c] = min(q.announced[c]+entries, q.held[c])
	return n
}

// reduceAnnounced says that so many places have come free for those who were told.
func (q *Quotas) reduceAnnounced(c Customer, freed int) {
	if remaining := q.announced[c] - freed; remaining > 0 {
		q.announced[c] = remaining
		return
	}
	delete(q.announced, c)
}

// reset forgets what is held.
func (q *Quotas) reset() {
	clear(q.held)
	clear(q.announced)
	q.total, q.borrowed = 0, 0
}

// weight is a customer's weight in borrowing, 1 for the largest share.
func (q *Quotas) weight(c Customer) float64 {
	if q.maxShare == 0 {
		return 1
	}
	return max(q.shares[c]/q.maxShare, minWeight)
}

// Verdict says whether a customer may take one more place.
type Verdict int

// The verdicts.
const (
	// Allowed says that it may.
	Allowed Verdict = iota
	// OverShare says that the customer holds its part.
	OverShare
	// Full says that there is no place for anybody.
	Full
)

// Check says whether a customer may take one more place, besides some that it is about to
// take already. If not it returns how many places must come free first: of the
// customer's own with BeyondShare, of all with Full.
func (q *Quotas) Check(c Customer, pending int) (Verdict, int) {
	if q.shares == nil {
		return q.checkTotal(q.limit)
	}
	guaranteed, held := q.Guaranteed(c), q.held[c]
	aboveGuaranteed := held + pending - guaranteed
	if aboveGuaranteed < 0 {
		return q.checkTotal(int(hardLimitFactor * float64(q.limit)))
	}
	weight := borrowFactor * q.weight(c)
	available := q.lendable - q.borrowed + max(held-guaranteed, 0) - aboveGuaranteed
	// With n places of its own back it has n less, and n more are left.
	excess := (float64(aboveGuaranteed+1) - weight*float64(available)) / (1 + weight)
	// The first place is lent whatever the weight, or one of little weight got none.
	n := max(min(int(math.Ceil(excess)), aboveGuaranteed), 1-available)
	switch {
	case n <= 0:
		return Allowed, 0
	case held+pending == 0:
		return Full, n
	}
	return OverShare, min(n, aboveGuaranteed+1)
}

// checkTotal says whether the sum of all places is below a limit.
func (q *Quotas) checkTotal(limit int) (Verdict, int) {
	if q.total < limit {
		return Allowed, 0
	}
	return Full, q.total - limit + 1
}
