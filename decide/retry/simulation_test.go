package retry

import (
	"math/rand/v2"
	"slices"
	"time"
)

// maxSimWait is how long a request waits for a token.
const maxSimWait = 300 * time.Millisecond

// simStep is the time between two steps of a simulation.
const simStep = 20 * time.Millisecond

// simEntry is one entry of a simulation. Its clock starts with its process.
type simEntry struct {
	budget *Budget
	ledger *Ledger
	bornAt time.Duration
	// frozenUntil is until when it stands still, cutUntil until when it does not reach the store.
	frozenUntil, cutUntil time.Duration
	// nextClaimAt is when it may claim again.
	nextClaimAt time.Duration
	// call is its call of the store in flight; nil for none.
	call *simCall
	// waiting are the requests that wait for a token, by when they give up.
	waiting []time.Duration
	// unsent are the retries whose tokens are spent, waiting to be sent.
	unsent []simRetry
}

// simRetry is a retry that will be sent at a time unless it is too late by the entry's clock.
type simRetry struct {
	at     time.Duration
	sendBy time.Duration
}

// simCall is a claim on its way.
type simCall struct {
	readAt, writeAt, answerAt time.Duration
	hasRead, hasWritten       bool
	version                   int
	claims                    []Claim
	tokens                    int
	until                     time.Duration
}

// simulation plays entries that share one budget, and a store with a ledger.
type simulation struct {
	limits  Limits
	rng     *rand.Rand
	now     time.Duration
	entries []*simEntry
	// version counts the writes of the ledger, and claims are what stands there.
	version int
	claims  []Claim
	nextID  uint64
	// stragglers are writes of processes that have ended, which the store carries out late.
	stragglers []*simCall
	// requests and retries are when first attempts were sent and when retries arrived.
	requests, retries []time.Duration
	denied            int
}

func newSimulation(l Limits, entries int, seed uint64) *simulation {
	s := &simulation{limits: l, rng: rand.New(rand.NewPCG(seed, 1))}
	for range entries {
		s.entries = append(s.entries, s.newEntry())
	}
	return s
}

func (s *simulation) newEntry() *simEntry {
	return &simEntry{budget: NewBudget(s.limits), ledger: NewLedger(s.limits), bornAt: s.now}
}

// kill ends the process of an entry and starts another one. A write on its way may still be carried out.
func (s *simulation) kill(i int) {
	if call := s.entries[i].call; call != nil && call.hasRead && !call.hasWritten {
		s.stragglers = append(s.stragglers, call)
	}
	s.entries[i] = s.newEntry()
}

// request sends one request through an entry; failing says that its server fails it.
func (s *simulation) request(i int, failing bool) {
	e := s.entries[i]
	if s.now < e.frozenUntil {
		return
	}
	clock := s.now - e.bornAt
	s.requests = append(s.requests, s.now)
	e.budget.CountRequest(clock)
	if !failing {
		return
	}
	if !s.spend(e) {
		e.waiting = append(e.waiting, s.now+maxSimWait)
	}
}

// spend spends a token on a retry that will be sent a little later, and reports whether there was one.
func (s *simulation) spend(e *simEntry) bool {
	t, ok := e.budget.Spend(s.now - e.bornAt)
	if ok {
		e.unsent = append(e.unsent, simRetry{at: s.now + randN(s.rng, maxSendLag), sendBy: e.bornAt + t.SendBy})
	}
	return ok
}

// wait gives tokens to the requests of an entry that wait for some, has more claimed if that is allowed, and
// drops those that have waited for too long.
func (s *simulation) wait(e *simEntry) {
	for len(e.waiting) > 0 && s.spend(e) {
		e.waiting = e.waiting[1:]
	}
	waiting := len(e.waiting)
	e.waiting = slices.DeleteFunc(e.waiting, func(until time.Duration) bool { return until <= s.now })
	s.denied += waiting - len(e.waiting)
	if waiting > 0 && e.call == nil && s.now >= e.nextClaimAt {
		e.call = &simCall{readAt: s.now}
	}
}

// step plays one step.
func (s *simulation) step() {
	s.now += simStep
	for _, call := range s.stragglers {
		s.write(call)
	}
	s.stragglers = slices.DeleteFunc(s.stragglers, func(c *simCall) bool { return c.hasWritten })
	for _, e := range s.entries {
		if s.now < e.frozenUntil {
			continue
		}
		s.send(e)
		s.wait(e)
		if e.call != nil {
			s.playCall(e)
		}
	}
}

// send sends the retries that are due and not too late.
func (s *simulation) send(e *simEntry) {
	e.unsent = slices.DeleteFunc(e.unsent, func(r simRetry) bool {
		if r.at > s.now {
			return false
		}
		if s.now <= r.sendBy {
			s.retries = append(s.retries, s.now+randN(s.rng, maxTransferTime))
		}
		return true
	})
}

// playCall plays the claim of an entry: a read, a write that is carried out now or late, and an answer that
// may be lost.
func (s *simulation) playCall(e *simEntry) {
	call, clock := e.call, s.now-e.bornAt
	switch {
	case s.now < e.cutUntil && !call.hasWritten:
		e.call = nil
	case !call.hasRead && s.now >= call.readAt:
		s.nextID++
		call.hasRead, call.version = true, s.version
		call.claims, call.tokens = e.ledger.Draw(s.claims, s.nextID, max(len(e.waiting), 1), clock)
		call.until = clock + ClaimLifetime
		call.writeAt, call.answerAt = s.now+randN(s.rng, 100*time.Millisecond), s.now+randN(s.rng, 200*time.Millisecond)
		if call.tokens == 0 {
			e.call, e.nextClaimAt = nil, e.bornAt+e.ledger.NextRoom(clock)
		}
	case call.hasRead && !call.hasWritten:
		s.write(call)
	case call.hasWritten && s.now >= call.answerAt:
		e.call = nil
		if call.tokens > 0 && s.now >= e.cutUntil {
			e.budget.AddClaim(call.tokens, call.until)
		}
	}
}

// write carries out the write of a claim when it is due, unless the ledger has changed.
func (s *simulation) write(call *simCall) {
	if s.now < call.writeAt {
		return
	}
	call.hasWritten = true
	if call.version != s.version {
		call.tokens = 0
		return
	}
	s.version++
	s.claims = call.claims
}

// worstExcess returns by how much the retries of any window exceed what the budget allows; negative if they
// never do. Requests count in the window, the one before, or half a window before, whichever has most.
func (s *simulation) worstExcess() float64 {
	slices.Sort(s.requests)
	slices.Sort(s.retries)
	worst := -s.limits.Reserve
	for i, from := range s.retries {
		w := s.limits.Window
		retries := countBefore(s.retries, from+w) - i
		requests := max(s.requestsIn(from, from+w), s.requestsIn(from-w, from), s.requestsIn(from-w/2, from+w/2))
		worst = max(worst, float64(retries)-s.limits.Ratio*float64(requests)-s.limits.Reserve)
	}
	return worst
}

func (s *simulation) requestsIn(from, to time.Duration) int {
	return countBefore(s.requests, to) - countBefore(s.requests, from)
}

// countBefore returns how many of the sorted times are before a time.
func countBefore(times []time.Duration, t time.Duration) int {
	n, _ := slices.BinarySearch(times, t)
	return n
}

func randN(rng *rand.Rand, n time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(n))) }
