package keybind

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
)

// requestCounts is what became of a customer's keys.
type requestCounts struct{ bound, refused, retried, retriesBound int }

// burstSimulation is entries that bind keys by one stream, and callers that come back when told.
type burstSimulation struct {
	now      time.Duration
	records  [][]byte
	entries  []*simEntry
	keysMade int
	random   *rand.Rand
	retries  map[time.Duration][]Customer
	// What callers were told: the loud customer, and all others together.
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

// sendNewKey presses a new key of a customer at some entry; again says that it comes
// back when it was told.
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

// run lets nine teams press now and then for an hour, each within its own part, beside a
// loud one that presses 1,500 keys each quarter of an hour within 75 seconds.
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

// A team's morning run presses keys in bursts, beside nine teams with a deposit now and
// then; all come back when they were told. With one bound for all the burst fills it, and
// the others' deposits wait for minutes. Divided by shares, none of theirs is refused,
// and the run has what is lent; who comes back when he was told finds a place.
func TestBurstsOfKeysBesideSteadyOnes(t *testing.T) {
	const limit = 2000 // Places for 10 keys a second; the nine teams need 2.7.
	loud, others := newBurstSimulation(limit, nil).run(t)
	t.Logf("one bound for all: loud %+v, others %+v", loud, others)
	if others.refused*10 < others.bound {
		t.Errorf("one bound for all refused only %d of the others, %d bound: nothing is shown", others.refused, others.bound)
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
