// Package retry limits how many requests all entries together send to the backend servers of a service
// again.
//
// The pattern is a retry budget against retry storms: when servers fail many requests at once, retries
// must not add more than a fraction to the load. In any window, as many retries are allowed as a ratio of
// the requests, plus a reserve that does not depend on them. The entries share this budget, and each may
// start, end, freeze or be cut off at any moment, so that neither part depends on what an entry knows of
// the others:
//
//   - Each first attempt earns a fraction of a token, and a retry spends a whole one. Tokens expire, and a
//     process starts with none. So the retries of a window are paid for by requests of this window and of
//     the one before, however many entries there are and however often they start.
//   - The reserve is a ledger in the platform's store, from which an entry claims what it needs at the
//     moment. A claim is written only if the ledger has not changed since it was read. An entry that cannot
//     reach the store has only what its requests earn.
//
// The parts are state machines without a clock, socket or goroutine. Time is an argument, counted since
// the process started on a clock that runs while the process is paused. They are not safe for concurrent
// use.
package retry

import (
	"slices"
	"time"
)

const (
	// earnedFraction is the part of the allowed ratio that requests earn. What was earned in one window may
	// be spent in the next one together with what is earned there, and two halves are a whole.
	earnedFraction = 0.5
	// maxSendLag is how long after a token was spent the retry may be sent: it may wait for its server, and
	// the process may be paused. maxTransferTime is how long it may take to arrive, with retransmissions.
	maxSendLag      = 2500 * time.Millisecond
	maxTransferTime = 1500 * time.Millisecond
	maxArrivalLag   = maxSendLag + maxTransferTime
	// lifetimeParts is the number of parts of the lifetime of earned tokens. They are counted by part and
	// not one by one, so that they live for up to one part less than their lifetime.
	lifetimeParts = 10
	// spareRatio is the fraction of the earned tokens that must be unspent for a retry that is of use but
	// not needed to answer the request.
	spareRatio = 0.5
	// wholeToken is the smallest sum of fractions that counts as one token.
	wholeToken = 1 - 1e-9
)

// Limits is what all entries together may send to a service again: in any window, Ratio times the requests
// and Reserve more.
type Limits struct {
	Ratio, Reserve float64
	Window         time.Duration
}

// lifetime returns how long an earned token may be spent. With the time until a retry arrives it is at most
// one window.
func (l Limits) lifetime() time.Duration { return max(l.Window/2, l.Window-maxArrivalLag) }

// Token is the right to send one request again.
type Token struct {
	// Until is when it expires. SendBy is when the retry that it was spent on must have been sent.
	Until, SendBy time.Duration
}

// Stats counts what a Budget has been used for since the process started.
type Stats struct {
	// Requests counts first attempts, Spent the tokens spent, Denied the retries that were not made for lack
	// of one, and Claimed the tokens claimed from the reserve.
	Requests, Spent, Denied, Claimed int64
}

// Budget is the retry budget of one service at one entry.
type Budget struct {
	ratio float64
	// part is the duration of one part of the lifetime of earned tokens, newest the number of the current one
	// since the process started. earned holds the unspent tokens by part, total all that were earned there.
	part          time.Duration
	newest        int64
	earned, total [lifetimeParts]float64
	// whole are the tokens claimed from the reserve or given back, those that expire first in front.
	whole []Token
	stats Stats
}

// NewBudget returns a budget without tokens.
func NewBudget(l Limits) *Budget {
	return &Budget{ratio: l.Ratio * earnedFraction, part: max(l.lifetime()/lifetimeParts, 1)}
}

// CountRequest counts a first attempt.
func (b *Budget) CountRequest(now time.Duration) {
	b.expire(now)
	b.stats.Requests++
	b.earned[b.newest%lifetimeParts] += b.ratio
	b.total[b.newest%lifetimeParts] += b.ratio
}

// AddClaim adds tokens that were claimed from the reserve.
func (b *Budget) AddClaim(tokens int, until time.Duration) {
	b.stats.Claimed += int64(tokens)
	for range tokens {
		b.add(Token{Until: until})
	}
}

// GiveBack returns a token that was spent on a retry that could not be sent.
func (b *Budget) GiveBack(t Token) {
	b.stats.Spent--
	b.add(t)
}

func (b *Budget) add(t Token) {
	i, _ := slices.BinarySearchFunc(b.whole, t, func(a, b Token) int { return int(a.Until - b.Until) })
	b.whole = slices.Insert(b.whole, i, t)
}

// CanSpend reports whether there is a token.
func (b *Budget) CanSpend(now time.Duration) bool {
	b.expire(now)
	return len(b.whole) > 0 || sum(b.earned) >= wholeToken
}

// HasSpare reports whether there is a token for a retry that is of use but not needed to answer the request.
func (b *Budget) HasSpare(now time.Duration) bool {
	b.expire(now)
	return len(b.whole) > 0 || sum(b.earned) >= max(wholeToken, spareRatio*sum(b.total))
}

// Spend takes a token, and reports whether there was one. Claimed ones go first: they expire sooner.
func (b *Budget) Spend(now time.Duration) (Token, bool) {
	if !b.CanSpend(now) {
		return Token{}, false
	}
	b.stats.Spent++
	var t Token
	if len(b.whole) > 0 {
		t, b.whole = b.whole[0], b.whole[1:]
	} else {
		t = b.spendEarned()
	}
	t.SendBy = now + maxSendLag
	return t, true
}

// spendEarned takes one token from the oldest parts. It expires when the oldest of them does.
func (b *Budget) spendEarned() Token {
	due := 1.0
	var t Token
	for n := max(b.newest-lifetimeParts+1, 0); n <= b.newest && due > 0; n++ {
		spent := min(due, b.earned[n%lifetimeParts])
		if spent > 0 && t.Until == 0 {
			t.Until = time.Duration(n+lifetimeParts) * b.part
		}
		b.earned[n%lifetimeParts] -= spent
		due -= spent
	}
	return t
}

// CountDenied counts a retry that is not made for lack of a token.
func (b *Budget) CountDenied() { b.stats.Denied++ }

// Stats returns what the budget has been used for.
func (b *Budget) Stats() Stats { return b.stats }

// expire removes the tokens whose lifetime is over.
func (b *Budget) expire(now time.Duration) {
	current := int64(now / b.part)
	for n := max(b.newest+1, current-lifetimeParts+1); n <= current; n++ {
		b.earned[n%lifetimeParts], b.total[n%lifetimeParts] = 0, 0
	}
	b.newest = max(b.newest, current)
	b.whole = slices.DeleteFunc(b.whole, func(t Token) bool { return t.Until <= now })
}

func sum(parts [lifetimeParts]float64) float64 {
	total := 0.0
	for _, p := range parts {
		total += p
	}
	return total
}
