package cold

import (
	"math/rand/v2"
	"testing"
	"time"
)

// timeToFull returns how long a limiter takes to reach its full limit with a warm engine and more
// requests than it can serve.
func timeToFull(l *Limiter, seed uint64) time.Duration {
	e := &stepEngine{random: rand.New(rand.NewPCG(seed, 1)), coldFactor: 6}
	now := time.Duration(0)
	for l.Limit() < l.cfg.FullLimit {
		e.run(l, &now, now+10*ms)
	}
	return now
}

// The agent of a warm engine is replaced while callers wait. Most of them are refused as long as
// the new agent knows nothing about the engine. With the old agent's baseline the full limit must
// be reached in half the time.
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
	t.Logf("full limit after %v with the baseline, %v without", with/50, without/50)
	if with > without/2 {
		t.Errorf("full limit after %v with the baseline, %v without", with/50, without/50)
	}
}

// An engine turned cold while its agent was replaced. The inherited baseline must not raise the
// limit above what the cold engine can serve.
func TestInheritedBaselineWithColdEngine(t *testing.T) {
	for seed := range uint64(200) {
		e := &stepEngine{random: rand.New(rand.NewPCG(seed, 2)), coldFactor: 4, cold: true}
		l, now := New(Config{ColdLimit: 2, FullLimit: 16}, 0), time.Duration(0)
		l.Inherit(WarmBaseline{Latency: 23 * ms, Gap: 18 * ms, WorkTime: 200 * ms})
		e.run(l, &now, 10*time.Second)
		if e.maxCold > 2 {
			t.Errorf("seed %d: %d at once while cold", seed, e.maxCold)
		}
	}
}

// A limiter's own warm latency takes precedence over an inherited one.
func TestInheritKeepsOwnBaseline(t *testing.T) {
	l, _ := warmLimiter(t)
	own := l.WarmBaseline()
	l.Inherit(WarmBaseline{Latency: time.Second})
	if l.WarmBaseline() != own || own.Latency == 0 {
		t.Errorf("baseline %v, was %v", l.WarmBaseline(), own)
	}
	if fresh := New(Config{}, 0); fresh.WarmBaseline() != (WarmBaseline{}) {
		t.Errorf("a new limiter has the baseline %v", fresh.WarmBaseline())
	}
}
