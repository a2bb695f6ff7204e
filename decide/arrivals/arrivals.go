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

// Limit is what a cold backend server bears of all entries together: in any one second at most
// Rate times Over and Slack besides.
type Limit struct {
	// Rate is in requests a second; zero for no bound.
	Rate float64
	// MaxRatio is a ratio of 1 or more, Slack a number of requests.
	MaxRatio, Slack float64
}

// burst is what each of so many entries may send at once, above its part of the rate.
//
// A process that has just come sends its part before all others have heard of it, which is one
// more part of the rate than there should be. It is set aside; with few entries nothing is
// left then, and one request at a time goes out.
func (l Limit) burst(entries float64) int {
	headroom := l.Rate*(l.MaxRatio-1) + l.Slack - l.Rate/entries
	return max(1, int(headroom/entries))
}

// stallThreshold is the time between two looks at a share past which the process has stood still:
// it looks many times a second. Far below the time for which others go on counting an entry
// that is silent.
const stallThreshold = time.Second

// Share is one entry's part of what a backend server may get.
type Share struct {
	limit    Limit
	entries  int
	limiter  *rate.Limiter
	lastTick time.Duration
	// phase, from 0 to 1, is how late a share of less than one request a second begins; opens is
	// when it does, zero once it has begun.
	phase    float64
	startsAt time.Duration
}

// NewShare returns the share of one of so many entries.
//
// Load: an entry that is killed and started again and again, or a whole herd of them. Harm
// prevented: each start brings a burst on top of what the process before has just sent. A
// share begins with nothing, so that both together send what one would have.
//
// phase is a random number from 0 to 1.
func NewShare(l Limit, entries int, phase float64, now time.Duration) *Share {
	s := &Share{limit: l, entries: entries, phase: phase, lastTick: now}
	s.limiter = rate.NewLimiter(s.rateAndBurst())
	s.reset(now)
	return s
}

// rateAndBurst returns the rate and the burst of one entry.
func (s *Share) rateAndBurst() (rate.Limit, int) {
	n := float64(max(s.entries, 1))
	return rate.Limit(s.limit.Rate / n), s.limit.burst(n)
}

// Set takes the bound and the number of entries that may send now, this one included.
func (s *Share) Set(l Limit, entries int, now time.Duration) {
	if l == s.limit && entries == s.entries {
		return
	}
	s.limit, s.entries = l, entries
	perSecond, burst := s.rateAndBurst()
	s.limiter.SetLimitAt(asTime(now), perSecond)
	s.limiter.SetBurstAt(asTime(now), burst)
}

// Tick tells the share that the process runs; to be called many times a second.
//
// Load: a VM that is frozen for so long that the others no longer count it, and wakes with its
// share saved up. Harm prevented: they send all that the server bears, and this one its burst
// besides, before it hears how many there are.
func (s *Share) Tick(now time.Duration) {
	if now-s.lastTick > stallThreshold {
		s.reset(now)
	}
	s.lastTick = now
}

// Allow says whether one more request may go out now, and counts it.
func (s *Share) Allow(now time.Duration) bool {
	s.Tick(now)
	if now < s.startsAt {
		return false
	}
	if s.startsAt > 0 {
		s.start(now)
	}
	return s.limiter.AllowN(asTime(now), 1)
}

// reset takes what a share has saved up, and closes one of less than a request a second.
//
// Load: so many entries that each may send a server one request in two seconds, and all start
// at once. Harm prevented: none can send any server anything for two seconds, though all
// servers are idle, and then all send each server one in the same moment. Instead each begins
// at a moment of its own, by server: no sooner than what the process before has sent is a
// second old, and spread over the time in which each earns one request, so that they come at
// the server's rate and there is soon a server that an entry may send to.
func (s *Share) reset(now time.Duration) {
	at := asTime(now)
	s.limiter.AllowN(at, int(s.limiter.TokensAt(at)))
	if perSecond := float64(s.limiter.Limit()); perSecond > 0 && perSecond < 1 {
		s.startsAt = now + time.Second + time.Duration(s.phase/perSecond*float64(time.Second))
	}
}

// start begins a share with one request.
func (s *Share) start(now time.Duration) {
	s.startsAt = 0
	limit, burst := s.rateAndBurst()
	s.limiter = rate.NewLimiter(limit, burst)
	at := asTime(now)
	s.limiter.AllowN(at, burst-1)
}

// epoch makes moments of times since the process started, for the rate limiter.
var epoch = time.Unix(0, 0)

func asTime(now time.Duration) time.Time { return epoch.Add(now) }
