package cold

import (
	"math/rand/v2"
	"testing"
	"time"
)

// timeToFull returns how long a limiter takes to its full limit before an engine that is
// warm, and what more callers could have been served with.
func timeToFull(l *Limiter, seed uint64) time.Duration {
	e := &stepEngine{random: rand.New(rand.NewPCG(seed, 1)), slow: 6}
	now := time.Duration(0)
	for l.Limit() < l.cfg.FullLimit {
		e.run(l, &now, now+10*ms)
	}
	return now
}

// An agent is replaced before a warm engine, with callers waiting. Most of them are
// refused for as long as the new one knows nothing of the engine; with what the old one
// had learned it is back at the full limit in half the time.
func TestInheritedBaselineSpeedsUpGrowth(t *testing.T) {
	baseline := WarmBaseline{Latency: 23 * ms, Gap: 18 * ms, WorkTime: 200 * ms}
	var with, without time.Duration
	for seed := range uint64(50) {
		without += timeToFull(New(Config{ColdLimit: 2, FullLimit: 16}, 0), seed)
		l := New(Config{ColdLimit: 2, FullLimit: 16}, 0)
		l.Inherit(baseline)
		if l.Limit() != 2 || l.WorkTime() != baseline.WorkTime {
			t.Fatalf("limit %d, work %v", l.Limit(), l.WorkTime())
		}
		with += timeToFull(l, seed)
	}
	t.Logf("full limit after %v with the usual, %v without", with/50, without/50)
	if with > without/2 {
		t.Errorf("full limit after %v with the usual, %v without", with/50, without/50)
	}
}

// An engine turned cold while its agent was replaced. What the new agent inherits must not
// let it give the engine more than it bears: its latency is nowhere near the usual.
func TestInheritedBaselineWithColdEngine(t *testing.T) {
	for seed := range uint64(200) {
		e := &stepEngine{random: rand.New(rand.NewPCG(seed, 2)), slow: 4, cold: true}
		l, now := New(Config{ColdLimit: 2, FullLimit: 16}, 0), time.Duration(0)
		l.Inherit(WarmBaseline{Latency: 23 * ms, Gap: 18 * ms, WorkTime: 200 * ms})
		e.run(l, &now, 10*time.Second)
		if e.maxCold > 2 {
			t.Errorf("seed %d: %d at once while cold", seed, e.maxCold)
		}
	}
}

// What a limiter has seen itself goes before what it is told.
func TestInheritKeepsOwnBaseline(t *testing.T) {
	l, _ := warmLimiter(t)
	own := l.WarmBaseline()
	l.Inherit(WarmBaseline{Latency: time.Second})
	if l.WarmBaseline() != own || own.Latency == 0 {
		t.Errorf("usual %v, was %v", l.WarmBaseline(), own)
	}
	if fresh := New(Config{}, 0); fresh.WarmBaseline() != (WarmBaseline{}) {
		t.Errorf("a new limiter tells %v", fresh.WarmBaseline())
	}
}
