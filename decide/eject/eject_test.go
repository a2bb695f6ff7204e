package eject

import (
	"testing"
	"time"
)

const msec = time.Millisecond

// A server fails every request at once. It must get only three requests, then one after each
// ejection, and ejections must get longer.
func TestAServerThatFailsEverything(t *testing.T) {
	j := New(Config{})
	sent := 0
	for now := time.Duration(0); now < 20*time.Second; now += 10 * msec {
		if !j.Ejected("a", now) {
			sent++
			j.RecordFailure("a", now)
		}
	}
	if sent > 10 {
		t.Errorf("%d of 2000 requests went to a server that fails all", sent)
	}
}

// A server fails one request in five because of the requests themselves. It must not be ejected.
func TestSingleFailuresEjectNoServer(t *testing.T) {
	j := New(Config{})
	for i := range 100 {
		if i%5 == 0 {
			j.RecordFailure("a", time.Duration(i))
		} else {
			j.RecordSuccess("a")
		}
		if j.Ejected("a", time.Duration(i)) {
			t.Fatalf("ejected after request %d", i)
		}
	}
}

// Ten requests are in flight to a server that dies. They must cause one ejection of the base
// length.
func TestSimultaneousFailuresEjectOnce(t *testing.T) {
	j := New(Config{})
	for i := range 10 {
		if out := j.RecordUnreachable("a", 0); (out > 0) != (i == 0) {
			t.Errorf("failure %d: ejected for %v", i+1, out)
		}
	}
	if !j.Ejected("a", 499*msec) || j.Ejected("a", 500*msec) {
		t.Error("not ejected for 500 ms")
	}
	j.RecordSuccess("a")
	if j.Ejected("a", 0) {
		t.Error("ejected after it served a request")
	}
}
