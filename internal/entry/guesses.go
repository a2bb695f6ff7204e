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
	// guessWait is when a caller that was refused for its address may come back.
	guessWait = time.Second
	// maxGuessers bounds the addresses remembered, and the good callers.
	maxGuessers = 4096
)

// guesses bounds the search for customers' keys. An address that sent too many wrong ones
// gets nothing with a right one either, or the search would go on; but callers whose key
// was good before go on: a whole store may stand behind one address.
type guesses struct {
	rates *ratelimit.Keyed

	mu    sync.Mutex
	known map[goodCaller]struct{}
}

// goodCaller is an address and a key, by its hash, that were good together.
type goodCaller struct {
	address string
	key     uint64
}

func newGuesses() *guesses {
	return &guesses{rates: ratelimit.New(maxGuessers), known: make(map[goodCaller]struct{})}
}

// wrong counts a wrong key; false if the address is past the bound.
func (g *guesses) wrong(now time.Time, address string) bool {
	ok, _ := g.rates.Allow(now, address, guessPerSecond, guessBurst)
	return ok
}

// good says whether a caller with a right key may go on.
func (g *guesses) good(now time.Time, address string, key uint64) bool {
	caller := goodCaller{address, key}
	g.mu.Lock()
	_, known := g.known[caller]
	g.mu.Unlock()
	if known {
		return true
	}
	if g.rates.IsExhausted(now, address) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.known) >= maxGuessers {
		// They are known again with their next request, but for those behind an
		// address that is past its bound at this moment.
		clear(g.known)
	}
	g.known[caller] = struct{}{}
	return true
}
