package keybind

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
)

// pressed is what became of a customer's keys.
type pressed struct{ bound, refused, cameBack, foundPlace int }

// shop is entries that bind keys by one stream, and callers that come back when told.
type shop struct {
	now     time.Duration
	records [][]byte
	entries []*simEntry
	made    int
	random  *rand.Rand
	back    map[time.Duration][]Customer
	// What callers were told: the loud customer, and all others together.
	loud, steady pressed
}

func newShop(size int, shares map[Customer]float64) *shop {
	s := &shop{random: rand.New(rand.NewPCG(1, 2)), back: map[time.Duration][]Customer{}}
	for range 8 {
		e := newEntry()
		e.batcher = NewBatcher(1000, toldFor/2)
		e.fold.room.size = size
		if shares != nil {
			e.fold.room.SetShares(shares)
			e.batcher.room.SetShares(shares)
		}
		s.entries = append(s.entries, e)
	}
	return s
}

// press presses a new key of a customer at some entry; again says that it comes
// back when it was told.
func (s *shop) press(c Customer, again bool) {
	e := s.entries[s.random.IntN(len(s.entries))]
	told := &s.steady
	if c == (Customer{1}) {
		told = &s.loud
	}
	if again {
		told.cameBack++
	}
	s.made++
	key := Key{byte(s.made), byte(s.made >> 8), byte(s.made >> 16), 1}
	verdict, n := e.fold.Room().Ask(c, e.batcher.Room().Held(c))
	if verdict == Free && e.batcher.Add(s.now, s.now, key, Request{}, &api.Ticket{Customer: c[:]}) == nil {
		told.bound++
		if again {
			told.foundPlace++
		}
		return
	}
	told.refused++
	at := e.fold.FirstAtMs(n)
	if verdict == BeyondShare {
		at = e.fold.OldestAtMs(c, e.fold.Room().Promise(c, n, len(s.entries)))
	}
	when := time.Duration(at)*time.Millisecond + hold + ReleaseStep(hold) + 3*time.Second
	when = max(when, s.now+time.Second).Truncate(time.Second)
	s.back[when] = append(s.back[when], c)
}

// second lets the entries append and read; each lags by up to three seconds.
func (s *shop) second(t *testing.T) {
	for i, e := range s.entries {
		if s.random.IntN(3) == 0 {
			for f := e.fold; f.Next() < int64(len(s.records)); {
				apply(t, f, s.records[f.Next()])
			}
			e.ages.Saw(s.now, e.fold.Next()-1)
		}
		beat := i == 0 && e.ages.Released(s.now) > e.fold.Released()
		if batch, _, ok := e.batcher.Take(s.now, 0, beat); ok {
			data, _ := Record(batch, e.fold.Next(), e.ages.Released(s.now), s.now.Milliseconds())
			s.records = append(s.records, data)
			e.batcher.Done()
		}
	}
	s.now += time.Second
}

// run lets nine teams press now and then for an hour, each within its own part, beside a
// loud one that presses 1,500 keys each quarter of an hour within 75 seconds.
func (s *shop) run(t *testing.T) (loud, steady pressed) {
	for s.now < time.Hour {
		for _, c := range s.back[s.now] {
			s.press(c, true)
		}
		for range 20 {
			if s.now%(15*time.Minute) < 75*time.Second {
				s.press(Customer{1}, false)
			}
		}
		for c := byte(2); c <= 10; c++ {
			if s.random.IntN(10) < 3 {
				s.press(Customer{c}, false)
			}
		}
		s.second(t)
	}
	return s.loud, s.steady
}

// A team's morning run presses keys in bursts, beside nine teams with a deposit now and
// then; all come back when they were told. With one bound for all the burst fills it, and
// the others' deposits wait for minutes. Divided by shares, none of theirs is refused,
// and the run has what is lent; who comes back when he was told finds a place.
func TestBurstsOfKeysBesideSteadyOnes(t *testing.T) {
	const size = 2000 // Places for 10 keys a second; the nine teams need 2.7.
	loud, others := newShop(size, nil).run(t)
	t.Logf("one bound for all: loud %+v, others %+v", loud, others)
	if others.refused*10 < others.bound {
		t.Errorf("one bound for all refused only %d of the others, %d bound: nothing is shown", others.refused, others.bound)
	}
	loud, others = newShop(size, equal(10)).run(t)
	t.Logf("by shares: loud %+v, others %+v", loud, others)
	if others.refused > 0 {
		t.Errorf("%d keys of the others are refused, %d bound", others.refused, others.bound)
	}
	if loud.bound < 6_000 || loud.foundPlace*10 < loud.cameBack*9 {
		t.Errorf("the loud customer: %+v", loud)
	}
}
