package keybind

import (
	"math"

	"github.com/apricothub/apricothub/api"
)

// customerDigestSize is the size of the customer's digest in tickets, in bytes.
const customerDigestSize = 8

// Customer is the digest of a customer's name, as tickets carry it.
type Customer [customerDigestSize]byte

// CustomerOfTicket returns the customer of a ticket.
func CustomerOfTicket(t *api.Ticket) Customer { return CustomerFromDigest(t.GetCustomer()) }

// CustomerFromDigest returns the customer of a digest. A digest of another size is truncated or
// padded with zeros.
func CustomerFromDigest(digest []byte) Customer {
	var c Customer
	copy(c[:], digest)
	return c
}

const (
	// guaranteedFraction is the fraction of the limit that is guaranteed to customers by their
	// shares; the rest is lent. Lent capacity can't be taken back before its bindings expire,
	// so capacity is either guaranteed or lendable, never both. With one half, a customer is
	// guaranteed half of what it gets when all customers want more.
	guaranteedFraction = 0.5
	// minGuaranteedBindings is guaranteed to each customer whatever its share, as long as the
	// sum stays within guaranteedFraction. Otherwise the share of a small customer among
	// thousands would round down to 0, and it could never bind a key.
	minGuaranteedBindings = 4
	// borrowFactor is the ratio of what one customer may borrow to what it leaves for others to
	// borrow. A single borrower gets 4/5 of the lendable capacity, two get 4/9 each. A higher
	// ratio would leave too little for the next customer until the first one's bindings expire.
	borrowFactor = 4
	// minWeight is the borrowing weight of a customer without a share.
	minWeight = 1.0 / 1024
	// hardLimitFactor times the limit is never exceeded. More than the limit is held only if
	// shares change while capacity is lent.
	hardLimitFactor = 1.5
)

// Quotas divides a limit on bindings between customers by their shares. A binding that was
// admitted is not revoked before it expires.
//
// Without quotas, one customer could take the whole limit, and the price pushes and deposits of
// others would be refused until its bindings expire. So each customer has a guaranteed quota
// that nobody borrows: whether it may use it depends on its own count alone. The rest is lent
// with weighted max-min fairness: a customer may borrow up to borrowFactor times its weight
// times what is left to borrow. Several customers that want more converge to parts in
// proportion to their weights, and some capacity is left for customers that come later.
//
// Quotas only counts bindings. Its owner calls Check before it admits a request, and adjust when
// a binding is added or released.
type Quotas struct {
	limit         int
	shares        map[Customer]float64
	maxShare      float64
	minGuaranteed float64
	lendable      int
	held          map[Customer]int
	total         int
	// borrowed is the number of bindings that all customers hold beyond their guaranteed quotas.
	borrowed int
	// announced is the number of each customer's expiring bindings that refused callers were
	// already told to wait for.
	announced map[Customer]int
}

// NewQuotas returns quotas that divide a limit. Until SetShares is called, only the total is
// limited.
func NewQuotas(limit int) *Quotas {
	return &Quotas{limit: limit, lendable: limit, held: make(map[Customer]int), announced: make(map[Customer]int)}
}

// SetShares replaces the customers' shares, whose sum is at most 1. Bindings that are held stay
// held.
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

// Guaranteed returns a customer's guaranteed quota.
func (q *Quotas) Guaranteed(c Customer) int {
	share, ok := q.shares[c]
	if !ok {
		return 0
	}
	proportional := guaranteedFraction*float64(q.limit) - q.minGuaranteed*float64(len(q.shares))
	return int(q.minGuaranteed + share*proportional)
}

// Held returns the number of bindings that a customer holds.
func (q *Quotas) Held(c Customer) int { return q.held[c] }

// Total returns the number of bindings that all customers hold.
func (q *Quotas) Total() int { return q.total }

// Borrowed returns the number of bindings held beyond the guaranteed quotas, and the capacity
// that can be lent.
func (q *Quotas) Borrowed() (borrowed, lendable int) { return q.borrowed, q.lendable }

// HeldByCustomer returns the number of bindings that each customer holds. The caller must not
// change the map.
func (q *Quotas) HeldByCustomer() map[Customer]int { return q.held }

// adjust changes the number of bindings that a customer holds.
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

// StaggerRetry returns the number of a customer's bindings that must expire before a refused
// request and all those refused before it can be admitted. n is the number for one request
// alone, as Check returns it, and entries the number of entries that refuse requests.
//
// Without it, all requests of a burst that is refused within a second would be told when the
// next binding expires, retry together, and all but one would be refused again. Each entry
// assumes that the others refuse as many requests as it does itself. The result is not much
// above what the customer holds: a caller that retries then has waited until all of these
// bindings have expired.
func (q *Quotas) StaggerRetry(c Customer, n, entries int) int {
	n += q.announced[c]
	q.announced[c] = min(q.announced[c]+entries, q.held[c])
	return n
}

// reduceAnnounced records that bindings have expired that refused callers were told to wait
// for.
func (q *Quotas) reduceAnnounced(c Customer, freed int) {
	if remaining := q.announced[c] - freed; remaining > 0 {
		q.announced[c] = remaining
		return
	}
	delete(q.announced, c)
}

// reset clears all counts.
func (q *Quotas) reset() {
	clear(q.held)
	clear(q.announced)
	q.total, q.borrowed = 0, 0
}

// weight returns a customer's borrowing weight, which is 1 for the largest share.
func (q *Quotas) weight(c Customer) float64 {
	if q.maxShare == 0 {
		return 1
	}
	return max(q.shares[c]/q.maxShare, minWeight)
}

// Verdict is whether a customer may hold one more binding.
type Verdict int

// The verdicts.
const (
	// Allowed means that the customer may hold one more binding.
	Allowed Verdict = iota
	// OverShare means that the customer has used up its guaranteed quota and what it may borrow.
	OverShare
	// Full means that no capacity is left.
	Full
)

// Check returns whether a customer may hold one more binding besides those that are pending. If
// not, it returns how many bindings must expire first: of the customer's with OverShare, of all
// customers' with Full.
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
	// If n of its bindings expire, the customer has borrowed n less and n more are available.
	excess := (float64(aboveGuaranteed+1) - weight*float64(available)) / (1 + weight)
	// The first binding is lent whatever the weight; otherwise a customer of little weight would
	// get none.
	n := max(min(int(math.Ceil(excess)), aboveGuaranteed), 1-available)
	switch {
	case n <= 0:
		return Allowed, 0
	case held+pending == 0:
		return Full, n
	}
	return OverShare, min(n, aboveGuaranteed+1)
}

// checkTotal returns whether the number of all bindings is below a limit.
func (q *Quotas) checkTotal(limit int) (Verdict, int) {
	if q.total < limit {
		return Allowed, 0
	}
	return Full, q.total - limit + 1
}
