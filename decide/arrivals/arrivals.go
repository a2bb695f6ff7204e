// Package arrivals limits the rate of requests that one entry sends to a cold backend server, so
// that all entries together stay within what the server can take.
//
// There is no shared counter, since it would have to be queried for every request. Each entry has
// an equal share of the rate and enforces it on its own. This holds only while no entry assumes
// fewer entries than there are and no share is spent twice; the safeguards below cover these two
// cases.
//
// Time is an argument, counted since the process started. A Share is not safe for concurrent use.
package arrivals

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/apricothub/apricothub/decide/internal/steady"
)

// Limit is what a cold backend server can take from all entries together: in any one second, at
// most Rate*MaxRatio + Slack requests.
type Limit struct {
	// Rate is in requests per second; zero means no limit.
	Rate float64
	// MaxRatio, 1 or more, is the ratio to the rate up to which requests may arrive in one second;
	// Slack is a number of requests that may arrive in addition.
	MaxRatio, Slack float64
}

// burst returns how many requests each of the given number of entries may send at once, beyond its
// share of the rate. With few entries nothing is left for it, and the burst is one request.
func (l Limit) burst(entries float64) int {
	return max(1, int((l.maxKnown(entries)-l.Rate)/entries))
}

// maxKnown is the limit for one second of the given number of entries. One more share of the rate is
// reserved: a process that has just started sends its share before all others know of it.
func (l Limit) maxKnown(entries float64) float64 {
	return l.Rate*l.MaxRatio + l.Slack - l.Rate/entries
}

// stallThreshold is the time between two calls of Tick after which the process counts as stalled:
// Tick is called many times a second. It is far below the time for which the others still count an
// unresponsive entry.
const stallThreshold = time.Second

// StartDelay is how long a share of less than one request per second waits after the process, or an
// earlier share of the same server, may have sent its last request. Requests of both then never fall
// into the same second.
const StartDelay = time.Second

// Share is one entry's share of the requests to a backend server.
type Share struct {
	limit    Limit
	entries  int
	limiter  *rate.Limiter
	lastTick time.Duration
	// phase, from 0 to 1, delays the start of a share of less than one request per second, if all
	// entries may not start at once. startsAt is the time of that start; zero once the share has
	// started.
	phase    float64
	startsAt time.Duration
}

// NewShare returns the share of one of the given number of entries. phase is a random number from 0
// to 1. A share of less than one request per second starts no sooner than notBefore, which is
// StartDelay after the start of this process or the end of an earlier share of the same server.
//
// A new share has no saved tokens. Otherwise an entry, or many of them, that is killed and
// restarted repeatedly would add a burst at each start to what the previous process has just sent.
func NewShare(l Limit, entries int, phase float64, notBefore, now time.Duration) *Share {
	s := &Share{limit: l, entries: entries, phase: phase, lastTick: now}
	s.limiter = rate.NewLimiter(s.rateAndBurst())
	s.reset(now, notBefore)
	return s
}

// rateAndBurst returns the rate and the burst of one entry.
func (s *Share) rateAndBurst() (rate.Limit, int) {
	n := float64(max(s.entries, 1))
	return rate.Limit(s.limit.Rate / n), s.limit.burst(n)
}

// Set updates the limit and the number of entries that may send now, including this one.
func (s *Share) Set(l Limit, entries int, now time.Duration) {
	if l == s.limit && entries == s.entries {
		return
	}
	s.limit, s.entries = l, entries
	perSecond, burst := s.rateAndBurst()
	s.limiter.SetLimitAt(steady.Time(now), perSecond)
	s.limiter.SetBurstAt(steady.Time(now), burst)
}

// Tick tells the share that the process is running. It must be called many times a second.
//
// If the process stalled, its saved tokens are discarded. A VM that is frozen for long is no longer
// counted by the other entries, which then use the whole limit. Without this, it would add its
// burst when it wakes, before it learns how many entries there are.
func (s *Share) Tick(now time.Duration) {
	if now-s.lastTick > stallThreshold {
		s.reset(now, now+StartDelay)
	}
	s.lastTick = now
}

// Allow reports whether one more request may be sent now, and counts it.
func (s *Share) Allow(now time.Duration) bool {
	s.Tick(now)
	if now < s.startsAt {
		return false
	}
	if s.startsAt > 0 {
		s.start(now)
	}
	return s.limiter.AllowN(steady.Time(now), 1)
}

// reset discards the saved tokens of a share, and delays the start of one of less than one request
// per second until notBefore.
//
// Such a share sends at most one request in any second, so if one request of each entry is within
// the limit, all may start together. This matters after a power loss, when entries and servers start
// together and a backlog waits.
//
// With more entries, the requests of all at the same moment would overload the server, and tokens
// accrued from the start would come seconds late, and at the same moment too. So each share starts at
// its own time for each server, spread over the time in which a share accrues one token. Requests
// then reach the server at its rate, and each entry soon has a server that it may send to.
func (s *Share) reset(now, notBefore time.Duration) {
	at := steady.Time(now)
	s.limiter.AllowN(at, int(s.limiter.TokensAt(at)))
	perSecond := float64(s.limiter.Limit())
	if perSecond <= 0 || perSecond >= 1 {
		return
	}
	s.startsAt = max(now, notBefore, 1)
	if n := float64(s.entries); n > s.limit.maxKnown(n) {
		s.startsAt += time.Duration(s.phase / perSecond * float64(time.Second))
	}
}

// start starts a share with one request.
func (s *Share) start(now time.Duration) {
	s.startsAt = 0
	limit, burst := s.rateAndBurst()
	s.limiter = rate.NewLimiter(limit, burst)
	at := steady.Time(now)
	s.limiter.AllowN(at, burst-1)
}
