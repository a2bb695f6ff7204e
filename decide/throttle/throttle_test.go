package throttle

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	msec = time.Millisecond
	// beatInterval is the time between two heartbeats, tick the step of a simulation.
	beatInterval = 150 * msec
	tick         = 10 * msec
	limited      = uint32(7)
)

// world simulates entries that send to one server with a rate limit and exchange heartbeats.
type world struct {
	ips     []string
	entries map[string]*Limits
	// stated is the limit that the server states; nil for none.
	stated *float64
	// sent are the times of the requests at the server.
	sent []time.Duration
	now  time.Duration
}

func newWorld(n int, stated *float64) *world {
	w := &world{entries: make(map[string]*Limits), stated: stated}
	for i := range n {
		w.ips = append(w.ips, fmt.Sprintf("10.0.0.%d", i+1))
	}
	for i := range n {
		w.start(i)
	}
	return w
}

// start starts an entry, or replaces its process by one that knows nothing.
func (w *world) start(i int) {
	l := New(w.ips[i], rand.New(rand.NewPCG(uint64(i), uint64(w.now))))
	l.SetEntries(w.ips)
	w.entries[w.ips[i]] = l
}

// run lets the entries, given by index, try to send a request at each tick until a time.
func (w *world) run(until time.Duration, senders ...int) {
	for ; w.now < until; w.now += tick {
		for _, i := range senders {
			if l := w.entries[w.ips[i]]; l.Allow(limited, w.now) {
				w.sent = append(w.sent, w.now)
				l.RecordAnswer(limited, w.stated, w.now, w.now)
			}
		}
		if w.now%beatInterval == 0 {
			w.exchange()
		}
	}
}

// exchange sends a heartbeat from each entry to each.
func (w *world) exchange() {
	for _, from := range w.ips {
		for _, r := range w.entries[from].Reports(w.now) {
			for _, to := range w.ips {
				if to != from {
					w.entries[to].RecordReport(r, w.now)
				}
			}
		}
	}
}

func (w *world) all() []int {
	all := make([]int, len(w.ips))
	for i := range all {
		all[i] = i
	}
	return all
}

// maxIn returns the most requests in any window that begins at from or later.
func (w *world) maxIn(window, from time.Duration) int {
	most := 0
	for i, first := range w.sent {
		if first < from {
			continue
		}
		n := 0
		for _, at := range w.sent[i:] {
			if at-first < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func rateOf(perSecond float64) *float64 { return &perSecond }

func tolerated(perSecond float64) float64 {
	return toleranceWindow*maxRatio*perSecond + slack
}

// All entries have more requests than a limited server takes, or few of them have: the server gets more
// than its limit, or a part of its limit stays unused.
func TestEntriesTogetherKeepALimitUnderSaturation(t *testing.T) {
	for _, entries := range []int{1, 2, 7, 99} {
		for _, perSecond := range []float64{0, 0.5, 1, 4.5, 30} {
			t.Run(fmt.Sprintf("%d entries, %v a second", entries, perSecond), func(t *testing.T) {
				w := newWorld(entries, rateOf(perSecond))
				w.run(40*time.Second, w.all()...)
				if n := w.maxIn(toleranceWindow*time.Second, time.Second); float64(n) > tolerated(perSecond) {
					t.Errorf("%d requests in %d s, want at most %v", n, toleranceWindow, tolerated(perSecond))
				}
				if least := 0.8 * 40 * perSecond; float64(len(w.sent)) < least {
					t.Errorf("%d requests in 40 s, want at least %v", len(w.sent), least)
				}
			})
		}
	}
}

// A burst comes after a quiet time in which shares have saved tokens.
func TestABurstAfterAQuietTimeKeepsTheLimit(t *testing.T) {
	for _, entries := range []int{1, 7, 99} {
		w := newWorld(entries, rateOf(2))
		w.run(2*time.Second, w.all()...)
		w.run(60 * time.Second)
		w.run(70*time.Second, w.all()...)
		if n := w.maxIn(toleranceWindow*time.Second, time.Second); float64(n) > tolerated(2) {
			t.Errorf("%d entries: %d requests in %d s, want at most %v", entries, n, toleranceWindow, tolerated(2))
		}
	}
}

// Entries restart one after the other, each without knowing of the limit.
func TestRestartingEntriesKeepTheLimit(t *testing.T) {
	w := newWorld(7, rateOf(2))
	w.run(3*time.Second, w.all()...)
	for i := range w.ips {
		w.start(i)
		w.exchange()
		w.run(w.now+time.Second, w.all()...)
	}
	if n := w.maxIn(toleranceWindow*time.Second, time.Second); float64(n) > tolerated(2) {
		t.Errorf("%d requests in %d s, want at most %v", n, toleranceWindow, tolerated(2))
	}
}

// One entry has requests and no share. It must learn that the limit has ended from an entry that has.
func TestAllEntriesLearnThatALimitHasEnded(t *testing.T) {
	w := newWorld(20, rateOf(1))
	w.run(2*time.Second, w.all()...)
	w.stated = nil
	w.run(8*time.Second, w.all()...)
	for ip, l := range w.entries {
		if _, has := l.Rate(limited); has {
			t.Errorf("the entry %s still keeps to the limit", ip)
		}
	}
}

// A server that takes nothing must still get a request now and then, or nobody would learn that it takes
// requests again.
func TestAServerThatTakesNothingIsTried(t *testing.T) {
	w := newWorld(7, rateOf(0))
	w.run(30*time.Second, w.all()...)
	w.stated = nil
	w.run(60*time.Second, w.all()...)
	if _, has := w.entries[w.ips[0]].Rate(limited); has {
		t.Error("the limit has not ended")
	}
}

// Answers and heartbeats arrive in another order than they were sent in.
func TestTheLatestStatementApplies(t *testing.T) {
	l := New("10.0.0.1", rand.New(rand.NewPCG(1, 1)))
	l.RecordAnswer(limited, rateOf(3), 0, 100*msec)
	if l.RecordAnswer(limited, nil, 50*msec, 110*msec); !l.Any() {
		t.Error("an answer to a request from before the limit was stated ends the limit")
	}
	l.RecordReport(Report{Server: limited, Ended: true, Age: 90 * msec}, 150*msec)
	if !l.Any() {
		t.Error("a report of an older answer ends the limit")
	}
	if l.RecordReport(Report{Server: limited, Ended: true, Age: 10 * msec}, 150*msec); l.Any() {
		t.Error("a report of a newer answer does not end the limit")
	}
	l.RecordReport(Report{Server: limited, Rate: 3, Age: 60 * msec}, 200*msec)
	if l.Any() {
		t.Error("a report from before the limit ended restores it")
	}
}

// A server starts anew under its ID; entries that do not know that yet report what it had stated before.
func TestAServerThatStartsAnewHasNoLimit(t *testing.T) {
	l := New("10.0.0.1", rand.New(rand.NewPCG(1, 1)))
	l.RecordAnswer(limited, rateOf(3), 0, 100*msec)
	l.Reset(limited, 500*msec)
	l.RecordReport(Report{Server: limited, Rate: 3, Age: 150 * msec}, 600*msec)
	if l.Any() {
		t.Error("the server still has a limit")
	}
}

// Thousands of servers state limits: a heartbeat must stay small, and an entry that starts must still
// learn of all limits.
func TestReportsAreBoundedAndComplete(t *testing.T) {
	const servers = 200
	l, other := New("10.0.0.1", rand.New(rand.NewPCG(1, 1))), New("10.0.0.2", rand.New(rand.NewPCG(2, 1)))
	for key := range uint32(servers) {
		l.RecordAnswer(key, rateOf(1), 0, 0)
	}
	now := 5 * time.Second
	for range 2 * servers / maxReports {
		reports := l.Reports(now)
		if len(reports) > maxReports {
			t.Fatalf("%d reports in a heartbeat", len(reports))
		}
		for _, r := range reports {
			other.RecordReport(r, now)
		}
		now += beatInterval
	}
	for key := range uint32(servers) {
		if _, has := other.Rate(key); !has {
			t.Errorf("the other entry does not know the limit of server %d", key)
		}
	}
}

// Servers come and go all day: what is known of those that are gone must not pile up.
func TestLimitsOfServersThatAreGoneAreForgotten(t *testing.T) {
	l := New("10.0.0.1", rand.New(rand.NewPCG(1, 1)))
	l.RecordAnswer(1, rateOf(1), 0, 0)
	l.RecordAnswer(2, rateOf(1), 0, 0)
	registered := func(key uint32) bool { return key == 1 }
	for now := time.Duration(0); now <= 2*forgetAfter; now += time.Second {
		l.Retain(registered, now)
	}
	if _, has := l.Rate(1); !has || len(l.servers) != 1 || len(l.order) != 1 {
		t.Errorf("%d servers are known, want the registered one", len(l.servers))
	}
}

// The registration of a limited server lapses after a long time without changes, and is back soon: its limit
// must still be known.
func TestALimitOutlivesALapseOfTheRegistration(t *testing.T) {
	l := New("10.0.0.1", rand.New(rand.NewPCG(1, 1)))
	l.RecordAnswer(limited, rateOf(1), 0, 0)
	l.Retain(func(uint32) bool { return true }, time.Second)
	l.Retain(func(uint32) bool { return false }, time.Second+2*forgetAfter)
	if _, has := l.Rate(limited); !has {
		t.Error("the limit is forgotten at once")
	}
}
