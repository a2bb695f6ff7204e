package quarantine_test

import (
	"fmt"
	"time"

	"github.com/apricothub/apricothub/decide/quarantine"
)

// Two servers end as they begin to answer requests with the part b2, which have the part a1 in common with
// sound requests.
func ExampleTracker() {
	a1, b2, c3 := quarantine.Part{ID: "a1"}, quarantine.Part{ID: "b2"}, quarantine.Part{ID: "c3"}
	tracker := quarantine.New("10.0.0.1", quarantine.Config{})
	tracker.RecordSound("chat", []quarantine.Part{a1}, false, 0)
	for n := range uint32(2) {
		now := time.Duration(n+1) * time.Second
		tracker.RecordEnd(quarantine.ServerStart{Hash: n}, "chat", []quarantine.Part{a1, b2}, false, now)
		tracker.RecordSound("chat", []quarantine.Part{a1}, false, now+100*time.Millisecond)
	}
	for _, q := range tracker.Tick(3 * time.Second).Begun {
		fmt.Println("quarantined:", q.Part, q.Left)
	}
	permit := &quarantine.Permit{}
	fmt.Println("sound:", tracker.Acquire(permit, []quarantine.Part{a1, c3}, 3*time.Second).Action == quarantine.Send)
	fmt.Println("bad:", tracker.Acquire(permit, []quarantine.Part{a1, b2}, 3*time.Second).Action == quarantine.Refuse)
	// Output:
	// quarantined: b2 1m0s
	// sound: true
	// bad: true
}
