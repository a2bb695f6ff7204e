package keybind

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
)

// requestCounts counts the outcomes of requests that bind a new key.
type requestCounts struct{ bound, refused, retried, retriesBound int }

// burstSimulation simulates entries that bind keys through one stream, and callers that retry
// when they were told to.
type burstSimulation struct {
	now      time.Duration
	records  [][]byte
	entries  []*simEntry
	keysMade int
	random   *rand.Rand
	retries  map[time.Duration][]Customer
	// loud counts the requests of the customer with the bursts, steady those of all others.
	loud, steady requestCounts
}

func newBurstSimulation(limit int, shares map[Customer]float64) *burstSimulation {
	s := &burstSimulation{random: rand.New(rand.NewPCG(1, 2)), retries: map[time.Duration][]Customer{}}
	for range 8 {
		e := newEntry()
		e.batcher = NewBatcher(1000, promisedLifetime/2)
		e.fold.quotas.limit = limit
		if shares != nil {
			e.fold.quotas.SetShares(shares)
			e.batcher.quotas.SetShares(shares)
		}
		s.entries = append(s.entries, e)
	}
	return s
}

// sendNewKey sends a request of a customer with a new key to a random entry. isRetry says that
// the request was refused before.
func (s *burstSimulation) sendNewKey(c Customer, isRetry bool) {
	e := s.entries[s.random.IntN(len(s.entries))]
	counts := &s.steady
	if c == (Customer{1}) {
		counts = &s.loud
	}
	if isRetry {
		counts.retried++
	}
	s.keysMade++
	key := Key{byte(s.keysMade), byte(s.keysMade >> 8), byte(s.keysMade >> 16), 1}
	verdict, n := e.fold.Quotas().Check(c, e.batcher.Quotas().Held(c))
	if verdict == Allowed && e.batcher.Add(s.now, s.now, key, Request{}, &api.Ticket{Customer: c[:]}) == nil {
		counts.bound++
		if isRetry {
			counts.retriesBound++
		}
		return
	}
	counts.refused++
	atMs := e.fold.NthOldestAtMs(n)
	if verdict == OverShare {
		atMs = e.fold.NthOldestOfCustomerAtMs(c, e.fold.Quotas().StaggerRetry(c, n, len(s.entries)))
	}
	retryAt := time.Duration(atMs)*time.Millisecond + holdTime + MaxReleaseDelay(holdTime) + 3*time.Second
	retryAt = max(retryAt, s.now+time.Second).Truncate(time.Second)
	s.retries[retryAt] = append(s.retries[retryAt], c)
}

// simulateSecond lets the entries append and read; each lags by up to three seconds.
func (s *burstSimulation) simulateSecond(t *testing.T) {
	for i, e := range s.entries {
		if s.random.IntN(3) == 0 {
			for f := e.fold; f.Next() < int64(len(s.records)); {
				apply(t, f, s.records[f.Next()])
			}
			e.ages.Observe(s.now, e.fold.Next()-1)
		}
		allowEmpty := i == 0 && e.ages.ExpiredThrough(s.now) > e.fold.Released()
		if batch, _, ok := e.batcher.BeginAppend(s.now, 0, allowEmpty); ok {
			data, _ := EncodeRecord(batch, e.fold.Next(), e.ages.ExpiredThrough(s.now), s.now.Milliseconds())
			s.records = append(s.records, data)
			e.batcher.EndAppend()
		}
	}
	s.now += time.Second
}

// run simulates an hour of nine teams that send few requests, each within its guaranteed quota,
// beside a team that sends 1,500 keys within 75 seconds each quarter of an hour.
func (s *burstSimulation) run(t *testing.T) (loud, steady requestCounts) {
	for s.now < time.Hour {
		for _, c := range s.retries[s.now] {
			s.sendNewKey(c, true)
		}
		for range 20 {
			if s.now%(15*time.Minute) < 75*time.Second {
				s.sendNewKey(Customer{1}, false)
			}
		}
		for c := byte(2); c <= 10; c++ {
			if s.random.IntN(10) < 3 {
				s.sendNewKey(Customer{c}, false)
			}
		}
		s.simulateSecond(t)
	}
	return s.loud, s.steady
}

// One team sends keys in bursts beside nine teams with few requests, and all retry when they
// were told to. With one limit for all teams the bursts use it up, and the others' requests are
// refused for minutes. Divided by shares, no request of the others may be refused, the bursts
// use the lent capacity, and a retry at the announced time is admitted.
func TestBurstsOfKeysBesideSteadyOnes(t *testing.T) {
	const limit = 2000 // Enough for 10 keys a second; the nine teams need 2.7.
	loud, others := newBurstSimulation(limit, nil).run(t)
	t.Logf("one limit for all: loud %+v, others %+v", loud, others)
	if others.refused*10 < others.bound {
		t.Errorf("one limit for all refused only %d keys of the others, %d bound: the test shows no benefit of shares", others.refused, others.bound)
	}
	loud, others = newBurstSimulation(limit, equalShares(10)).run(t)
	t.Logf("by shares: loud %+v, others %+v", loud, others)
	if others.refused > 0 {
		t.Errorf("%d keys of the others are refused, %d bound", others.refused, others.bound)
	}
	if loud.bound < 6_000 || loud.retriesBound*10 < loud.retried*9 {
		t.Errorf("the loud customer: %+v", loud)
	}
}
