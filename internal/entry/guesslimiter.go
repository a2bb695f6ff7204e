package entry

import (
	"sync"
	"time"

	"github.com/apricothub/apricothub/internal/ratelimit"
)

const (
	// guessBurst and guessPerSecond bound the wrong keys of one address: enough for a
	// store whose devices still hold an old key, and at which the search for a key of
	// a few letters takes years.
	guessBurst     = 100
	guessPerSecond = 10
	// guessRetryAfter is when a caller that was refused for its address may come back.
	guessRetryAfter = time.Second
	// maxTrackedCallers bounds the addresses remembered, and the good callers.
	maxTrackedCallers = 4096
)

// guessLimiter bounds the search for customers' keys. An address that sent too many wrong ones
// gets nothing with a right one either, or the search would go on; but callers whose key
// was good before go on: a whole store may stand behind one address.
type guessLimiter struct {
	rates *ratelimit.Keyed

	mu           sync.Mutex
	knownCallers map[knownCaller]struct{}
}

// knownCaller is an address and a key, by its hash, that were good together.
type knownCaller struct {
	address string
	key     uint64
}

func newGuessLimiter() *guessLimiter {
	return &guessLimiter{rates: ratelimit.New(maxTrackedCallers), knownCallers: make(map[knownCaller]struct{})}
}

// allowWrongKey counts a allowWrongKey key; false if the address is past the bound.
func (g *guessLimiter) allowWrongKey(now time.Time, address string) bool {
	ok, _ := g.rates.Allow(now, address, guessPerSecond, guessBurst)
	return ok
}

// allowValidKey says whether a caller with a right key may go on.
func (g *guessLimiter) allowValidKey(now time.Time, address string, key uint64) bool {
	caller := knownCaller{address, key}
	g.mu.Lock()
	_, known := g.knownCallers[caller]
	g.mu.Unlock()
	if known {
		return true
	}
	if g.rates.Spent(now, address) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.knownCallers) >= maxTrackedCallers {
		// They are known again with their next request, but for those behind an
		// address that is past its bound at this moment.
		clear(g.knownCallers)
	}
	g.knownCallers[caller] = struct{}{}
	return true
}
