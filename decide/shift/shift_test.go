package shift

import (
	"testing"
	"time"
)

func TestLeaveGoesToZeroWithinDrain(t *testing.T) {
	s := New(Config{})
	s.Leave(0, "a")
	if w := s.Weight(500*time.Millisecond, "a"); w < 0.4 || w > 0.6 {
		t.Fatalf("weight %v halfway through the drain", w)
	}
	s.Leave(900*time.Millisecond, "a")
	if w := s.Weight(time.Second, "a"); w != 0 {
		t.Fatalf("weight %v after the drain: a second call must not restart it", w)
	}
	if w := s.Weight(time.Second, "b"); w != 1 {
		t.Fatalf("weight %v of another domain", w)
	}
}

func TestReturnRampsAndNeverSteps(t *testing.T) {
	s := New(Config{})
	s.Drop(0, "a")
	s.Return(time.Second, "a")
	last := s.Weight(time.Second, "a")
	if last != 0.05 {
		t.Fatalf("first weight %v", last)
	}
	for at := time.Second; at <= 12*time.Second; at += 100 * time.Millisecond {
		w := s.Weight(at, "a")
		if w < last || w > last+0.021 {
			t.Fatalf("weight from %v to %v in 100 ms at %v", last, w, at)
		}
		last = w
	}
	if last != 1 {
		t.Fatalf("weight %v after the ramp, want 1", last)
	}
}

// A failure domain leaves while it still ramps up from its last return. Its weight must decrease
// from its current value, without a step.
func TestLeaveDuringReturn(t *testing.T) {
	s := New(Config{})
	s.Drop(0, "a")
	s.Return(0, "a")
	before := s.Weight(5*time.Second, "a")
	s.Leave(5*time.Second, "a")
	if w := s.Weight(5*time.Second, "a"); w != before {
		t.Fatalf("weight stepped from %v to %v", before, w)
	}
	if w := s.Weight(6*time.Second, "a"); w != 0 {
		t.Fatalf("weight %v after the drain, want 0", w)
	}
}

func TestManyReturnsAreSlower(t *testing.T) {
	s := New(Config{})
	domains := []string{"a", "b", "c", "d"}
	for _, d := range domains {
		s.Drop(0, d)
	}
	for _, d := range domains {
		s.Return(0, d)
	}
	if w := s.Weight(10*time.Second, "d"); w > 0.6 {
		t.Fatalf("the fourth domain to return at once is at %v after 10 s", w)
	}
}
