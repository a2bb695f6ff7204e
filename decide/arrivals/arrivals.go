// Package arrivals decides how many requests a second one entry sends to a backend server, so
// that all entries together keep within what the server bears while it is cold.
//
// Nobody counts for all: a count would have to be asked for with every request. Each entry has
// an equal share, and keeps to it by itself. That holds only while no entry takes itself for
// one of fewer than there are, and while none spends a share twice; the safeguards below are
// about these two.
//
// Time is an argument, counted since the process started. A Share is not safe for use by
// several goroutines at once.
package arrivals

import (
	"time"

	"golang.org/x/time/rate"
)

// Bound is what a cold backend server bears of all entries together: in any one second at most
// Rate times Over and Slack besides.
type Bound struct {
	// Rate is in requests a second; zero for no bound.
	Rate float64
	// Over is a ratio of 1 or more, Slack a number of requests.
	Over, Slack float64
}

// burst is what each of so many entries may send at once, above its part of the rate.
//
// A process that has just come sends its part before all others have heard of it, which is one
// more part of the rate than there should be. It is set aside; with few entries nothing is
// left then, and one request at a time goes out.
func (b Bound) burst(entries float64) int {
	spare := b.Rate*(b.Over-1) + b.Slack - b.Rate/entries
	return max(1, int(spare/entries))
}

// standstill is the time between two looks at a share past which the process has stood still:
// it looks many times a second. Far below the time for which others go on counting an entry
// that is silent.
const standstill = time.Second

// Share is one entry's part of what a backend server may get.
type Share struct {
	bound   Bound
	entries int
	limiter *rate.Limiter
	looked  time.Duration
	// phase, from 0 to 1, is how late a share of less than one request a second begins; opens is
	// when it does, zero once it has begun.
	phase float64
	opens time.Duration
}

// NewShare returns the share of one of so many entries.
//
// Load: an entry that is killed and started again and again, or a whole herd of them. Harm
// prevented: each start brings a burst on top of what the process before has just sent. A
// share begins with nothing, so that both together send what one would have.
//
// phase is a random number from 0 to 1.
func NewShare(b Bound, entries int, phase float64, now time.Duration) *Share {
	s := &Share{bound: b, entries: entries, phase: phase, looked: now}
	s.limiter = rate.NewLimiter(s.parts())
	s.empty(now)
	return s
}

// parts returns the rate and the burst of one entry.
func (s *Share) parts() (rate.Limit, int) {
	n := float64(max(s.entries, 1))
	return rate.Limit(s.bound.Rate / n), s.bound.burst(n)
}

// Set takes the bound and the number of entries that may send now, this one included.
func (s *Share) Set(b Bound, entries int, now time.Duration) {
	if b == s.bound && entries == s.entries {
		return
	}
	s.bound, s.entries = b, entries
	limit, burst := s.parts()
	s.limiter.SetLimitAt(moment(now), limit)
	s.limiter.SetBurstAt(moment(now), burst)
}

// Look tells the share that the process runs; to be called many times a second.
//
// Load: a VM that is frozen for so long that the others no longer count it, and wakes with its
// share saved up. Harm prevented: they send all that the server bears, and this one its burst
// besides, before it hears how many there are.
func (s *Share) Look(now time.Duration) {
	if now-s.looked > standstill {
		s.empty(now)
	}
	s.looked = now
}

// Allow says whether one more request may go out now, and counts it.
func (s *Share) Allow(now time.Duration) bool {
	s.Look(now)
	if now < s.opens {
		return false
	}
	if s.opens > 0 {
		s.open(now)
	}
	return s.limiter.AllowN(moment(now), 1)
}

// empty takes what a share has saved up, and closes one of less than a request a second.
//
// Load: so many entries that each may send a server one request in two seconds, and all start
// at once. Harm prevented: none can send any server anything for two seconds, though all
// servers are idle, and then all send each server one in the same moment. Instead each begins
// at a moment of its own, by server: no sooner than what the process before has sent is a
// second old, and spread over the time in which each earns one request, so that they come at
// the server's rate and there is soon a server that an entry may send to.
func (s *Share) empty(now time.Duration) {
	at := moment(now)
	s.limiter.AllowN(at, int(s.limiter.TokensAt(at)))
	if limit := float64(s.limiter.Limit()); limit > 0 && limit < 1 {
		s.opens = now + time.Second + time.Duration(s.phase/limit*float64(time.Second))
	}
}

// open begins a share with one request.
func (s *Share) open(now time.Duration) {
	s.opens = 0
	limit, burst := s.parts()
	s.limiter = rate.NewLimiter(limit, burst)
	at := moment(now)
	s.limiter.AllowN(at, burst-1)
}

// epoch makes moments of times since the process started, for the rate limiter.
var epoch = time.Unix(0, 0)

func moment(now time.Duration) time.Time { return epoch.Add(now) }
