package queue

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The seed is fixed so that every run is the same; "make explore" uses another one.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
}

func TestEarliestDeadlineWithinShareAfterPriority(t *testing.T) {
	q := New(8)
	q.Push(0, Item{ID: 1, Share: "a", Deadline: 3})
	q.Push(0, Item{ID: 2, Share: "a", Deadline: 1})
	q.Push(0, Item{ID: 3, Share: "a", Deadline: 9, Priority: 1})
	for _, want := range []uint64{3, 2, 1} {
		if got, _ := q.Pop(); got.ID != want {
			t.Fatalf("got %d, want %d", got.ID, want)
		}
	}
}

func TestSharesByWeight(t *testing.T) {
	q := New(100)
	for id := range uint64(40) {
		q.Push(0, Item{ID: id, Share: "light", Weight: 1, Deadline: time.Hour})
		q.Push(0, Item{ID: 100 + id, Share: "heavy", Weight: 3, Deadline: time.Hour})
	}
	heavy := 0
	for range 40 {
		if item, _ := q.Pop(); item.Share == "heavy" {
			heavy++
		}
	}
	if heavy < 29 || heavy > 31 {
		t.Fatalf("%d of 40 requests went to the share of weight 3 beside one of weight 1", heavy)
	}
}

func TestExpiredRequestsAreRemovedAtOnce(t *testing.T) {
	q := New(8)
	q.Push(0, Item{ID: 1, Share: "a", Deadline: 10 * time.Second, WorkTime: 2 * time.Second})
	at, ok := q.NextExpiry()
	if !ok || len(q.RemoveExpired(at-1)) != 0 {
		t.Fatal("a request expired too soon")
	}
	if out := q.RemoveExpired(at); len(out) != 1 || at > 8*time.Second+1 {
		t.Fatalf("expired %v at %v", out, at)
	}
	if q.Push(9*time.Second, Item{ID: 2, Deadline: 10 * time.Second, WorkTime: 2 * time.Second}) {
		t.Fatal("accepted a request that can't end in time")
	}
}

func TestDisplaceRemovesTheLastOfTheLargestBacklog(t *testing.T) {
	q := New(4)
	for id := range uint64(3) {
		q.Push(0, Item{ID: id, Share: "hog", Weight: 1, Deadline: time.Hour + time.Duration(id)})
	}
	q.Push(0, Item{ID: 10, Share: "small", Weight: 1, Deadline: time.Hour})
	out, ok := q.Displace(0, Item{ID: 11, Share: "other", Weight: 1, Deadline: time.Hour})
	if !ok || out.ID != 2 {
		t.Fatalf("displaced %d (%v), want the last request of the hog", out.ID, ok)
	}
	if _, ok := q.Displace(0, Item{ID: 3, Share: "hog", Weight: 1, Deadline: time.Hour}); ok {
		t.Fatal("the hog displaced a request of another share")
	}
}

// For any order of push, pop, remove, displace and expiry, every request must be returned exactly
// once, and the length limit must hold.
func TestNothingIsLostOrDoubled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(6)
		queued := map[uint64]bool{}
		var now time.Duration
		remove := func(item Item) {
			if !queued[item.ID] {
				t.Fatalf("%d was returned and was not queued", item.ID)
			}
			delete(queued, item.ID)
		}
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "step"))
			item := Item{
				ID: id, Share: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "share"),
				Weight: float64(rapid.IntRange(0, 3).Draw(t, "weight")), Deadline: now + time.Duration(rapid.IntRange(0, 20).Draw(t, "left")),
			}
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				if q.Push(now, item) {
					queued[id] = true
				} else if victim, ok := q.Displace(now, item); ok {
					remove(victim)
					queued[id] = true
				}
			case 2:
				if got, ok := q.Pop(); ok {
					remove(got)
				}
			case 3:
				for _, got := range q.RemoveExpired(now) {
					remove(got)
				}
			case 4:
				if got, ok := q.Remove(rapid.Uint64Range(0, id).Draw(t, "remove")); ok {
					remove(got)
				}
			}
			if q.Len() != len(queued) || q.Len() > 6 {
				t.Fatalf("%d requests are queued, want %d", q.Len(), len(queued))
			}
		}
		for q.Len() > 0 {
			got, _ := q.Pop()
			remove(got)
		}
		if len(q.shares) > 3 || q.ready.Len() != 0 || q.expiry.Len() != 0 {
			t.Fatalf("the empty queue still has %d shares", len(q.shares))
		}
	})
}
