package ratelimit

import (
	"strconv"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// One customer's script sends far too many requests. It is limited to its rate and told when to
// retry; other keys are not affected.
func TestKeysAreLimitedSeparately(t *testing.T) {
	k := New(10)
	allowed := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		if ok, wait := k.Allow(now, "wild", 5, 2); ok {
			allowed++
		} else if wait <= 0 || wait > 200*time.Millisecond {
			t.Fatalf("wait %v", wait)
		}
	}
	if allowed < 6 || allowed > 7 {
		t.Errorf("%d allowed in a second, want the burst of 2 and 5 a second", allowed)
	}
	if ok, _ := k.Allow(start.Add(time.Second), "calm", 5, 2); !ok {
		t.Error("another key must not be limited")
	}
	if ok, _ := k.Allow(start, "free", 0, 0); !ok {
		t.Error("rate 0 means no limit")
	}
}

// A caller that waits for exactly the time named in the refusal is allowed.
func TestRetryAfterIsExact(t *testing.T) {
	k := New(10)
	now := start
	for range 50 {
		ok, wait := k.Allow(now, "key", 3, 1)
		if ok {
			continue
		}
		now = now.Add(wait)
		if ok, _ := k.Allow(now, "key", 3, 1); !ok {
			t.Fatalf("refused again after waiting %v", wait)
		}
	}
}

func TestChangedRateKeepsTokens(t *testing.T) {
	k := New(10)
	k.Allow(start, "key", 1, 1)
	if ok, _ := k.Allow(start.Add(100*time.Millisecond), "key", 1, 1); ok {
		t.Error("within the old rate")
	}
	// A fifth of a token has accumulated at the old rate; the new rate applies from the first
	// request that uses it.
	now := start.Add(200 * time.Millisecond)
	if ok, wait := k.Allow(now, "key", 100, 1); ok || wait != 8*time.Millisecond {
		t.Errorf("allowed %v, wait %v, want 8 ms", ok, wait)
	}
	if ok, _ := k.Allow(now.Add(8*time.Millisecond), "key", 100, 1); !ok {
		t.Error("the new rate must hold")
	}
}

// A scan with invented keys must not exhaust the memory.
func TestMemoryIsBounded(t *testing.T) {
	k := New(100)
	for i := range 10_000 {
		k.Allow(start, strconv.Itoa(i), 1, 1)
	}
	if k.Len() != 100 || len(k.buckets) != 100 {
		t.Errorf("%d keys remembered", k.Len())
	}
}
