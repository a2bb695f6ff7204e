package entry

import (
	"sync"
	"time"

	"github.com/apricothub/apricothub/internal/ratelimit"
)

const (
	// guessBurst and guessPerSecond limit the wrong keys from one address. They allow for a store
	// whose devices still use an old key, and make the search for a key of a few letters take
	// years.
	guessBurst     = 100
	guessPerSecond = 10
	// guessRetryAfter is the retry delay for callers that are refused because of their address.
	guessRetryAfter = time.Second
	// maxTrackedCallers limits the addresses tracked, and the known callers.
	maxTrackedCallers = 4096
)

// guessLimiter limits guessing of customers' keys. An address that sent too many wrong keys is
// refused with a valid key too, or guessing could continue. Callers whose key was valid before are
// still accepted, because a whole store may share one address.
type guessLimiter struct {
	rates *ratelimit.Keyed

	mu           sync.Mutex
	knownCallers map[knownCaller]struct{}
}

// knownCaller is an address and the hash of a key that was valid from there.
type knownCaller struct {
	address string
	key     uint64
}

func newGuessLimiter() *guessLimiter {
	return &guessLimiter{rates: ratelimit.New(maxTrackedCallers), knownCallers: make(map[knownCaller]struct{})}
}

// allowWrongKey counts a wrong key and returns false if the address is past its limit.
func (g *guessLimiter) allowWrongKey(now time.Time, address string) bool {
	ok, _ := g.rates.Allow(now, address, guessPerSecond, guessBurst)
	return ok
}

// allowValidKey says whether a caller with a valid key is accepted.
func (g *guessLimiter) allowValidKey(now time.Time, address string, key uint64) bool {
	caller := knownCaller{address, key}
	g.mu.Lock()
	_, known := g.knownCallers[caller]
	g.mu.Unlock()
	if known {
		return true
	}
	if g.rates.IsExhausted(now, address) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.knownCallers) >= maxTrackedCallers {
		// Callers are added again with their next request, except those behind an address that is
		// past its limit now.
		clear(g.knownCallers)
	}
	g.knownCallers[caller] = struct{}{}
	return true
}
