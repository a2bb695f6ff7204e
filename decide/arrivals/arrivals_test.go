package arrivals

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const msec = time.Millisecond

// siteLimit is the limit of a model server at a site.
var siteLimit = Limit{Rate: 36, MaxRatio: 1.5, Slack: 5}

// limits differ in how far they allow requests beyond the rate.
var limits = []Limit{siteLimit, {Rate: 20, MaxRatio: 1.5, Slack: 5}, {Rate: 10, MaxRatio: 1.5, Slack: 50}}

func (l Limit) maxPerSecond() float64 { return l.Rate*l.MaxRatio + l.Slack }

// simulation has a number of entries that send to one server as much as they may.
type simulation struct {
	limit  Limit
	shares []*Share
	// stalled are the entries whose process is stalled.
	stalled map[int]bool
	// callersFrom is when requests begin; until then the entries only call Tick.
	callersFrom time.Duration
	sent        []time.Duration
	rng         *rand.Rand
}

func newSimulation(l Limit, entries int) *simulation {
	sim := &simulation{limit: l, stalled: map[int]bool{}, rng: rand.New(rand.NewPCG(1, uint64(entries)))}
	for range entries {
		sim.shares = append(sim.shares, NewShare(l, entries, sim.rng.Float64(), StartDelay, 0))
	}
	return sim
}

func (sim *simulation) run(from, to time.Duration, at func(now time.Duration)) {
	for now := from; now < to; now += 2 * msec {
		at(now)
		for i, s := range sim.shares {
			if sim.stalled[i] {
				continue
			}
			s.Tick(now)
			for now >= sim.callersFrom && s.Allow(now) {
				sim.sent = append(sim.sent, now)
			}
		}
	}
}

// maxInOneSecond returns the largest number of requests sent in any one second.
func (sim *simulation) maxInOneSecond() int {
	maxCount, first := 0, 0
	for last := range sim.sent {
		for sim.sent[last]-sim.sent[first] >= time.Second {
			first++
		}
		maxCount = max(maxCount, last-first+1)
	}
	return maxCount
}

// A cold server gets all requests of its service through all entries. It must never get more in one
// second than its limit allows, and must get most of its rate so that callers are served. The
// cases: steady entries; all entries killed and restarted repeatedly; one more entry that the others
// learn of late; and one that stalls for so long that the others use its share. Requests come from
// the start, or begin late, when all shares have saved tokens.
func TestAllEntriesTogetherKeepTheLimit(t *testing.T) {
	const whole = 10 * time.Second
	events := map[string]func(sim *simulation, now time.Duration){
		"calm": func(*simulation, time.Duration) {},
		"all are killed each 240 ms": func(sim *simulation, now time.Duration) {
			if now > 0 && now%(240*msec) == 0 {
				for i := range sim.shares {
					sim.shares[i] = NewShare(sim.limit, len(sim.shares), sim.rng.Float64(), now+StartDelay, now)
				}
			}
		},
		"one more comes, and the others hear of it 200 ms later": func(sim *simulation, now time.Duration) {
			n := len(sim.shares)
			switch now {
			case 4 * time.Second:
				sim.shares = append(sim.shares, NewShare(sim.limit, n+1, sim.rng.Float64(), now+StartDelay, now))
			case 4*time.Second + 200*msec:
				for _, s := range sim.shares {
					s.Set(sim.limit, n, now)
				}
			}
		},
		"one sleeps, is no longer counted, and is heard 100 ms after it wakes": func(sim *simulation, now time.Duration) {
			n := len(sim.shares)
			switch now {
			case 1 * time.Second:
				sim.stalled[0] = true
			case 3 * time.Second:
				for _, s := range sim.shares[1:] {
					s.Set(sim.limit, max(n-1, 1), now)
				}
			case 6 * time.Second:
				sim.stalled[0] = false
			case 6*time.Second + 100*msec:
				for _, s := range sim.shares[1:] {
					s.Set(sim.limit, n, now)
				}
			}
		},
	}
	for name, step := range events {
		for _, l := range limits {
			for _, entries := range []int{1, 2, 3, 4, 5, 8, 12} {
				for _, from := range []time.Duration{0, 4 * time.Second, 6 * time.Second} {
					t.Run(fmt.Sprintf("%s, %d entries, rate %v, callers from %v on", name, entries, l.Rate, from), func(t *testing.T) {
						sim := newSimulation(l, entries)
						sim.callersFrom = from
						sim.run(0, whole, func(now time.Duration) { step(sim, now) })
						if n := sim.maxInOneSecond(); float64(n) > l.maxPerSecond() {
							t.Errorf("%d requests within a second, %v at most", n, l.maxPerSecond())
						}
						if minSent := 0.7 * l.Rate * (whole - from).Seconds(); float64(len(sim.sent)) < minSent && name == "calm" {
							t.Errorf("only %d requests in all, %v at least", len(sim.sent), minSent)
						}
					})
				}
			}
		}
	}
}

// A limit that an operator lowers holds from the next request on.
func TestAChangedLimitHoldsFromTheNextRequest(t *testing.T) {
	sim := newSimulation(siteLimit, 4)
	lowered := Limit{Rate: 8, MaxRatio: 1, Slack: 0}
	sim.run(0, 3*time.Second, func(time.Duration) {})
	for _, s := range sim.shares {
		s.Set(lowered, 4, 3*time.Second)
	}
	sim.sent = nil
	sim.run(3*time.Second, 8*time.Second, func(time.Duration) {})
	// Each entry may send one request at once, however small its share of the limit is.
	if n := sim.maxInOneSecond(); float64(n) > lowered.maxPerSecond()+4 {
		t.Errorf("%d requests within a second, %v at most", n, lowered.maxPerSecond()+4)
	}
}

// So many entries start together that each may send a server one request in two seconds. A server
// that gets the requests of all must not be overloaded. With many idle servers, an entry must find
// one for a few queued requests long before their callers leave.
func TestManyEntriesStartAtOnce(t *testing.T) {
	limit := Limit{Rate: 23, MaxRatio: 1.5, Slack: 5}
	const entries, servers = 45, 72
	sim := newSimulation(limit, entries)
	sim.run(0, 2*time.Second+950*msec, func(time.Duration) {})
	if n := sim.maxInOneSecond(); float64(n) > limit.maxPerSecond() {
		t.Errorf("%d requests within a second, %v at most", n, limit.maxPerSecond())
	}
	rng := rand.New(rand.NewPCG(2, 2))
	for range entries {
		var shares []*Share
		for range servers {
			shares = append(shares, NewShare(limit, entries, rng.Float64(), StartDelay, 0))
		}
		waiting, now := 5, time.Duration(0)
		for ; waiting > 0 && now < 3*time.Second; now += 20 * msec {
			for _, s := range shares {
				if waiting > 0 && s.Allow(now) {
					waiting--
				}
			}
		}
		if now > 1400*msec {
			t.Errorf("five requests waited for %v with %d idle servers", now, servers)
		}
	}
}

// Pattern: a backlog after a restart of everything. Entries start before their servers, of which each
// bears one request of every entry within a second. Once the servers are known, an entry must be able
// to send all that waits at once: half a second later callers have waited longer than they bear.
func TestBacklogStartsAtOnceIfServersBearIt(t *testing.T) {
	limit := Limit{Rate: 26, MaxRatio: 1.5, Slack: 5}
	const entries, servers, backlog, serversKnownAt = 35, 72, 30, 1100 * msec
	rng := rand.New(rand.NewPCG(4, 2))
	allowed := 0
	for range servers {
		if NewShare(limit, entries, rng.Float64(), StartDelay, serversKnownAt).Allow(serversKnownAt) {
			allowed++
		}
	}
	if allowed < backlog {
		t.Errorf("%d of %d queued requests may be sent at once", allowed, backlog)
	}
}

// Shares of less than one request a second that start together must keep the limit, whenever requests
// come, and also when all processes are killed in between or a server leaves the list and returns.
func TestSharesThatStartTogetherKeepTheLimit(t *testing.T) {
	for _, c := range []struct {
		limit   Limit
		entries int
	}{
		{Limit{Rate: 26, MaxRatio: 1.5, Slack: 5}, 35},
		{Limit{Rate: 26, MaxRatio: 1.5, Slack: 5}, 43},
		{Limit{Rate: 26, MaxRatio: 1.5, Slack: 5}, 44},
		{Limit{Rate: 17, MaxRatio: 1.5, Slack: 5}, 25},
		{Limit{Rate: 10, MaxRatio: 1.5, Slack: 50}, 60},
	} {
		for _, restart := range []time.Duration{0, 300 * msec, 900 * msec, 1300 * msec} {
			sim := newSimulation(c.limit, c.entries)
			sim.run(0, 6*time.Second, func(now time.Duration) {
				if restart > 0 && now > 0 && now%restart == 0 {
					for i := range sim.shares {
						sim.shares[i] = NewShare(c.limit, c.entries, sim.rng.Float64(), now+StartDelay, now)
					}
				}
			})
			if n := sim.maxInOneSecond(); float64(n) > c.limit.maxPerSecond() {
				t.Errorf("%d entries, all new each %v: %d requests within a second, %v at most", c.entries, restart, n, c.limit.maxPerSecond())
			}
		}
	}
}
