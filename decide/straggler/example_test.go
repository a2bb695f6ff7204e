package straggler_test

import (
	"fmt"
	"time"

	"github.com/apricothub/apricothub/decide/straggler"
)

// One engine of a group works twelve times slower than usual. A stream there has waited for longer than
// its caller accepts, as have those on all other engines.
func ExampleTracker_Leaves() {
	tracker := straggler.New(straggler.Config{})
	now := 30 * time.Second
	tracker.Observe("engine-7", true, now)

	stream := straggler.Request{
		HasBegun: true, Waited: 330 * time.Millisecond, Objective: 500 * time.Millisecond,
		MaxPause: 150 * time.Millisecond, EventsLeft: 14,
	}
	pass := straggler.Pass{Slowdown: 12, OwnPart: 22 * time.Millisecond}
	fmt.Println(tracker.Leaves("engine-7", stream, pass))

	stream.EventsLeft = 1
	fmt.Println(tracker.Leaves("engine-7", stream, pass))
	// Output:
	// true
	// false
}
