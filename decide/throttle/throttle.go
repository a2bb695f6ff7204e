// Package throttle keeps the requests of all entries to a backend server within the rate limit that
// the server states in its answers.
//
// The pattern is a token bucket divided among the entries: there is no shared counter, since it would
// have to be queried for each request. A limit is often below one request per second and entry, so
// that a bucket at each of hundreds of entries would let all of them send at once. Instead a few
// entries, chosen by rendezvous hashing, hold a share of each limit, and the others send nothing to
// that server. Every entry computes the choice on its own from the list of entries.
//
// Entries learn of a limit from the server's answers and from each other's heartbeats. The latest
// statement applies, and a limit ends with an answer that states none.
//
// Time is an argument, counted since the process started. A Limits is not safe for concurrent use.
package throttle

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minRate replaces a lower limit, in requests per second. Only answers show that a limit has ended,
	// so a server that takes nothing still gets a request every few seconds.
	minRate = 0.2
	// reportNewsFor is the time for which heartbeats report a change first, so that others learn of it
	// although some heartbeats are lost.
	reportNewsFor = time.Second
	// maxReports limits the reports in one heartbeat.
	maxReports = 16
	// forgetAfter is how long a statement is kept of a server that is not registered, which may register
	// again, and how long it is remembered that a limit has ended. Reports from before are then out of
	// circulation.
	forgetAfter = time.Minute
)

// Report tells another entry what a server last stated.
type Report struct {
	// Server is the hash of the server's ID.
	Server uint32
	// Rate is the limit in requests per second; meaningless if Ended.
	Rate float64
	// Ended says that the server states no limit any more.
	Ended bool
	// Age is the time since the server's answer.
	Age time.Duration
}

// Limits holds the rate limits of all backend servers and this entry's shares of them.
type Limits struct {
	self    string
	rng     *rand.Rand
	entries []string
	// generation changes with the list of entries.
	generation int
	servers    map[uint32]*server
	// order are the keys of servers; nextReport is the index of the one to report next.
	order      []uint32
	nextReport int
}

// server is what is known of the limit of one server.
type server struct {
	rate  float64
	ended bool
	// statedAt is when the server's latest answer arrived here or at the entry that reported it.
	statedAt time.Duration
	// newsUntil is until when a change that an answer to this entry has shown is reported first.
	newsUntil time.Duration
	// unregisteredSince is since when the server is not registered; zero while it is.
	unregisteredSince time.Duration
	// share is this entry's share, nil for none. It was computed for generation.
	share      *share
	generation int
}

// New returns the limits as the entry with IP self sees them, initially none.
func New(self string, rng *rand.Rand) *Limits {
	return &Limits{self: self, rng: rng, entries: []string{self}, generation: 1, servers: make(map[uint32]*server)}
}

// SetEntries sets the IPs of the entries that may send requests now, including this one.
func (l *Limits) SetEntries(ips []string) {
	if slices.Equal(ips, l.entries) {
		return
	}
	l.entries = slices.Clone(ips)
	l.generation++
}

// RecordAnswer records the limit that a server states in an answer, nil for none. sentAt is when the
// request was sent. It reports whether the limit has changed.
//
// Answers may overtake each other. An answer without a limit ends one only if its request was sent
// after the server had last stated it.
func (l *Limits) RecordAnswer(key uint32, stated *float64, sentAt, now time.Duration) bool {
	s := l.servers[key]
	if stated == nil {
		if s == nil || s.ended || sentAt < s.statedAt {
			return false
		}
		s.set(0, true, now)
		s.newsUntil = now + reportNewsFor
		return true
	}
	s = l.server(key)
	changed := s.set(max(*stated, minRate), false, now)
	if changed {
		s.newsUntil = now + reportNewsFor
	}
	return changed
}

// RecordReport records what another entry reports. It reports whether the limit has changed.
func (l *Limits) RecordReport(r Report, now time.Duration) bool {
	statedAt := now - r.Age
	if s := l.servers[r.Server]; s != nil && statedAt <= s.statedAt {
		return false
	}
	if !r.Ended && (math.IsNaN(r.Rate) || r.Rate < 0) {
		return false
	}
	return l.server(r.Server).set(max(r.Rate, minRate), r.Ended, statedAt)
}

// Reset drops the limit of a server that has started anew, and ignores reports from before.
func (l *Limits) Reset(key uint32, now time.Duration) {
	if s := l.servers[key]; s != nil {
		s.set(0, true, now)
		s.newsUntil = 0
	}
}

// server returns what is known of a server, initially that it has no limit.
func (l *Limits) server(key uint32) *server {
	s := l.servers[key]
	if s == nil {
		s = &server{ended: true, statedAt: -1}
		l.servers[key] = s
		l.order = append(l.order, key)
	}
	return s
}

// set sets the latest statement of a server, and reports whether the limit has changed.
func (s *server) set(rate float64, ended bool, statedAt time.Duration) bool {
	s.statedAt = statedAt
	if ended == s.ended && (ended || rate == s.rate) {
		return false
	}
	s.rate, s.ended, s.generation = rate, ended, 0
	if ended {
		s.share = nil
	}
	return true
}

// Retain forgets limits that have ended, and servers that have not been registered, for a minute.
func (l *Limits) Retain(isRegistered func(key uint32) bool, now time.Duration) {
	l.order = slices.DeleteFunc(l.order, func(key uint32) bool {
		s := l.servers[key]
		if isRegistered(key) {
			s.unregisteredSince = 0
		} else if s.unregisteredSince == 0 {
			s.unregisteredSince = max(now, 1)
		}
		isGone := s.unregisteredSince > 0 && now-s.unregisteredSince > forgetAfter
		expired := isGone || s.ended && now-s.statedAt > forgetAfter
		if expired {
			delete(l.servers, key)
		}
		return expired
	})
}

// Reports returns what to report in the next heartbeat: recent changes that this entry has observed,
// and further limits in turn, from which an entry that has just started learns of all.
func (l *Limits) Reports(now time.Duration) []Report {
	if len(l.order) == 0 {
		return nil
	}
	var reports []Report
	for _, key := range l.order {
		if s := l.servers[key]; len(reports) < maxReports && s.isNews(now) {
			reports = append(reports, s.report(key, now))
		}
	}
	for range l.order {
		if len(reports) >= maxReports {
			break
		}
		l.nextReport = (l.nextReport + 1) % len(l.order)
		key := l.order[l.nextReport]
		if s := l.servers[key]; !s.isNews(now) {
			reports = append(reports, s.report(key, now))
		}
	}
	return reports
}

func (s *server) isNews(now time.Duration) bool { return now < s.newsUntil }

func (s *server) report(key uint32, now time.Duration) Report {
	return Report{Server: key, Rate: s.rate, Ended: s.ended, Age: now - s.statedAt}
}

// Rate returns the limit of a server in requests per second, and whether it has one.
func (l *Limits) Rate(key uint32) (float64, bool) {
	s := l.servers[key]
	if s == nil || s.ended {
		return 0, false
	}
	return s.rate, true
}

// Any reports whether any server has a limit.
func (l *Limits) Any() bool {
	for _, s := range l.servers {
		if !s.ended {
			return true
		}
	}
	return false
}

// Allow reports whether this entry may send one more request to a server now, and counts it.
func (l *Limits) Allow(key uint32, now time.Duration) bool {
	s := l.servers[key]
	if s == nil || s.ended {
		return true
	}
	share := l.shareOf(key, s, now)
	return share != nil && share.allow(now)
}

// Share returns this entry's part of a server's limit in requests per second, and the time until it
// may send the next request; zero for both if it has no part. The server must have a limit.
func (l *Limits) Share(key uint32, now time.Duration) (perSecond float64, next time.Duration) {
	share := l.shareOf(key, l.servers[key], now)
	if share == nil {
		return 0, 0
	}
	return share.perSecond(), share.next(now)
}
