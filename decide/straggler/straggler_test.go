package straggler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricothub/apricothub/decide/straggler"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// pause is the pause between two events that callers accept, ownPart what an engine with requests takes
// of its own in a pass.
const (
	pause   = 150 * ms
	ownPart = 23 * ms
)

// stream is a stream whose last event arrived a long pass ago.
func stream() straggler.Request {
	return straggler.Request{HasBegun: true, Waited: 400 * ms, Objective: 500 * ms, MaxPause: pause, EventsLeft: 12}
}

func slowTracker(id string) *straggler.Tracker {
	t := straggler.New(straggler.Config{})
	t.Observe(id, true, sec)
	return t
}

// A pass waits for the slowest rank, so what runs there must leave, but only if that helps: a prompt
// that is read again and a spent attempt are worth nothing where passes are long for another reason.
func TestARequestLeavesOnlyWherePassesBecomeShorter(t *testing.T) {
	tracker := slowTracker("slow")
	for _, c := range []struct {
		name     string
		server   string
		slowdown float64
		ownPart  time.Duration
		change   func(*straggler.Request)
		want     bool
	}{
		{"rank 12 times slower", "slow", 12, ownPart, nil, true},
		{"rank 4 times slower", "slow", 4, ownPart, nil, true},
		{"rank little slower, passes long for another reason", "slow", 2.3, ownPart, nil, false},
		{"own part unknown", "slow", 12, 0, nil, true},
		{"another rank", "fast", 1, ownPart, nil, false},
		{"passes within the accepted pause", "slow", 12, ownPart, func(r *straggler.Request) { r.Waited = 140 * ms }, false},
		{"no accepted pause", "slow", 12, ownPart, func(r *straggler.Request) { r.MaxPause = 0 }, false},
		{"one event left", "slow", 12, ownPart, func(r *straggler.Request) { r.EventsLeft = 1 }, false},
		{"length unknown", "slow", 12, ownPart, func(r *straggler.Request) { r.EventsLeft = -1 }, true},
		{"not begun", "slow", 12, ownPart, func(r *straggler.Request) { r.HasBegun = false }, true},
		{"not begun, just sent", "slow", 12, ownPart, func(r *straggler.Request) { r.HasBegun, r.Waited = false, 100*ms }, false},
		{"not begun, no objective", "slow", 12, ownPart, func(r *straggler.Request) { r.HasBegun, r.Objective = false, 0 }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := stream()
			if c.change != nil {
				c.change(&r)
			}
			if got := tracker.Leaves(c.server, r, straggler.Pass{Slowdown: c.slowdown, OwnPart: c.ownPart}); got != c.want {
				t.Errorf("leaves: %v, want %v", got, c.want)
			}
		})
	}
}

// A rank turns slow and fast each second. Each time it is fast it looks like the emptiest one, and what
// it gets then must move again: the retry budget would be spent on a single rank.
func TestAServerWhoseSpeedSwingsGetsNoNewRequests(t *testing.T) {
	tracker := straggler.New(straggler.Config{})
	offered := 0
	for now := time.Duration(0); now < 20*sec; now += 50 * ms {
		isSlow := now/sec%2 == 1
		tracker.Observe("swings", isSlow, now)
		if !isSlow && now > 3*sec && !tracker.IsHeld("swings", now) {
			offered++
		}
	}
	if offered > 0 {
		t.Errorf("the server is offered at %d of 170 moments at which it is fast", offered)
	}
	tracker.Observe("swings", false, 20*sec)
	if now := 28 * sec; tracker.IsHeld("swings", now) {
		t.Error("the server is still held back 8 s after its last slow period")
	}
}

// A rank is slow once, as when its host was busy. It must get requests as soon as it is fast.
func TestAServerThatWasSlowOnceIsNotHeldBack(t *testing.T) {
	tracker := slowTracker("once")
	if !tracker.Observe("once", false, 5*sec) || tracker.IsHeld("once", 5*sec) {
		t.Error("the server is held back")
	}
	tracker.Observe("once", true, 16*sec)
	tracker.Observe("once", false, 17*sec)
	if tracker.IsHeld("once", 17*sec) {
		t.Error("a slow period of long ago counts")
	}
}

func TestServersThatAreGoneAreForgotten(t *testing.T) {
	tracker := slowTracker("gone")
	tracker.Retain(func(string) bool { return false })
	if tracker.IsSlow("gone") {
		t.Error("the server is still known")
	}
}

// group is a lock-step group in which each pass lasts as long as the part of its slowest rank with
// requests, for the patterns of load of TestCallersOfAGroupWithSlowRanks.
type group struct {
	slowdowns []float64
	streams   []int // by rank
}

// passTime returns the duration of a pass.
func (g *group) passTime() time.Duration {
	const perStream, expertPart = 4 * ms, 25 * ms
	longest := time.Duration(0)
	for rank, n := range g.streams {
		if n > 0 {
			longest = max(longest, time.Duration(g.slowdowns[rank]*float64(ownPart+time.Duration(n)*perStream/4)))
		}
	}
	return longest + expertPart
}

// leave moves the streams that leave their ranks to the emptiest rank that is not slow, and returns how
// many moved.
func (g *group) leave(tracker *straggler.Tracker) int {
	moved := 0
	pass := g.passTime()
	for rank, n := range g.streams {
		for range n {
			r := stream()
			r.Waited = pass
			to := g.emptiest(tracker)
			if to >= 0 && tracker.Leaves(fmt.Sprint(rank), r, straggler.Pass{Slowdown: g.slowdowns[rank], OwnPart: ownPart}) {
				g.streams[rank]--
				g.streams[to]++
				moved++
			}
		}
	}
	return moved
}

func (g *group) emptiest(tracker *straggler.Tracker) int {
	best := -1
	for rank, n := range g.streams {
		if !tracker.IsSlow(fmt.Sprint(rank)) && n < 12 && (best < 0 || n < g.streams[best]) {
			best = rank
		}
	}
	return best
}

// Callers of all ranks are late while one rank is slow. Outcomes by pattern: the pause between events
// once streams have left, and how many moved.
func TestCallersOfAGroupWithSlowRanks(t *testing.T) {
	const ranks, perRank = 16, 6
	for _, c := range []struct {
		name      string
		slow      map[int]float64
		maxPass   time.Duration
		wantMoved int
	}{
		{"one slow rank", map[int]float64{3: 12}, pause, perRank},
		{"two slow ranks", map[int]float64{3: 12, 9: 6}, pause, 2 * perRank},
		{"one rank a little slow", map[int]float64{3: 2.3}, pause, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := &group{slowdowns: make([]float64, ranks), streams: make([]int, ranks)}
			tracker := straggler.New(straggler.Config{})
			for rank := range ranks {
				g.slowdowns[rank], g.streams[rank] = max(1, c.slow[rank]), perRank
				tracker.Observe(fmt.Sprint(rank), c.slow[rank] > 2, sec)
			}
			moved := g.leave(tracker)
			if pass := g.passTime(); moved != c.wantMoved || pass > c.maxPass {
				t.Errorf("%d streams moved, want %d; passes last %v, want at most %v", moved, c.wantMoved, pass, c.maxPass)
			}
		})
	}
}

// All ranks are slow alike. There is nowhere to go, so none may count as too slow: the caller of
// Observe compares the servers, and no request may leave.
func TestNothingLeavesAGroupThatIsSlowAsAWhole(t *testing.T) {
	tracker := straggler.New(straggler.Config{})
	tracker.Observe("any", false, sec)
	if tracker.Leaves("any", stream(), straggler.Pass{Slowdown: 12, OwnPart: ownPart}) {
		t.Error("a request leaves a server that is as fast as the others")
	}
}
