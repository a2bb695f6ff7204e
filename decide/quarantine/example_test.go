package quarantine_test

import (
	"fmt"
	"time"

	"github.com/apricothub/apricothub/decide/quarantine"
)

// Two servers end as they begin to answer requests with the part b2, which have the part a1 in common with
// sound requests.
func ExampleTracker() {
	tracker := quarantine.New("10.0.0.1", quarantine.Config{})
	tracker.RecordSound("chat", []string{"a1"}, 0)
	for n := range uint32(2) {
		now := time.Duration(n+1) * time.Second
		tracker.RecordEnd(quarantine.ServerStart{Hash: n}, "chat", []string{"a1", "b2"}, now)
		tracker.RecordSound("chat", []string{"a1"}, now+100*time.Millisecond)
	}
	for _, q := range tracker.Tick(3 * time.Second).Begun {
		fmt.Println("quarantined:", q.Part, q.Left)
	}
	permit := &quarantine.Permit{}
	fmt.Println("sound:", tracker.Acquire(permit, []string{"a1", "c3"}, 3*time.Second).Action == quarantine.Send)
	fmt.Println("bad:", tracker.Acquire(permit, []string{"a1", "b2"}, 3*time.Second).Action == quarantine.Refuse)
	// Output:
	// quarantined: b2 1m0s
	// sound: true
	// bad: true
}
